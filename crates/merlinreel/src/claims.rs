//! What a job holds from the moment it is taken until nothing of it is left: its id and its body's bytes.

use crate::limits::Limits;
use hyper::header::HeaderValue;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// All that is claimed at one limiter.
#[derive(Clone, Debug)]
pub struct Claims {
    ids: Arc<Mutex<HashSet<HeaderValue>>>,
    bodies: Arc<Semaphore>,
}

/// Given back with its end.
#[derive(Debug)]
pub struct Claim {
    of: Claims,
    id: HeaderValue,
    _body: Option<OwnedSemaphorePermit>,
}

impl Claims {
    pub fn new(limits: &Limits) -> Claims {
        Claims {
            ids: Arc::default(),
            bodies: Arc::new(Semaphore::new(limits.bodies)),
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
    pub fn open(&self, id: &HeaderValue, body: Option<OwnedSemaphorePermit>) -> Option<Claim> {
        let fresh = self
            .ids
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id.clone());
        fresh.then(|| Claim {
            of: self.clone(),
            id: id.clone(),
            _body: body,
        })
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.of
            .ids
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.id);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_id_and_a_body_s_bytes_are_held_until_the_job_is_over() {
        let claims = Claims {
            ids: Arc::default(),
            bodies: Arc::new(Semaphore::new(8)),
        };
        let id = HeaderValue::from_static("9b");
        let held = claims.open(&id, claims.body(6)).expect("free");
        assert!(claims.open(&id, None).is_none() && claims.body(3).is_none());
        assert!(
            claims
                .open(&HeaderValue::from_static("9c"), claims.body(2))
                .is_some()
        );
        drop(held);
        assert!(claims.open(&id, claims.body(8)).is_some());
    }
    #[test]
    fn a_place_grows_by_what_is_left_and_is_given_back_whole() {
        let claims = Claims {
            ids: Arc::default(),
            bodies: Arc::new(Semaphore::new(8)),
        };
        let mut place = claims.body(0).expect("free");
        assert!(
            claims.grow(&mut place, 5) && claims.grow(&mut place, 3) && claims.grow(&mut place, 0)
        );
        assert!(!claims.grow(&mut place, 1) && claims.body(1).is_none());
        assert_eq!(place.num_permits(), 8);
        drop(place);
        assert!(claims.body(8).is_some());
    }
}
