//! Decides whether a request that has arrived is admitted.

use super::remaining_time::RemainingTimeHistogram;
use super::time_spent::time_already_spent;
use crate::actions::Actions;
use crate::model::fleet::FleetConfig;
use crate::model::limiter_config::LimiterConfig;
use crate::model::plan::Plan;
use crate::model::reject_reason::RejectReason;
use crate::model::request::Request;
use crate::quota::account::Account;
use crate::quota::account_parts::LimiterSet;
use crate::quota::admission::AdmissionContext;
use crate::quota::aggregation::ESTIMATE_LIFETIME;
use crate::quota::intervals::{message_interval, tick_interval, uses_aggregator};
use crate::quota::table::QuotaTable;
use crate::quota::window::WindowNumber;
use crate::request_table::{PendingRequest, RequestTable};
use crate::time;
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// Time that a peer message or a call to the counter is on its way, in seconds.
const NETWORK_SECONDS: f64 = 0.03;
/// A request that comes late takes units only while more than this part of the bucket is left.
const LATE_BUCKET_DIVISOR: f64 = 2.0;
/// Part of an aggregator's inbox that is for requests that were admitted.
const ADMITTED_INBOX_DIVISOR: f64 = 4.0;

/// What the admission of a request reads and writes.
pub struct Admission<'a> {
    /// The limiter's configuration.
    pub config: &'a LimiterConfig,
    /// The accounts.
    pub quotas: &'a mut QuotaTable,
    /// Where admitted requests are kept.
    pub requests: &'a mut RequestTable,
    /// By class, how much time clients leave.
    pub remaining_times: &'a mut [RemainingTimeHistogram],
    /// The source of chance.
    pub random: &'a mut WyRand,
    /// Servers have capacity to spare.
    pub has_spare_capacity: bool,
    /// Until then the counter service cannot take all calls.
    pub counter_overloaded_until: Duration,
}

/// How old the limiters' knowledge of each other is.
struct ReportTiming {
    /// Time for which limiters do not know of each other's admissions, in seconds.
    staleness_seconds: f64,
    /// Time for which a new customer's quota is split over its limiters.
    split: Duration,
}

impl Admission<'_> {
    /// Admits the request and queues it for an attempt, or rejects it.
    pub fn decide(&mut self, now: Duration, request: &Request, actions: &mut dyn Actions) {
        let config = self.config;
        let timing = self.report_timing(now);
        let index = self
            .quotas
            .find_or_create(now, request.customer, request.plan, &config.plans);
        let account = &mut self.quotas[index];
        let plan = &config.plans[account.plan];
        count_request(now, request, plan, timing.split, account);
        let class = &config.classes[request.class];
        let remaining_times = &mut self.remaining_times[request.class];
        let spent = time_already_spent(request.remaining_time, class.deadline, remaining_times);
        let earns_enough = spent < class.latency_objective
            || class.late_weight > 0.0
                && account.remaining(now, plan) > plan.burst / LATE_BUCKET_DIVISOR;
        // Where a plan earns more by overage than it costs, spare capacity serves requests that find the bucket empty;
        // they take nothing from it.
        let is_overage = account.remaining(now, plan) < request.units
            && plan.overage_value > plan.overage_cost
            && self.has_spare_capacity;
        let context = AdmissionContext {
            fleet: config.fleet,
            staleness_seconds: timing.staleness_seconds,
            sample: self.random.generate::<f64>(),
        };
        let is_admitted = earns_enough
            && (is_overage || account.admits(now, plan, request.units, &context))
            && account.is_under_ceiling(now, plan, request.units);
        if !is_admitted {
            account.replication.update_due.current = true;
            let wait_seconds = account.retry_after_seconds(now, plan, request.units);
            let retry_after = config.request_limits.retry_after;
            let reason = if earns_enough {
                RejectReason::Quota
            } else {
                RejectReason::LateArrival
            };
            actions.reject(
                request.id,
                reason,
                retry_after.then(|| time::from_seconds(wait_seconds)),
            );
            return;
        }
        let sampling_factor =
            sampling_factor(now, request, &config.fleet, plan, account, self.random);
        let window = charge(request, sampling_factor, is_overage, account);
        let objective_at = now + class.latency_objective.saturating_sub(spent);
        let pending = PendingRequest::new(request, index, now, objective_at, window);
        *self.requests.pending.slot(request.id) = Some(PendingRequest {
            sampling_factor,
            ..pending
        });
        self.requests.queue.push(request.id);
    }

    fn report_timing(&self, now: Duration) -> ReportTiming {
        let fleet = &self.config.fleet;
        let aggregates = uses_aggregator(fleet);
        let counter_suffices = fleet.counter && now >= self.counter_overloaded_until;
        let interval = if aggregates || counter_suffices {
            tick_interval(fleet)
        } else {
            message_interval(fleet)
        };
        ReportTiming {
            staleness_seconds: time::seconds(interval) + NETWORK_SECONDS,
            // With an aggregator no limiter hears of the others directly: to each of hundreds a new quota would seem unused.
            split: if aggregates {
                ESTIMATE_LIFETIME
            } else {
                interval
            },
        }
    }
}

fn count_request(
    now: Duration,
    request: &Request,
    plan: &Plan,
    split: Duration,
    account: &mut Account,
) {
    if account.limiters.size == 0 {
        account.split_until = now + split;
    }
    account.limiters = LimiterSet {
        size: request.set_size.max(1),
        first: request.set_first,
    };
    account.advance(now, plan);
    account.requests.current += 1.0;
    account.aggregation.unreported_demand += request.units;
    account.aggregation.demand.add(now, request.units);
}

/// How many requests the report of this one stands for; 0 where it is not reported. Of a plan's small requests some are
/// reported for all, as a customer with much demand would fill its aggregator's inbox and so seem to have little.
fn sampling_factor(
    now: Duration,
    request: &Request,
    fleet: &FleetConfig,
    plan: &Plan,
    account: &Account,
    random: &mut WyRand,
) -> f64 {
    let published = &account.aggregation.published;
    let is_estimated = published
        .fresh_demand_rate(now, ESTIMATE_LIFETIME)
        .is_some();
    if !is_estimated || !uses_aggregator(fleet) {
        return 1.0;
    }
    let probability = request.units * fleet.peer_inbox_rate / (ADMITTED_INBOX_DIVISOR * plan.rate);
    if probability >= 1.0 {
        return 1.0;
    }
    if random.generate::<f64>() < probability {
        1.0 / probability
    } else {
        0.0
    }
}

/// Charges an admitted request to its quota. Returns the window that its units were charged to, if they were.
fn charge(
    request: &Request,
    sampling_factor: f64,
    is_overage: bool,
    account: &mut Account,
) -> Option<WindowNumber> {
    let is_charged = !is_overage && sampling_factor > 0.0;
    let window = is_charged.then_some(account.bucket.window);
    if let Some(window) = window {
        account.charge(window, request.units * sampling_factor);
    }
    if !is_overage {
        account.replication.unreported_units += request.units;
        account.aggregation.published.remaining -= request.units;
    }
    account.ceiling.units -= request.units;
    account.in_progress += 1;
    window
}
