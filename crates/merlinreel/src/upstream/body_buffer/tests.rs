use super::*;
use http_body_util::Full;
use std::io;
use std::sync::Mutex;
use std::task::Context;
use test_case::test_case;
use tokio::sync::mpsc;

/// Longer than any step of a test takes.
const LONG: Duration = Duration::from_secs(20);

/// Buffers up to 4 bytes of the body of a response to an attempt that started just now.
async fn buffer_within<B: Body<Data = Bytes> + Unpin>(
    body: B,
    within: Duration,
) -> Result<BufferedBody<B>, BodyError> {
    let started = Instant::now();
    let reader = ResponseReader {
        started,
        deadline: started + within,
        earlier_response_age: None,
        report_progress: &|_| true,
    };
    buffer(body, 4, &reader).await
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
        BufferedBody::Arriving { first_part, .. } => BufferedLength::TooLong(first_part.len()),
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
    let frames = Frames {
        remaining: frames,
        fails,
    };
    buffer_within(frames, LONG).await.map(buffered_length)
}

#[test_case(4 => Ok(BufferedLength::Complete(4)) ; "exactly the limit")]
#[test_case(5 => Ok(BufferedLength::TooLong(5)) ; "over the limit")]
#[tokio::test]
async fn body_of_known_length_is_buffered_up_to_the_limit(
    length: usize,
) -> Result<BufferedLength, BodyError> {
    let body = Full::new(Bytes::from(vec![1; length]));
    buffer_within(body, LONG).await.map(buffered_length)
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

/// A body whose frames a test sends, of this announced length.
struct SentFrames {
    frames: mpsc::UnboundedReceiver<usize>,
    announced_bytes: Option<u64>,
}

impl Body for SentFrames {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.frames
            .poll_recv(cx)
            .map(|length| length.map(|length| Ok(Frame::data(vec![b'x'; length].into()))))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.announced_bytes
            .map_or_else(Default::default, hyper::body::SizeHint::with_exact)
    }
}

/// Guards against cutting off a long body that its server still sends at the attempt's deadline, against forwarding the
/// beginning of a body that may be short, and against waiting longer than the deadline for either.
#[test_case(Some(5), &[1] => Ok(BufferedLength::TooLong(1)) ; "announced as long, one byte has arrived")]
#[test_case(Some(5), &[] => Err(BodyError::DeadlineExceeded) ; "announced as long, nothing has arrived")]
#[test_case(Some(4), &[3] => Err(BodyError::DeadlineExceeded) ; "announced as short, all but one byte has arrived")]
#[test_case(None, &[1] => Ok(BufferedLength::TooLong(1)) ; "of unknown length, as much has arrived as makes it probably long")]
#[test_case(None, &[] => Err(BodyError::DeadlineExceeded) ; "of unknown length, nothing has arrived")]
#[tokio::test]
async fn incomplete_body_is_forwarded_or_abandoned_at_the_deadline(
    announced_bytes: Option<u64>,
    frames: &[usize],
) -> Result<BufferedLength, BodyError> {
    const WITHIN: Duration = Duration::from_millis(300);
    let (sender, receiver) = mpsc::unbounded_channel();
    for &length in frames {
        sender.send(length).expect("the body is read");
    }
    let body = SentFrames {
        frames: receiver,
        announced_bytes,
    };
    let started = Instant::now();
    let result = buffer_within(body, WITHIN).await;
    // The beginning of a long body is forwarded shortly before the deadline.
    assert!(started.elapsed() >= WITHIN / 2, "{:?}", started.elapsed());
    result.map(buffered_length)
}

/// The beginning of a long body is held back for a second and not until a deadline that is far away: its client would wait
/// for bytes that have arrived.
#[tokio::test]
async fn long_body_is_held_back_for_less_than_its_deadline_allows() {
    let (sender, frames) = mpsc::unbounded_channel();
    sender.send(1).expect("the body is read");
    let body = SentFrames {
        frames,
        announced_bytes: Some(5),
    };
    let started = Instant::now();
    let Ok(BufferedBody::Arriving { first_bytes_at, .. }) = buffer_within(body, LONG).await else {
        panic!("a body that is to be forwarded")
    };
    let held_back = started.elapsed();
    assert!(
        (Duration::from_secs(1)..Duration::from_secs(2)).contains(&held_back),
        "{held_back:?}"
    );
    assert!(first_bytes_at - started < Duration::from_millis(500));
}

/// The policy learns how long a body will be as soon as that is known, and nothing of a short one, whose attempt is judged
/// by the time that it takes.
#[test_case(Some(5) => vec![BodyLength::Long] ; "announced as long")]
#[test_case(Some(4) => Vec::<BodyLength>::new() ; "announced as short")]
#[test_case(None => vec![BodyLength::ProbablyLong] ; "of unknown length")]
#[tokio::test]
async fn progress_is_reported_while_more_is_awaited(
    announced_bytes: Option<u64>,
) -> Vec<BodyLength> {
    let reported = Mutex::new(Vec::new());
    let (sender, frames) = mpsc::unbounded_channel();
    sender.send(1).expect("the body is read");
    let body = SentFrames {
        frames,
        announced_bytes,
    };
    let started = Instant::now();
    let report_progress = |length| {
        reported.lock().expect("a lock").push(length);
        true
    };
    let reader = ResponseReader {
        started,
        deadline: started + Duration::from_millis(300),
        earlier_response_age: None,
        report_progress: &report_progress,
    };
    let _ = buffer(body, 4, &reader).await;
    reported.into_inner().expect("a lock")
}
