//! What quotas cost limiters and how well they hold: peer messages and gatherers, over the number of limiters, the size
//! of customers' sets, customers a limiter, the pressed share and limiters that start again; and what one limiter's
//! tables take for each tenant.
//!
//! Bytes are those of the messages, without the datagrams' headers.

mod customer;
mod fleet;
mod inbox;
mod setting;
mod tables;

pub use customer::{Customer, Use};
pub use fleet::{Fleet, START};
pub use setting::{CALM, FleetSetting, INBOX_PER_S, PRESSED, PROBED, PROBED_RATE};
pub use tables::{
    REPORTED_TENANT_SIZES, TENANT_SIZES, TenantTables, measure_reported_tenants, measure_tenants,
};

use super::{Emit, Figure, MeasureRequest, Meter, ScaleError, Sheet, Unit};
use std::time::Duration;

const ROLE: &str = "quotas";
/// Four times a store's refill. Stores are full at first and still hide use beyond the quota after one: in a trial of
/// 500 limiters and sets of 37 the share beyond it was 1.7 % after 12 s, and 17 % after 60 s.
const WARM_UP: Duration = Duration::from_secs(40);
const MEASURED: Duration = Duration::from_secs(20);
/// How long a probed customer asks at one limiter alone, so that its gatherer must know.
const PROBED_ALONE: Duration = Duration::from_secs(10);
const PROBED_AT_ALL: Duration = Duration::from_secs(30);
const PROBES: u32 = 5;
/// Requests a second of a probed customer at the first limiter of its set.
const PROBE_REQUESTS: u32 = 5;
const RESTART_LIMITERS: u32 = 500;
const AFTER_RESTART: u64 = 60;

/// Sizes of [`measure`]: limiters.
pub const DEFAULT_SIZES: &[u64] = &[20, 50, 150, 500, 1_500, 2_300];
/// The last is all limiters of the default fleet.
pub const SET_SIZES: &[u64] = &[1, 10, 37, 100, 300, 500];
pub const CUSTOMER_SIZES: &[u64] = &[5, 20, 80, 320];
/// In percent of the customers.
pub const PRESSED_SIZES: &[u64] = &[10, 25, 50, 100];
/// One, a zone's eleventh, a region's fifth or so, and all limiters of the fleet.
pub const RESTART_SIZES: &[u64] = &[1, 45, 100, 500];

/// What all figures of one size share.
struct Point<'a> {
    request: &'a MeasureRequest,
    variable: &'static str,
    size: u64,
    setting: String,
}

impl Point<'_> {
    fn sheet(&self) -> Sheet {
        let Point { variable, size, .. } = *self;
        Sheet {
            seed: self.request.seed,
            role: ROLE,
            variable,
            size,
            setting: self.setting.clone(),
        }
    }

    fn counted(&self, metric: &'static str, unit: Unit, value: f64) -> Figure {
        self.sheet().counted(metric, unit, value)
    }

    fn of_kernel(&self, metric: &'static str, unit: Unit, runs: Vec<f64>) -> Option<Figure> {
        self.sheet().measured(metric, unit, runs)
    }

    fn unsettled(&self, why: String) -> ScaleError {
        self.sheet().unsettled(why)
    }
}

/// What a fleet did in the measured time, for each limiter and second where nothing else is said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub messages_sent: f64,
    pub messages_sent_greatest: f64,
    pub bytes_sent: f64,
    pub bytes_sent_greatest: f64,
    pub messages_received_greatest: f64,
    pub messages_dropped: f64,
    /// Share of the units let in of pressed customers that their quotas did not cover.
    pub beyond_share: f64,
    /// Units let in of pressed customers over what their quotas refilled.
    pub quota_used_share: f64,
}

/// How a customer's use at one limiter became known to the others of its set.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// Until each other limiter of the set had refused at least once, having been asked once a second; none where some
    /// did not within [`PROBED_AT_ALL`].
    pub all_refused_after: Option<Duration>,
    /// Until the last unit beyond the quota.
    pub last_beyond_after: Duration,
    /// Units beyond the quota over what the quota refilled meanwhile.
    pub beyond_over_refill: f64,
}

/// How quotas came to hold again after limiters started again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Recovery {
    /// Until the first of three seconds in a row with no more beyond the quotas than in any second without restarts;
    /// none where there are none within the time looked at.
    pub holds_after: Option<Duration>,
    /// Units beyond the quotas until then (or in all that time), less as many as without restarts, over what the pressed
    /// customers' quotas refill in a second.
    pub beyond_in_seconds_of_refill: f64,
}

