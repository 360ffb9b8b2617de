//! A server's answer as it is read from its connection: whole, or long and still coming.

use crate::upstream::response_memory::{AnswerMemory, BodyError, Received, read_to_end};
use crate::upstream::streaming_body::StreamingBody;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use thiserror::Error;
use tokio::sync::oneshot;

/// Why what a server sent is no answer. The attempt may have run all the same.
#[derive(Debug, Error)]
pub enum AnswerError {
    #[error("{0}; the connection to the server ended")]
    Connection(#[from] hyper::Error),
    #[error("{0}")]
    Body(#[from] BodyError),
    #[error("status {0} announces another answer or protocol and is none itself")]
    Informational(StatusCode),
    #[error("both Content-Length and Transfer-Encoding are told (RFC 9112, section 6.3)")]
    TwoFramings,
    #[error("{told} bytes are told, {most} are the most that an answer may have")]
    TooLong { told: u64, most: u64 },
}

/// An answer that may go to the client.
pub struct Answer {
    pub head: Parts,
    /// The whole body, or nothing where it flows.
    pub body: Bytes,
    /// The rest of a long one, and where its end is told.
    pub flow: Option<(StreamingBody, oneshot::Receiver<bool>)>,
    /// Its end is told by its framing, not by the connection's, which may carry another request.
    pub framed: bool,
}

/// Reads one answer until it is whole or longer than is held; at most `most` bytes may be told.
pub async fn receive(
    response: Response<Incoming>,
    memory: &AnswerMemory,
    most: u64,
) -> Result<Answer, AnswerError> {
    let (head, body) = response.into_parts();
    check(&head, &body, most)?;
    let framed = head.headers.contains_key(TRANSFER_ENCODING) || body.size_hint().exact().is_some();
    let (body, flow) = match memory.receive(body).await? {
        Received::Whole(body) => (body, None),
        Received::Long { beginning, rest } if head.status == StatusCode::OK => {
            (Bytes::new(), Some(StreamingBody::new(beginning, rest)))
        }
        // Of any other status the client gets none of the server's body.
        Received::Long { rest, .. } => {
            read_to_end(rest).await?;
            (Bytes::new(), None)
        }
    };
    Ok(Answer {
        head,
        body,
        flow,
        framed,
    })
}

/// Guards clients against an answer that was not made for their request.
fn check(head: &Parts, body: &Incoming, most: u64) -> Result<(), AnswerError> {
    let told = body.size_hint().lower();
    if head.status.is_informational() {
        return Err(AnswerError::Informational(head.status));
    }
    if head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH) {
        return Err(AnswerError::TwoFramings);
    }
    if told > most {
        return Err(AnswerError::TooLong { told, most });
    }
    Ok(())
}
