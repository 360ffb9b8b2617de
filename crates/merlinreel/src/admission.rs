//! Resources that a request holds from its admission until it is dropped: its id and the memory for its body.

use crate::config::limits::Limits;
use crate::sync::lock;
use hyper::header::HeaderValue;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The ids in use and the memory for bodies, shared by all requests of one limiter.
#[derive(Clone, Debug)]
pub struct AdmissionPermits {
    ids: Arc<Mutex<HashSet<HeaderValue>>>,
    body_bytes: Arc<Semaphore>,
}

/// The id and the body memory of one admitted request, released on drop.
#[derive(Debug)]
pub struct AdmissionPermit {
    permits: AdmissionPermits,
    id: HeaderValue,
    _body: Option<OwnedSemaphorePermit>,
}

impl AdmissionPermits {
    /// Creates permits with no id in use and all body memory free.
    pub fn new(limits: &Limits) -> AdmissionPermits {
        AdmissionPermits {
            ids: Arc::default(),
            body_bytes: Arc::new(Semaphore::new(limits.client.max_buffered_body_bytes)),
        }
    }

    /// Reserves `bytes` of the body memory; `None` if fewer are free.
    pub fn reserve_body(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        self.body_bytes
            .clone()
            .try_acquire_many_owned(u32::try_from(bytes).ok()?)
            .ok()
    }

    /// Extends a reservation by `bytes`. Returns false, and changes nothing, if fewer are free.
    pub fn extend_body(&self, reserved: &mut OwnedSemaphorePermit, bytes: usize) -> bool {
        self.reserve_body(bytes)
            .map(|more| reserved.merge(more))
            .is_some()
    }

    /// Admits a request under its id; `None` if a request with the same id is in flight, as servers would take the second
    /// one for a copy of the first.
    pub fn admit(
        &self,
        id: &HeaderValue,
        body: Option<OwnedSemaphorePermit>,
    ) -> Option<AdmissionPermit> {
        let is_new = lock(&self.ids).insert(id.clone());
        is_new.then(|| AdmissionPermit {
            permits: self.clone(),
            id: id.clone(),
            _body: body,
        })
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        lock(&self.permits.ids).remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
