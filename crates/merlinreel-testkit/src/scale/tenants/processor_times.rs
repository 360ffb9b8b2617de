//! Measures a limiter's processor time by the kind of work: requests, ticks, sweeps and peer restarts.

use super::FIXED_LIMITERS;
use super::simulated_limiter::{SimulatedLimiter, TICKS_PER_SWEEP, WINDOW_SECONDS};
use crate::scale::{Meter, Report, ScaleError, Unit};
use std::time::Duration;

/// Minimum number of accounts visited in a measurement. Work on fewer tenants is repeated, as the kernel counts processor
/// time in steps of some milliseconds.
const MIN_VISITED_ACCOUNTS: u64 = 1_500_000;
/// Minimum number of requests in a measurement without ticks.
const MIN_REQUESTS_WITHOUT_TICKS: u64 = 200_000;
/// One of this many tenants sends a request in each tick.
const TENANTS_PER_ACTIVE_TENANT: usize = 100;
/// Simulated seconds of idle ticks, first with one tick per second and then with ten. Together with the second before and
/// after them, less than the 30 seconds after which idle accounts are removed.
const IDLE_SECONDS: u64 = 12;
/// Simulated seconds in which a part of the tenants sends requests in each tick.
const ACTIVE_SECONDS: u64 = 5;
/// Number of sweeps in a measurement of the removal of accounts; one of them removes all accounts.
const REMOVAL_SWEEPS: u64 = 10;
/// Minimum number of peer restarts in a measurement.
const MIN_PEER_RESTARTS: u64 = 20;

/// Processor times in seconds, with a value for each run.
#[derive(Default)]
pub struct ProcessorTimes {
    request: Vec<f64>,
    idle_tick: Vec<f64>,
    idle_sweep: Vec<f64>,
    active_second: Vec<f64>,
    peer_restart: Vec<f64>,
    removal_sweep: Vec<f64>,
}

/// Processor time of a limiter without requests, in seconds per tick and per sweep.
struct IdleTimes {
    tick: f64,
    sweep: f64,
}

impl ProcessorTimes {
    /// Measures a limiter whose tenants were just added. Afterwards, it has no accounts left.
    pub fn measure(&mut self, limiter: &mut SimulatedLimiter) {
        self.request.push(request_cpu(limiter));
        self.active_second.push(active_second_cpu(limiter));
        self.peer_restart.push(peer_restart_cpu(limiter));
        let idle = idle_times(limiter);
        // Less than 30 seconds have passed since the last requests, so one of the next sweeps removes all accounts.
        let sweeps = cpu_of(|| run_sweeps(limiter, REMOVAL_SWEEPS));
        let other_sweeps = (REMOVAL_SWEEPS - 1) as f64 * (idle.tick + idle.sweep);
        self.removal_sweep.push((sweeps - other_sweeps).max(0.0));
        self.idle_tick.push(idle.tick);
        self.idle_sweep.push(idle.sweep);
    }

    /// Reports all processor times.
    ///
    /// # Errors
    /// A data point can't be written.
    pub fn report(self, report: &mut Report) -> Result<(), ScaleError> {
        let times = [
            ("request_cpu", self.request),
            ("quiet_beat_cpu", self.idle_tick),
            ("sweep_cpu", self.idle_sweep),
            ("active_second_cpu", self.active_second),
            ("peer_restart_cpu", self.peer_restart),
            ("forgetting_sweep_cpu", self.removal_sweep),
        ];
        times
            .into_iter()
            .try_for_each(|(metric, runs)| report.measured(metric, Unit::CpuSeconds, runs))
    }
}

fn cpu_of(work: impl FnOnce()) -> f64 {
    let meter = Meter::start();
    work();
    meter.read().cpu_seconds
}

/// Processor time of a request, including its share of a tick. Each tenant sends a request in each window.
fn request_cpu(limiter: &mut SimulatedLimiter) -> f64 {
    let tenants = limiter.tenants();
    let repetitions = MIN_VISITED_ACCOUNTS.div_ceil(tenants);
    let meter = Meter::start();
    for _ in 0..repetitions {
        limiter.request_from_all();
        limiter.advance(Duration::from_secs(WINDOW_SECONDS));
    }
    meter.read().cpu_seconds / (repetitions * tenants) as f64
}

/// Processor time of a request without ticks, while the other limiters' reports are of the current window. Most requests
/// are rejected.
pub fn request_cpu_without_ticks(limiter: &mut SimulatedLimiter) -> f64 {
    let repetitions = MIN_REQUESTS_WITHOUT_TICKS.div_ceil(limiter.tenants());
    let total = cpu_of(|| (0..repetitions).for_each(|_| limiter.request_from_all()));
    total / (repetitions * limiter.tenants()) as f64
}

/// Runs ticks that are a second apart, so that each of them includes a sweep.
fn run_sweeps(limiter: &mut SimulatedLimiter, count: u64) {
    (0..count).for_each(|_| limiter.advance(Duration::from_secs(1)));
}

/// Processor time of a tick and of a sweep of a limiter without requests. Ticks that all include a sweep are compared with
/// ticks of which one in ten does, to separate the two.
fn idle_times(limiter: &mut SimulatedLimiter) -> IdleTimes {
    let mut sweeping_ticks_cpu = 0.0;
    let mut regular_ticks_cpu = 0.0;
    let repetitions = MIN_VISITED_ACCOUNTS.div_ceil(limiter.tenants() * IDLE_SECONDS);
    for _ in 0..repetitions {
        limiter.request_from_all();
        limiter.run_ticks(TICKS_PER_SWEEP);
        sweeping_ticks_cpu += cpu_of(|| run_sweeps(limiter, IDLE_SECONDS));
        regular_ticks_cpu += cpu_of(|| limiter.run_ticks(IDLE_SECONDS * TICKS_PER_SWEEP));
    }
    let seconds = (repetitions * IDLE_SECONDS) as f64;
    let tick_and_sweep = sweeping_ticks_cpu / seconds;
    let ten_ticks_and_sweep = regular_ticks_cpu / seconds;
    let tick = ((ten_ticks_and_sweep - tick_and_sweep) / (TICKS_PER_SWEEP - 1) as f64).max(0.0);
    IdleTimes {
        tick,
        sweep: (tick_and_sweep - tick).max(0.0),
    }
}

/// Processor time of a simulated second in each tick of which a hundredth of the tenants sends a request.
fn active_second_cpu(limiter: &mut SimulatedLimiter) -> f64 {
    let repetitions = MIN_VISITED_ACCOUNTS.div_ceil(limiter.tenants() * ACTIVE_SECONDS);
    let tenants = limiter.tenants() as usize;
    let ticks = repetitions * ACTIVE_SECONDS * TICKS_PER_SWEEP;
    let total = cpu_of(|| {
        for tick in 0..ticks as usize {
            let active =
                (tick % TENANTS_PER_ACTIVE_TENANT..tenants).step_by(TENANTS_PER_ACTIVE_TENANT);
            active.for_each(|tenant| {
                limiter.request(tenant);
            });
            limiter.run_tick();
        }
    });
    total / (repetitions * ACTIVE_SECONDS) as f64
}

/// Processor time of the first message of a peer after its restart.
fn peer_restart_cpu(limiter: &mut SimulatedLimiter) -> f64 {
    let restarts = MIN_VISITED_ACCOUNTS
        .div_ceil(limiter.tenants())
        .max(MIN_PEER_RESTARTS);
    let total = cpu_of(|| {
        for restart in 0..restarts {
            limiter.restart_peer(restart as u32 % (FIXED_LIMITERS - 1));
        }
    });
    total / restarts as f64
}
