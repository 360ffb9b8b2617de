//! Measures membership and records of the mesh: their cost at each limiter, and how long a change takes to reach all
//! limiters. Varies the number of limiters, the rate of changes, and how many limiters restart at once.

mod convergence;
mod fleet;
mod propagation;
mod record_watch;

pub use fleet::{Fleet, FleetCounts, FleetSetting, Knowledge};
pub use merlinreel_mesh::Urgency;
pub use record_watch::RecordWatch;

use super::{Emit, MeasureRequest, Meter, Report, ScaleError, Unit, Variable};
use convergence::{report_convergence, report_idle};
use propagation::{report_changes, report_records};
use std::time::Duration;

/// Default numbers of limiters.
pub const DEFAULT_SIZES: &[u64] = &[50, 150, 500, 1500, 2300];
/// Default rates of changes in a fleet of [`FIXED_LIMITERS`], in records per day.
pub const CHANGE_SIZES: &[u64] = &[24_000, 86_400, 240_000, 864_000];
/// Default numbers of limiters that restart at once: one, a rack, one of eleven zones, half and all of
/// [`FIXED_LIMITERS`].
pub const RESTART_SIZES: &[u64] = &[1, 20, 46, 253, 506];
/// Default numbers of limiters, one of which restarts.
pub const RESTART_OF_ONE_SIZES: &[u64] = &[25, 50, 100, 200, 300];
/// Number of limiters where something else is varied: eleven zones of 46.
pub const FIXED_LIMITERS: usize = 506;

const ROLE: &str = "membership";
const LIMITERS: Variable = Variable {
    role: ROLE,
    name: "limiters",
};
const CHANGES_PER_DAY: Variable = Variable {
    role: ROLE,
    name: "changes_a_day",
};
const RESTARTED_AT_ONCE: Variable = Variable {
    role: ROLE,
    name: "restarted_at_once",
};
const LIMITERS_OF_RESTART_OF_ONE: Variable = Variable {
    role: "membership_restart_of_one",
    name: "limiters",
};
/// Simulated time after convergence in which the limiters still relay what they learned about each other.
const SETTLE: Duration = Duration::from_secs(10);
/// Timeout for convergence after the restart of one limiter, in simulated time.
const RESTART_OF_ONE_TIMEOUT: Duration = Duration::from_secs(1200);
/// How long a restarting limiter is down.
const DOWNTIME: Duration = Duration::from_secs(2);
/// Upper estimate of the memory in which one limiter holds its information about another. Only checked against the
/// memory limit.
const BYTES_PER_PAIR: u64 = 1600;
/// Conditions of all measurements, as part of a data point's `setting` text.
const CONDITIONS: &str = "1 % loss, 1 to 3 ms on the way, one record of its own each";

/// Durations of the phases of a measurement, in simulated time. The processor time of a simulated second grows at least
/// with the square of the number of limiters, so large fleets are measured for a shorter time.
#[derive(Clone, Copy, Debug)]
struct Phases {
    /// Timeout for convergence. A fleet that has not converged by then is measured in its incomplete state.
    convergence: Duration,
    /// Time between convergence, or its timeout, and the first run of the idle fleet.
    settle: Duration,
    /// Duration of one run of the idle fleet.
    idle: Duration,
    /// Maximum time for which the propagation of records is watched.
    watch: Duration,
}

impl Phases {
    fn of(limiters: u64) -> Phases {
        let [convergence, settle, idle, watch] = match limiters {
            0..1000 => [240, 10, 10, 60],
            1000..2000 => [60, 2, 4, 30],
            _ => [25, 1, 2, 15],
        }
        .map(Duration::from_secs);
        Phases {
            convergence,
            settle,
            idle,
            watch,
        }
    }

    fn of_fixed_fleet() -> Phases {
        Phases::of(FIXED_LIMITERS as u64)
    }

    /// The phases as part of a data point's `setting` text.
    fn text(&self) -> String {
        let Phases {
            convergence,
            settle,
            idle,
            watch,
        } = self;
        format!(
            "settles for {convergence:?} at most, rests for {settle:?}, quiet for {idle:?}, watched for {watch:?}"
        )
    }
}

