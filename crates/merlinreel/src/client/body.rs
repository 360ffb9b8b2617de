//! Request bodies: read to their end, within their deadline and the memory that all bodies share.

use super::connection::ClientConnection;
use super::listener::ClientListener;
use crate::admission::AdmissionPermits;
use crate::config::limits::Limits;
use crate::log;
use crate::net::late_deadline::POLLER_TURN;
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

/// Memory for a body of unknown length is reserved in steps of this many bytes, however small its chunks are.
const RESERVATION_STEP_BYTES: usize = 4096;

/// Why a request body is not accepted. Clients get the text of some of these in the body of their response.
#[derive(Debug, Error)]
pub enum BodyError {
    /// Longer than any body that is accepted.
    #[error("a body of {at_least} bytes or more is longer than {limit}")]
    TooLong {
        /// Bytes that it has at least.
        at_least: u64,
        /// Bytes that it may have.
        limit: usize,
    },
    /// The memory of all bodies is in use.
    #[error("too much in hand")]
    MemoryExhausted,
    /// The request's class comes without a body.
    #[error("a repeatable class comes without a body")]
    NotAllowed,
    /// It did not arrive in time.
    #[error("a request body was incomplete at its deadline")]
    Incomplete,
    /// It is malformed, or its connection broke.
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// How long a request body may take.
pub struct BodyDeadline {
    /// When the complete request is due.
    pub request_due: Instant,
    /// When its client stops waiting for the response.
    pub client_deadline: Instant,
    /// When the limiter began to read it.
    pub started: Instant,
}

impl BodyDeadline {
    /// When the next frame is due after so many bytes. A body that comes at the minimum rate may take longer than others.
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
    /// The response to the request.
    pub fn response(&self) -> Response<Full<Bytes>> {
        let status = match self {
            BodyError::TooLong { .. } => {
                log!("clients: {self}: 413");
                return text_response(StatusCode::PAYLOAD_TOO_LARGE, String::new());
            }
            BodyError::Incomplete => {
                log!("clients: {self}: 408");
                return text_response(StatusCode::REQUEST_TIMEOUT, String::new());
            }
            BodyError::MemoryExhausted => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::NotAllowed | BodyError::Http(_) => StatusCode::BAD_REQUEST,
        };
        text_response(status, format!("{self}\n"))
    }
}

/// A complete request body, and the memory that is reserved for it.
pub struct BufferedBody {
    /// Its bytes.
    pub bytes: Bytes,
    /// Released once nothing of the request is left.
    pub reserved: OwnedSemaphorePermit,
}

/// A body that is being read, and what is known of it so far.
struct BodyReader<'a> {
    body: Incoming,
    limits: &'a Limits,
    permits: &'a AdmissionPermits,
    deadline: BodyDeadline,
    client_connection: &'a ClientConnection,
    // Copied: each frame as it is would keep a buffer of the connection's alive.
    bytes: Vec<u8>,
    reserved: OwnedSemaphorePermit,
    /// When the next frame is due.
    due: Instant,
    /// It was due, and the poller has been asked once more.
    is_overdue: bool,
}

impl BodyReader<'_> {
    /// The next frame, `None` behind the last one. `timer` is reset only where the body is waited for, so that bytes at hand
    /// cost no timer however they are cut.
    fn poll_frame(
        &mut self,
        cx: &mut Context,
        mut timer: Pin<&mut Sleep>,
    ) -> Poll<Result<Option<Frame<Bytes>>, BodyError>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
            self.client_connection.record_body_progress();
            return Poll::Ready(frame.transpose().map_err(BodyError::Http));
        }
        // What has arrived is read first, however late the limiter is; the HTTP library polls again when it has done so.
        if !self.client_connection.awaits_input() {
            return Poll::Pending;
        }
        self.update_due(timer.as_mut());
        ready!(timer.as_mut().poll(cx));
        if !self.is_overdue {
            self.is_overdue = true;
            timer.as_mut().reset((Instant::now() + POLLER_TURN).into());
            ready!(timer.poll(cx));
        }
        Poll::Ready(Err(BodyError::Incomplete))
    }

    /// A body that comes fast enough has longer the more of it is there.
    fn update_due(&mut self, timer: Pin<&mut Sleep>) {
        let due = self.deadline.next_frame_due(self.bytes.len(), self.limits);
        if due != self.due {
            self.due = due;
            self.is_overdue = false;
            timer.reset(due.into());
            lock(&self.client_connection.times).body_due = Some(due);
        }
    }

    /// Keeps the data of a frame.
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

    /// Reserves memory for so many bytes in all, and up to a step more where there is enough.
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
    /// Reads a body to its end. Memory for a chunked one, whose length is not announced, is reserved as it comes;
    /// trailers are dropped. The deadline ends a body that its client has not sent in time, never one whose bytes
    /// have arrived and were not read yet.
    ///
    /// # Errors
    ///
    /// The body is too long, late, malformed or not allowed, or the memory of all bodies is in use.
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
