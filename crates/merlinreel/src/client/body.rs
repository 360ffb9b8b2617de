//! Request bodies: read to their end, within their deadline and the memory that all bodies share.

use super::connection::ClientConnection;
use super::listener::ClientListener;
use crate::config::limits::Limits;
use crate::log;
use crate::net::text_response::text_response;
use crate::sync::lock;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::{Response, StatusCode};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout_at;

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

impl ClientListener {
    /// Reads a body to its end. Memory for a chunked one, whose length is not announced, is reserved as it comes;
    /// trailers are dropped.
    ///
    /// # Errors
    ///
    /// The body is too long, late, malformed or not allowed, or the memory of all bodies is in use.
    pub(super) async fn read_body(
        &self,
        mut body: Incoming,
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
        let mut reserved = self
            .permits
            .reserve_body(announced as usize)
            .ok_or(BodyError::MemoryExhausted)?;
        // Copied: each frame as it is would keep a buffer of the connection's alive.
        let mut bytes = Vec::with_capacity(announced as usize);
        loop {
            let due = deadline.next_frame_due(bytes.len(), &self.limits);
            lock(&client_connection.times).body_due = Some(due);
            let Some(frame) = timeout_at(due.into(), body.frame())
                .await
                .map_err(|_| BodyError::Incomplete)?
            else {
                break;
            };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if !allowed {
                return Err(BodyError::NotAllowed);
            }
            let length = bytes.len() + data.len();
            if length > limit {
                return Err(BodyError::TooLong {
                    at_least: length as u64,
                    limit,
                });
            }
            let missing = length.saturating_sub(reserved.num_permits());
            if !self.permits.extend_body(&mut reserved, missing) {
                return Err(BodyError::MemoryExhausted);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(BufferedBody {
            bytes: Bytes::from(bytes.into_boxed_slice()),
            reserved,
        })
    }
}
