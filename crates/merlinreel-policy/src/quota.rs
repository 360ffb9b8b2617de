//! Customer quotas: one account per customer, whose usage is counted in windows aligned to the limiter's clock, and the
//! exchange of usage between limiters.
//!
//! State: [`window`], [`token_bucket`], [`account`] and its parts ([`demand`], [`estimate`], [`account_parts`]),
//! [`table`], [`peer_links`] and [`counter_client`]. Decisions: [`intervals`], [`admission`], [`ceiling`],
//! [`replication`], [`counter`], [`aggregation`], [`aggregator_batch`] and [`peer_reports`].

pub mod account;
pub mod account_parts;
pub mod admission;
pub mod aggregation;
pub mod aggregator_batch;
pub mod ceiling;
pub mod counter;
pub mod counter_client;
pub mod demand;
pub mod estimate;
pub mod intervals;
pub mod peer_links;
pub mod peer_reports;
pub mod replication;
pub mod table;
pub mod token_bucket;
pub mod window;

#[cfg(test)]
mod tests;
