//! Bodies of servers' responses: read until they are complete, or longer than a body that is buffered, within the memory
//! that all responses share.

use crate::config::limits::Limits;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The memory that responses take from the moment they are complete until their clients have them.
#[derive(Clone, Debug)]
pub struct ResponseMemory {
    /// A permit for each byte.
    bytes: Arc<Semaphore>,
    /// A body of no more bytes than this is passed on only once it is complete. The memory for one that is arriving is
    /// part of what a connection takes.
    max_buffered: usize,
}

/// Why a body is not usable.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The connection ended before the body did, after so many bytes of it.
    #[error("the response broke off after {0} bytes of its body")]
    BrokeOff(usize),
    /// It is larger than all memory for responses.
    #[error("no memory is left for responses; raise limits.memory_mb")]
    NoMemory,
}

/// A body as far as it was read.
#[derive(Debug, PartialEq)]
pub enum BufferedBody<B> {
    /// All of it.
    Complete(Bytes),
    /// More has arrived than is buffered.
    TooLong {
        /// What was read.
        first_part: Bytes,
        /// What is still to be read.
        rest: B,
    },
}

/// The bytes of a complete body; their memory is given back once the client has them.
struct AccountedBytes {
    bytes: Bytes,
    _memory: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for AccountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ResponseMemory {
    /// Memory of the size that the limits give.
    pub fn new(limits: &Limits) -> ResponseMemory {
        ResponseMemory {
            bytes: Arc::new(Semaphore::new(limits.upstream.max_buffered_response_bytes)),
            max_buffered: limits.max_body_bytes,
        }
    }

    /// Reads a body until it is complete, or until more of it has arrived than is buffered. Whatever its framing, a body
    /// that breaks off before that is a failed attempt and no client sees its beginning. A complete one waits until there
    /// is memory for it.
    ///
    /// # Errors
    ///
    /// The body broke off, or is larger than all memory for responses.
    pub async fn buffer<B: Body<Data = Bytes> + Unpin>(
        &self,
        mut body: B,
    ) -> Result<BufferedBody<B>, BodyError> {
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(self.max_buffered);
        let mut bytes = Vec::with_capacity(announced.min(self.max_buffered));
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::BrokeOff(bytes.len()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            bytes.extend_from_slice(&data);
            if bytes.len() > self.max_buffered {
                return Ok(BufferedBody::TooLong {
                    first_part: bytes.into(),
                    rest: body,
                });
            }
        }
        self.account(bytes).await.map(BufferedBody::Complete)
    }

    async fn account(&self, bytes: Vec<u8>) -> Result<Bytes, BodyError> {
        let count = u32::try_from(bytes.len()).map_err(|_| BodyError::NoMemory)?;
        let memory = self.bytes.clone().acquire_many_owned(count).await;
        Ok(Bytes::from_owner(AccountedBytes {
            _memory: memory.map_err(|_| BodyError::NoMemory)?,
            bytes: bytes.into(),
        }))
    }
}

/// Reads the rest of a body that no client gets; only its end matters.
///
/// # Errors
///
/// The body broke off.
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
