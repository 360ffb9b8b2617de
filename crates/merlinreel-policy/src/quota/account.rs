//! All that is known of one customer's quota. It only counts; decisions are in the modules beside it.

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

/// Each change is sent twice: a lost batch is made good by the next one, and as rows are totals, duplicates do no harm.
const BROADCASTS_PER_CHANGE: u8 = 2;

/// One customer's account at this limiter.
#[derive(Default)]
pub struct Account {
    /// The customer.
    pub customer: u64,
    /// Index of its plan.
    pub plan: usize,
    /// The limiters through which it comes.
    pub limiters: LimiterSet,
    /// Its quota.
    pub bucket: TokenBucket,
    /// Its hard ceiling.
    pub ceiling: CeilingBucket,
    /// Requests that arrived here, admitted or not.
    pub requests: CurrentAndPrevious<f64>,
    /// Requests of it in progress here.
    pub in_progress: u32,
    /// Until then, or until use elsewhere is reported, a new customer's quota is split over its limiters.
    pub split_until: Duration,
    /// What is still to be reported.
    pub replication: ReplicationState,
    /// What the counter service was sent.
    pub counter: CounterState,
    /// The aggregator's and its subscribers' side.
    pub aggregation: AggregationState,
    /// Checks for expiry since a request or a peer message named the customer.
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

    /// Units that the quota has left.
    pub fn remaining(&self, now: Duration, plan: &Plan) -> f64 {
        self.bucket.remaining(now, plan)
    }

    /// Units that other limiters admitted in a window.
    pub fn used_elsewhere(&self, age: WindowAge) -> f64 {
        self.bucket.elsewhere.units(age)
    }

    /// Moves on to the window of this time.
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

    /// Charges units that this limiter admitted to a window, or gives them back where they are negative.
    pub fn charge(&mut self, window: WindowNumber, units: f64) {
        if let Some(age) = self.bucket.charge(window, units) {
            self.replication.pending_broadcasts[age] = BROADCASTS_PER_CHANGE;
            self.replication.update_due[age] = true;
        }
    }

    /// Takes over another source's total of a window (see [`TokenBucket::set_usage_elsewhere`]).
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

    /// Units requested per second, as far as this limiter knows.
    pub fn demand_rate(&mut self, now: Duration) -> f64 {
        self.aggregation.demand.rate(now)
    }

    /// Takes over an estimate that another limiter relays, if it is newer than the one held and younger than `lifetime`.
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
            self.bucket.overflowed += self.remaining(now, plan) - estimated;
        }
    }

    /// The state of the quota: at the aggregator its own count, else the estimate that it published last, if ever.
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

    /// The row of a window in a peer message.
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

    /// The row of a peer message that relays a snapshot.
    pub fn relayed_row(&self, snapshot: QuotaSnapshot) -> CounterRow {
        CounterRow {
            demand: Some(snapshot.demand_rate),
            remaining: Some(snapshot.remaining),
            age: Some(snapshot.age),
            ..self.row(WindowAge::Current)
        }
    }
}
