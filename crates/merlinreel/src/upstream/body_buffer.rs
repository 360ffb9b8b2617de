//! Buffers the body of one response until it is complete, or until the policy decides to forward it before that.

use crate::net::late_deadline::sleep_until_caught_up;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use merlinreel_policy::{ArrivingBody, BodyLength, Forwarding};
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::time::sleep;

/// Shortest interval between two reports of the progress of a response whose length is not known.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which the HTTP library hands over a frame that has arrived.
const HANDOVER_TIME: Duration = Duration::from_millis(1);

/// Why a body is unusable.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// Reading failed after this many bytes of the body: the connection ended, or the framing is malformed.
    #[error("response body incomplete or malformed after {0} bytes")]
    Incomplete(usize),
    /// The body's length exceeds what the memory limit can count (`u32`).
    #[error("response body exceeds 4294967295 bytes, the most that the memory limit can count")]
    NoMemory,
    /// The attempt's deadline passed before the body was complete, and its beginning may not be forwarded.
    #[error("response body incomplete at the attempt's deadline")]
    DeadlineExceeded,
}

/// The result of buffering a body.
#[derive(Debug, PartialEq)]
pub enum BufferedBody<B> {
    /// The complete body.
    Complete(Bytes),
    /// A body that is to be forwarded while it is arriving.
    Arriving {
        /// The bytes read so far.
        first_part: Bytes,
        /// The body, from which the remaining bytes are read.
        rest: B,
        /// When the first bytes arrived.
        first_bytes_at: Instant,
    },
}

/// The attempt whose response is read.
pub struct ResponseReader<'a> {
    /// When the attempt was started.
    pub started: Instant,
    /// A response of which nothing may be forwarded by then has failed.
    pub deadline: Instant,
    /// How long before `started` the first bytes of a response to an earlier attempt of the same request arrived; `None` if
    /// there was no such response.
    pub earlier_response_age: Option<Duration>,
    /// Reports the length of the body, as far as known, when a part of it has arrived and the rest has not. Returns whether
    /// the report was accepted; otherwise it is repeated later.
    pub report_progress: &'a (dyn Fn(BodyLength) -> bool + Sync),
}

/// The part of a body that has arrived.
struct BodyBuffer<'a> {
    reader: &'a ResponseReader<'a>,
    max_bytes: usize,
    bytes: Vec<u8>,
    /// `None` until the first bytes have arrived.
    arriving: Option<ArrivingBody>,
    announced_bytes: Option<u64>,
    last_report: Option<(BodyLength, Instant)>,
}

impl<'a> BodyBuffer<'a> {
    fn new(
        announced_bytes: Option<u64>,
        max_bytes: usize,
        reader: &'a ResponseReader<'a>,
    ) -> BodyBuffer<'a> {
        let capacity = usize::try_from(announced_bytes.unwrap_or_default()).unwrap_or(max_bytes);
        BodyBuffer {
            reader,
            max_bytes,
            bytes: Vec::with_capacity(capacity.min(max_bytes)),
            arriving: None,
            announced_bytes,
            last_report: None,
        }
    }

    fn add(&mut self, data: &[u8]) {
        if data.is_empty() {
            return;
        }
        self.bytes.extend_from_slice(data);
        let now = self.reader.started.elapsed();
        let arriving = self.arriving.get_or_insert(ArrivingBody {
            announced_bytes: self.announced_bytes,
            received_bytes: 0,
            first_bytes_at: now,
            earlier_response_age: self.reader.earlier_response_age,
        });
        arriving.received_bytes += data.len() as u64;
    }

    /// The policy's decision at the current time.
    fn forwarding(&self) -> Forwarding {
        let now = self.reader.started.elapsed();
        let deadline = self
            .reader
            .deadline
            .saturating_duration_since(self.reader.started);
        match &self.arriving {
            Some(arriving) => arriving.forwarding(now, deadline, self.max_bytes as u64),
            None if now < deadline => Forwarding::WaitUntil(deadline),
            None => Forwarding::Abandon,
        }
    }

    /// When the policy is to be asked again even if nothing more has arrived; `None` if it has already decided.
    fn decision_due(&self) -> Option<Instant> {
        match self.forwarding() {
            Forwarding::WaitUntil(due) => Some(self.reader.started + due),
            // After a stall, bytes that arrived before the deadline may be unread.
            _ if self.reader.deadline <= Instant::now() => Some(self.reader.deadline),
            Forwarding::Start | Forwarding::Abandon => None,
        }
    }

    /// How long the body will be, if that is to be reported: when it has changed, and now and then for a body of unknown
    /// length. `None` if nothing is to be reported.
    fn unreported_length(&self) -> Option<BodyLength> {
        let length = self.arriving.as_ref()?.length(self.max_bytes as u64);
        let is_reported = match self.last_report {
            Some((reported, at)) if reported == length => {
                length != BodyLength::ProbablyLong || at.elapsed() < REPORT_INTERVAL
            }
            _ => length == BodyLength::Short,
        };
        (!is_reported).then_some(length)
    }

    fn report_progress(&mut self, length: BodyLength) {
        if (self.reader.report_progress)(length) {
            self.last_report = Some((length, Instant::now()));
        }
    }

    fn into_arriving<B>(self, rest: B) -> BufferedBody<B> {
        let first_bytes_at = self
            .arriving
            .map_or_else(Duration::default, |arriving| arriving.first_bytes_at);
        BufferedBody::Arriving {
            first_part: self.bytes.into(),
            rest,
            first_bytes_at: self.reader.started + first_bytes_at,
        }
    }
}

