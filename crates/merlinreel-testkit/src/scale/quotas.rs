//! What quotas cost limiters and how well they are enforced: peer messages and aggregators, by the number of limiters,
//! the size of customers' limiter sets, customers per limiter, the share of customers over their quota, and limiters that
//! restart; and what one limiter's tables take for each tenant.
//!
//! Bytes are those of the messages, without the datagrams' headers.

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
use counts::{OBSERVED_AFTER_RESTART, TRACED_AT_ALL, WARM_UP, count_in};
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
const MEASURED: Duration = Duration::from_secs(20);
const TRACED_CUSTOMERS: u32 = 5;
const RESTART_LIMITERS: u32 = 500;

/// Sizes of [`measure`]: limiters.
pub const DEFAULT_SIZES: &[u64] = &[20, 50, 150, 500, 1_500, 2_300];
/// Limiters of a customer's set; the last is all limiters of the default fleet.
pub const SET_SIZES: &[u64] = &[1, 10, 37, 100, 300, 500];
/// Customers of each limiter.
pub const CUSTOMER_SIZES: &[u64] = &[5, 20, 80, 320];
/// Customers over their quota, in percent.
pub const OVERLOADED_SIZES: &[u64] = &[10, 25, 50, 100];
/// Limiters that restart: one, a zone's eleventh, about a region's fifth, and all of the fleet.
pub const RESTART_SIZES: &[u64] = &[1, 45, 100, 500];

/// Varies the number of limiters.
///
/// # Errors
/// A size exceeds the memory bound, or a measurement fails.
pub fn measure(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| FleetSetting {
        limiters: size as u32,
        ..FleetSetting::default()
    };
    measure_fleets(request, LIMITERS, setting, emit)
}

/// Varies the size of customers' limiter sets. Each limiter's customers and traffic stay, so a customer's traffic and
/// quota grow with its set.
///
/// # Errors
/// A size exceeds the memory bound, or a measurement fails.
pub fn measure_set_sizes(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| FleetSetting {
        set_size: size as u32,
        ..FleetSetting::default()
    };
    measure_fleets(request, SET_SIZE, setting, emit)
}

/// Varies the customers of each limiter. Its traffic stays, so a customer's traffic and quota shrink.
///
/// # Errors
/// A size exceeds the memory bound, or a measurement fails.
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
/// A size exceeds the memory bound, or a measurement fails.
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
/// The fleet exceeds the memory bound, or a measurement fails.
pub fn measure_restarts(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = FleetSetting {
        limiters: RESTART_LIMITERS,
        ..FleetSetting::default()
    };
    for &size in &request.sizes {
        check_memory(request, &setting)?;
        let mut report = Report::new(request, LIMITERS_RESTARTED, size, setting.text(), emit);
        let restarted = (size as u32).min(setting.limiters);
        let recovery = count_recovery(setting, request.seed, restarted)
            .map_err(|error| report.failed(error))?;
        // Where quotas are not enforced again within the observed time, that time is the lower bound.
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

/// Checks that a fleet's tables fit: some numbers of each peer at each limiter, two windows of reports at each
/// customer's aggregator, and the accounts.
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

/// Reports the counts, which are the same each run, and the processor time and memory. Memory is reported for the first
/// size alone: later ones reuse what was freed, and would seem to need less than they do.
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

/// One run of a fleet.
struct MeasuredRun {
    counts: Counts,
    /// Processor time of each limiter as a share of a core, the simulation included.
    cpu_share: f64,
    /// Memory of each limiter.
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
    let measured = Meter::start();
    fleet.run(MEASURED);
    let cpu_seconds = measured.read().cpu_seconds;
    let memory_bytes = entire_run.read().memory_bytes as f64;
    Ok(MeasuredRun {
        counts: count_in(&fleet, &setting, MEASURED),
        cpu_share: cpu_seconds / MEASURED.as_secs_f64() / limiters,
        memory_bytes: memory_bytes / limiters,
    })
}

/// Reports the median, least and greatest of the traced customers. Where some limiter did not reject, the observed time
/// is the lower bound.
fn report_propagation(report: &mut Report, setting: FleetSetting) -> Result<(), ScaleError> {
    let traced = count_propagation(setting, report.request.seed, TRACED_CUSTOMERS)
        .map_err(|error| report.failed(error))?;
    let values = |value: fn(&Propagation) -> f64| traced.iter().map(value).collect();
    let rejected_after = values(|one| {
        one.all_rejected_after
            .unwrap_or(TRACED_AT_ALL)
            .as_secs_f64()
    });
    let last_overage_after = values(|one| one.last_overage_after.as_secs_f64());
    let overage = values(|one| one.overage_over_refill);
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
