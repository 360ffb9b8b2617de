//! Membership and records of the mesh: what they cost each limiter, and how long word takes to be everywhere, by the
//! number of limiters, by the rate of changes, and by how many limiters start again at once.

mod fleet;
mod report;
mod watch;

pub use fleet::{Fleet, FleetCounts, FleetSetting, Knowledge};
pub use watch::RecordWatch;

use super::{Emit, MeasureRequest, Meter, ScaleError, Source, Unit};
use report::Report;
use std::time::Duration;

/// Limiters.
pub const DEFAULT_SIZES: &[u64] = &[50, 150, 500, 1500, 2300];
/// Records a day, at [`FIXED_LIMITERS`].
pub const CHANGES_SIZES: &[u64] = &[24_000, 86_400, 240_000, 864_000];
/// Limiters started again at once: one, a rack, a zone of eleven, half, all of [`FIXED_LIMITERS`].
pub const RESTARTS_SIZES: &[u64] = &[1, 20, 46, 253, 506];
/// Limiters, of which one starts again.
pub const RESTART_OF_ONE_SIZES: &[u64] = &[25, 50, 100, 200, 300];
/// Limiters where something else is varied: eleven zones of 46.
pub const FIXED_LIMITERS: usize = 506;

const ROLE: &str = "membership";
/// How often it is looked whether each limiter knows nearly all.
const NEARLY_CHECK: Duration = Duration::from_secs(2);
/// How often knowledge of a record is looked at.
const WATCH_CHECK: Duration = Duration::from_millis(500);
const URGENT_RECORDS: usize = 3;
const ROUTINE_RECORDS: usize = 8;
/// When the share of holders of a routine record is told, as far as it is watched that long.
const ROUTINE_SHARES: [(Duration, &str); 3] = [
    (Duration::from_secs(10), "routine_share_after_10_s"),
    (Duration::from_secs(30), "routine_share_after_30_s"),
    (Duration::from_secs(60), "routine_share_after_60_s"),
];
/// After a start, what the limiters learnt of one another is still being passed on for a while.
const REST: Duration = Duration::from_secs(10);
/// A change of configuration is to be in force everywhere by then.
const IN_FORCE: Duration = Duration::from_secs(4);
const CHANGES: Duration = Duration::from_secs(20);
const SECONDS_A_DAY: u64 = 86_400;
/// The time that one limiter is given to know all again.
const RESTART_OF_ONE_AT_MOST: Duration = Duration::from_secs(1200);
/// Between a routine record and an urgent one of the same limiter.
const ROUTINE_BEFORE_URGENT: Duration = Duration::from_secs(1);
/// How long a limiter is away that starts again.
const AWAY: Duration = Duration::from_secs(2);
/// What one limiter holds of another, in bytes: estimated high, for the memory bound alone.
const BYTES_A_PAIR: u64 = 1600;

/// How long a fleet is measured, on its clock. What a second costs grows with the square of the size and more: large
/// fleets are measured for less.
#[derive(Clone, Copy, Debug)]
struct Spans {
    /// A fleet that is not whole by then is measured as it is, and how much it knows is told.
    settle: Duration,
    rest: Duration,
    /// One run of the quiet.
    quiet: Duration,
    /// How long records are watched at most.
    watch: Duration,
}

impl Spans {
    fn of(limiters: u64) -> Spans {
        let [settle, rest, quiet, watch] = match limiters {
            0..1000 => [240, 10, 10, 60],
            1000..2000 => [60, 2, 4, 30],
            _ => [25, 1, 2, 15],
        }
        .map(Duration::from_secs);
        Spans {
            settle,
            rest,
            quiet,
            watch,
        }
    }

    fn told(&self) -> String {
        let Spans {
            settle,
            rest,
            quiet,
            watch,
        } = self;
        format!(
            "settles for {settle:?} at most, rests for {rest:?}, quiet for {quiet:?}, watched for {watch:?}"
        )
    }
}

/// Varies the number of limiters: start of all, the quiet, an urgent record, a routine record.
pub fn measure(request: &MeasureRequest, emit: Emit<'_>) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        check_memory(request, size)?;
        let spans = Spans::of(size);
        let setting = format!(
            "{}; 3 seeds; 8,000 bytes/s each; {}",
            ways_told(),
            spans.told()
        );
        let mut report = Report {
            request,
            role: ROLE,
            variable: "limiters",
            size,
            setting,
            emit: &mut *emit,
        };
        let meter = Meter::start();
        let mut fleet = start_fleet(size as usize, request.seed)?;
        report_settling(&mut fleet, &mut report, spans.settle)?;
        report_quiet(&mut fleet, &mut report, spans)?;
        let memory = meter.read().memory_bytes as f64 / size as f64;
        report.runs(
            "resident_bytes_per_limiter",
            Unit::Bytes,
            Source::Kernel,
            vec![memory],
        )?;
        report_records(&mut fleet, &mut report, spans.watch)?;
    }
    Ok(())
}

