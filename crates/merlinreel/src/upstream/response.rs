//! Receives a server's response: reads its body completely, or streams it if it is long.

use super::body_buffer::{BodyError, BufferedBody, ResponseReader, buffer, read_to_end};
use super::response_memory::ResponseMemory;
use crate::messages::streaming_body::{StreamEnd, StreamingBody};
use crate::net::late_deadline::before_deadline;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::oneshot;

/// Why a server's response is unusable. The server may have run the request nevertheless.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// The body was not received completely, or is longer than the memory limit can count.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// A 1xx status that the HTTP library returned as a response, such as 101 (Switching Protocols).
    #[error("expected a final response, found informational status {0}")]
    Informational(StatusCode),
    /// `Content-Length` and `Transfer-Encoding` are both present, so recipients may disagree on where the response
    /// ends.
    #[error(
        "expected either Content-Length or Transfer-Encoding, found both (RFC 9112, section 6.3)"
    )]
    AmbiguousFraming,
    /// The announced length exceeds the maximum.
    #[error("response announces a body of {announced} bytes, the maximum is {max}")]
    TooLong {
        /// Announced length of the body, in bytes.
        announced: u64,
        /// Maximum length of a body, in bytes.
        max: u64,
    },
}

/// The body of a response.
pub enum ReceivedBody {
    /// The complete body.
    Complete(Bytes),
    /// A long body that is still arriving.
    Streaming {
        /// Delivers the body to the client.
        body: Box<StreamingBody>,
        /// Receives how the body ended.
        end: oneshot::Receiver<StreamEnd>,
        /// When the first bytes of the body arrived.
        first_bytes_at: Instant,
    },
}

/// The limits within which a response is received.
pub struct ResponseLimits {
    /// The memory of complete responses.
    pub memory: ResponseMemory,
    /// A body of up to this many bytes is forwarded once it is complete.
    pub max_buffered_bytes: usize,
    /// Maximum length of a body that may be announced, in bytes.
    pub max_announced_bytes: u64,
    /// A streaming response ends incomplete if its server sends nothing for longer than this.
    pub max_pause: Duration,
}

/// A response whose framing was checked.
pub struct ReceivedResponse {
    /// Status and headers.
    pub head: Parts,
    /// The body; empty if the status is not 200.
    pub body: ReceivedBody,
    /// Whether the framing marks the end of the body, so that the connection may carry another request; if not, the
    /// body ends with the connection.
    pub is_self_delimited: bool,
}

/// Reads one response until it is complete, or until it is to be forwarded before that.
///
/// # Errors
///
/// The connection failed, the response is unusable, or it was neither complete nor long at the deadline.
pub async fn receive(
    response: Response<Incoming>,
    limits: &ResponseLimits,
    reader: &ResponseReader<'_>,
) -> Result<ReceivedResponse, ResponseError> {
    let (head, body) = response.into_parts();
    check_framing(&head, &body, limits.max_announced_bytes)?;
    let is_self_delimited =
        head.headers.contains_key(TRANSFER_ENCODING) || body.size_hint().exact().is_some();
    let body = if head.status == StatusCode::OK {
        receive_body(body, limits, reader).await?
    } else {
        // A client receives the server's body only if the status is 200.
        within(reader.deadline, read_to_end(body)).await??;
        ReceivedBody::Complete(Bytes::new())
    };
    Ok(ReceivedResponse {
        head,
        body,
        is_self_delimited,
    })
}

async fn receive_body(
    body: Incoming,
    limits: &ResponseLimits,
    reader: &ResponseReader<'_>,
) -> Result<ReceivedBody, ResponseError> {
    match buffer(body, limits.max_buffered_bytes, reader).await? {
        BufferedBody::Complete(bytes) => {
            let accounted = within(reader.deadline, limits.memory.account(bytes)).await??;
            Ok(ReceivedBody::Complete(accounted))
        }
        BufferedBody::Arriving {
            first_part,
            rest,
            first_bytes_at,
        } => {
            let (body, end) = StreamingBody::new(first_part, rest, limits.max_pause);
            Ok(ReceivedBody::Streaming {
                body: Box::new(body),
                end,
                first_bytes_at,
            })
        }
    }
}

/// Waits for `future` until the attempt's deadline.
///
/// # Errors
///
/// The deadline has passed.
pub async fn within<F: Future>(deadline: Instant, future: F) -> Result<F::Output, BodyError> {
    before_deadline(deadline, future)
        .await
        .ok_or(BodyError::DeadlineExceeded)
}

/// Rejects responses that must not reach the client: one that is not the final response to this request, has an
/// ambiguous end or announces too long a body.
fn check_framing(head: &Parts, body: &Incoming, max_bytes: u64) -> Result<(), ResponseError> {
    let announced = body.size_hint().lower();
    if head.status.is_informational() {
        return Err(ResponseError::Informational(head.status));
    }
    if head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH) {
        return Err(ResponseError::AmbiguousFraming);
    }
    if announced > max_bytes {
        return Err(ResponseError::TooLong {
            announced,
            max: max_bytes,
        });
    }
    Ok(())
}
