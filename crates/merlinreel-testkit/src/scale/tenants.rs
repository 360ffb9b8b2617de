//! What one limiter spends on the tenants that it knows: memory of their accounts, and processor time of ticks, sweeps,
//! requests and peer messages.

mod processor_times;
mod simulated_limiter;

pub use simulated_limiter::{DecisionCounts, FleetSetting, SimulatedLimiter, TICKS_PER_SWEEP};

use super::{Emit, MeasureRequest, Meter, Report, ScaleError, Unit, Variable};
use processor_times::{ProcessorTimes, request_at_once_cpu};
use simulated_limiter::WINDOW_SECONDS;

/// Tenants known to one limiter.
pub const DEFAULT_SIZES: &[u64] = &[1_000, 10_000, 100_000, 380_000];
/// Limiters of a tenant's set.
pub const SET_SIZES: &[u64] = &[1, 10, 37, 150, 300];
/// Limiters of the fleet.
pub const FLEET_SIZES: &[u64] = &[100, 300, 1_000, 2_300];

const TENANTS_KNOWN: Variable = Variable {
    role: "tenants",
    name: "tenants",
};
const SET: Variable = Variable {
    role: "tenants",
    name: "set_size",
};
const LIMITERS_OF_FLEET: Variable = Variable {
    role: "tenants",
    name: "limiters",
};
/// The fleet while something else is varied.
const LIMITERS: u32 = 2_300;
const SET_SIZE: u32 = 37;
/// Tenants while sets are varied.
const TENANTS: u64 = 10_000;
/// Tenants whose counts one limiter aggregates while fleets are varied.
const AGGREGATED_TENANTS: u64 = 500;
/// Tenants are added over this many ticks.
const ADDING_TICKS: u64 = 50;
/// Every account that is ever removed is removed within this many ticks.
const REMOVED_TICKS: u64 = 360 * TICKS_PER_SWEEP;
/// A new tenant's quota is split over its set for 5 s, and what must be reported of it is reported by then.
const SETTLE_SECONDS: u64 = 15;
/// Seconds without requests after which accounts are counted.
const IDLE_SECONDS: [(&str, u64); 3] = [
    ("accounts_after_20_s", 20),
    ("accounts_after_30_s", 30),
    ("accounts_after_60_s", 60),
];
/// An upper estimate of an account and its place in the index, with spare capacity of lists.
const ACCOUNT_KB: u64 = 3;

/// Varies the tenants that a limiter knows, each of whose requests reach this limiter alone.
///
/// # Errors
/// A size exceeds the memory bound, or a measurement fails.
pub fn measure(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    // Kept until the end: memory that one size freed would hide what the next one takes.
    let mut kept = Vec::new();
    for &size in &request.sizes {
        check_memory(request, size)?;
        let mut report = tenants_report(request, size, emit);
        let mut times = ProcessorTimes::default();
        for run in 0..request.runs {
            let meter = Meter::start();
            let mut limiter =
                limiter_with_tenants(&report, FleetSetting::of_single_limiter_sets(), size)?;
            let growth = meter.read().memory_bytes as f64 / size as f64;
            if run == 0 {
                report.measured("memory_per_account", Unit::Bytes, vec![growth])?;
            }
            times.measure(&mut limiter);
            kept.extend((run == 0).then_some(limiter));
        }
        times.report(&mut report)?;
    }
    count(request, emit)
}

/// Emits only the counts of [`measure`].
///
/// # Errors
/// The program rejects the settings, or a data point can't be written.
pub fn count(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    request.sizes.iter().try_for_each(|&size| {
        let mut report = tenants_report(request, size, emit);
        report_accounts_kept(&mut report, FleetSetting::of_single_limiter_sets(), size)
    })
}

/// Varies the limiters of each tenant's set, at a fixed number of tenants: what is sent, and for how long, once all of
/// them sent a request at one moment.
///
/// # Errors
/// The tenants exceed the memory bound, or a measurement fails.
pub fn measure_sets(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        check_memory(request, TENANTS)?;
        let fleet = FleetSetting {
            limiters: LIMITERS,
            set_size: size as u32,
        };
        let mut report = report(request, SET, size, fleet, "10,000 tenants", emit);
        let mut limiter = limiter_with_tenants(&report, fleet, TENANTS)?;
        limiter.run_ticks(SETTLE_SECONDS * TICKS_PER_SWEEP);
        let before = limiter.counts();
        limiter.request_from_all();
        let meter = Meter::start();
        let ticks = ticks_until_silent(&mut limiter);
        let tick_cpu = meter.read().cpu_seconds / (ticks + TICKS_PER_SWEEP) as f64;
        let after = limiter.counts();
        report.measured("drain_beat_cpu", Unit::CpuSeconds, vec![tick_cpu])?;
        report.counted(
            "drain",
            Unit::Seconds,
            ticks as f64 / TICKS_PER_SWEEP as f64,
        )?;
        let messages = after.peer_messages - before.peer_messages;
        report.counted("peer_messages", Unit::Messages, messages as f64)?;
        let bytes = after.peer_bytes - before.peer_bytes;
        report.counted("peer_bytes", Unit::Bytes, bytes as f64)?;
        report_accounts_kept(&mut report, fleet, TENANTS)?;
    }
    Ok(())
}

