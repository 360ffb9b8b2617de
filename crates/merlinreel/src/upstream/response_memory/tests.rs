use super::*;
use http_body_util::Full;
use hyper::body::Frame;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use test_case::test_case;

/// Buffers bodies of up to 4 bytes, and 16 bytes in total.
fn memory() -> ResponseMemory {
    ResponseMemory {
        bytes: Arc::new(Semaphore::new(16)),
        max_buffered_bytes: 4,
    }
}

/// A body of unknown length in frames of two bytes, which ends or fails after them.
struct Frames {
    remaining: usize,
    fails: bool,
}

impl Body for Frames {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.remaining > 0 {
            self.remaining -= 1;
            return Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(b"ab")))));
        }
        Poll::Ready(
            self.fails
                .then(|| Err(io::ErrorKind::ConnectionReset.into())),
        )
    }
}

/// The bytes of a complete body, or those that had arrived when a longer body was passed on.
#[derive(Debug, PartialEq)]
enum BufferedLength {
    Complete(usize),
    TooLong(usize),
}

fn buffered_length<B>(received: BufferedBody<B>) -> BufferedLength {
    match received {
        BufferedBody::Complete(bytes) => BufferedLength::Complete(bytes.len()),
        BufferedBody::TooLong { first_part, .. } => BufferedLength::TooLong(first_part.len()),
    }
}

#[test_case(0, false => Ok(BufferedLength::Complete(0)) ; "empty")]
#[test_case(2, false => Ok(BufferedLength::Complete(4)) ; "exactly the limit")]
#[test_case(3, false => Ok(BufferedLength::TooLong(6)) ; "over the limit")]
#[test_case(9, true => Ok(BufferedLength::TooLong(6)) ; "over the limit, and cut after it was passed on")]
#[test_case(0, true => Err(BodyError::Incomplete(0)) ; "cut after the head")]
#[test_case(2, true => Err(BodyError::Incomplete(4)) ; "cut after its last byte, before its end")]
#[tokio::test]
async fn body_of_unknown_length_is_buffered_up_to_the_limit(
    frames: usize,
    fails: bool,
) -> Result<BufferedLength, BodyError> {
    memory()
        .buffer(Frames {
            remaining: frames,
            fails,
        })
        .await
        .map(buffered_length)
}

#[test_case(4 => Ok(BufferedLength::Complete(4)) ; "exactly the limit")]
#[test_case(5 => Ok(BufferedLength::TooLong(5)) ; "over the limit")]
#[tokio::test]
async fn body_of_known_length_is_buffered_up_to_the_limit(
    length: usize,
) -> Result<BufferedLength, BodyError> {
    memory()
        .buffer(Full::new(Bytes::from(vec![1; length])))
        .await
        .map(buffered_length)
}

#[test_case(9, false => Ok(()) ; "complete")]
#[test_case(9, true => Err(BodyError::Incomplete(18)) ; "cut")]
#[tokio::test]
async fn discarded_body_is_read_to_its_end(frames: usize, fails: bool) -> Result<(), BodyError> {
    read_to_end(Frames {
        remaining: frames,
        fails,
    })
    .await
}

/// A complete response occupies memory until its client has received it; the next response waits until memory is free.
#[tokio::test]
async fn complete_response_waits_for_memory_until_another_is_delivered() {
    let memory = memory();
    let mut undelivered = Vec::new();
    for _ in 0..4 {
        let Ok(BufferedBody::Complete(bytes)) =
            memory.buffer(Full::new(Bytes::from_static(b"held"))).await
        else {
            panic!("a body that fits")
        };
        undelivered.push(bytes);
    }
    let mut next = pin!(memory.buffer(Full::new(Bytes::from_static(b"next"))));
    let mut context = Context::from_waker(Waker::noop());
    assert!(next.as_mut().poll(&mut context).is_pending());
    undelivered.pop();
    assert_eq!(
        next.await.map(buffered_length),
        Ok(BufferedLength::Complete(4))
    );
}