/// Varies the rate of urgent records, from limiters drawn by chance, in a fleet of [`FIXED_LIMITERS`].
pub fn measure_changes(request: &MeasureRequest, emit: Emit<'_>) -> Result<(), ScaleError> {
    check_memory(request, FIXED_LIMITERS as u64)?;
    let mut fleet = start_fleet(FIXED_LIMITERS, request.seed)?;
    fleet.run_until_whole(Spans::of(FIXED_LIMITERS as u64).settle);
    fleet.run(REST);
    for &size in &request.sizes {
        let setting = format!("{FIXED_LIMITERS} limiters; urgent records; {}", ways_told());
        let variable = "changes_a_day";
        let mut report = Report {
            request,
            role: ROLE,
            variable,
            size,
            setting,
            emit: &mut *emit,
        };
        report_changes(&mut fleet, &mut report)?;
        fleet.run(REST);
    }
    Ok(())
}

/// Varies how many of [`FIXED_LIMITERS`] start again at once, with no memory.
pub fn measure_restarts(request: &MeasureRequest, emit: Emit<'_>) -> Result<(), ScaleError> {
    check_memory(request, FIXED_LIMITERS as u64)?;
    for &size in &request.sizes {
        let restarted = (size as u32).min(FIXED_LIMITERS as u32);
        let setting = format!(
            "{FIXED_LIMITERS} limiters, away for {AWAY:?}; {}",
            ways_told()
        );
        let variable = "restarted_at_once";
        let mut report = Report {
            request,
            role: ROLE,
            variable,
            size,
            setting,
            emit: &mut *emit,
        };
        let mut fleet = start_fleet(FIXED_LIMITERS, request.seed)?;
        fleet.run_until_whole(Spans::of(FIXED_LIMITERS as u64).settle);
        fleet.run(REST);
        // The last ones by number: the seeds go only where all do.
        let first = FIXED_LIMITERS as u32 - restarted;
        fleet.restart(first..FIXED_LIMITERS as u32, AWAY);
        report_settling(
            &mut fleet,
            &mut report,
            Spans::of(FIXED_LIMITERS as u64).settle,
        )?;
    }
    Ok(())
}

/// Varies the number of limiters, one of which starts again with no memory while all else is quiet.
pub fn measure_restart_of_one(request: &MeasureRequest, emit: Emit<'_>) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        check_memory(request, size)?;
        let setting = format!("one limiter is away for {AWAY:?}; {}", ways_told());
        let role = "membership_restart_of_one";
        let mut report = Report {
            request,
            role,
            variable: "limiters",
            size,
            setting,
            emit: &mut *emit,
        };
        let mut fleet = start_fleet(size as usize, request.seed)?;
        fleet.run_until_whole(Spans::of(size).settle);
        fleet.run(REST);
        fleet.restart([size as u32 - 1], AWAY);
        report_settling(&mut fleet, &mut report, RESTART_OF_ONE_AT_MOST)?;
    }
    Ok(())
}

fn ways_told() -> String {
    "1 % loss, 1 to 3 ms on the way, one record of its own each".to_owned()
}

fn check_memory(request: &MeasureRequest, limiters: u64) -> Result<(), ScaleError> {
    let megabytes = limiters
        .saturating_mul(limiters)
        .saturating_mul(BYTES_A_PAIR)
        >> 20;
    request.check_memory(&format!("a fleet of {limiters} limiters"), megabytes + 16)
}

fn start_fleet(limiters: usize, seed: u64) -> Result<Fleet, ScaleError> {
    let unsettled = |why: String| ScaleError::Unsettled {
        role: ROLE,
        size: limiters as u64,
        why,
    };
    Fleet::start(FleetSetting::of(limiters), seed).map_err(|error| unsettled(error.to_string()))
}