/// Runs a fleet until it is warm, and then counts for some time.
pub fn count(
    setting: FleetSetting,
    seed: u64,
    warm_up: Duration,
    time: Duration,
) -> Result<Counts, String> {
    let mut fleet = Fleet::new(setting, seed)?;
    fleet.run(warm_up);
    fleet.reset_counts();
    fleet.run(time);
    Ok(counts(&fleet, &setting, time))
}

fn counts(fleet: &Fleet, setting: &FleetSetting, time: Duration) -> Counts {
    let seconds = time.as_secs_f64();
    let (limiters, traffic) = (f64::from(setting.limiters), fleet.traffic());
    let sum = |count: fn(&super::Traffic) -> u64| traffic.iter().map(count).sum::<u64>() as f64;
    let greatest =
        |count: fn(&super::Traffic) -> u64| traffic.iter().map(count).max().unwrap_or(0) as f64;
    let pressed = pressed_use(fleet);
    let refill = setting.rate(PRESSED) * seconds * pressed_customers(fleet);
    Counts {
        messages_sent: sum(|one| one.sent_messages) / limiters / seconds,
        messages_sent_greatest: greatest(|one| one.sent_messages) / seconds,
        bytes_sent: sum(|one| one.sent_bytes) / limiters / seconds,
        bytes_sent_greatest: greatest(|one| one.sent_bytes) / seconds,
        messages_received_greatest: greatest(|one| one.received_messages) / seconds,
        messages_dropped: fleet.dropped() as f64 / limiters / seconds,
        beyond_share: pressed.beyond as f64 / pressed.admitted.max(1) as f64,
        quota_used_share: pressed.admitted as f64 / refill.max(1.0),
    }
}

fn pressed_customers(fleet: &Fleet) -> f64 {
    fleet
        .customers
        .iter()
        .filter(|customer| customer.plan == PRESSED)
        .count() as f64
}

fn pressed_use(fleet: &Fleet) -> Use {
    let pressed = fleet
        .customers
        .iter()
        .filter(|customer| customer.plan == PRESSED);
    pressed.fold(Use::default(), |sum, customer| Use {
        asked: sum.asked + customer.used.asked,
        admitted: sum.admitted + customer.used.admitted,
        beyond: sum.beyond + customer.used.beyond,
    })
}

/// Customers that ask at one limiter alone, and then at all of their sets.
pub fn count_spread(setting: FleetSetting, seed: u64, probes: u32) -> Result<Vec<Spread>, String> {
    let mut fleet = Fleet::new(setting, seed)?;
    fleet.run(WARM_UP);
    let first = |probe| probe * setting.limiters / probes;
    let probed: Vec<usize> = (0..probes)
        .map(|probe| fleet.probe_at_first(first(probe), PROBE_REQUESTS))
        .collect();
    fleet.run(PROBED_ALONE);
    fleet.reset_counts();
    let begin = fleet.now();
    probed
        .iter()
        .for_each(|&customer| fleet.probe_at_others(customer));
    fleet.run(PROBED_AT_ALL);
    Ok(probed
        .iter()
        .map(|&customer| spread(&fleet, customer, begin))
        .collect())
}

fn spread(fleet: &Fleet, customer: usize, begin: Duration) -> Spread {
    let probed = &fleet.customers[customer];
    let others = probed.set_size as usize - 1;
    let refused: Vec<Duration> = fleet
        .first_refusals(customer)
        .into_iter()
        .skip(1)
        .flatten()
        .collect();
    let last = refused.iter().max().copied().unwrap_or(begin);
    let refill = PROBED_RATE * PROBED_AT_ALL.as_secs_f64();
    Spread {
        all_refused_after: (refused.len() == others).then(|| last.saturating_sub(begin)),
        last_beyond_after: probed
            .last_beyond
            .map_or(Duration::ZERO, |at| at.saturating_sub(begin)),
        beyond_over_refill: probed.used.beyond as f64 / refill,
    }
}

/// The first `restarted` limiters start again at once in a warm fleet; held against the same fleet without restarts.
pub fn count_recovery(
    setting: FleetSetting,
    seed: u64,
    restarted: u32,
) -> Result<Recovery, String> {
    let mut fleet = Fleet::new(setting, seed)?;
    let refill = setting.rate(PRESSED) * pressed_customers(&fleet);
    let restarts = beyond_after_restart(&mut fleet, restarted);
    let usual = beyond_after_restart(&mut Fleet::new(setting, seed)?, 0);
    Ok(recovery(&usual, &restarts, refill))
}

