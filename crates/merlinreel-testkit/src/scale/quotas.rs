//! Measures the cost of quotas and how well they are enforced by peer messages and aggregators. Varies the number of
//! limiters, the size of customers' limiter sets, the customers per limiter, the share of customers whose demand exceeds
//! their quota, and the number of limiters that restart. Also measures the memory of one limiter's tables by the number
//! of tenants.
//!
//! Bytes of messages don't include the datagrams' UDP and IP headers.

mod counts;
mod customer;
mod fleet;
mod fleet_setting;
mod peer_inbox;
mod tenant_tables;

pub use counts::{Counts, Propagation, Recovery, count, count_propagation, count_recovery};
pub use customer::{Customer, LimiterSet, Usage};
pub use fleet::{Fleet, START};
pub use fleet_setting::{
    FleetSetting, OVERLOADED_PLAN, PEER_INBOX_PER_SECOND, TRACED_PLAN, TRACED_RATE,
    UNDERLOADED_PLAN,
};
pub use tenant_tables::{
    REPORTED_TENANT_SIZES, TENANT_SIZES, TenantTables, measure_reported_tenants, measure_tenants,
};

use super::{Emit, MeasureRequest, Meter, Report, ScaleError, Source, Unit, Variable};
use counts::{OBSERVED_AFTER_RESTART, WARM_UP, WHOLE_SET_PHASE, count_in};
use std::time::Duration;

const LIMITERS: Variable = Variable {
    role: "quotas",
    name: "limiters",
};
const SET_SIZE: Variable = Variable {
    role: "quotas",
    name: "set_size",
};
const CUSTOMERS_PER_LIMITER: Variable = Variable {
    role: "quotas",
    name: "customers_per_limiter",
};
const OVERLOADED_PERCENT: Variable = Variable {
    role: "quotas",
    name: "pressed_percent",
};
const LIMITERS_RESTARTED: Variable = Variable {
    role: "quotas",
    name: "limiters_restarted",
};
/// Simulated time over which a fleet is measured after the warm-up.
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Traced customers of each fleet, spread evenly over its limiters.
const TRACED_CUSTOMERS: u32 = 5;
/// Limiters of the fleet while the number of restarts is varied.
const FIXED_LIMITERS: u32 = 500;

/// Default sizes of [`measure`]: limiters of the fleet.
pub const DEFAULT_SIZES: &[u64] = &[20, 50, 150, 500, 1_500, 2_300];
/// Default sizes of [`measure_set_sizes`]: limiters in each customer's set; the last is all limiters of the default fleet.
pub const SET_SIZES: &[u64] = &[1, 10, 37, 100, 300, 500];
/// Default sizes of [`measure_customers`]: customers of each limiter.
pub const CUSTOMER_SIZES: &[u64] = &[5, 20, 80, 320];
/// Default sizes of [`measure_overloaded`]: percentage of customers whose demand exceeds their quota.
pub const OVERLOADED_SIZES: &[u64] = &[10, 25, 50, 100];
/// Default sizes of [`measure_restarts`]: limiters that restart, of 500. One, an eleventh (a zone), a fifth (about a
/// region), and all.
pub const RESTART_SIZES: &[u64] = &[1, 45, 100, 500];

/// Varies the number of limiters.
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| FleetSetting {
        limiters: size as u32,
        ..FleetSetting::default()
    };
    measure_fleets(request, LIMITERS, setting, emit)
}

/// Varies the size of customers' limiter sets. The customers and traffic of each limiter stay the same, so the traffic
/// and quota of a customer grow with its set.
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure_set_sizes(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| FleetSetting {
        set_size: size as u32,
        ..FleetSetting::default()
    };
    measure_fleets(request, SET_SIZE, setting, emit)
}

/// Varies the number of customers of each limiter. The limiter's traffic stays the same, so the traffic and quota of each
/// customer shrink as their number grows.
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure_customers(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| FleetSetting {
        customers_per_limiter: size as u32,
        ..FleetSetting::default()
    };
    measure_fleets(request, CUSTOMERS_PER_LIMITER, setting, emit)
}

/// Varies the percentage of customers whose demand exceeds their quota.
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure_overloaded(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| FleetSetting {
        overloaded_percent: size as u32,
        ..FleetSetting::default()
    };
    measure_fleets(request, OVERLOADED_PERCENT, setting, emit)
}

/// Varies the number of limiters that restart at once.
///
/// # Errors
/// The fleet exceeds the memory limit, or a measurement fails.
pub fn measure_restarts(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = FleetSetting {
        limiters: FIXED_LIMITERS,
        ..FleetSetting::default()
    };
    for &size in &request.sizes {
        check_memory(request, &setting)?;
        let mut report = Report::new(request, LIMITERS_RESTARTED, size, setting.text(), emit);
        let restarted = (size as u32).min(setting.limiters);
        let recovery = count_recovery(setting, request.seed, restarted)
            .map_err(|error| report.failed(error))?;
        // If quotas are not enforced again within the observed time, that time is reported as a lower bound.
        let enforced_after = recovery.enforced_after.unwrap_or(OBSERVED_AFTER_RESTART);
        report.counted(
            "quotas_hold_after",
            Unit::Seconds,
            enforced_after.as_secs_f64(),
        )?;
        report.counted(
            "beyond_in_seconds_of_refill",
            Unit::Seconds,
            recovery.overage_in_seconds_of_refill,
        )?;
    }
    Ok(())
}

fn measure_fleets(
    request: &MeasureRequest,
    variable: Variable,
    setting: impl Fn(u64) -> FleetSetting,
    emit: Emit,
) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        let setting = setting(size);
        check_memory(request, &setting)?;
        let mut report = Report::new(request, variable, size, setting.text(), emit);
        report_counts(&mut report, setting)?;
        report_propagation(&mut report, setting)?;
    }
    Ok(())
}

