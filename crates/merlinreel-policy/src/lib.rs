//! The decision module.

use std::time::Duration;

mod actions;
pub mod decide;
mod events;
mod model;
pub mod peer_batch;
mod remote_counts;
mod request;
mod rolling_window;
mod state;
mod store;
mod time;

pub use actions::Actions;
pub use events::{CounterReply, EndpointUpdate, EventBatch, HealthCheckResult, PeerMessage};
pub use model::attempt::{AttemptOutcome, AttemptResult, LoadReport};
pub use model::endpoint::{Endpoint, EndpointConfig, EndpointState, ring_hash};
pub use model::fleet::FleetConfig;
pub use model::plan::Plan;
pub use model::request::{Request, RequestLimits};
pub use model::request_class::{Idempotency, IdempotencyScope, RequestClass};
