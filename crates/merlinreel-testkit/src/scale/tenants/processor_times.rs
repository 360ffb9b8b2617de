//! Processor time of what a limiter does with its tenants.

use super::LIMITERS;
use super::simulated_limiter::{SimulatedLimiter, TICKS_PER_SWEEP, WINDOW_SECONDS};
use crate::scale::{Meter, Report, ScaleError, Unit};
use std::time::Duration;

/// Accounts visited in a measurement, over as many repetitions as the size needs: the kernel counts processor time in
/// steps of some milliseconds.
const VISITED_ACCOUNTS: u64 = 1_500_000;
const REQUESTS_AT_ONCE: u64 = 200_000;
/// One tenant in this many sends a request in a tick.
const TENANTS_PER_ACTIVE: usize = 100;
/// Seconds of ticks that are measured, and as many ticks that each sweep: with a second before and after, less than the
/// half minute after which accounts are removed.
const IDLE_SECONDS: u64 = 12;
const ACTIVE_SECONDS: u64 = 5;
/// Sweeps in one of which all accounts are removed.
const REMOVAL_SWEEPS: u64 = 10;
const MIN_PEER_RESTARTS: u64 = 20;

/// Processor times in seconds, a value for each run.
#[derive(Default)]
pub struct ProcessorTimes {
    request: Vec<f64>,
    idle_tick: Vec<f64>,
    idle_sweep: Vec<f64>,
    active_second: Vec<f64>,
    peer_restart: Vec<f64>,
    removal_sweep: Vec<f64>,
}

/// Processor time of a limiter without requests, in seconds.
struct IdleTimes {
    tick: f64,
    sweep: f64,
}

impl ProcessorTimes {
    /// Measures a limiter whose tenants were just added; in the end all accounts are removed.
    pub fn measure(&mut self, limiter: &mut SimulatedLimiter) {
        self.request.push(request_cpu(limiter));
        self.active_second.push(active_second_cpu(limiter));
        self.peer_restart.push(peer_restart_cpu(limiter));
        let idle = idle_times(limiter);
        // Less than 30 seconds have passed since the last requests; one of the next sweeps removes all accounts.
        let sweeps = cpu_of(|| run_sweeps(limiter, REMOVAL_SWEEPS));
        let other_sweeps = (REMOVAL_SWEEPS - 1) as f64 * (idle.tick + idle.sweep);
        self.removal_sweep.push((sweeps - other_sweeps).max(0.0));
        self.idle_tick.push(idle.tick);
        self.idle_sweep.push(idle.sweep);
    }

    /// Reports all times.
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

/// A request with its part of a tick; each tenant sends one in a window.
fn request_cpu(limiter: &mut SimulatedLimiter) -> f64 {
    let tenants = limiter.tenants();
    let repetitions = VISITED_ACCOUNTS.div_ceil(tenants);
    let meter = Meter::start();
    for _ in 0..repetitions {
        limiter.request_from_all();
        limiter.advance(Duration::from_secs(WINDOW_SECONDS));
    }
    meter.read().cpu_seconds / (repetitions * tenants) as f64
}

/// A request without any tick, while the reports of the other limiters are of the present window. Most are rejected.
pub fn request_at_once_cpu(limiter: &mut SimulatedLimiter) -> f64 {
    let repetitions = REQUESTS_AT_ONCE.div_ceil(limiter.tenants());
    let all = cpu_of(|| (0..repetitions).for_each(|_| limiter.request_from_all()));
    all / (repetitions * limiter.tenants()) as f64
}

/// Advances so far at a time that each tick sweeps.
fn run_sweeps(limiter: &mut SimulatedLimiter, count: u64) {
    (0..count).for_each(|_| limiter.advance(Duration::from_secs(1)));
}

/// A tick and a sweep of a limiter without requests. Some ticks are run with a sweep each and others with one in ten,
/// which separates the two.
fn idle_times(limiter: &mut SimulatedLimiter) -> IdleTimes {
    let mut all_sweeping = 0.0;
    let mut few_sweeping = 0.0;
    let repetitions = VISITED_ACCOUNTS.div_ceil(limiter.tenants() * IDLE_SECONDS);
    for _ in 0..repetitions {
        limiter.request_from_all();
        limiter.run_ticks(TICKS_PER_SWEEP);
        all_sweeping += cpu_of(|| run_sweeps(limiter, IDLE_SECONDS));
        few_sweeping += cpu_of(|| limiter.run_ticks(IDLE_SECONDS * TICKS_PER_SWEEP));
    }
    let seconds = (repetitions * IDLE_SECONDS) as f64;
    let one_tick = all_sweeping / seconds;
    let ten_ticks = few_sweeping / seconds;
    let tick = ((ten_ticks - one_tick) / (TICKS_PER_SWEEP - 1) as f64).max(0.0);
    IdleTimes {
        tick,
        sweep: (one_tick - tick).max(0.0),
    }
}

/// A second in each tick of which a hundredth of the tenants send a request.
fn active_second_cpu(limiter: &mut SimulatedLimiter) -> f64 {
    let repetitions = VISITED_ACCOUNTS.div_ceil(limiter.tenants() * ACTIVE_SECONDS);
    let tenants = limiter.tenants() as usize;
    let ticks = repetitions * ACTIVE_SECONDS * TICKS_PER_SWEEP;
    let all = cpu_of(|| {
        for tick in 0..ticks as usize {
            let active = (tick % TENANTS_PER_ACTIVE..tenants).step_by(TENANTS_PER_ACTIVE);
            active.for_each(|tenant| {
                limiter.request(tenant);
            });
            limiter.run_tick();
        }
    });
    all / (repetitions * ACTIVE_SECONDS) as f64
}

/// The first message of another limiter after its restart.
fn peer_restart_cpu(limiter: &mut SimulatedLimiter) -> f64 {
    let restarts = VISITED_ACCOUNTS
        .div_ceil(limiter.tenants())
        .max(MIN_PEER_RESTARTS);
    let all = cpu_of(|| {
        for restart in 0..restarts {
            limiter.restart_peer(restart as u32 % (LIMITERS - 1));
        }
    });
    all / restarts as f64
}
