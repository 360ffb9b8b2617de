//! The parts of an account: its limiters, what is still to be reported, the aggregator's side, and the hard ceiling.

use super::demand::DemandMeter;
use super::estimate::PublishedEstimate;
use super::window::{CurrentAndPrevious, WindowNumber};
use std::time::Duration;

/// The limiters through which a customer comes: consecutive ones, the first following the last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimiterSet {
    /// How many they are; 0 until a request of the customer arrived here.
    pub size: u32,
    /// Index of the first.
    pub first: u32,
}

impl LimiterSet {
    /// Whether a limiter, of so many, is in the set.
    pub fn contains(&self, limiter: u32, limiters: u32) -> bool {
        (limiter + limiters - self.first % limiters) % limiters < self.size
    }

    /// The size by which shares are divided: at least one.
    pub fn divisor(&self) -> u32 {
        self.size.max(1)
    }
}

/// What other limiters, the counter or the aggregator have not been sent yet.
#[derive(Debug, Default)]
pub struct ReplicationState {
    /// Batches that the window's row is still to be part of.
    pub pending_broadcasts: CurrentAndPrevious<u8>,
    /// The counter or the aggregator is to be sent an update.
    pub update_due: CurrentAndPrevious<bool>,
    /// It is on the table's list of accounts that may have something to report.
    pub dirty: bool,
    /// Units admitted here since the last report: other limiters cannot know of them.
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

/// A call to the counter service that is not answered yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The window that was incremented.
    pub window: WindowNumber,
    /// Units that this limiter had admitted in the window when it called.
    pub own_units: f64,
    /// Units that the call adds.
    pub amount: f64,
}

/// What the counter service was sent.
#[derive(Debug, Default)]
pub struct CounterState {
    /// Units that were added to the counter.
    pub counted: CurrentAndPrevious<f64>,
    /// The call in flight; an account has one at a time.
    pub in_flight: Option<CounterCall>,
}

/// A limiter that reported to the aggregator of a customer and is sent its estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subscriber {
    /// Index of the limiter.
    pub peer: u32,
    /// When it reported last.
    pub reported_at: Duration,
    /// It is to be sent an estimate.
    pub estimate_due: bool,
}

/// What aggregation needs, at the aggregator and at the limiters that report to it.
#[derive(Default)]
pub struct AggregationState {
    /// Units requested: here, and at the aggregator also at the limiters that report to it.
    pub demand: DemandMeter,
    /// Units requested here that the aggregator was not sent yet.
    pub unreported_demand: f64,
    /// When the aggregator was sent a report last.
    pub reported_at: Duration,
    /// The limiters that reported lately, at the aggregator.
    pub subscribers: Vec<Subscriber>,
    /// The estimate published last.
    pub published: PublishedEstimate,
}

/// This limiter's part of a customer's hard ceiling.
#[derive(Debug, Default)]
pub struct CeilingBucket {
    /// Units that may pass; negative where the slack was used.
    pub units: f64,
    /// When it was refilled last.
    pub refilled_at: Duration,
}
