//! How well a fleet enforces quotas, and what its peer messages take: counts that are the same each run.

use super::{Fleet, FleetSetting, OVERLOADED_PLAN, TRACED_RATE, Usage};
use crate::scale::{InvalidSettings, Traffic};
use std::time::Duration;

/// Four times the refill of a token bucket: buckets are full at first, and after one refill they still hide overage.
pub const WARM_UP: Duration = Duration::from_secs(40);
/// How long a traced customer sends requests to one limiter alone, so that its aggregator must learn of it.
const TRACED_AT_FIRST: Duration = Duration::from_secs(10);
/// How long a traced customer sends requests to all limiters of its set.
pub const TRACED_AT_ALL: Duration = Duration::from_secs(30);
/// Requests per second of a traced customer at the first limiter of its set.
const TRACED_REQUESTS_PER_SECOND: u32 = 5;
/// How long a fleet is observed after a restart.
pub const OBSERVED_AFTER_RESTART: Duration = Duration::from_secs(60);
/// Quotas are enforced again once this many seconds in a row have no more overage than any second without restarts.
const ENFORCED_SECONDS: usize = 3;

/// What a fleet did in the measured time, for each limiter and second where nothing else is stated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Messages sent, the mean over the limiters.
    pub messages_sent: f64,
    /// Messages sent by the limiter that sent most.
    pub messages_sent_greatest: f64,
    /// Bytes sent, the mean over the limiters.
    pub bytes_sent: f64,
    /// Bytes sent by the limiter that sent most.
    pub bytes_sent_greatest: f64,
    /// Messages received by the limiter that received most.
    pub messages_received_greatest: f64,
    /// Messages dropped by full inboxes, the mean over the limiters.
    pub messages_dropped: f64,
    /// Share of the admitted units of overloaded customers that their quotas did not cover.
    pub overage_share: f64,
    /// Admitted units of overloaded customers over what their quotas refilled.
    pub quota_used_share: f64,
}

/// How a customer's use at one limiter became known to the others of its set.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Propagation {
    /// Time until each other limiter of the set had rejected a request at least once, at a request per second; none
    /// where some did not within the observed time.
    pub all_rejected_after: Option<Duration>,
    /// Time until the last unit of overage.
    pub last_overage_after: Duration,
    /// Units of overage over what the quota refilled meanwhile.
    pub overage_over_refill: f64,
}

/// How quotas were enforced again after limiters restarted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Recovery {
    /// Time until the first of three seconds in a row with no more overage than in any second without restarts; none
    /// where there are none within the observed time.
    pub enforced_after: Option<Duration>,
    /// Units of overage until then, or in all of the observed time, less as many as without restarts, over what the
    /// quotas of overloaded customers refill in a second.
    pub overage_in_seconds_of_refill: f64,
}

/// Runs a fleet for its warm-up, and then counts for some time.
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

/// What a fleet has counted since it reset its counts, that long ago.
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
        messages_sent: mean(|one| one.sent_messages),
        messages_sent_greatest: greatest(|one| one.sent_messages),
        bytes_sent: mean(|one| one.sent_bytes),
        bytes_sent_greatest: greatest(|one| one.sent_bytes),
        messages_received_greatest: greatest(|one| one.received_messages),
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

/// Traces customers that send requests to one limiter alone, and then to all of their sets.
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
            fleet.trace_at_first(set_first, TRACED_REQUESTS_PER_SECOND)
        })
        .collect();
    fleet.run(TRACED_AT_FIRST);
    fleet.reset_counts();
    let start = fleet.now();
    for &customer in &traced {
        fleet.trace_at_others(customer);
    }
    fleet.run(TRACED_AT_ALL);
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
    let refill = TRACED_RATE * TRACED_AT_ALL.as_secs_f64();
    Propagation {
        all_rejected_after: (rejected.len() == others).then(|| last.saturating_sub(start)),
        last_overage_after: traced
            .last_overage_at
            .map_or(Duration::ZERO, |at| at.saturating_sub(start)),
        overage_over_refill: traced.usage.overage as f64 / refill,
    }
}

/// Restarts the first limiters at once after the warm-up, and compares with the same fleet without restarts.
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

/// Units of overage of overloaded customers in each second from the restart on.
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

/// From the units of overage in each second without and with restarts, and the quotas' refill in a second.
fn recovery(without_restarts: &[f64], with_restarts: &[f64], refill: f64) -> Recovery {
    let mean = without_restarts.iter().sum::<f64>() / without_restarts.len().max(1) as f64;
    let greatest = without_restarts.iter().copied().fold(0.0, f64::max);
    let enforced_from = with_restarts
        .windows(ENFORCED_SECONDS)
        .position(|seconds| seconds.iter().all(|&overage| overage <= greatest));
    let until = &with_restarts[..enforced_from.unwrap_or(with_restarts.len())];
    let excess: f64 = until.iter().fold(0.0, |sum, overage| sum + overage - mean);
    Recovery {
        enforced_after: enforced_from.map(|seconds| Duration::from_secs(seconds as u64)),
        overage_in_seconds_of_refill: excess / refill.max(f64::MIN_POSITIVE),
    }
}

#[cfg(test)]
mod tests;
