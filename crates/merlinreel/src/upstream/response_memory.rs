//! Buffers the bodies of servers' responses, within a memory limit that all responses share.

use crate::config::limits::Limits;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Limits the memory of response bodies, from when they are complete until their clients have received them.
#[derive(Clone, Debug)]
pub struct ResponseMemory {
    /// One permit per byte.
    bytes: Arc<Semaphore>,
    /// A body of up to this many bytes is passed on only once it is complete. The memory of a body that is still
    /// arriving is part of its connection's share.
    max_buffered_bytes: usize,
}

/// Why a body is unusable.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// Reading failed after this many bytes of the body: the connection ended, or the framing is malformed.
    #[error("response body incomplete or malformed after {0} bytes")]
    Incomplete(usize),
    /// The body's length exceeds what the memory limit can count (`u32`).
    #[error("response body exceeds 4294967295 bytes, the most that the memory limit can count")]
    NoMemory,
}

/// The result of buffering a body.
#[derive(Debug, PartialEq)]
pub enum BufferedBody<B> {
    /// The complete body.
    Complete(Bytes),
    /// More bytes have arrived than the buffer limit allows.
    TooLong {
        /// The bytes read so far.
        first_part: Bytes,
        /// The body, from which the remaining bytes are read.
        rest: B,
    },
}

/// The bytes of a complete body; dropping them, once the client has received them, releases their share of the memory.
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
    /// Creates the memory limit with the sizes in `limits`.
    pub fn new(limits: &Limits) -> ResponseMemory {
        ResponseMemory {
            bytes: Arc::new(Semaphore::new(limits.upstream.max_buffered_response_bytes)),
            max_buffered_bytes: limits.max_body_bytes,
        }
    }

    /// Reads a body until it is complete, or until more bytes have arrived than the buffer limit allows. A body that
    /// ends early before that, whatever its framing, makes the attempt fail, and no client receives its beginning. A
    /// complete body is returned once there is memory for it.
    ///
    /// # Errors
    ///
    /// The body ended early, or its length exceeds what the memory limit can count.
    pub async fn buffer<B: Body<Data = Bytes> + Unpin>(
        &self,
        mut body: B,
    ) -> Result<BufferedBody<B>, BodyError> {
        let announced =
            usize::try_from(body.size_hint().lower()).unwrap_or(self.max_buffered_bytes);
        let mut bytes = Vec::with_capacity(announced.min(self.max_buffered_bytes));
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Incomplete(bytes.len()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            bytes.extend_from_slice(&data);
            if bytes.len() > self.max_buffered_bytes {
                return Ok(BufferedBody::TooLong {
                    first_part: bytes.into(),
                    rest: body,
                });
            }
        }
        self.account(bytes).await.map(BufferedBody::Complete)
    }

    /// Waits until there is memory for a complete body.
    async fn account(&self, bytes: Vec<u8>) -> Result<Bytes, BodyError> {
        let count = u32::try_from(bytes.len()).map_err(|_| BodyError::NoMemory)?;
        let memory = self.bytes.clone().acquire_many_owned(count).await;
        Ok(Bytes::from_owner(AccountedBytes {
            _memory: memory.map_err(|_| BodyError::NoMemory)?,
            bytes: bytes.into(),
        }))
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
