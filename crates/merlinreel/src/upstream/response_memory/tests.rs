use super::*;
use http_body_util::Full;
use hyper::body::Frame;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use test_case::test_case;

/// Bodies of up to four bytes are held, and sixteen bytes in all.
fn memory() -> ResponseMemory {
    ResponseMemory {
        bytes: Arc::new(Semaphore::new(16)),
        max_buffered: 4,
    }
}

/// A body of untold length in frames of two bytes, that ends or breaks off behind them.
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

/// What became of a body: whole, or what had come when it was passed on.
#[derive(Debug, PartialEq)]
enum Seen {
    Whole(usize),
    Long(usize),
}

fn seen<B>(received: BufferedBody<B>) -> Seen {
    match received {
        BufferedBody::Complete(bytes) => Seen::Whole(bytes.len()),
        BufferedBody::TooLong { first_part, .. } => Seen::Long(first_part.len()),
    }
}

#[test_case(0, false => Ok(Seen::Whole(0)) ; "empty")]
#[test_case(2, false => Ok(Seen::Whole(4)) ; "as long as is held")]
#[test_case(3, false => Ok(Seen::Long(6)) ; "longer")]
#[test_case(9, true => Ok(Seen::Long(6)) ; "longer, and cut after it was passed on")]
#[test_case(0, true => Err(BodyError::BrokeOff(0)) ; "cut behind its head")]
#[test_case(2, true => Err(BodyError::BrokeOff(4)) ; "cut behind its last byte, before its end")]
#[tokio::test]
async fn a_body_of_untold_length(frames: usize, breaks_off: bool) -> Result<Seen, BodyError> {
    memory()
        .buffer(Frames {
            left: frames,
            breaks_off,
        })
        .await
        .map(seen)
}

#[test_case(4 => Ok(Seen::Whole(4)) ; "as long as is held")]
#[test_case(5 => Ok(Seen::Long(5)) ; "longer")]
#[tokio::test]
async fn a_body_of_told_length(length: usize) -> Result<Seen, BodyError> {
    memory()
        .buffer(Full::new(Bytes::from(vec![1; length])))
        .await
        .map(seen)
}

#[test_case(9, false => Ok(()) ; "whole")]
#[test_case(9, true => Err(BodyError::BrokeOff(18)) ; "cut")]
#[tokio::test]
async fn a_body_that_no_client_gets(frames: usize, breaks_off: bool) -> Result<(), BodyError> {
    read_to_end(Frames {
        left: frames,
        breaks_off,
    })
    .await
}

/// A whole answer's memory is in use until its client has it; the next one waits so long.
#[tokio::test]
async fn a_whole_answer_waits_for_memory_until_another_s_client_has_it() {
    let memory = memory();
    let mut held = Vec::new();
    for _ in 0..4 {
        let Ok(BufferedBody::Complete(bytes)) =
            memory.buffer(Full::new(Bytes::from_static(b"held"))).await
        else {
            panic!("a body that fits")
        };
        held.push(bytes);
    }
    let mut next = pin!(memory.buffer(Full::new(Bytes::from_static(b"next"))));
    let mut turn = Context::from_waker(Waker::noop());
    assert!(next.as_mut().poll(&mut turn).is_pending());
    held.pop();
    assert_eq!(next.await.map(seen), Ok(Seen::Whole(4)));
}
