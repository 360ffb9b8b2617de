//! All decisions of a merlinreel limiter, without I/O: which requests are admitted, which server a request is sent to,
//! when it is retried, and what limiters report to each other about their customers' quotas.
//!
//! # How to call it
//!
//! [`Limiter::new`] takes a seed and a [`LimiterConfig`]. [`Limiter::process`] takes the time, an [`EventBatch`] with
//! the events since the last call, and an implementation of [`Actions`], which receives the decisions. With
//! [`Actions::schedule_wakeup`] it requests its next call. The caller owns the sockets, the clock and the timers; the
//! same seed and events always give the same decisions.
//!
//! # Where to begin reading
//!
//! `limiter.rs` processes one batch from beginning to end. `model`, `events` and `actions` define the types of the
//! interface. The decisions are in three modules, each of which also has the state that they need: `quota` (one account
//! per customer, and how limiters share the counts), `server` (limits, health, slow start and selection of servers) and
//! `request` (admission, queue, retries and the final response). `expiry` decides when unused accounts and servers are
//! dropped. [`peer_batch`] encodes the messages between limiters.
//!
//! # Files that make decisions
//!
//! The files listed under `policy` in `deploy/balancer.toml` make the decisions. Their module comments begin with
//! "Decides", except that of `limiter.rs`, which combines them. All other files hold state, count and convert.

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
pub use model::arriving_body::{ArrivingBody, BodyLength, ResponseProgress};
pub use model::attempt::{AttemptOutcome, AttemptResult, LoadReport};
pub use model::endpoint::{Endpoint, EndpointConfig, EndpointState, ring_hash};
pub use model::fleet::FleetConfig;
pub use model::index::{Index, RequestIndex, ServerIndex};
pub use model::limiter_config::LimiterConfig;
pub use model::plan::Plan;
pub use model::reject_reason::RejectReason;
pub use model::request::{Request, RequestLimits};
pub use model::request_class::{Idempotency, IdempotencyScope, RequestClass};
pub use request::response_forwarding::Forwarding;
pub use server::pool::EndpointCounts;
