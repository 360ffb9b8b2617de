//! What one limiter spends on the tenants that it knows: memory of their accounts, and processor time of beats, sweeps,
//! requests and peer messages.

mod hollow;

use crate::scale::{Emit, Figure, MeasureRequest, Meter, ScaleError, Sheet, Unit};
pub use hollow::{BEATS_PER_SWEEP, Fleet, HollowLimiter, Said};
use std::time::Duration;

/// Tenants known to one limiter.
pub const DEFAULT_SIZES: &[u64] = &[1_000, 10_000, 100_000, 380_000];
/// Limiters of a tenant's set.
pub const SET_SIZES: &[u64] = &[1, 10, 37, 150, 300];
/// Limiters of the fleet.
pub const FLEET_SIZES: &[u64] = &[100, 300, 1_000, 2_300];

const ROLE: &str = "tenants";
/// The fleet while something else is varied.
const LIMITERS: u32 = 2_300;
const SET_SIZE: u32 = 37;
/// Tenants while sets are varied, and tenants whose counts one limiter gathers while fleets are.
const TENANTS: u64 = 10_000;
const GATHERED: u64 = 500;
/// Tenants come over these beats.
const FILLING: u64 = 50;
/// By then all are forgotten that ever will be.
const FORGOTTEN_BEATS: u64 = 360 * BEATS_PER_SWEEP;
/// A new tenant's quota is split over its set for 5 s, and what is to be told of it is told by then.
const REST_SECONDS: u64 = 15;
/// Seconds of quiet after which accounts are counted.
const QUIET: [(&str, u64); 3] = [
    ("accounts_after_20_s", 20),
    ("accounts_after_30_s", 30),
    ("accounts_after_60_s", 60),
];
/// One tenant in so many is active in a beat.
const ACTIVE_PART: usize = 100;
/// Seconds of beats that are measured, and as many beats that each sweep: with a second before and after, short of the
/// half minute in which accounts are forgotten.
const MEASURED_SECONDS: u64 = 12;
const ACTIVE_SECONDS: u64 = 5;
/// Accounts looked at in a measurement, over as many rounds of it as the size needs: the kernel counts processor time
/// in steps of some milliseconds.
const ACCOUNTS_MEASURED: u64 = 1_500_000;
const REQUESTS_AT_ONCE: u64 = 200_000;
/// For the check of memory beforehand: an account with its place in the index, with room for lists that double.
const ACCOUNT_KB: u64 = 3;

/// Varies the tenants that a limiter knows, each of which comes through this limiter alone.
pub fn measure(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let fleet = Fleet {
        limiters: LIMITERS,
        set_size: 1,
    };
    // Kept until the end: memory that one size gave back would hide what the next one takes.
    let mut kept = Vec::new();
    for &size in &request.sizes {
        request.check_memory(&format!("{size} tenants"), size * ACCOUNT_KB / 1024 + 64)?;
        let sheet = sheet(request, "tenants", size, fleet, "8 servers");
        let mut times = Times::default();
        for run in 0..request.runs {
            let meter = Meter::start();
            let mut limiter = filled(fleet, size, request.seed)?;
            let grown = meter.read().memory_bytes as f64 / size as f64;
            if run == 0 {
                let figure = sheet.measured("memory_per_account", Unit::Bytes, vec![grown]);
                figure.map(&mut *emit).transpose()?;
            }
            times.take(&mut limiter);
            kept.extend((run == 0).then_some(limiter));
        }
        times.figures(&sheet).into_iter().try_for_each(&mut *emit)?;
    }
    count(request, emit)
}

/// The counts alone of what [`measure`] tells.
pub fn count(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let fleet = Fleet {
        limiters: LIMITERS,
        set_size: 1,
    };
    request.sizes.iter().try_for_each(|&size| {
        emit_kept(
            &sheet(request, "tenants", size, fleet, "8 servers"),
            fleet,
            size,
            request.seed,
            emit,
        )
    })
}

/// Varies the limiters of each tenant's set, at a fixed number of tenants: what is said, and for how long, once all of
/// them came at one moment.
pub fn measure_sets(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        request.check_memory(
            &format!("{TENANTS} tenants"),
            TENANTS * ACCOUNT_KB / 1024 + 64,
        )?;
        let fleet = Fleet {
            limiters: LIMITERS,
            set_size: size as u32,
        };
        let sheet = sheet(request, "set_size", size, fleet, "10,000 tenants");
        let mut limiter = filled(fleet, TENANTS, request.seed)?;
        limiter.beats(REST_SECONDS * BEATS_PER_SWEEP);
        let before = limiter.said();
        limiter.all_request();
        let meter = Meter::start();
        let beats = beats_to_drain(&mut limiter);
        let beat = meter.read().cpu_seconds / (beats + BEATS_PER_SWEEP) as f64;
        let said = limiter.said();
        sheet
            .measured("drain_beat_cpu", Unit::CpuSeconds, vec![beat])
            .map(&mut *emit)
            .transpose()?;
        emit(sheet.counted(
            "drain",
            Unit::Seconds,
            beats as f64 / BEATS_PER_SWEEP as f64,
        ))?;
        let messages = said.peer_messages - before.peer_messages;
        emit(sheet.counted("peer_messages", Unit::Messages, messages as f64))?;
        emit(sheet.counted(
            "peer_bytes",
            Unit::Bytes,
            (said.peer_bytes - before.peer_bytes) as f64,
        ))?;
        emit_kept(&sheet, fleet, TENANTS, request.seed, emit)?;
    }
    Ok(())
}

