//! Measures the cost of the tenants that one limiter knows: memory of their accounts, and processor time of ticks, sweeps
//! (the checks for expired accounts), requests and peer messages.

mod processor_times;
mod simulated_limiter;

pub use simulated_limiter::{DecisionCounts, FleetSetting, SimulatedLimiter, TICKS_PER_SWEEP};

use super::{Emit, MeasureRequest, Meter, Report, ScaleError, Unit, Variable};
use processor_times::{ProcessorTimes, request_cpu_without_ticks};
use simulated_limiter::WINDOW_SECONDS;

/// Default sizes of [`measure`]: tenants known to one limiter.
pub const DEFAULT_SIZES: &[u64] = &[1_000, 10_000, 100_000, 380_000];
/// Default sizes of [`measure_sets`]: limiters in each tenant's set.
pub const SET_SIZES: &[u64] = &[1, 10, 37, 150, 300];
/// Default sizes of [`measure_fleet`]: limiters of the fleet.
pub const FLEET_SIZES: &[u64] = &[100, 300, 1_000, 2_300];

const TENANTS_VARIABLE: Variable = Variable {
    role: "tenants",
    name: "tenants",
};
const SET_SIZE_VARIABLE: Variable = Variable {
    role: "tenants",
    name: "set_size",
};
const LIMITERS_VARIABLE: Variable = Variable {
    role: "tenants",
    name: "limiters",
};
/// Limiters of the fleet while another variable is varied.
const FIXED_LIMITERS: u32 = 2_300;
/// Limiters in each tenant's set while the size of the fleet is varied.
const FIXED_SET_SIZE: u32 = 37;
/// Tenants while the size of the sets is varied.
const FIXED_TENANTS: u64 = 10_000;
/// Tenants whose counts one limiter aggregates while the size of the fleet is varied.
const AGGREGATED_TENANTS: u64 = 500;
/// Number of ticks over which tenants are added.
const ADDING_TICKS: u64 = 50;
/// Upper bound of the ticks until a limiter without requests sends no more messages; all expired accounts are removed by
/// then.
const MAX_TICKS_UNTIL_SILENT: u64 = 360 * TICKS_PER_SWEEP;
/// Time after which the reports of new tenants have been sent; a new tenant's quota is split over its set for 5 s.
const SETTLE_SECONDS: u64 = 15;
/// Metrics of the accounts that are kept, with the seconds without requests after which they are counted.
const METRICS_BY_IDLE_SECONDS: [(&str, u64); 3] = [
    ("accounts_after_20_s", 20),
    ("accounts_after_30_s", 30),
    ("accounts_after_60_s", 60),
];
/// Upper estimate of the memory of an account and its table entries, with the spare capacity of lists.
const ACCOUNT_KB: u64 = 3;

/// Varies the number of tenants that a limiter knows. Their requests are received by this limiter only.
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    // Kept until the end, as memory that is freed and reused would not be measured as growth of the next size.
    let mut kept_limiters = Vec::new();
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
            kept_limiters.extend((run == 0).then_some(limiter));
        }
        times.report(&mut report)?;
    }
    count(request, emit)
}

/// Emits only those data points of [`measure`] that are counts.
///
/// # Errors
/// The program rejects the settings, or a data point can't be written.
pub fn count(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    request.sizes.iter().try_for_each(|&size| {
        let mut report = tenants_report(request, size, emit);
        report_accounts_kept(&mut report, FleetSetting::of_single_limiter_sets(), size)
    })
}

/// Varies the size of the tenants' limiter sets at a fixed number of tenants. Measures the peer messages that follow one
/// request of each tenant at the same moment, and the time until no more are sent.
///
/// # Errors
/// The tenants exceed the memory limit, or a measurement fails.
pub fn measure_sets(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        check_memory(request, FIXED_TENANTS)?;
        let fleet = FleetSetting {
            limiters: FIXED_LIMITERS,
            set_size: size as u32,
        };
        let mut report = report(
            request,
            SET_SIZE_VARIABLE,
            size,
            fleet,
            "10,000 tenants",
            emit,
        );
        let mut limiter = limiter_with_tenants(&report, fleet, FIXED_TENANTS)?;
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
        report_accounts_kept(&mut report, fleet, FIXED_TENANTS)?;
    }
    Ok(())
}

/// Varies the size of the fleet at a fixed number of tenants, whose counts all other limiters of their sets report to this
/// limiter.
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure_fleet(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    // Kept until the end, as in `measure`.
    let mut kept_limiters = Vec::new();
    for &size in &request.sizes {
        let fleet = FleetSetting {
            limiters: size as u32,
            set_size: FIXED_SET_SIZE,
        };
        request.check_memory(
            &format!("{AGGREGATED_TENANTS} accounts in a fleet of {size}"),
            AGGREGATED_TENANTS * 32 * size / (1 << 20) + 64,
        )?;
        let conditions = "500 gathered tenants";
        let mut report = report(request, LIMITERS_VARIABLE, size, fleet, conditions, emit);
        let mut limiter = limiter_with_tenants(&report, fleet, AGGREGATED_TENANTS)?;
        let meter = Meter::start();
        let mut rows = limiter.receive_reports();
        limiter.run_ticks(WINDOW_SECONDS * TICKS_PER_SWEEP);
        rows += limiter.receive_reports();
        let memory = meter.read().memory_bytes as f64 / AGGREGATED_TENANTS as f64;
        report.counted("rows_heard", Unit::Count, rows as f64)?;
        report.measured("heard_memory_per_account", Unit::Bytes, vec![memory])?;
        let requests = (0..request.runs)
            .map(|_| request_cpu_without_ticks(&mut limiter))
            .collect();
        report.measured("reported_request_cpu", Unit::CpuSeconds, requests)?;
        kept_limiters.push(limiter);
    }
    Ok(())
}

impl FleetSetting {
    /// The fleet in which each tenant's requests are received by one limiter only.
    fn of_single_limiter_sets() -> FleetSetting {
        FleetSetting {
            limiters: FIXED_LIMITERS,
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
    report(request, TENANTS_VARIABLE, size, fleet, "8 servers", emit)
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

/// Runs ticks until no decisions or messages were counted for a second. Returns the number of ticks before that second.
fn ticks_until_silent(limiter: &mut SimulatedLimiter) -> u64 {
    let mut ticks = 0;
    let mut silent_ticks = 0;
    while silent_ticks < TICKS_PER_SWEEP && ticks < MAX_TICKS_UNTIL_SILENT {
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

/// Reports how many accounts are kept after each time without requests in [`METRICS_BY_IDLE_SECONDS`].
fn report_accounts_kept(
    report: &mut Report,
    fleet: FleetSetting,
    tenants: u64,
) -> Result<(), ScaleError> {
    for (metric, seconds) in METRICS_BY_IDLE_SECONDS {
        let mut limiter = limiter_with_tenants(report, fleet, tenants)?;
        limiter.run_ticks(seconds * TICKS_PER_SWEEP);
        report.counted(metric, Unit::Count, limiter.accounts_kept() as f64)?;
    }
    Ok(())
}