/// Varies the number of limiters. Measures the convergence after the start of all limiters, the idle fleet, and the
/// propagation of urgent and routine records.
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        check_memory(request, size)?;
        let phases = Phases::of(size);
        let setting = format!(
            "{CONDITIONS}; 3 seeds; 8,000 bytes/s each; {}",
            phases.text()
        );
        let mut report = Report::new(request, LIMITERS, size, setting, emit);
        let meter = Meter::start();
        let mut fleet = start_fleet(size as usize, request.seed)?;
        report_convergence(&mut fleet, &mut report, phases.convergence)?;
        report_idle(&mut fleet, &mut report, phases)?;
        let memory = meter.read().memory_bytes as f64 / size as f64;
        report.measured("resident_bytes_per_limiter", Unit::Bytes, vec![memory])?;
        report_records(&mut fleet, &mut report, phases.watch)?;
    }
    Ok(())
}

/// Varies the rate at which random limiters in a fleet of [`FIXED_LIMITERS`] publish urgent records.
///
/// # Errors
/// The fleet exceeds the memory limit, or a measurement fails.
pub fn measure_changes(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    check_memory(request, FIXED_LIMITERS as u64)?;
    let mut fleet = start_settled_fleet(FIXED_LIMITERS, request.seed)?;
    for &size in &request.sizes {
        let setting = format!("{FIXED_LIMITERS} limiters; urgent records; {CONDITIONS}");
        let mut report = Report::new(request, CHANGES_PER_DAY, size, setting, emit);
        report_changes(&mut fleet, &mut report)?;
        fleet.run(SETTLE);
    }
    Ok(())
}

/// Varies how many of [`FIXED_LIMITERS`] restart at once, without their earlier state.
///
/// # Errors
/// The fleet exceeds the memory limit, or a measurement fails.
pub fn measure_restarts(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    check_memory(request, FIXED_LIMITERS as u64)?;
    for &size in &request.sizes {
        let setting = format!("{FIXED_LIMITERS} limiters, away for {DOWNTIME:?}; {CONDITIONS}");
        let mut report = Report::new(request, RESTARTED_AT_ONCE, size, setting, emit);
        let mut fleet = start_settled_fleet(FIXED_LIMITERS, request.seed)?;
        // The highest numbers restart: the seeds have the lowest ones and are included last.
        let limiters = FIXED_LIMITERS as u32;
        let restarted = (size as u32).min(limiters);
        fleet.restart(limiters - restarted..limiters, DOWNTIME);
        let phases = Phases::of_fixed_fleet();
        report_convergence(&mut fleet, &mut report, phases.convergence)?;
    }
    Ok(())
}

/// Varies the number of limiters, one of which restarts without its earlier state while the fleet is idle.
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure_restart_of_one(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        check_memory(request, size)?;
        let setting = format!("one limiter is away for {DOWNTIME:?}; {CONDITIONS}");
        let mut report = Report::new(request, LIMITERS_OF_RESTART_OF_ONE, size, setting, emit);
        let mut fleet = start_settled_fleet(size as usize, request.seed)?;
        fleet.restart([size as u32 - 1], DOWNTIME);
        report_convergence(&mut fleet, &mut report, RESTART_OF_ONE_TIMEOUT)?;
    }
    Ok(())
}

fn check_memory(request: &MeasureRequest, limiters: u64) -> Result<(), ScaleError> {
    let pairs = limiters.saturating_mul(limiters);
    let megabytes = pairs.saturating_mul(BYTES_PER_PAIR) >> 20;
    request.check_memory(&format!("a fleet of {limiters} limiters"), megabytes + 16)
}

fn start_fleet(limiters: usize, seed: u64) -> Result<Fleet, ScaleError> {
    Fleet::start(FleetSetting::of(limiters), seed).map_err(|error| ScaleError::Failed {
        role: ROLE,
        size: limiters as u64,
        why: error.to_string(),
    })
}

/// Starts a fleet, and runs it until it has converged (or the timeout has passed) and settled.
fn start_settled_fleet(limiters: usize, seed: u64) -> Result<Fleet, ScaleError> {
    let mut fleet = start_fleet(limiters, seed)?;
    fleet.run_until_converged(Phases::of(limiters as u64).convergence);
    fleet.run(SETTLE);
    Ok(fleet)
}