/// Varies the fleet, at a fixed number of tenants whose counts all others of their sets report to this limiter.
pub fn measure_fleet(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let mut kept = Vec::new();
    for &size in &request.sizes {
        let fleet = Fleet {
            limiters: size as u32,
            set_size: SET_SIZE,
        };
        let needed = GATHERED * 32 * size / (1 << 20) + 64;
        request.check_memory(&format!("{GATHERED} accounts in a fleet of {size}"), needed)?;
        let sheet = sheet(request, "limiters", size, fleet, "500 gathered tenants");
        let mut limiter =
            HollowLimiter::new(fleet, request.seed).map_err(|why| unsettled(size, why))?;
        limiter.add_tenants(GATHERED, FILLING);
        let meter = Meter::start();
        let mut rows = limiter.hear_reports();
        limiter.beats(hollow::WINDOW_SECONDS * BEATS_PER_SWEEP);
        rows += limiter.hear_reports();
        let memory = meter.read().memory_bytes as f64 / GATHERED as f64;
        emit(sheet.counted("rows_heard", Unit::Count, rows as f64))?;
        sheet
            .measured("heard_memory_per_account", Unit::Bytes, vec![memory])
            .map(&mut *emit)
            .transpose()?;
        let requests = (0..request.runs)
            .map(|_| request_at_once_cpu(&mut limiter))
            .collect();
        sheet
            .measured("reported_request_cpu", Unit::CpuSeconds, requests)
            .map(&mut *emit)
            .transpose()?;
        kept.push(limiter);
    }
    Ok(())
}

fn unsettled(size: u64, why: String) -> ScaleError {
    ScaleError::Unsettled {
        role: ROLE,
        size,
        why,
    }
}

fn sheet(
    request: &MeasureRequest,
    variable: &'static str,
    size: u64,
    fleet: Fleet,
    more: &'static str,
) -> Sheet {
    let Fleet { limiters, set_size } = fleet;
    let setting =
        format!("fleet {limiters}, sets of {set_size}, the last limiter, {more}, inbox 40/s");
    Sheet {
        seed: request.seed,
        role: ROLE,
        variable,
        size,
        setting,
    }
}

fn filled(fleet: Fleet, tenants: u64, seed: u64) -> Result<HollowLimiter, ScaleError> {
    let mut limiter = HollowLimiter::new(fleet, seed).map_err(|why| unsettled(tenants, why))?;
    limiter.add_tenants(tenants, FILLING);
    Ok(limiter)
}

/// Beats until nothing was said to peers for a second.
fn beats_to_drain(limiter: &mut HollowLimiter) -> u64 {
    let (mut beats, mut silent) = (0, 0);
    while silent < BEATS_PER_SWEEP && beats < FORGOTTEN_BEATS {
        let before = limiter.said();
        limiter.beat();
        beats += 1;
        silent = if limiter.said() == before {
            silent + 1
        } else {
            0
        };
    }
    beats - silent
}

/// How many accounts are still there after some seconds in which no tenant came.
fn emit_kept(
    sheet: &Sheet,
    fleet: Fleet,
    tenants: u64,
    seed: u64,
    emit: Emit,
) -> Result<(), ScaleError> {
    for (metric, seconds) in QUIET {
        let mut limiter = filled(fleet, tenants, seed)?;
        limiter.beats(seconds * BEATS_PER_SWEEP);
        emit(sheet.counted(metric, Unit::Count, limiter.accounts_kept() as f64))?;
    }
    Ok(())
}

/// Processor time of a request with its part of a beat; each tenant comes once in a window.
fn request_cpu(limiter: &mut HollowLimiter) -> f64 {
    let tenants = limiter.tenants();
    let rounds = ACCOUNTS_MEASURED.div_ceil(tenants);
    let meter = Meter::start();
    for _ in 0..rounds {
        limiter.all_request();
        limiter.step(Duration::from_secs(hollow::WINDOW_SECONDS));
    }
    meter.read().cpu_seconds / (rounds * tenants) as f64
}

