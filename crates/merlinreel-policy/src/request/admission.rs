//! Decides whether a new request is admitted.

use super::remaining_time::RemainingTimeHistogram;
use super::time_spent::time_already_spent;
use crate::actions::Actions;
use crate::expiry::drop_full_accounts;
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

/// Assumed network delay of a peer message or a call to the counter service.
const NETWORK_DELAY_SECONDS: f64 = 0.03;
/// A late arrival is admitted only while the bucket has more than its capacity divided by this.
const LATE_BUCKET_DIVISOR: f64 = 2.0;
/// Reports of admitted requests may use an aggregator's inbox rate divided by this.
const REPORTS_INBOX_DIVISOR: f64 = 4.0;

/// Retry-After of a request for whose customer there is no room: accounts become free as buckets refill.
const FULL_TABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The state that admission reads and updates.
pub struct Admission<'a> {
    /// The limiter's configuration.
    pub config: &'a LimiterConfig,
    /// The customers' accounts.
    pub quotas: &'a mut QuotaTable,
    /// The requests in progress, to which an admitted one is added.
    pub requests: &'a mut RequestTable,
    /// Remaining times of earlier requests on arrival, by class index.
    pub remaining_times: &'a mut [RemainingTimeHistogram],
    /// The limiter's random number generator.
    pub random: &'a mut WyRand,
    /// Whether servers have capacity for requests beyond the quotas.
    pub has_spare_capacity: bool,
    /// Time on the limiter's clock until which the counter service cannot take all calls.
    pub counter_overloaded_until: Duration,
}

/// How long it takes until limiters know of each other's admissions.
struct ReportTiming {
    /// Time after an admission in which other limiters do not know of it.
    staleness_seconds: f64,
    /// Time for which a new customer's quota is split over its limiters.
    split_duration: Duration,
}

impl Admission<'_> {
    /// Admits the request and queues it for an attempt, or rejects it.
    pub fn decide(&mut self, now: Duration, request: &Request, actions: &mut dyn Actions) {
        let config = self.config;
        let timing = self.report_timing(now);
        if self.quotas.is_full_for(request.customer) {
            drop_full_accounts(now, config, self.quotas, self.requests);
        }
        let plans = &config.plans;
        let found = self
            .quotas
            .find_or_create(now, request.customer, request.plan, plans);
        let Some(index) = found else {
            let retry_after = config.request_limits.retry_after;
            actions.reject(
                request.id,
                RejectReason::TooManyCustomers,
                retry_after.then_some(FULL_TABLE_RETRY_AFTER),
            );
            return;
        };
        let account = &mut self.quotas[index];
        let plan = &config.plans[account.plan];
        count_request(now, request, plan, timing.split_duration, account);
        let class = &config.classes[request.class];
        let remaining_times = &mut self.remaining_times[request.class];
        let spent = time_already_spent(request.remaining_time, class.deadline, remaining_times);
        let is_worth_serving = spent < class.latency_objective
            || class.late_weight > 0.0
                && account.remaining(now, plan) > plan.burst / LATE_BUCKET_DIVISOR;
        // If the plan values overage above its cost, spare capacity also serves requests that the bucket does not
        // cover; these are not charged to it.
        let is_overage = account.remaining(now, plan) < request.units
            && plan.overage_value > plan.overage_cost
            && self.has_spare_capacity;
        let context = AdmissionContext {
            fleet: config.fleet,
            staleness_seconds: timing.staleness_seconds,
            sample: self.random.generate::<f64>(),
        };
        let is_admitted = is_worth_serving
            && (is_overage || account.admits(now, plan, request.units, &context))
            && account.is_under_ceiling(now, plan, request.units);
        if !is_admitted {
            account.replication.update_due.current = true;
            let wait_seconds = account.retry_after_seconds(now, plan, request.units);
            let retry_after = config.request_limits.retry_after;
            let reason = if is_worth_serving {
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
            staleness_seconds: time::seconds(interval) + NETWORK_DELAY_SECONDS,
            // With an aggregator, limiters receive no reports from each other: a new quota would look unused to each of
            // hundreds.
            split_duration: if aggregates {
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
    split_duration: Duration,
    account: &mut Account,
) {
    if account.limiters.size == 0 {
        account.split_until = now + split_duration;
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

/// Number of requests that the report of this one represents; 0 if it is not reported. While an aggregator's estimate
/// is valid, only a random sample of requests that are small for the plan is reported: otherwise a customer with high
/// demand would fill its aggregator's inbox, and its demand would seem low.
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
    let probability = request.units * fleet.peer_inbox_rate / (REPORTS_INBOX_DIVISOR * plan.rate);
    if probability >= 1.0 {
        return 1.0;
    }
    if random.generate::<f64>() < probability {
        1.0 / probability
    } else {
        0.0
    }
}

/// Charges an admitted request to its quota. Returns the window that its units were charged to; `None` if they were
/// not.
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
