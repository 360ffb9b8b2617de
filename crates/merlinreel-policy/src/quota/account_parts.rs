//! Parts of an account: its limiter set, unreported changes, counter calls, aggregation, and the hard ceiling.

use super::demand::DemandMeter;
use super::estimate::PublishedEstimate;
use super::window::{CurrentAndPrevious, WindowNumber};
use std::time::Duration;

/// The limiters that receive a customer's requests: consecutive indices, where the fleet's first index follows its
/// last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimiterSet {
    /// Number of limiters; 0 until a request of the customer has arrived at this limiter.
    pub size: u32,
    /// Index of the first limiter, taken modulo the size of the fleet.
    pub first: u32,
}

impl LimiterSet {
    /// Whether a limiter is in the set, in a fleet of `limiters`.
    pub fn contains(&self, limiter: u32, limiters: u32) -> bool {
        (limiter + limiters - self.first % limiters) % limiters < self.size
    }

    /// Number of limiters by which to divide a share: the size, but at least 1.
    pub fn divisor(&self) -> u32 {
        self.size.max(1)
    }
}

/// Changes that have not been reported yet to other limiters, the counter service or the aggregator.
#[derive(Debug, Default)]
pub struct ReplicationState {
    /// Number of batches that still have to include the window's row; where there is an aggregator, any number above 0
    /// asks for one report to it.
    pub pending_broadcasts: CurrentAndPrevious<u8>,
    /// The counter service or the aggregator has to be sent an update of the window.
    pub update_due: CurrentAndPrevious<bool>,
    /// The account is in [`super::table::QuotaTable::dirty`].
    pub dirty: bool,
    /// Units admitted at this limiter since its last broadcast or counter call, unknown to other limiters. Reports to an
    /// aggregator do not reset them.
    pub unreported_units: f64,
}

impl ReplicationState {
    /// Whether a broadcast of either window is pending.
    pub fn has_pending_broadcasts(&self) -> bool {
        self.pending_broadcasts != CurrentAndPrevious::default()
    }

    /// Whether an update of either window is due.
    pub fn has_update_due(&self) -> bool {
        self.update_due != CurrentAndPrevious::default()
    }
}

/// A call to the counter service that has no reply yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The window that was incremented.
    pub window: WindowNumber,
    /// Units that this limiter had admitted in the window when it made the call.
    pub own_units: f64,
    /// Units that the call adds to the counter; negative for a refund.
    pub amount: f64,
}

/// Units that an account has sent to the counter service.
#[derive(Debug, Default)]
pub struct CounterState {
    /// Units that this limiter added to the counter. Calls without a reply are included, unless known to have failed.
    pub counted: CurrentAndPrevious<f64>,
    /// The call in flight; an account has one at a time.
    pub in_flight: Option<CounterCall>,
}

/// A limiter that reports on a customer to its aggregator, and is sent the aggregator's estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subscriber {
    /// Index of the limiter.
    pub peer: u32,
    /// Time at which its last report was received.
    pub reported_at: Duration,
    /// The limiter has not been sent the latest estimate yet.
    pub estimate_due: bool,
}

/// State of aggregation for one customer, at the aggregator and at the limiters that report to it.
#[derive(Default)]
pub struct AggregationState {
    /// Units requested at this limiter and, if it is the aggregator, at the limiters that report to it.
    pub demand: DemandMeter,
    /// Units requested at this limiter that have not been reported to the aggregator yet.
    pub unreported_demand: f64,
    /// Time of this limiter's last report to the aggregator; zero before the first.
    pub reported_at: Duration,
    /// Limiters that reported to this one within [`super::aggregation::ESTIMATE_LIFETIME`].
    pub subscribers: Vec<Subscriber>,
    /// The latest estimate, sent or received.
    pub published: PublishedEstimate,
}

/// Token bucket of this limiter's share of a customer's hard ceiling.
#[derive(Debug, Default)]
pub struct CeilingBucket {
    /// Units in the bucket; negative where part of the slack is used.
    pub units: f64,
    /// Time of the last refill.
    pub refilled_at: Duration,
}
