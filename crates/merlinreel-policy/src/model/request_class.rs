//! Request classes: deadlines, priority, and whether a request may run more than once.

use std::time::Duration;

/// The servers that share their idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All servers share their keys.
    All,
    /// The servers of one zone share their keys.
    Zone,
    /// The servers of one cell share their keys.
    Cell,
}

/// Whether a request may run again after an attempt that may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request carries an idempotency key. Servers within the scope drop duplicates for the given time after the
    /// first attempt.
    IdempotencyKey(IdempotencyScope, Duration),
    /// The request must never run twice.
    NonIdempotent,
}

/// Deadlines, value and idempotency of the requests of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this time has the full value, the priority weight.
    pub latency_objective: Duration,
    /// The client abandons the request after this time, all its own retries included.
    pub deadline: Duration,
    /// Value of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Value of a response after the latency objective, as a fraction of the priority weight; 0 means none.
    pub late_weight: f64,
    /// Whether a request of the class may run again after an attempt that may have run it.
    pub idempotency: Idempotency,
}
