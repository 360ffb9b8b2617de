//! Bodies of servers' answers: read until they are whole, or longer than a body that is held, within the memory
//! that all answers share.

use crate::config::limits::Limits;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The memory that answers take from the moment they are whole until their clients have them.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    bytes: Arc<Semaphore>,
    /// A body of no more than this is passed on only once it is whole. While it comes it has its place with its
    /// connection.
    whole: usize,
}

/// Why a body is no answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    #[error("the answer broke off after {0} bytes of its body")]
    BrokeOff(usize),
    #[error("no memory is left for answers; raise limits.memory_mb")]
    NoMemory,
}

/// A body as far as it was read.
#[derive(Debug, PartialEq)]
pub enum Received<B> {
    Whole(Bytes),
    /// More than the bound has come: what was read, and the rest of it.
    Long {
        beginning: Bytes,
        rest: B,
    },
}

/// The bytes of a whole answer; their memory is given back once the client has them.
struct Claimed {
    bytes: Bytes,
    _memory: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for Claimed {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AnswerMemory {
    pub fn new(limits: &Limits) -> AnswerMemory {
        AnswerMemory {
            bytes: Arc::new(Semaphore::new(limits.upstream.max_buffered_response_bytes)),
            whole: limits.max_body_bytes,
        }
    }

    /// Reads a body until it is whole, or until more of it has come than is held. Guards clients against the beginning
    /// of an answer whose server breaks off: before that bound it is a failed attempt, whatever its framing. A whole
    /// one waits until there is memory for it.
    pub async fn receive<B: Body<Data = Bytes> + Unpin>(
        &self,
        mut body: B,
    ) -> Result<Received<B>, BodyError> {
        let told = usize::try_from(body.size_hint().lower()).unwrap_or(self.whole);
        let mut bytes = Vec::with_capacity(told.min(self.whole));
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::BrokeOff(bytes.len()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            bytes.extend_from_slice(&data);
            if bytes.len() > self.whole {
                return Ok(Received::Long {
                    beginning: bytes.into(),
                    rest: body,
                });
            }
        }
        self.permit(bytes).await.map(Received::Whole)
    }

    async fn permit(&self, bytes: Vec<u8>) -> Result<Bytes, BodyError> {
        let count = u32::try_from(bytes.len()).map_err(|_| BodyError::NoMemory)?;
        let claimed = self.bytes.clone().acquire_many_owned(count).await;
        let _memory = claimed.map_err(|_| BodyError::NoMemory)?;
        Ok(Bytes::from_owner(Claimed {
            bytes: bytes.into(),
            _memory,
        }))
    }
}

/// Reads the rest of a body that no client gets; only its end matters.
pub async fn read_to_end<B: Body<Data = Bytes> + Unpin>(mut body: B) -> Result<(), BodyError> {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::BrokeOff(length))?;
        length += frame.data_ref().map_or(0, Bytes::len);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
