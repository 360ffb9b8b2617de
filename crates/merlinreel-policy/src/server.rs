//! Servers: concurrency limits, outlier ejection, slow start, subsetting, and the selection of a server for an attempt.
//!
//! State: [`server_state`], [`pool`], [`pool_latency`] and [`subscription`]. Decisions: [`endpoint_updates`],
//! [`start_clock`], [`slow_start`], [`concurrency_limit`], [`outlier_ejection`], [`attempt_results`], [`subset`],
//! [`selection`] and [`overdue_attempts`].

pub mod attempt_results;
pub mod concurrency_limit;
pub mod endpoint_updates;
pub mod outlier_ejection;
pub mod overdue_attempts;
pub mod pool;
pub mod pool_latency;
pub mod selection;
pub mod server_state;
pub mod slow_start;
pub mod start_clock;
pub mod subscription;
pub mod subset;

#[cfg(test)]
mod tests;
