//! All decisions of a merlinreel limiter, without I/O: who is admitted, which server a request goes to, when it is tried
//! again, and what limiters report to each other about their customers' quotas.
//!
//! # How to call it
//!
//! [`Limiter::new`] takes a seed and a [`LimiterConfig`]. [`Limiter::process`] takes the time, an [`EventBatch`] of all
//! that came in since the last call, and an implementation of [`Actions`], to which it writes what is to be done. It asks
//! to be called again by [`Actions::schedule_wakeup`]. The caller owns the sockets, the clock and the timers; the same
//! seed and events always give the same decisions.
//!
//! # Where to begin reading
//!
//! `limiter.rs` is one batch from beginning to end. `model`, `events` and `actions` are the vocabulary. Behind it stand
//! three parts, each with its plain state beside its decisions: `quota` (one account per customer, and how limiters keep
//! the counts together), `server` (limits, health, slow start and selection of servers) and `request` (admission, queue,
//! retries and the final response). [`peer_batch`] is the byte form of the messages between limiters.
//!
//! # What decides
//!
//! The files listed under `policy` in `deploy/balancer.toml` decide; their module comments begin with "Decides", but for
//! `limiter.rs`, which composes them. All others hold state, count and convert.

#![warn(missing_docs)]

mod actions;
mod events;
mod expiry;
mod limiter;
mod model;
pub mod peer_batch;
mod quota;
mod request;
mod request_table;
mod rolling_window;
mod server;
mod slots;
mod time;

#[cfg(test)]
mod tests;

pub use actions::Actions;
pub use events::{CounterReply, EndpointUpdate, EventBatch, HealthCheckResult, PeerMessage};
pub use limiter::Limiter;
pub use model::attempt::{AttemptOutcome, AttemptResult, LoadReport};
pub use model::endpoint::{Endpoint, EndpointConfig, EndpointState, ring_hash};
pub use model::fleet::FleetConfig;
pub use model::index::{Index, RequestIndex, ServerIndex};
pub use model::limiter_config::LimiterConfig;
pub use model::plan::Plan;
pub use model::reject_reason::RejectReason;
pub use model::request::{Request, RequestLimits};
pub use model::request_class::{Idempotency, IdempotencyScope, RequestClass};
pub use server::pool::EndpointCounts;
