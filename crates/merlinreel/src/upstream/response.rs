//! Receives a server's response: reads its body completely, or streams it if it is too long to be buffered.

use super::response_memory::{BodyError, BufferedBody, ResponseMemory, read_to_end};
use crate::messages::streaming_body::{StreamEnd, StreamingBody};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::time::Duration;
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
    /// A body that is too long to be buffered and is still arriving.
    Streaming {
        /// Delivers the body to the client.
        body: Box<StreamingBody>,
        /// Receives how the body ended.
        end: oneshot::Receiver<StreamEnd>,
    },
}

/// A response whose framing was checked.
pub struct ReceivedResponse {
    /// Status and headers.
    pub head: Parts,
    /// The body; empty if it was too long to be buffered and the status is not 200.
    pub body: ReceivedBody,
    /// Whether the framing marks the end of the body, so that the connection may carry another request; if not, the
    /// body ends with the connection.
    pub is_self_delimited: bool,
}

/// Reads one response until it is complete or its body exceeds the buffer limit. At most `max_bytes` may be announced.
/// A longer body ends incomplete if the server sends nothing for `max_pause`.
///
/// # Errors
///
/// The connection failed, or the response is unusable.
pub async fn receive(
    response: Response<Incoming>,
    memory: &ResponseMemory,
    max_bytes: u64,
    max_pause: Duration,
) -> Result<ReceivedResponse, ResponseError> {
    let (head, body) = response.into_parts();
    check_framing(&head, &body, max_bytes)?;
    let is_self_delimited =
        head.headers.contains_key(TRANSFER_ENCODING) || body.size_hint().exact().is_some();
    let body = match memory.buffer(body).await? {
        BufferedBody::Complete(body) => ReceivedBody::Complete(body),
        BufferedBody::TooLong { first_part, rest } if head.status == StatusCode::OK => {
            let (body, end) = StreamingBody::new(first_part, rest, max_pause);
            ReceivedBody::Streaming {
                body: Box::new(body),
                end,
            }
        }
        // A client receives the server's body only if the status is 200.
        BufferedBody::TooLong { rest, .. } => {
            read_to_end(rest).await?;
            ReceivedBody::Complete(Bytes::new())
        }
    };
    Ok(ReceivedResponse {
        head,
        body,
        is_self_delimited,
    })
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