/// Units of pressed customers let in beyond the quota in each second from the restart on.
fn beyond_after_restart(fleet: &mut Fleet, restarted: u32) -> Vec<f64> {
    fleet.run(WARM_UP);
    fleet.restart(0..restarted);
    beyond_by_second(fleet, AFTER_RESTART)
}

/// Runs for so many seconds; units of pressed customers let in beyond the quota in each.
fn beyond_by_second(fleet: &mut Fleet, seconds: u64) -> Vec<f64> {
    let next = |_| {
        let before = pressed_use(fleet).beyond;
        fleet.run(Duration::from_secs(1));
        (pressed_use(fleet).beyond - before) as f64
    };
    (0..seconds).map(next).collect()
}

/// From the units beyond the quotas in each second without and with restarts, and the quotas' refill in a second.
fn recovery(without: &[f64], after: &[f64], refill: f64) -> Recovery {
    let usual = without.iter().sum::<f64>() / without.len().max(1) as f64;
    let most = without.iter().copied().fold(0.0, f64::max);
    let holds = after
        .windows(3)
        .position(|three| three.iter().all(|&beyond| beyond <= most));
    let until = &after[..holds.unwrap_or(after.len())];
    let more: f64 = until.iter().fold(0.0, |sum, beyond| sum + beyond - usual);
    Recovery {
        holds_after: holds.map(|seconds| Duration::from_secs(seconds as u64)),
        beyond_in_seconds_of_refill: more / refill.max(f64::MIN_POSITIVE),
    }
}

/// Over the number of limiters.
pub fn measure(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| FleetSetting {
        limiters: size as u32,
        ..FleetSetting::default()
    };
    measure_fleets(request, "limiters", setting, emit)
}

/// Over the size of customers' sets. Each limiter's customers and traffic stay, so a customer's traffic and quota grow
/// with its set.
pub fn measure_set_sizes(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| FleetSetting {
        set_size: size as u32,
        ..FleetSetting::default()
    };
    measure_fleets(request, "set_size", setting, emit)
}

/// Over the customers that a limiter has. Its traffic stays, so a customer's traffic and quota shrink.
pub fn measure_customers(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| FleetSetting {
        customers_per_limiter: size as u32,
        ..FleetSetting::default()
    };
    measure_fleets(request, "customers_per_limiter", setting, emit)
}

/// Over the percentage of customers that ask for more than their quota.
pub fn measure_pressed(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| FleetSetting {
        pressed_percent: size as u32,
        ..FleetSetting::default()
    };
    measure_fleets(request, "pressed_percent", setting, emit)
}

/// Over the number of limiters that start again at once.
pub fn measure_restarts(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = FleetSetting {
        limiters: RESTART_LIMITERS,
        ..FleetSetting::default()
    };
    for &size in &request.sizes {
        check_memory(request, &setting)?;
        let point = Point {
            request,
            variable: "limiters_restarted",
            size,
            setting: setting.text(),
        };
        let restarted = (size as u32).min(setting.limiters);
        let found =
            count_recovery(setting, request.seed, restarted).map_err(|why| point.unsettled(why))?;
        // Where they do not hold again within the time looked at, that time stands, as the least it can be.
        let holds_after = found
            .holds_after
            .unwrap_or(Duration::from_secs(AFTER_RESTART))
            .as_secs_f64();
        emit(point.counted("quotas_hold_after", Unit::Seconds, holds_after))?;
        let beyond = found.beyond_in_seconds_of_refill;
        emit(point.counted("beyond_in_seconds_of_refill", Unit::Seconds, beyond))?;
    }
    Ok(())
}

fn measure_fleets(
    request: &MeasureRequest,
    variable: &'static str,
    setting: impl Fn(u64) -> FleetSetting,
    emit: Emit,
) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        let setting = setting(size);
        check_memory(request, &setting)?;
        let point = Point {
            request,
            variable,
            size,
            setting: setting.text(),
        };
        emit_counts(&point, setting, emit)?;
        emit_spread(&point, setting, emit)?;
    }
    Ok(())
}

/// Refuses a fleet whose tables would not fit: some numbers of each peer at each limiter, two windows of reports at
/// each customer's gatherer, and the accounts.
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