/// Until the fleet is whole, and what that took.
fn report_settling(
    fleet: &mut Fleet,
    report: &mut Report,
    most: Duration,
) -> Result<(), ScaleError> {
    let begun = fleet.now();
    fleet.network_mut().reset_traffic();
    let nearly = fleet.run_until(most, NEARLY_CHECK, |fleet| {
        fleet.knowledge().is_nearly_whole()
    });
    if nearly {
        let took = (fleet.now() - begun).as_secs_f64();
        report.counted("seconds_until_all_know_99_percent", Unit::Seconds, took)?;
    }
    let whole = fleet.run_until_whole((begun + most).saturating_sub(fleet.now()));
    let took = (fleet.now() - begun).as_secs_f64();
    let metric = if whole {
        "seconds_until_whole"
    } else {
        "seconds_not_whole"
    };
    report.counted(metric, Unit::Seconds, took)?;
    let sent: Vec<f64> = fleet
        .network()
        .traffic()
        .iter()
        .map(|one| one.sent_bytes as f64)
        .collect();
    report.counted("settling_bytes_of_all", Unit::Bytes, sent.iter().sum())?;
    report.counted("settling_bytes_per_limiter", Unit::Bytes, mean(&sent))?;
    report.counted("settling_bytes_of_greatest", Unit::Bytes, most_of(&sent))?;
    let known = fleet.knowledge();
    report.counted("members_known_share", Unit::Count, known.members)?;
    report.counted(
        "members_known_share_least",
        Unit::Count,
        known.least_members,
    )?;
    report.counted("records_held_share", Unit::Count, known.records)?;
    report.counted("records_held_share_least", Unit::Count, known.least_records)
}

/// Nothing changes: what it costs that all are there.
fn report_quiet(fleet: &mut Fleet, report: &mut Report, spans: Spans) -> Result<(), ScaleError> {
    fleet.run(spans.rest);
    let mut shares = Vec::new();
    let before = fleet.counts();
    fleet.network_mut().reset_traffic();
    let begun = fleet.now();
    for _ in 0..report.request.runs {
        shares.push(cpu_share(fleet, report.size, spans.quiet, |fleet| {
            fleet.run(spans.quiet)
        }));
    }
    let seconds = (fleet.now() - begun).as_secs_f64();
    report_traffic(fleet, report, seconds)?;
    report_held_back(fleet, report, before)?;
    report.runs(
        "cpu_share_per_limiter",
        Unit::CpuShare,
        Source::Kernel,
        shares,
    )
}

/// Processor time of one limiter as a share of a core, the network in memory included.
fn cpu_share(
    fleet: &mut Fleet,
    limiters: u64,
    span: Duration,
    run: impl FnOnce(&mut Fleet),
) -> f64 {
    let meter = Meter::start();
    run(fleet);
    meter.read().cpu_seconds / limiters as f64 / span.as_secs_f64()
}

fn report_traffic(fleet: &Fleet, report: &mut Report, seconds: f64) -> Result<(), ScaleError> {
    let traffic = fleet.network().traffic();
    let bytes: Vec<f64> = traffic
        .iter()
        .map(|one| one.sent_bytes as f64 / seconds)
        .collect();
    let messages: Vec<f64> = traffic
        .iter()
        .map(|one| one.sent_messages as f64 / seconds)
        .collect();
    report.counted("sent_bytes_per_limiter", Unit::BytesPerSecond, mean(&bytes))?;
    report.counted(
        "sent_bytes_of_greatest",
        Unit::BytesPerSecond,
        most_of(&bytes),
    )?;
    report.counted(
        "sent_messages_per_limiter",
        Unit::MessagesPerSecond,
        mean(&messages),
    )?;
    report.counted(
        "sent_messages_of_greatest",
        Unit::MessagesPerSecond,
        most_of(&messages),
    )
}

fn report_held_back(
    fleet: &Fleet,
    report: &mut Report,
    before: FleetCounts,
) -> Result<(), ScaleError> {
    let after = fleet.counts();
    let (sent, held_back) = (after.sent - before.sent, after.held_back - before.held_back);
    let share = held_back as f64 / (sent + held_back).max(1) as f64;
    report.counted("held_back_share", Unit::Count, share)
}

/// Some urgent and some routine records, all published at one moment.
fn report_records(
    fleet: &mut Fleet,
    report: &mut Report,
    span: Duration,
) -> Result<(), ScaleError> {
    let urgent = publish_several(fleet, report.size, URGENT_RECORDS, true)?;
    let routine = publish_several(fleet, report.size, ROUTINE_RECORDS, false)?;
    fleet.run_until(span, WATCH_CHECK, |fleet| {
        urgent
            .iter()
            .chain(&routine)
            .all(|watch| fleet.watch(*watch).is_held_by_all())
    });
    report_urgent(fleet, report, &urgent)?;
    for (after, metric) in ROUTINE_SHARES
        .into_iter()
        .filter(|(after, _)| *after <= span)
    {
        let shares = routine
            .iter()
            .map(|watch| fleet.watch(*watch).share_after(after))
            .collect();
        report.runs(metric, Unit::Count, Source::Counted, shares)?;
    }
    let times = routine
        .iter()
        .filter_map(|watch| fleet.watch(*watch).time_to_all());
    let times: Vec<f64> = times.map(|time| time.as_secs_f64()).collect();
    report.counted(
        "routine_records_held_by_all",
        Unit::Count,
        times.len() as f64,
    )?;
    report.runs(
        "routine_seconds_until_last",
        Unit::Seconds,
        Source::Counted,
        times,
    )?;
    report_urgent_after_routine(fleet, report)
}

