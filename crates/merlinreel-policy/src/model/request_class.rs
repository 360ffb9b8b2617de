//! A request class: deadlines, priority, and whether a request may run more than once.

use std::time::Duration;

/// The servers among which an idempotency key is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// Every server knows the keys of every other.
    All,
    /// The servers of one zone share their keys.
    Zone,
    /// The servers of one cell share their keys.
    Cell,
}

/// Whether a request may run again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Carries a key; servers of the scope drop a duplicate for the given time after the first attempt.
    IdempotencyKey(IdempotencyScope, Duration),
    /// Must never run twice.
    NonIdempotent,
}

/// The limits that all requests of a class share.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this time earns the full priority weight.
    pub latency_objective: Duration,
    /// The client abandons the request after this time, over all its own retries.
    pub deadline: Duration,
    /// Value of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Share of the priority weight for a response after the latency objective.
    pub late_weight: f64,
    /// Whether a request of the class may run again.
    pub idempotency: Idempotency,
}
