//! Reads request bodies completely, within their deadline and the memory that all bodies share.

use super::connection::ClientConnection;
use super::listener::ClientListener;
use crate::admission::AdmissionPermits;
use crate::config::limits::Limits;
use crate::log;
use crate::net::late_deadline::EXTRA_POLL_TIME;
use crate::net::text_response::text_response;
use crate::sync::lock;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming};
use hyper::{Response, StatusCode};
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Sleep, sleep_until};

/// Memory for a body of unknown length is reserved in steps of this size, so that small chunks need no reservation each.
const RESERVATION_STEP_BYTES: usize = 4096;

/// Why a request body is not accepted. Where [`BodyError::response`] has a body, it is the error's text.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body exceeds `max_body_bytes`. The text is only logged: the 413 response has no body.
    #[error("request body has at least {at_least} bytes, at most {limit} are accepted")]
    TooLong {
        /// The announced length, or the bytes received so far.
        at_least: u64,
        /// The longest accepted body, in bytes.
        limit: usize,
    },
    /// Too little of the memory that all bodies share is free.
    #[error("too much in hand")]
    MemoryExhausted,
    /// Requests of this class must not have a body.
    #[error("a repeatable class comes without a body")]
    NotAllowed,
    /// The body did not arrive in time. The text is only logged: the 408 response has no body.
    #[error("request body incomplete at its deadline")]
    Incomplete,
    /// The body is malformed, or its connection broke.
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// The times that bound how long reading a request body may take.
pub struct BodyDeadline {
    /// When the complete request is due, unless its body arrives at the minimum rate.
    pub request_due: Instant,
    /// When the client stops waiting for the response. Bounds a body at any rate.
    pub client_deadline: Instant,
    /// When the limiter began to read the body.
    pub started: Instant,
}

impl BodyDeadline {
    /// When the next frame is due after `bytes` bytes were received. A body that arrives at the minimum rate may exceed
    /// `request_due`.
    fn next_frame_due(&self, bytes: usize, limits: &Limits) -> Instant {
        let at_minimum_rate = Duration::from_secs_f64(
            bytes as f64 / f64::from(limits.client.min_body_bytes_per_second),
        );
        self.request_due
            .max(self.started + at_minimum_rate + limits.client.max_body_pause)
            .min(self.client_deadline)
    }
}

impl BodyError {
    /// The response to a request whose body is not accepted.
    pub fn response(&self) -> Response<Full<Bytes>> {
        let status = match self {
            BodyError::TooLong { .. } => {
                log!("clients: request rejected with 413: {self}");
                return text_response(StatusCode::PAYLOAD_TOO_LARGE, String::new());
            }
            BodyError::Incomplete => {
                log!("clients: request rejected with 408: {self}");
                return text_response(StatusCode::REQUEST_TIMEOUT, String::new());
            }
            BodyError::MemoryExhausted => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::NotAllowed | BodyError::Http(_) => StatusCode::BAD_REQUEST,
        };
        text_response(status, format!("{self}\n"))
    }
}

/// A complete request body and the memory reserved for it.
pub struct BufferedBody {
    /// The body's data without its framing, copied out of the connection's buffers.
    pub bytes: Bytes,
    /// The reservation in the memory that all bodies share. Released once nothing of the request is left.
    pub reserved: OwnedSemaphorePermit,
}

/// Reads a request body and keeps what was received so far.
struct BodyReader<'a> {
    body: Incoming,
    limits: &'a Limits,
    permits: &'a AdmissionPermits,
    deadline: BodyDeadline,
    client_connection: &'a ClientConnection,
    /// The data received so far, copied out of its frames: keeping these would keep the connection's read buffers alive.
    bytes: Vec<u8>,
    reserved: OwnedSemaphorePermit,
    /// When the next frame is due.
    due: Instant,
    /// The due time has passed, and the poller is queried once more.
    is_overdue: bool,
}

