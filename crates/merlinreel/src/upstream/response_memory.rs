//! The memory limit of complete responses, which all responses share.

use super::body_buffer::BodyError;
use crate::config::limits::Limits;
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Limits the memory of response bodies, from when they are complete until their clients have received them. The memory of
/// a body that is still arriving is part of its connection's share.
#[derive(Clone, Debug)]
pub struct ResponseMemory {
    /// One permit per byte.
    bytes: Arc<Semaphore>,
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
    /// Creates the memory limit with the size in `limits`.
    pub fn new(limits: &Limits) -> ResponseMemory {
        ResponseMemory {
            bytes: Arc::new(Semaphore::new(limits.upstream.max_buffered_response_bytes)),
        }
    }

    /// Waits until there is memory for a complete body.
    ///
    /// # Errors
    ///
    /// The body's length exceeds what the memory limit can count.
    pub async fn account(&self, bytes: Bytes) -> Result<Bytes, BodyError> {
        let count = u32::try_from(bytes.len()).map_err(|_| BodyError::NoMemory)?;
        let memory = self.bytes.clone().acquire_many_owned(count).await;
        Ok(Bytes::from_owner(AccountedBytes {
            _memory: memory.map_err(|_| BodyError::NoMemory)?,
            bytes,
        }))
    }
}

#[cfg(test)]
mod tests;
