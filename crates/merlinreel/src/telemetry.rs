//! Log lines and metrics.

pub mod log;
pub mod metrics;