impl BodyReader<'_> {
    /// Polls for the next frame, `None` after the last one. `timer` is reset only if the client has to send more, so that
    /// frames that were already received cost no timer.
    fn poll_frame(
        &mut self,
        cx: &mut Context,
        mut timer: Pin<&mut Sleep>,
    ) -> Poll<Result<Option<Frame<Bytes>>, BodyError>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
            self.client_connection.record_body_progress();
            return Poll::Ready(frame.transpose().map_err(BodyError::Http));
        }
        // Data that has arrived is read before the deadline counts, however late the limiter is. The HTTP library polls
        // again once it has read it.
        if !self.client_connection.awaits_input() {
            return Poll::Pending;
        }
        self.update_due(timer.as_mut());
        ready!(timer.as_mut().poll(cx));
        if !self.is_overdue {
            self.is_overdue = true;
            timer
                .as_mut()
                .reset((Instant::now() + EXTRA_POLL_TIME).into());
            ready!(timer.poll(cx));
        }
        Poll::Ready(Err(BodyError::Incomplete))
    }

    /// Recomputes the due time, which moves on as a body arrives fast enough, and resets the timer if it changed.
    fn update_due(&mut self, timer: Pin<&mut Sleep>) {
        let due = self.deadline.next_frame_due(self.bytes.len(), self.limits);
        if due != self.due {
            self.due = due;
            self.is_overdue = false;
            timer.reset(due.into());
            lock(&self.client_connection.times).body_due = Some(due);
        }
    }

    /// Appends a frame's data, reserving memory as needed.
    fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let limit = self.limits.max_body_bytes;
        let length = self.bytes.len() + data.len();
        if length > limit {
            return Err(BodyError::TooLong {
                at_least: length as u64,
                limit,
            });
        }
        if length > self.reserved.num_permits() && !self.reserve(length, limit) {
            return Err(BodyError::MemoryExhausted);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Extends the reservation to at least `length` bytes in all. It grows by a whole step, up to `limit`, if that much
    /// memory is free. Returns whether it was extended.
    fn reserve(&mut self, length: usize, limit: usize) -> bool {
        let reserved = self.reserved.num_permits();
        let with_step = length.max(reserved + RESERVATION_STEP_BYTES).min(limit);
        [with_step, length].into_iter().any(|wanted| {
            self.permits
                .extend_body(&mut self.reserved, wanted - reserved)
        })
    }
}

impl ClientListener {
    /// Reads a body completely. Memory for a chunked body, whose length is not announced, is reserved as it arrives;
    /// trailers are dropped. The deadline applies only while the client has to send more, never to bytes that have
    /// arrived and are not yet read.
    ///
    /// # Errors
    ///
    /// The body is too long, late, malformed or not allowed, or too little of the memory for bodies is free.
    pub(super) async fn read_body(
        &self,
        body: Incoming,
        allowed: bool,
        deadline: BodyDeadline,
        client_connection: &ClientConnection,
    ) -> Result<BufferedBody, BodyError> {
        let limit = self.limits.max_body_bytes;
        let announced = body.size_hint().lower();
        if announced > limit as u64 {
            return Err(BodyError::TooLong {
                at_least: announced,
                limit,
            });
        }
        let reserved = self
            .permits
            .reserve_body(announced as usize)
            .ok_or(BodyError::MemoryExhausted)?;
        let due = deadline.next_frame_due(0, &self.limits);
        lock(&client_connection.times).body_due = Some(due);
        let mut timer = pin!(sleep_until(due.into()));
        let mut reader = BodyReader {
            body,
            limits: &self.limits,
            permits: &self.permits,
            deadline,
            client_connection,
            bytes: Vec::with_capacity(announced as usize),
            reserved,
            due,
            is_overdue: false,
        };
        while let Some(frame) = poll_fn(|cx| reader.poll_frame(cx, timer.as_mut())).await? {
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if !allowed {
                return Err(BodyError::NotAllowed);
            }
            reader.push(&data)?;
        }
        Ok(BufferedBody {
            bytes: Bytes::from(reader.bytes.into_boxed_slice()),
            reserved: reader.reserved,
        })
    }
}
