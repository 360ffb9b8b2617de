//! Resources that a request holds from its admission until it is dropped: its id and the memory for its body. The id of a
//! request that may have run is refused for longer.

mod recent_ids;
mod shared_ids;

use crate::config::limits::Limits;
use crate::log;
use crate::sync::lock;
use hyper::header::HeaderValue;
use recent_ids::RecentIds;
pub use shared_ids::{SharedIds, SharedIdsError};
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The ids in use and the memory for bodies, shared by all requests of one limiter.
#[derive(Clone, Debug)]
pub struct AdmissionPermits {
    ids: Arc<Mutex<RequestIds>>,
    body_bytes: Arc<Semaphore>,
}

/// The ids under which no request is admitted.
#[derive(Debug)]
struct RequestIds {
    in_flight: HashSet<HeaderValue>,
    /// Ids of requests that have ended and may have run.
    may_have_run: RecentIds,
    /// The ids that the other process of an upgrade has admitted; `None` if there are no upgrades.
    shared: Option<SharedIds>,
}

impl RequestIds {
    fn new(max_recent_ids: usize) -> RequestIds {
        RequestIds {
            in_flight: HashSet::new(),
            may_have_run: RecentIds::new(max_recent_ids),
            shared: None,
        }
    }

    /// Adds an id; false if it is in flight or may have run, here or at the other process of an upgrade.
    fn add(&mut self, id: &HeaderValue, refusal: Option<Duration>) -> bool {
        if self.may_have_run.contains(id, Instant::now()) || !self.in_flight.insert(id.clone()) {
            return false;
        }
        let is_first = refusal.is_none_or(|refusal| self.claim(id, refusal));
        if !is_first {
            self.in_flight.remove(id);
        }
        is_first
    }

    /// Whether no other process has admitted the id. True if that can't be found out.
    fn claim(&mut self, id: &HeaderValue, refusal: Duration) -> bool {
        let Some(shared) = &mut self.shared else {
            return true;
        };
        shared
            .claim(id.as_bytes(), refusal)
            .unwrap_or_else(|error| {
                log!("clients: an id is not shared with the other process of an upgrade: {error}");
                true
            })
    }

    /// Removes an id that is in flight. If its request has not run, the id is free; else it is refused for `refusal`.
    fn remove(&mut self, id: &HeaderValue, refusal: Option<Duration>, may_have_run: bool) {
        self.in_flight.remove(id);
        let Some(refusal) = refusal else {
            return;
        };
        if !may_have_run {
            self.release(id);
            return;
        }
        let now = Instant::now();
        if self.may_have_run.insert(id, now, now + refusal) {
            log!(
                "clients: too many ids of requests that may have run are remembered; the oldest one is forgotten before its \
                 time, and a request that is sent again under it would run twice; raise limits.memory_mb"
            );
        }
    }

    fn release(&mut self, id: &HeaderValue) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        if let Err(error) = shared.release(id.as_bytes()) {
            log!("clients: an id stays refused at the other process of an upgrade: {error}");
        }
    }
}

/// The id and the body memory of one admitted request, released on drop.
#[derive(Debug)]
pub struct AdmissionPermit {
    permits: AdmissionPermits,
    id: HeaderValue,
    /// For how long the id is refused afterwards if the request may have run; `None` if it may run again.
    id_refusal: Option<Duration>,
    may_have_run: AtomicBool,
    _body: Option<OwnedSemaphorePermit>,
}

impl AdmissionPermits {
    /// Creates permits with no id in use and all body memory free.
    pub fn new(limits: &Limits) -> AdmissionPermits {
        AdmissionPermits {
            ids: Arc::new(Mutex::new(RequestIds::new(limits.client.max_recent_ids))),
            body_bytes: Arc::new(Semaphore::new(limits.client.max_buffered_body_bytes)),
        }
    }

    /// Shares the ids with the other process of an upgrade from now on.
    pub fn share_ids(&self, shared: SharedIds) {
        lock(&self.ids).shared = Some(shared);
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
    /// one for a copy of the first, or has ended and may have run. `id_refusal` is the time for which the id is refused
    /// after this request, should it have run; `None` if it may run again.
    pub fn admit(
        &self,
        id: &HeaderValue,
        id_refusal: Option<Duration>,
        body: Option<OwnedSemaphorePermit>,
    ) -> Option<AdmissionPermit> {
        let is_new = lock(&self.ids).add(id, id_refusal);
        is_new.then(|| AdmissionPermit {
            permits: self.clone(),
            id: id.clone(),
            id_refusal,
            may_have_run: AtomicBool::new(false),
            _body: body,
        })
    }
}

impl AdmissionPermit {
    /// Records that a server may have run the request.
    pub fn record_possible_run(&self) {
        self.may_have_run.store(true, Ordering::Relaxed);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let may_have_run = self.may_have_run.load(Ordering::Relaxed);
        lock(&self.permits.ids).remove(&self.id, self.id_refusal, may_have_run);
    }
}

#[cfg(test)]
mod tests;