/// Reads a body until it is complete, until more than `max_bytes` have arrived, or until the policy decides to forward it.
/// A body that ends early before that, whatever its framing, makes the attempt fail, and no client receives its beginning.
///
/// # Errors
///
/// The body ended early, or at the deadline it was neither complete nor long.
pub async fn buffer<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    max_bytes: usize,
    reader: &ResponseReader<'_>,
) -> Result<BufferedBody<B>, BodyError> {
    let mut buffer = BodyBuffer::new(body.size_hint().exact(), max_bytes, reader);
    loop {
        match next_frame(&mut body, &mut buffer).await {
            NextFrame::Frame(Ok(frame)) => buffer.add(frame.data_ref().map_or(&[], |data| data)),
            NextFrame::Frame(Err(_)) => return Err(BodyError::Incomplete(buffer.bytes.len())),
            NextFrame::End => return Ok(BufferedBody::Complete(buffer.bytes.into())),
            NextFrame::DecisionDue => match buffer.forwarding() {
                Forwarding::Start => return Ok(buffer.into_arriving(body)),
                Forwarding::Abandon => return Err(BodyError::DeadlineExceeded),
                Forwarding::WaitUntil(_) => {}
            },
        }
        if buffer.bytes.len() > max_bytes {
            return Ok(buffer.into_arriving(body));
        }
    }
}

/// The end of the wait for the next frame of a body.
enum NextFrame<E> {
    Frame(Result<Frame<Bytes>, E>),
    End,
    /// Nothing has arrived, and the policy is to be asked again.
    DecisionDue,
}

impl<E> From<Option<Result<Frame<Bytes>, E>>> for NextFrame<E> {
    fn from(frame: Option<Result<Frame<Bytes>, E>>) -> NextFrame<E> {
        frame.map_or(NextFrame::End, NextFrame::Frame)
    }
}

/// Waits for the next frame or a decision. Decisions are made only once all that has arrived is read.
async fn next_frame<B: Body<Data = Bytes> + Unpin>(
    body: &mut B,
    buffer: &mut BodyBuffer<'_>,
) -> NextFrame<B::Error> {
    let polled = poll_fn(|cx| Poll::Ready(Pin::new(&mut *body).poll_frame(cx))).await;
    if let Poll::Ready(frame) = polled {
        return frame.into();
    }
    let Some(due) = buffer.decision_due() else {
        return NextFrame::DecisionDue;
    };
    if let Some(length) = buffer.unreported_length() {
        tokio::select! {
            biased;
            frame = body.frame() => return frame.into(),
            () = sleep(HANDOVER_TIME) => buffer.report_progress(length),
        }
    }
    tokio::select! {
        biased;
        frame = body.frame() => frame.into(),
        () = sleep_until_caught_up(due) => NextFrame::DecisionDue,
    }
}

/// Reads and discards the rest of a body that is not passed on to a client; only whether it is complete matters.
///
/// # Errors
///
/// The body ended early.
pub async fn read_to_end<B: Body<Data = Bytes> + Unpin>(mut body: B) -> Result<(), BodyError> {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete(length))?;
        length += frame.data_ref().map_or(0, Bytes::len);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