/// Urgent records of limiters that have just written a routine one, which is not everywhere yet.
fn report_urgent_after_routine(fleet: &mut Fleet, report: &mut Report) -> Result<(), ScaleError> {
    let mut shares = Vec::new();
    for _ in 0..URGENT_RECORDS {
        let owner = fleet.draw_limiter();
        publish_watched(fleet, report.size, owner, false)?;
        fleet.run(ROUTINE_BEFORE_URGENT);
        let watch = publish_watched(fleet, report.size, owner, true)?;
        fleet.run(IN_FORCE);
        shares.push(fleet.watch(watch).share_after(IN_FORCE));
    }
    report.runs(
        "urgent_after_routine_share_after_4_s",
        Unit::Count,
        Source::Counted,
        shares,
    )
}

fn report_urgent(fleet: &Fleet, report: &mut Report, watches: &[usize]) -> Result<(), ScaleError> {
    let shares = watches
        .iter()
        .map(|watch| fleet.watch(*watch).share_after(IN_FORCE))
        .collect();
    report.runs(
        "urgent_share_after_4_s",
        Unit::Count,
        Source::Counted,
        shares,
    )?;
    let times = watches
        .iter()
        .filter_map(|watch| fleet.watch(*watch).time_to_all());
    let times: Vec<f64> = times.map(|time| time.as_secs_f64()).collect();
    report.counted(
        "urgent_records_held_by_all",
        Unit::Count,
        times.len() as f64,
    )?;
    report.runs(
        "urgent_seconds_until_last",
        Unit::Seconds,
        Source::Counted,
        times,
    )
}

fn publish_several(
    fleet: &mut Fleet,
    size: u64,
    records: usize,
    urgent: bool,
) -> Result<Vec<usize>, ScaleError> {
    let mut watches = Vec::new();
    for _ in 0..records {
        let owner = fleet.draw_limiter();
        watches.push(publish_watched(fleet, size, owner, urgent)?);
    }
    Ok(watches)
}

fn publish_watched(
    fleet: &mut Fleet,
    size: u64,
    owner: u32,
    urgent: bool,
) -> Result<usize, ScaleError> {
    let unsettled = |error: merlinreel_mesh::PublishError| ScaleError::Unsettled {
        role: ROLE,
        size,
        why: error.to_string(),
    };
    fleet.publish_watched(owner, urgent).map_err(unsettled)
}

/// Records at a rate, first for what they cost, then watched.
fn report_changes(fleet: &mut Fleet, report: &mut Report) -> Result<(), ScaleError> {
    let gap = Duration::from_secs_f64(SECONDS_A_DAY as f64 / report.size as f64);
    let limiters = FIXED_LIMITERS as u64;
    let before = fleet.counts();
    fleet.network_mut().reset_traffic();
    let mut refused = None;
    let share = cpu_share(fleet, limiters, CHANGES, |fleet| {
        refused = run_with_changes(fleet, gap, |fleet, owner| {
            fleet.publish(owner, true).map(|_| ())
        })
        .err();
    });
    if let Some(error) = refused {
        return Err(ScaleError::Unsettled {
            role: ROLE,
            size: report.size,
            why: error.to_string(),
        });
    }
    report_traffic(fleet, report, CHANGES.as_secs_f64())?;
    report_held_back(fleet, report, before)?;
    report.runs(
        "cpu_share_per_limiter",
        Unit::CpuShare,
        Source::Kernel,
        vec![share],
    )?;
    let mut watches = Vec::new();
    run_with_changes(fleet, gap, |fleet, owner| {
        watches.push(fleet.publish_watched(owner, true)?);
        Ok(())
    })
    .map_err(|error| ScaleError::Unsettled {
        role: ROLE,
        size: report.size,
        why: error.to_string(),
    })?;
    fleet.run(IN_FORCE);
    let shares = watches
        .iter()
        .map(|watch| fleet.watch(*watch).share_after(IN_FORCE))
        .collect();
    report.runs(
        "urgent_share_after_4_s",
        Unit::Count,
        Source::Counted,
        shares,
    )
}

fn run_with_changes(
    fleet: &mut Fleet,
    gap: Duration,
    mut publish: impl FnMut(&mut Fleet, u32) -> Result<(), merlinreel_mesh::PublishError>,
) -> Result<(), merlinreel_mesh::PublishError> {
    let end = fleet.now() + CHANGES;
    while fleet.now() < end {
        let owner = fleet.draw_limiter();
        publish(fleet, owner)?;
        fleet.run(gap.min(end - fleet.now()));
    }
    Ok(())
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn most_of(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
