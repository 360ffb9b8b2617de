//! Determines how well a fleet enforces quotas, and counts its peer messages and their bytes. All results are the same
//! in each run with the same seed.

use super::{Fleet, FleetSetting, OVERLOADED_PLAN, TRACED_RATE, Usage};
use crate::scale::{InvalidSettings, Traffic};
use std::time::Duration;

/// Four times the time in which an empty token bucket fills. Buckets start full, and after only one such time the units
/// that they started with would still cover overage.
pub const WARM_UP: Duration = Duration::from_secs(40);
/// How long a traced customer sends requests only to the first limiter of its set, whose reports inform the aggregator.
const FIRST_LIMITER_PHASE: Duration = Duration::from_secs(10);
/// How long a traced customer then sends requests to all limiters of its set.
pub const WHOLE_SET_PHASE: Duration = Duration::from_secs(30);
/// Request rate of a traced customer at the first limiter of its set.
const FIRST_LIMITER_REQUESTS_PER_SECOND: u32 = 5;
/// How long a fleet is observed after limiters restarted.
pub const OBSERVED_AFTER_RESTART: Duration = Duration::from_secs(60);
/// Quotas count as enforced again from the first of this many consecutive seconds in each of which overage does not
/// exceed its maximum in a second without restarts.
const ENFORCED_SECONDS: usize = 3;

/// Counts of a fleet in the measured time; those of messages and bytes are per limiter and second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Mean of the messages that the limiters sent.
    pub messages_sent: f64,
    /// Messages sent by the limiter that sent the most of them.
    pub messages_sent_greatest: f64,
    /// Mean of the bytes that the limiters sent.
    pub bytes_sent: f64,
    /// Bytes sent by the limiter that sent the most of them.
    pub bytes_sent_greatest: f64,
    /// Messages received by the limiter that received the most of them, including those that its full inbox dropped.
    pub messages_received_greatest: f64,
    /// Mean of the messages that the limiters' full inboxes dropped.
    pub messages_dropped: f64,
    /// Overage of overloaded customers divided by their admitted units; 0 if none were admitted.
    pub overage_share: f64,
    /// Admitted units of overloaded customers divided by the units that their quotas refilled in the measured time.
    pub quota_used_share: f64,
}

/// How soon the usage of a traced customer at one limiter affected decisions at the other limiters of its set. Times
/// count from the moment at which the customer begins to send requests to all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Propagation {
    /// Time until each other limiter, which receives a request per second, has rejected at least one; `None` if some
    /// limiter rejected none in the observed time.
    pub all_rejected_after: Option<Duration>,
    /// Time until the last unit of overage was admitted; zero if there was none.
    pub last_overage_after: Duration,
    /// Units of overage divided by the units that the quota refilled in the observed time.
    pub overage_over_refill: f64,
}

/// How soon quotas were enforced again after limiters restarted, and the overage until then.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Recovery {
    /// Time until the first of three consecutive seconds in each of which overage does not exceed its maximum in a second
    /// without restarts; `None` if there are no such seconds in the observed time.
    pub enforced_after: Option<Duration>,
    /// Units of overage until then, or in the entire observed time if `enforced_after` is `None`, less the mean overage
    /// without restarts. Divided by the units that the quotas of overloaded customers refill in a second.
    pub overage_in_seconds_of_refill: f64,
}

/// Runs a fleet for the warm-up without counting, and then counts for `time`.
///
/// # Errors
/// The program rejects the fleet's settings.
pub fn count(
    setting: FleetSetting,
    seed: u64,
    warm_up: Duration,
    time: Duration,
) -> Result<Counts, InvalidSettings> {
    let mut fleet = Fleet::new(setting, seed)?;
    fleet.run(warm_up);
    fleet.reset_counts();
    fleet.run(time);
    Ok(count_in(&fleet, &setting, time))
}

/// The counts of a fleet whose counts were reset `time` ago.
pub fn count_in(fleet: &Fleet, setting: &FleetSetting, time: Duration) -> Counts {
    let seconds = time.as_secs_f64();
    let limiters = f64::from(setting.limiters);
    let traffic = fleet.traffic();
    let mean = |value: fn(&Traffic) -> u64| {
        traffic.iter().map(value).sum::<u64>() as f64 / limiters / seconds
    };
    let greatest =
        |value: fn(&Traffic) -> u64| traffic.iter().map(value).max().unwrap_or(0) as f64 / seconds;
    let usage = overloaded_usage(fleet);
    let refill = setting.rate(OVERLOADED_PLAN) * seconds * overloaded_customers(fleet);
    Counts {
        messages_sent: mean(|limiter| limiter.sent_messages),
        messages_sent_greatest: greatest(|limiter| limiter.sent_messages),
        bytes_sent: mean(|limiter| limiter.sent_bytes),
        bytes_sent_greatest: greatest(|limiter| limiter.sent_bytes),
        messages_received_greatest: greatest(|limiter| limiter.received_messages),
        messages_dropped: fleet.dropped() as f64 / limiters / seconds,
        overage_share: usage.overage as f64 / usage.admitted.max(1) as f64,
        quota_used_share: usage.admitted as f64 / refill.max(1.0),
    }
}

