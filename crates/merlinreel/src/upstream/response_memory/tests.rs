use super::*;
use http_body_util::Full;
use hyper::body::Frame;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use test_case::test_case;

/// Bodies of up to four bytes are buffered, and sixteen bytes in all.
fn memory() -> ResponseMemory {
    ResponseMemory {
        bytes: Arc::new(Semaphore::new(16)),
        max_buffered: 4,
    }
}

/// A body of unknown length in frames of two bytes, that ends or breaks off behind them.
struct Frames {
    left: usize,
    breaks_off: bool,
}

impl Body for Frames {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.left > 0 {
            self.left -= 1;
            return Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(b"ab")))));
        }
        Poll::Ready(
            self.breaks_off
                .then(|| Err(io::ErrorKind::ConnectionReset.into())),
        )
    }
}

/// What became of a body: complete, or what had arrived when it was passed on.
#[derive(Debug, PartialEq)]
enum Seen {
    Complete(usize),
    TooLong(usize),
}

fn seen<B>(received: BufferedBody<B>) -> Seen {
    match received {
        BufferedBody::Complete(bytes) => Seen::Complete(bytes.len()),
        BufferedBody::TooLong { first_part, .. } => Seen::TooLong(first_part.len()),
    }
}

#[test_case(0, false => Ok(Seen::Complete(0)) ; "empty")]
#[test_case(2, false => Ok(Seen::Complete(4)) ; "as long as is buffered")]
#[test_case(3, false => Ok(Seen::TooLong(6)) ; "longer")]
#[test_case(9, true => Ok(Seen::TooLong(6)) ; "longer, and cut after it was passed on")]
#[test_case(0, true => Err(BodyError::BrokeOff(0)) ; "cut behind its head")]
#[test_case(2, true => Err(BodyError::BrokeOff(4)) ; "cut behind its last byte, before its end")]
#[tokio::test]
async fn body_of_unknown_length_is_buffered_up_to_the_bound(
    frames: usize,
    breaks_off: bool,
) -> Result<Seen, BodyError> {
    memory()
        .buffer(Frames {
            left: frames,
            breaks_off,
        })
        .await
        .map(seen)
}

#[test_case(4 => Ok(Seen::Complete(4)) ; "as long as is buffered")]
#[test_case(5 => Ok(Seen::TooLong(5)) ; "longer")]
#[tokio::test]
async fn body_of_known_length_is_buffered_up_to_the_bound(
    length: usize,
) -> Result<Seen, BodyError> {
    memory()
        .buffer(Full::new(Bytes::from(vec![1; length])))
        .await
        .map(seen)
}

#[test_case(9, false => Ok(()) ; "complete")]
#[test_case(9, true => Err(BodyError::BrokeOff(18)) ; "cut")]
#[tokio::test]
async fn body_that_no_client_gets_is_read_to_its_end(
    frames: usize,
    breaks_off: bool,
) -> Result<(), BodyError> {
    read_to_end(Frames {
        left: frames,
        breaks_off,
    })
    .await
}

/// The memory of a complete response is in use until its client has it; the next response waits until then.
#[tokio::test]
async fn complete_response_waits_for_memory_until_another_is_delivered() {
    let memory = memory();
    let mut delivered_later = Vec::new();
    for _ in 0..4 {
        let Ok(BufferedBody::Complete(bytes)) =
            memory.buffer(Full::new(Bytes::from_static(b"held"))).await
        else {
            panic!("a body that fits")
        };
        delivered_later.push(bytes);
    }
    let mut next = pin!(memory.buffer(Full::new(Bytes::from_static(b"next"))));
    let mut context = Context::from_waker(Waker::noop());
    assert!(next.as_mut().poll(&mut context).is_pending());
    delivered_later.pop();
    assert_eq!(next.await.map(seen), Ok(Seen::Complete(4)));
}