/// Varies the fleet, at a fixed number of tenants whose counts all others of their sets report to this limiter.
///
/// # Errors
/// A size exceeds the memory bound, or a measurement fails.
pub fn measure_fleet(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let mut kept = Vec::new();
    for &size in &request.sizes {
        let fleet = FleetSetting {
            limiters: size as u32,
            set_size: SET_SIZE,
        };
        request.check_memory(
            &format!("{AGGREGATED_TENANTS} accounts in a fleet of {size}"),
            AGGREGATED_TENANTS * 32 * size / (1 << 20) + 64,
        )?;
        let conditions = "500 gathered tenants";
        let mut report = report(request, LIMITERS_OF_FLEET, size, fleet, conditions, emit);
        let mut limiter = limiter_with_tenants(&report, fleet, AGGREGATED_TENANTS)?;
        let meter = Meter::start();
        let mut rows = limiter.receive_reports();
        limiter.run_ticks(WINDOW_SECONDS * TICKS_PER_SWEEP);
        rows += limiter.receive_reports();
        let memory = meter.read().memory_bytes as f64 / AGGREGATED_TENANTS as f64;
        report.counted("rows_heard", Unit::Count, rows as f64)?;
        report.measured("heard_memory_per_account", Unit::Bytes, vec![memory])?;
        let requests = (0..request.runs)
            .map(|_| request_at_once_cpu(&mut limiter))
            .collect();
        report.measured("reported_request_cpu", Unit::CpuSeconds, requests)?;
        kept.push(limiter);
    }
    Ok(())
}

impl FleetSetting {
    /// The fleet in which each tenant's requests reach one limiter alone.
    fn of_single_limiter_sets() -> FleetSetting {
        FleetSetting {
            limiters: LIMITERS,
            set_size: 1,
        }
    }
}

fn check_memory(request: &MeasureRequest, tenants: u64) -> Result<(), ScaleError> {
    request.check_memory(
        &format!("{tenants} tenants"),
        tenants * ACCOUNT_KB / 1024 + 64,
    )
}

fn tenants_report<'a>(request: &'a MeasureRequest, size: u64, emit: Emit<'a>) -> Report<'a> {
    let fleet = FleetSetting::of_single_limiter_sets();
    report(request, TENANTS_KNOWN, size, fleet, "8 servers", emit)
}

fn report<'a>(
    request: &'a MeasureRequest,
    variable: Variable,
    size: u64,
    fleet: FleetSetting,
    conditions: &'static str,
    emit: Emit<'a>,
) -> Report<'a> {
    let FleetSetting { limiters, set_size } = fleet;
    let setting =
        format!("fleet {limiters}, sets of {set_size}, the last limiter, {conditions}, inbox 40/s");
    Report::new(request, variable, size, setting, emit)
}

fn limiter_with_tenants(
    report: &Report,
    fleet: FleetSetting,
    tenants: u64,
) -> Result<SimulatedLimiter, ScaleError> {
    let mut limiter =
        SimulatedLimiter::new(fleet, report.request.seed).map_err(|error| report.failed(error))?;
    limiter.add_tenants(tenants, ADDING_TICKS);
    Ok(limiter)
}

/// Ticks until nothing was sent to peers for a second.
fn ticks_until_silent(limiter: &mut SimulatedLimiter) -> u64 {
    let mut ticks = 0;
    let mut silent_ticks = 0;
    while silent_ticks < TICKS_PER_SWEEP && ticks < REMOVED_TICKS {
        let before = limiter.counts();
        limiter.run_tick();
        ticks += 1;
        silent_ticks = if limiter.counts() == before {
            silent_ticks + 1
        } else {
            0
        };
    }
    ticks - silent_ticks
}

/// Reports how many accounts are kept after some seconds without requests.
fn report_accounts_kept(
    report: &mut Report,
    fleet: FleetSetting,
    tenants: u64,
) -> Result<(), ScaleError> {
    for (metric, seconds) in IDLE_SECONDS {
        let mut limiter = limiter_with_tenants(report, fleet, tenants)?;
        limiter.run_ticks(seconds * TICKS_PER_SWEEP);
        report.counted(metric, Unit::Count, limiter.accounts_kept() as f64)?;
    }
    Ok(())
}