fn overloaded_customers(fleet: &Fleet) -> f64 {
    let customers = fleet.customers.iter();
    customers
        .filter(|customer| customer.plan == OVERLOADED_PLAN)
        .count() as f64
}

fn overloaded_usage(fleet: &Fleet) -> Usage {
    fleet
        .customers
        .iter()
        .filter(|customer| customer.plan == OVERLOADED_PLAN)
        .fold(Usage::default(), |sum, customer| Usage {
            requested: sum.requested + customer.usage.requested,
            admitted: sum.admitted + customer.usage.admitted,
            overage: sum.overage + customer.usage.overage,
        })
}

/// Traces customers that send requests first to one limiter of their sets only and then to all of them.
///
/// # Errors
/// The program rejects the fleet's settings.
pub fn count_propagation(
    setting: FleetSetting,
    seed: u64,
    customers: u32,
) -> Result<Vec<Propagation>, InvalidSettings> {
    let mut fleet = Fleet::new(setting, seed)?;
    fleet.run(WARM_UP);
    let traced: Vec<usize> = (0..customers)
        .map(|number| {
            let set_first = number * setting.limiters / customers;
            fleet.trace_at_first_limiter(set_first, FIRST_LIMITER_REQUESTS_PER_SECOND)
        })
        .collect();
    fleet.run(FIRST_LIMITER_PHASE);
    fleet.reset_counts();
    let start = fleet.now();
    for &customer in &traced {
        fleet.trace_at_other_limiters(customer);
    }
    fleet.run(WHOLE_SET_PHASE);
    Ok(traced
        .iter()
        .map(|&customer| propagation(&fleet, customer, start))
        .collect())
}

fn propagation(fleet: &Fleet, customer: usize, start: Duration) -> Propagation {
    let traced = &fleet.customers[customer];
    let others = traced.set.size as usize - 1;
    let rejected: Vec<Duration> = fleet
        .first_rejections(customer)
        .into_iter()
        .skip(1)
        .flatten()
        .collect();
    let last = rejected.iter().max().copied().unwrap_or(start);
    let refill = TRACED_RATE * WHOLE_SET_PHASE.as_secs_f64();
    Propagation {
        all_rejected_after: (rejected.len() == others).then(|| last.saturating_sub(start)),
        last_overage_after: traced
            .last_overage_at
            .map_or(Duration::ZERO, |at| at.saturating_sub(start)),
        overage_over_refill: traced.usage.overage as f64 / refill,
    }
}

/// Restarts the first `restarted` limiters at once after the warm-up, and compares the overage with that of the same
/// fleet without restarts.
///
/// # Errors
/// The program rejects the fleet's settings.
pub fn count_recovery(
    setting: FleetSetting,
    seed: u64,
    restarted: u32,
) -> Result<Recovery, InvalidSettings> {
    let mut fleet = Fleet::new(setting, seed)?;
    let refill = setting.rate(OVERLOADED_PLAN) * overloaded_customers(&fleet);
    let with_restarts = overage_after_restart(&mut fleet, restarted);
    let without_restarts = overage_after_restart(&mut Fleet::new(setting, seed)?, 0);
    Ok(recovery(&without_restarts, &with_restarts, refill))
}

/// Units of overage of overloaded customers in each second after the restart of the first `restarted` limiters.
fn overage_after_restart(fleet: &mut Fleet, restarted: u32) -> Vec<f64> {
    fleet.run(WARM_UP);
    fleet.restart(0..restarted);
    let overage_in_next_second = |_| {
        let before = overloaded_usage(fleet).overage;
        fleet.run(Duration::from_secs(1));
        (overloaded_usage(fleet).overage - before) as f64
    };
    (0..OBSERVED_AFTER_RESTART.as_secs())
        .map(overage_in_next_second)
        .collect()
}

/// Determines the recovery from the units of overage in each second without and with restarts, and from the units that
/// the quotas refill in a second.
fn recovery(without_restarts: &[f64], with_restarts: &[f64], refill: f64) -> Recovery {
    let mean = without_restarts.iter().sum::<f64>() / without_restarts.len().max(1) as f64;
    let max_without_restarts = without_restarts.iter().copied().fold(0.0, f64::max);
    let enforced_from = with_restarts.windows(ENFORCED_SECONDS).position(|seconds| {
        seconds
            .iter()
            .all(|&overage| overage <= max_without_restarts)
    });
    let before_enforced = &with_restarts[..enforced_from.unwrap_or(with_restarts.len())];
    let excess: f64 = before_enforced
        .iter()
        .fold(0.0, |sum, overage| sum + overage - mean);
    Recovery {
        enforced_after: enforced_from.map(|seconds| Duration::from_secs(seconds as u64)),
        overage_in_seconds_of_refill: excess / refill.max(f64::MIN_POSITIVE),
    }
}

#[cfg(test)]
mod tests;
