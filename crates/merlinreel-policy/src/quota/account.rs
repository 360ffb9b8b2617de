//! One customer's account: the counts that this limiter keeps. Other modules of [`super`] decide by them.

use super::account_parts::{
    AggregationState, CeilingBucket, CounterState, LimiterSet, ReplicationState,
};
use super::demand::DemandMeter;
use super::estimate::QuotaSnapshot;
use super::token_bucket::{TokenBucket, UsageSource};
use super::window::{CurrentAndPrevious, WindowAge, WindowChange, WindowNumber};
use crate::model::plan::Plan;
use crate::peer_batch::CounterRow;
use std::time::Duration;

/// Each change is sent in two batches in case one is lost. Rows hold totals, so duplicates are harmless.
const BROADCASTS_PER_CHANGE: u8 = 2;

/// One customer's account at this limiter.
#[derive(Default)]
pub struct Account {
    /// Number that identifies the customer in requests, peer messages and counter calls.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// The limiters that receive the customer's requests.
    pub limiters: LimiterSet,
    /// Token bucket of the quota, with usage at this limiter and at the others.
    pub bucket: TokenBucket,
    /// This limiter's share of the hard ceiling.
    pub ceiling: CeilingBucket,
    /// Requests that arrived at this limiter, admitted or not.
    pub requests: CurrentAndPrevious<f64>,
    /// Admitted requests in progress at this limiter.
    pub in_progress: u32,
    /// Time, on the limiter's clock, until which a new customer's quota is split over its limiters. Reset to zero,
    /// which ends the split, when usage at other limiters or an estimate by the aggregator itself is received.
    pub split_until: Duration,
    /// Changes that have not been reported yet.
    pub replication: ReplicationState,
    /// Units sent to the counter service, and the call in flight.
    pub counter: CounterState,
    /// State of aggregation: the customer's demand, the limiters that are sent estimates, and the latest estimate.
    pub aggregation: AggregationState,
    /// Expiry checks since the last call of [`super::table::QuotaTable::mark_dirty`] for this account.
    pub idle_checks: u32,
}

impl Account {
    /// The account of a new customer, with a full bucket.
    pub fn new(
        customer: u64,
        plan_index: usize,
        plan: &Plan,
        now: Duration,
        demand_window: Duration,
    ) -> Account {
        Account {
            customer,
            plan: plan_index,
            bucket: TokenBucket::new(now, plan),
            ceiling: CeilingBucket {
                units: 0.0,
                refilled_at: now,
            },
            aggregation: AggregationState {
                demand: DemandMeter::new(demand_window),
                ..AggregationState::default()
            },
            ..Account::default()
        }
    }

    /// Units left of the quota; negative where more was admitted than the quota allows.
    pub fn remaining(&self, now: Duration, plan: &Plan) -> f64 {
        self.bucket.remaining(now, plan)
    }

    /// Units that other limiters admitted in a window, as far as this limiter knows.
    pub fn used_elsewhere(&self, age: WindowAge) -> f64 {
        self.bucket.elsewhere.units(age)
    }

    /// Begins the window that contains `now`, if it is later than the current one. One more update of a window that has
    /// just ended is due if one was due already, or if units were used in it at this limiter or at others.
    pub fn advance(&mut self, now: Duration, plan: &Plan) {
        let change = self.bucket.advance(now, plan);
        if change == WindowChange::Same {
            return;
        }
        self.requests.advance(change);
        self.counter.counted.advance(change);
        self.replication.pending_broadcasts.advance(change);
        let was_due = self.replication.update_due.current;
        let used =
            self.bucket.own.previous != 0.0 || self.used_elsewhere(WindowAge::Previous) != 0.0;
        self.replication.update_due = CurrentAndPrevious {
            current: false,
            previous: change == WindowChange::Next && (was_due || used),
        };
    }

    /// Charges units that this limiter admitted to a window and marks them as unreported; negative units are a refund.
    /// Units of a window that is no longer kept change the bucket but are not reported.
    pub fn charge(&mut self, window: WindowNumber, units: f64) {
        if let Some(age) = self.bucket.charge(window, units) {
            self.replication.pending_broadcasts[age] = BROADCASTS_PER_CHANGE;
            self.replication.update_due[age] = true;
        }
    }

    /// Applies a source's total for a window (see [`TokenBucket::set_usage_elsewhere`]) and ends the split of a new
    /// customer's quota. Totals of windows that are not kept are ignored.
    pub fn set_usage_elsewhere(
        &mut self,
        now: Duration,
        plan: &Plan,
        source: UsageSource,
        window: WindowNumber,
        total: f64,
        debt_limit: f64,
    ) {
        self.advance(now, plan);
        let Some(age) = self.bucket.age(window) else {
            return;
        };
        self.bucket
            .set_usage_elsewhere(now, plan, source, age, total, debt_limit);
        self.split_until = Duration::ZERO;
    }

    /// Units requested per second: at this limiter and, as far as reported to it, at others.
    pub fn demand_rate(&mut self, now: Duration) -> f64 {
        self.aggregation.demand.rate(now)
    }

    /// Applies an estimate that another limiter relays, if it is newer than the one held and younger than `lifetime`.
    pub fn apply_relayed(
        &mut self,
        now: Duration,
        plan: &Plan,
        snapshot: QuotaSnapshot,
        lifetime: Duration,
    ) {
        let at = now.saturating_sub(snapshot.age);
        let published = &mut self.aggregation.published;
        if at > published.at && now < at + lifetime {
            published.remaining = snapshot.remaining;
            published.demand_rate = Some(snapshot.demand_rate);
            published.at = at;
            let estimated = published.remaining_at(now, plan);
            self.bucket.correction += self.remaining(now, plan) - estimated;
        }
    }

    /// The state of the quota: the aggregator's own counts, or elsewhere the latest estimate; `None` if there is none
    /// yet.
    pub fn snapshot(
        &mut self,
        now: Duration,
        is_aggregator: bool,
        plan: &Plan,
    ) -> Option<QuotaSnapshot> {
        if !is_aggregator {
            return self.aggregation.published.snapshot(now);
        }
        Some(QuotaSnapshot {
            remaining: self.remaining(now, plan),
            demand_rate: self.demand_rate(now),
            age: Duration::ZERO,
        })
    }

    /// Row of a peer message that reports this limiter's total in a window.
    pub fn row(&self, age: WindowAge) -> CounterRow {
        CounterRow {
            customer: self.customer,
            plan: self.plan,
            window: self.bucket.wire_number(age).0,
            total: self.bucket.own[age],
            demand: None,
            remaining: None,
            age: None,
        }
    }

    /// Row of a peer message that relays a snapshot.
    pub fn relayed_row(&self, snapshot: QuotaSnapshot) -> CounterRow {
        CounterRow {
            demand: Some(snapshot.demand_rate),
            remaining: Some(snapshot.remaining),
            age: Some(snapshot.age),
            ..self.row(WindowAge::Current)
        }
    }
}
