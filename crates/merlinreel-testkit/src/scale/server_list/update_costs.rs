//! Measures updates of the list of servers: their bytes, the processor time of each step, the memory, changes and
//! replacements.

use super::list_source::{Format, ListSource};
use super::simulated_limiter::SimulatedLimiter;
use crate::scale::proc_file::{peak_bytes, reset_peak, resident_bytes};
use crate::scale::{Meter, Report, ScaleError, Unit};
use merlinreel_discovery::{DiscoveryUpdate, EndpointTable, decode};
use merlinreel_policy::EndpointUpdate;
use std::time::Duration;

/// Lists of known servers that the decision module applies for each list of new ones, as they take far less time.
const KNOWN_LISTS: u64 = 10;
/// Fraction of the servers that one message replaces.
const REPLACED_FRACTION: f64 = 0.6;
/// Simulated time after which the decision module has released removed servers.
const RELEASED_AFTER: Duration = Duration::from_secs(35);
/// Simulated time that includes a tick, which sorts the servers.
const ONE_TICK: Duration = Duration::from_millis(200);

/// Change messages of one length, and the names of their metrics.
struct ChangeMessages {
    /// Servers in each message.
    servers: usize,
    /// Messages in a run, per server of the largest size: 20,000 of one server each at a largest size of 160,000.
    messages_per_server: f64,
    bytes_metric: &'static str,
    cpu_metric: &'static str,
}

const CHANGE_MESSAGES: [ChangeMessages; 2] = [
    ChangeMessages {
        servers: 1,
        messages_per_server: 0.125,
        bytes_metric: "change_1_bytes",
        cpu_metric: "change_1_cpu",
    },
    ChangeMessages {
        servers: 100,
        messages_per_server: 0.0025,
        bytes_metric: "change_100_bytes",
        cpu_metric: "change_100_cpu",
    },
];

fn full_list(report: &Report, format: Format) -> Result<Vec<u8>, ScaleError> {
    let mut source = ListSource::new(report.size, report.request.seed, format);
    source.full_list().map_err(|error| report.failed(error))
}

fn decoded_list(report: &Report) -> Result<DiscoveryUpdate, ScaleError> {
    decode(&full_list(report, Format::Compact)?).map_err(|error| report.failed(error))
}

/// Creates a limiter that has applied the full list.
pub(super) fn limiter_with_list(report: &Report) -> Result<SimulatedLimiter, ScaleError> {
    let mut limiter =
        SimulatedLimiter::new(report.request.seed).map_err(|error| report.failed(error))?;
    let bytes = full_list(report, Format::Compact)?;
    limiter
        .receive(bytes)
        .map_err(|error| report.failed(error))?;
    check_all_known(report, &limiter)?;
    Ok(limiter)
}

/// Checks that the decision module knows all servers of the list.
fn check_all_known(report: &Report, limiter: &SimulatedLimiter) -> Result<(), ScaleError> {
    let known = limiter.servers_known();
    if known == report.size {
        Ok(())
    } else {
        Err(report.failed(format!(
            "expected the decision module to know all servers, found {known}"
        )))
    }
}

/// Measures the growth of resident memory by the list, including freed pages that the allocator keeps, as in the
/// program. Exact only for the first size in a process: later values depend on the state in which earlier sizes left
/// the allocator, and differ by up to a third.
pub(super) fn measure_memory(report: &mut Report) -> Result<(), ScaleError> {
    let mut source = ListSource::new(report.size, report.request.seed, Format::Indented);
    let mut limiter =
        SimulatedLimiter::new(report.request.seed).map_err(|error| report.failed(error))?;
    let before = resident_bytes();
    let growth = |bytes: u64| vec![bytes.saturating_sub(before) as f64];
    reset_peak();
    let bytes = source.full_list().map_err(|error| report.failed(error))?;
    let update = decode(&bytes).map_err(|error| report.failed(error))?;
    drop(bytes);
    let list = limiter.table.apply(update, false);
    let with_table = growth(resident_bytes());
    limiter.apply(list);
    limiter.idle(ONE_TICK);
    let held = growth(resident_bytes());
    let peak = growth(peak_bytes());
    report.measured("peak_memory", Unit::Bytes, peak)?;
    report.measured("table_and_message_memory", Unit::Bytes, with_table)?;
    report.measured("held_memory", Unit::Bytes, held)
}

/// Counts the bytes of a full list in both formats.
pub(super) fn count_bytes(report: &mut Report) -> Result<(), ScaleError> {
    let compact = full_list(report, Format::Compact)?.len() as f64;
    let indented = full_list(report, Format::Indented)?.len() as f64;
    report.counted("full_list_bytes", Unit::Bytes, compact)?;
    report.counted("full_list_indented_bytes", Unit::Bytes, indented)
}

/// Measures the processor time of each step from the bytes of a full list to the decision module.
pub(super) fn measure_processor_time(report: &mut Report) -> Result<(), ScaleError> {
    measure_decoding(report, "decode_cpu", Format::Compact)?;
    measure_decoding(report, "decode_indented_cpu", Format::Indented)?;
    measure_table(report)?;
    measure_decision_module(report)
}

fn measure_decoding(
    report: &mut Report,
    metric: &'static str,
    format: Format,
) -> Result<(), ScaleError> {
    let bytes = full_list(report, format)?;
    let repeats = report.repeats();
    let measured_size = report.measured_size();
    report.cpu_of_each(
        metric,
        || Ok((0..repeats).collect()),
        |_| decode(&bytes).map_err(|error| measured_size.failed(error)),
    )
}