/// Processor time of a request without any beat, while what others reported is of the present window. Most are refused.
fn request_at_once_cpu(limiter: &mut HollowLimiter) -> f64 {
    let rounds = REQUESTS_AT_ONCE.div_ceil(limiter.tenants());
    let all = cpu(|| (0..rounds).for_each(|_| limiter.all_request()));
    all / (rounds * limiter.tenants()) as f64
}

/// Processor time of what a limiter does with its tenants, a value a run.
#[derive(Default)]
struct Times {
    request: Vec<f64>,
    quiet_beat: Vec<f64>,
    sweep: Vec<f64>,
    active_second: Vec<f64>,
    peer_restart: Vec<f64>,
    forgetting_sweep: Vec<f64>,
}

impl Times {
    /// From a limiter whose tenants have just come; they are forgotten in the end.
    fn take(&mut self, limiter: &mut HollowLimiter) {
        self.request.push(request_cpu(limiter));
        self.active_second.push(active_second_cpu(limiter));
        self.peer_restart.push(peer_restart_cpu(limiter));
        let (beat, sweep) = quiet_cpu(limiter);
        self.quiet_beat.push(beat);
        self.sweep.push(sweep);
        // Since the measurement of quiet beats less than 30 seconds have gone; all go in one of the next sweeps.
        let sweeps = 10;
        let all = cpu(|| sweep_alone(limiter, sweeps));
        self.forgetting_sweep
            .push((all - (sweeps - 1) as f64 * (beat + sweep)).max(0.0));
    }

    fn figures(self, sheet: &Sheet) -> Vec<Figure> {
        let times = [
            ("request_cpu", self.request),
            ("quiet_beat_cpu", self.quiet_beat),
            ("sweep_cpu", self.sweep),
            ("active_second_cpu", self.active_second),
            ("peer_restart_cpu", self.peer_restart),
            ("forgetting_sweep_cpu", self.forgetting_sweep),
        ];
        times
            .into_iter()
            .filter_map(|(metric, runs)| sheet.measured(metric, Unit::CpuSeconds, runs))
            .collect()
    }
}

fn cpu(work: impl FnOnce()) -> f64 {
    let meter = Meter::start();
    work();
    meter.read().cpu_seconds
}

/// Beats so far apart that each sweeps.
fn sweep_alone(limiter: &mut HollowLimiter, count: u64) {
    (0..count).for_each(|_| limiter.step(Duration::from_secs(1)));
}

/// A beat and a sweep of a limiter whose tenants are all quiet. Some beats are run with a sweep each and others with
/// one in ten: that tells the two apart.
fn quiet_cpu(limiter: &mut HollowLimiter) -> (f64, f64) {
    let (mut with_sweeps, mut with_few) = (0.0, 0.0);
    let rounds = ACCOUNTS_MEASURED.div_ceil(limiter.tenants() * MEASURED_SECONDS);
    for _ in 0..rounds {
        limiter.all_request();
        limiter.beats(BEATS_PER_SWEEP);
        with_sweeps += cpu(|| sweep_alone(limiter, MEASURED_SECONDS));
        with_few += cpu(|| limiter.beats(MEASURED_SECONDS * BEATS_PER_SWEEP));
    }
    let seconds = (rounds * MEASURED_SECONDS) as f64;
    let (one_beat, ten_beats) = (with_sweeps / seconds, with_few / seconds);
    let beat = ((ten_beats - one_beat) / (BEATS_PER_SWEEP - 1) as f64).max(0.0);
    (beat, (one_beat - beat).max(0.0))
}

/// A second in each beat of which a hundredth of the tenants come, with their requests.
fn active_second_cpu(limiter: &mut HollowLimiter) -> f64 {
    let rounds = ACCOUNTS_MEASURED.div_ceil(limiter.tenants() * ACTIVE_SECONDS);
    let tenants = limiter.tenants() as usize;
    let beats = rounds * ACTIVE_SECONDS * BEATS_PER_SWEEP;
    let all = cpu(|| {
        for beat in 0..beats as usize {
            let active = (beat % ACTIVE_PART..tenants).step_by(ACTIVE_PART);
            active.for_each(|tenant| {
                limiter.request(tenant);
            });
            limiter.beat();
        }
    });
    all / (rounds * ACTIVE_SECONDS) as f64
}

/// What it takes to hear that another limiter has started again.
fn peer_restart_cpu(limiter: &mut HollowLimiter) -> f64 {
    let restarts = ACCOUNTS_MEASURED.div_ceil(limiter.tenants()).max(20);
    let all = cpu(|| {
        (0..restarts).for_each(|restart| limiter.peer_restarts(restart as u32 % (LIMITERS - 1)))
    });
    all / restarts as f64
}
