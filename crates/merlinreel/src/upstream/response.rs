//! A server's response as it is read from its connection: complete, or long and still arriving.

use super::response_memory::{BodyError, BufferedBody, ResponseMemory, read_to_end};
use crate::messages::streaming_body::{StreamEnd, StreamingBody};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use thiserror::Error;
use tokio::sync::oneshot;

/// Why what a server sent is not a usable response. The attempt may have run all the same.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The connection broke.
    #[error("{0}; the connection to the server ended")]
    Connection(#[from] hyper::Error),
    /// The body is not usable.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// A 1xx status that the HTTP library passes on.
    #[error("status {0} announces another response or protocol and is none itself")]
    Informational(StatusCode),
    /// Clients and servers could read different messages from it.
    #[error("both Content-Length and Transfer-Encoding are present (RFC 9112, section 6.3)")]
    AmbiguousFraming,
    /// The announced length exceeds the maximum.
    #[error("{announced} bytes are announced, {max} are the maximum of a response")]
    TooLong {
        /// Bytes.
        announced: u64,
        /// Bytes.
        max: u64,
    },
}

/// The body of a response.
pub enum ReceivedBody {
    /// All of it.
    Complete(Bytes),
    /// A long one that is still arriving.
    Streaming {
        /// Takes it to the client.
        body: Box<StreamingBody>,
        /// Receives how it ended.
        end: oneshot::Receiver<StreamEnd>,
    },
}

/// A response that may go to the client.
pub struct ReceivedResponse {
    /// Status and headers.
    pub head: Parts,
    /// The body; empty where it was long and no client gets it.
    pub body: ReceivedBody,
    /// Its framing delimits it, so that the connection may carry another request.
    pub is_self_delimited: bool,
}

/// Reads one response until it is complete or longer than is buffered. At most `max_bytes` may be announced.
///
/// # Errors
///
/// The connection broke, or the response is not usable.
pub async fn receive(
    response: Response<Incoming>,
    memory: &ResponseMemory,
    max_bytes: u64,
) -> Result<ReceivedResponse, ResponseError> {
    let (head, body) = response.into_parts();
    check_framing(&head, &body, max_bytes)?;
    let is_self_delimited =
        head.headers.contains_key(TRANSFER_ENCODING) || body.size_hint().exact().is_some();
    let body = match memory.buffer(body).await? {
        BufferedBody::Complete(body) => ReceivedBody::Complete(body),
        BufferedBody::TooLong { first_part, rest } if head.status == StatusCode::OK => {
            let (body, end) = StreamingBody::new(first_part, rest);
            ReceivedBody::Streaming {
                body: Box::new(body),
                end,
            }
        }
        // Of any other status the client gets none of the server's body.
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

/// A response that was not made for this request, or whose end is ambiguous, must not reach the client.
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