/// Measures the processor time in which the table applies a list of new servers and one of known servers.
fn measure_table(report: &mut Report) -> Result<(), ScaleError> {
    let update = decoded_list(report)?;
    let repeats = report.repeats();
    report.cpu_of_each(
        "apply_all_new_cpu",
        || {
            Ok((0..repeats)
                .map(|_| (EndpointTable::default(), update.clone()))
                .collect())
        },
        |(mut table, update)| {
            let list = table.apply(update, false);
            Ok((table, list))
        },
    )?;
    let mut table = EndpointTable::default();
    table.apply(update.clone(), false);
    report.cpu_of_each(
        "apply_all_known_cpu",
        || Ok((0..repeats).map(|_| update.clone()).collect()),
        |update| Ok(table.apply(update, false)),
    )
}

/// Measures the processor time of the event batch that passes a list of new servers, or one of known servers, to the
/// decision module.
fn measure_decision_module(report: &mut Report) -> Result<(), ScaleError> {
    let list = EndpointTable::default().apply(decoded_list(report)?, false);
    let repeats = report.repeats();
    let measured_size = report.measured_size();
    let seed = report.request.seed;
    let new_limiter = || SimulatedLimiter::new(seed).map_err(|error| measured_size.failed(error));
    report.cpu_of_each(
        "follow_all_new_cpu",
        || {
            (0..repeats)
                .map(|_| Ok((new_limiter()?, list.clone())))
                .collect()
        },
        |(mut limiter, list)| {
            limiter.apply(list);
            Ok(limiter)
        },
    )?;
    let mut limiter = new_limiter()?;
    limiter.apply(list.clone());
    report.cpu_of_each(
        "follow_all_known_cpu",
        || Ok((0..KNOWN_LISTS * repeats).map(|_| list.clone()).collect()),
        |list: EndpointUpdate| {
            limiter.apply(list);
            Ok(())
        },
    )
}

/// Measures the length of change messages and their processor time, from their bytes to the decision module, between
/// two ticks.
pub(super) fn measure_changes(report: &mut Report) -> Result<(), ScaleError> {
    for changes in &CHANGE_MESSAGES {
        let mut limiter = limiter_with_list(report)?;
        let now_ms = limiter.now_ms();
        let measured_size = report.measured_size();
        let mut source = ListSource::new(report.size, report.request.seed, Format::Compact);
        let messages = ((report.largest_size() as f64 * changes.messages_per_server) as u64).max(1);
        report.cpu_of_each(
            changes.cpu_metric,
            || {
                (0..messages)
                    .map(|_| {
                        source
                            .restarts(changes.servers, now_ms)
                            .map_err(|error| measured_size.failed(error))
                    })
                    .collect()
            },
            |bytes| {
                limiter
                    .receive(bytes)
                    .map(drop)
                    .map_err(|error| measured_size.failed(error))
            },
        )?;
        let sent = messages * u64::from(report.request.runs);
        let bytes_per_message = source.bytes_sent / sent;
        report.counted(changes.bytes_metric, Unit::Bytes, bytes_per_message as f64)?;
    }
    Ok(())
}

/// Cost of the replacement of a large part of the servers.
struct Replacement {
    message_bytes: usize,
    cpu_seconds: f64,
    /// Indices in the table after the replacement, used and free.
    indices: usize,
    /// Indices after another replacement, which reuses those that were released.
    indices_after_next: usize,
}

/// Measures the replacement of a large part of the servers by one message, and counts the indices after it and after
/// another one, which reuses the indices of removed servers.
pub(super) fn measure_replacement(report: &mut Report) -> Result<(), ScaleError> {
    let replacements = (0..report.request.runs)
        .map(|_| replace(report))
        .collect::<Result<Vec<_>, _>>()?;
    let cpu = replacements.iter().map(|run| run.cpu_seconds).collect();
    // The counts are the same in each run.
    let Some(last) = replacements.last() else {
        return Ok(());
    };
    report.counted("replacement_bytes", Unit::Bytes, last.message_bytes as f64)?;
    report.measured("replacement_cpu", Unit::CpuSeconds, cpu)?;
    report.counted(
        "indices_after_replacement",
        Unit::Count,
        last.indices as f64,
    )?;
    report.counted(
        "indices_after_next_replacement",
        Unit::Count,
        last.indices_after_next as f64,
    )
}

fn replace(report: &Report) -> Result<Replacement, ScaleError> {
    let count = (report.size as f64 * REPLACED_FRACTION) as usize;
    let mut limiter = limiter_with_list(report)?;
    let mut source = ListSource::new(report.size, report.request.seed, Format::Compact);
    let first = source
        .replacement(count, limiter.now_ms())
        .map_err(|error| report.failed(error))?;
    let message_bytes = first.len();
    let meter = Meter::start();
    limiter
        .receive(first)
        .map_err(|error| report.failed(error))?;
    let cpu_seconds = meter.read().cpu_seconds;
    let indices = limiter.table.index_count();
    limiter.idle_by_seconds(RELEASED_AFTER);
    let next = source
        .replacement(count, limiter.now_ms())
        .map_err(|error| report.failed(error))?;
    limiter
        .receive(next)
        .map_err(|error| report.failed(error))?;
    let indices_after_next = limiter.table.index_count();
    check_all_known(report, &limiter)?;
    Ok(Replacement {
        message_bytes,
        cpu_seconds,
        indices,
        indices_after_next,
    })
}
