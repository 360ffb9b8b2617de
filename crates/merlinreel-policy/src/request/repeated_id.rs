//! Decides for how long the id of a request that may have run is refused if it arrives again.
//!
//! A client gives each request an id of its own, also a retry. A request that arrives under an id that is known is the same
//! one, sent again by something between the client and the limiter, for example after its connection was closed.

use crate::model::request_class::{Idempotency, RequestClass};
use std::time::Duration;

/// Shortest time for which an id is refused: longer than connections to clients and servers outlive a request.
const MIN_REFUSAL: Duration = Duration::from_secs(60);
/// Number of deadlines of its class for which an id is refused at least.
const REFUSAL_DEADLINES: u32 = 4;

impl RequestClass {
    /// For how long the id of a request of this class is refused after an attempt of it has ended that may have run it.
    /// `None` if requests of the class may run any number of times. Servers forget an idempotency key before a client could
    /// send the same request once more, so that the key alone does not prevent a second run.
    pub fn id_refusal(&self) -> Option<Duration> {
        match self.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::IdempotencyKey(..) | Idempotency::NonIdempotent => {
                Some(MIN_REFUSAL.max(self.deadline * REFUSAL_DEADLINES))
            }
        }
    }
}
