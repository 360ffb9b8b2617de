//! What a job holds from the moment it is taken until nothing of it is left: its id and its body's bytes.

use crate::config::limits::Limits;
use hyper::header::HeaderValue;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// All that is claimed at one limiter.
#[derive(Clone, Debug)]
pub struct AdmissionPermits {
    ids: Arc<Mutex<HashSet<HeaderValue>>>,
    bodies: Arc<Semaphore>,
}

/// Given back with its end.
#[derive(Debug)]
pub struct AdmissionPermit {
    of: AdmissionPermits,
    id: HeaderValue,
    _body: Option<OwnedSemaphorePermit>,
}

impl AdmissionPermits {
    pub fn new(limits: &Limits) -> AdmissionPermits {
        AdmissionPermits {
            ids: Arc::default(),
            bodies: Arc::new(Semaphore::new(limits.client.max_buffered_body_bytes)),
        }
    }

    /// A place for that many bytes, if all bodies in hand leave one.
    pub fn body(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        self.bodies
            .clone()
            .try_acquire_many_owned(u32::try_from(bytes).ok()?)
            .ok()
    }

    /// Makes a place of this limiter larger by that many bytes, if all bodies in hand leave so many.
    pub fn grow(&self, place: &mut OwnedSemaphorePermit, bytes: usize) -> bool {
        self.body(bytes).map(|more| place.merge(more)).is_some()
    }

    /// Guards a job that is open against another under its id, which servers would take for a second copy of it.
    pub fn open(
        &self,
        id: &HeaderValue,
        body: Option<OwnedSemaphorePermit>,
    ) -> Option<AdmissionPermit> {
        let fresh = self
            .ids
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id.clone());
        fresh.then(|| AdmissionPermit {
            of: self.clone(),
            id: id.clone(),
            _body: body,
        })
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.of
            .ids
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