/// Counts, and what the process used for them; the first run's are told, as all are the same. Memory is told of the
/// first size alone: later ones use again what was freed, and would seem to need less than they do.
fn emit_counts(point: &Point, setting: FleetSetting, emit: Emit) -> Result<(), ScaleError> {
    let seed = point.request.seed;
    let unsettled = |why| point.unsettled(why);
    let (mut processor, mut memory, mut told) = (Vec::new(), None, None);
    for _ in 0..point.request.runs {
        let (found, used) = count_used(setting, seed).map_err(unsettled)?;
        processor.push(used.processor);
        memory.get_or_insert(used.memory);
        told.get_or_insert(found);
    }
    let is_first = point.request.sizes.first() == Some(&point.size);
    let silent = FleetSetting {
        peer_messages: false,
        ..setting
    };
    let runs = (0..point.request.runs)
        .map(|_| Ok(count_used(silent, seed).map_err(unsettled)?.1.processor));
    let without = runs.collect::<Result<Vec<f64>, ScaleError>>()?;
    let found = told.unwrap_or_default();
    let figures = [
        (
            "messages_sent_mean",
            Unit::MessagesPerSecond,
            found.messages_sent,
        ),
        (
            "messages_sent_greatest",
            Unit::MessagesPerSecond,
            found.messages_sent_greatest,
        ),
        ("bytes_sent_mean", Unit::BytesPerSecond, found.bytes_sent),
        (
            "bytes_sent_greatest",
            Unit::BytesPerSecond,
            found.bytes_sent_greatest,
        ),
        (
            "messages_received_greatest",
            Unit::MessagesPerSecond,
            found.messages_received_greatest,
        ),
        (
            "messages_dropped_mean",
            Unit::MessagesPerSecond,
            found.messages_dropped,
        ),
        ("beyond_quota_share", Unit::Count, found.beyond_share),
        ("quota_used_share", Unit::Count, found.quota_used_share),
    ];
    figures
        .into_iter()
        .try_for_each(|(metric, unit, value)| emit(point.counted(metric, unit, value)))?;
    let figures = [
        point.of_kernel("cpu_share", Unit::CpuShare, processor),
        point.of_kernel("cpu_share_without_peers", Unit::CpuShare, without),
        point.of_kernel(
            "memory_per_limiter",
            Unit::Bytes,
            memory.into_iter().filter(|_| is_first).collect(),
        ),
    ];
    figures.into_iter().flatten().try_for_each(emit)
}

/// What a limiter used of the processor (the harness's part in it) and of memory.
struct UsedEach {
    processor: f64,
    memory: f64,
}

fn count_used(setting: FleetSetting, seed: u64) -> Result<(Counts, UsedEach), String> {
    let limiters = f64::from(setting.limiters);
    let of_all = Meter::start();
    let mut fleet = Fleet::new(setting, seed)?;
    fleet.run(WARM_UP);
    fleet.reset_counts();
    let measured = Meter::start();
    fleet.run(MEASURED);
    let processor = measured.read().cpu_seconds / MEASURED.as_secs_f64() / limiters;
    let memory = of_all.read().memory_bytes as f64 / limiters;
    Ok((
        counts(&fleet, &setting, MEASURED),
        UsedEach { processor, memory },
    ))
}

/// The probes' median, least and most. Where some limiter did not refuse, the time looked at stands, as the least it can
/// be.
fn emit_spread(point: &Point, setting: FleetSetting, emit: Emit) -> Result<(), ScaleError> {
    let found =
        count_spread(setting, point.request.seed, PROBES).map_err(|why| point.unsettled(why))?;
    let of_probes = |metric, unit, value: fn(&Spread) -> f64| {
        Figure::of_runs(
            found.iter().map(value).collect(),
            point.counted(metric, unit, 0.0),
        )
    };
    let figures = [
        of_probes("all_refused_after", Unit::Seconds, |one| {
            one.all_refused_after.unwrap_or(PROBED_AT_ALL).as_secs_f64()
        }),
        of_probes("last_beyond_after", Unit::Seconds, |one| {
            one.last_beyond_after.as_secs_f64()
        }),
        of_probes("probed_beyond_over_refill", Unit::Count, |one| {
            one.beyond_over_refill
        }),
    ];
    figures.into_iter().flatten().try_for_each(emit)
}

#[cfg(test)]
mod tests;