/// Checks that a fleet's tables fit into the memory limit: each limiter's state of every peer, the reports of two windows
/// at each customer's aggregator, and the accounts.
fn check_memory(request: &MeasureRequest, setting: &FleetSetting) -> Result<(), ScaleError> {
    const PEER_BYTES: u64 = 40;
    const REPORT_BYTES: u64 = 16;
    const ACCOUNT_BYTES: u64 = 1_024;
    let limiters = u64::from(setting.limiters);
    let peers = limiters * limiters * PEER_BYTES;
    let reports = u64::from(setting.customers()) * limiters * REPORT_BYTES;
    let accounts = limiters * u64::from(setting.customers_per_limiter) * ACCOUNT_BYTES;
    let needed_mb = 64 + (peers + reports + accounts) / (1 << 20);
    request.check_memory(&format!("a fleet of {}", setting.text()), needed_mb)
}

/// Reports the counts, which are the same in each run, the processor time and the memory. Memory is reported for the
/// first size only: later sizes reuse freed memory, so their growth would be less than what they need.
fn report_counts(report: &mut Report, setting: FleetSetting) -> Result<(), ScaleError> {
    let runs = measure_runs(report, setting)?;
    let without_peers = FleetSetting {
        peer_messages: false,
        ..setting
    };
    let runs_without_peers = measure_runs(report, without_peers)?;
    let cpu = |runs: &[MeasuredRun]| runs.iter().map(|run| run.cpu_share).collect();
    if let Some(first) = runs.first() {
        report_each_count(report, &first.counts)?;
    }
    report.measured("cpu_share", Unit::CpuShare, cpu(&runs))?;
    report.measured(
        "cpu_share_without_peers",
        Unit::CpuShare,
        cpu(&runs_without_peers),
    )?;
    let is_first_size = report.request.sizes.first() == Some(&report.size);
    let memory = runs.first().filter(|_| is_first_size);
    report.measured(
        "memory_per_limiter",
        Unit::Bytes,
        memory.map(|run| run.memory_bytes).into_iter().collect(),
    )
}

fn report_each_count(report: &mut Report, counts: &Counts) -> Result<(), ScaleError> {
    let values = [
        (
            "messages_sent_mean",
            Unit::MessagesPerSecond,
            counts.messages_sent,
        ),
        (
            "messages_sent_greatest",
            Unit::MessagesPerSecond,
            counts.messages_sent_greatest,
        ),
        ("bytes_sent_mean", Unit::BytesPerSecond, counts.bytes_sent),
        (
            "bytes_sent_greatest",
            Unit::BytesPerSecond,
            counts.bytes_sent_greatest,
        ),
        (
            "messages_received_greatest",
            Unit::MessagesPerSecond,
            counts.messages_received_greatest,
        ),
        (
            "messages_dropped_mean",
            Unit::MessagesPerSecond,
            counts.messages_dropped,
        ),
        ("beyond_quota_share", Unit::Count, counts.overage_share),
        ("quota_used_share", Unit::Count, counts.quota_used_share),
    ];
    values
        .into_iter()
        .try_for_each(|(metric, unit, value)| report.counted(metric, unit, value))
}

/// Results of one run of a fleet.
struct MeasuredRun {
    counts: Counts,
    /// Mean processor time of a limiter as a share of one core, including the simulation.
    cpu_share: f64,
    /// Mean memory of a limiter, including the simulation.
    memory_bytes: f64,
}

fn measure_runs(report: &Report, setting: FleetSetting) -> Result<Vec<MeasuredRun>, ScaleError> {
    (0..report.request.runs)
        .map(|_| measure_run(report, setting))
        .collect()
}

fn measure_run(report: &Report, setting: FleetSetting) -> Result<MeasuredRun, ScaleError> {
    let limiters = f64::from(setting.limiters);
    let entire_run = Meter::start();
    let mut fleet =
        Fleet::new(setting, report.request.seed).map_err(|error| report.failed(error))?;
    fleet.run(WARM_UP);
    fleet.reset_counts();
    let measured_part = Meter::start();
    fleet.run(MEASURED_TIME);
    let cpu_seconds = measured_part.read().cpu_seconds;
    let memory_bytes = entire_run.read().memory_bytes as f64;
    Ok(MeasuredRun {
        counts: count_in(&fleet, &setting, MEASURED_TIME),
        cpu_share: cpu_seconds / MEASURED_TIME.as_secs_f64() / limiters,
        memory_bytes: memory_bytes / limiters,
    })
}

/// Reports the median, minimum and maximum over the traced customers. If a limiter of a customer's set rejected none of
/// its requests, the observed time is reported as a lower bound.
fn report_propagation(report: &mut Report, setting: FleetSetting) -> Result<(), ScaleError> {
    let traced = count_propagation(setting, report.request.seed, TRACED_CUSTOMERS)
        .map_err(|error| report.failed(error))?;
    let values = |value: fn(&Propagation) -> f64| traced.iter().map(value).collect();
    let rejected_after = values(|propagation| {
        propagation
            .all_rejected_after
            .unwrap_or(WHOLE_SET_PHASE)
            .as_secs_f64()
    });
    let last_overage_after = values(|propagation| propagation.last_overage_after.as_secs_f64());
    let overage = values(|propagation| propagation.overage_over_refill);
    let counted = Source::Counted;
    report.runs("all_refused_after", Unit::Seconds, counted, rejected_after)?;
    report.runs(
        "last_beyond_after",
        Unit::Seconds,
        counted,
        last_overage_after,
    )?;
    report.runs("probed_beyond_over_refill", Unit::Count, counted, overage)
}
