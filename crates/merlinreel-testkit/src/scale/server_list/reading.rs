//! Reading the list of servers: its bytes, the processor time of each step, the memory it takes, and its changes.

use super::hollow::HollowLimiter;
use super::report::{Report, peak_bytes, reset_peak, resident_bytes, unsettled};
use super::source::{Form, ListSource};
use crate::scale::{Meter, ScaleError, Source, Unit};
use merlinreel_discovery::{DiscoveryUpdate, EndpointTable, decode};
use merlinreel_policy::EndpointUpdate;
use std::time::Duration;

/// Servers in a large change message.
const MANY: usize = 100;
/// Change messages of a measurement for each server of the largest size: some ten thousand short ones at the full size.
const SHORT_MESSAGES_PER_SERVER: f64 = 0.125;
const LONG_MESSAGES_PER_SERVER: f64 = 0.0025;
/// Lists of known servers that the decision module is told of, each far quicker than one of new ones.
const KNOWN_LISTS: u64 = 10;
/// Replaced within seconds, as a share of all servers.
const REPLACED_SHARE: f64 = 0.6;
/// After this the decision module has forgotten servers that are gone.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(35);

fn list(report: &Report, form: Form) -> Result<Vec<u8>, ScaleError> {
    let mut source = ListSource::new(report.size, report.request.seed, form);
    source.full_list().map_err(|error| report.failed(error))
}

fn news(report: &Report) -> Result<DiscoveryUpdate, ScaleError> {
    decode(&list(report, Form::Compact)?).map_err(|error| report.failed(error))
}

/// A limiter that knows the whole list.
pub(super) fn informed(report: &Report) -> Result<HollowLimiter, ScaleError> {
    let mut limiter =
        HollowLimiter::new(report.request.seed).map_err(|error| report.failed(error))?;
    let bytes = list(report, Form::Compact)?;
    limiter
        .receive(bytes)
        .map_err(|error| report.failed(error))?;
    if limiter.servers_known() != report.size {
        return Err(report.failed(format!("{} servers are known", limiter.servers_known())));
    }
    Ok(limiter)
}

/// Resident growth since before the list was there. Freed pages that the allocator keeps are in it, as in the program. True
/// in a process's first size; later ones find the allocator as the sizes before left it, and tell up to a third more or less.
pub(super) fn memory(report: &mut Report) -> Result<(), ScaleError> {
    let mut source = ListSource::new(report.size, report.request.seed, Form::Indented);
    let mut limiter =
        HollowLimiter::new(report.request.seed).map_err(|error| report.failed(error))?;
    let before = resident_bytes();
    let growth = |bytes: u64| vec![bytes.saturating_sub(before) as f64];
    reset_peak();
    let bytes = source.full_list().map_err(|error| report.failed(error))?;
    let news = decode(&bytes).map_err(|error| report.failed(error))?;
    drop(bytes);
    let list = limiter.table.apply(news, false);
    let with_table = growth(resident_bytes());
    limiter.follow(list);
    // With a beat, which sorts the servers.
    limiter.rest(Duration::from_millis(200));
    let held = growth(resident_bytes());
    let peak = growth(peak_bytes());
    report.runs("peak_memory", Unit::Bytes, Source::Kernel, peak)?;
    report.runs(
        "table_and_message_memory",
        Unit::Bytes,
        Source::Kernel,
        with_table,
    )?;
    report.runs("held_memory", Unit::Bytes, Source::Kernel, held)
}

pub(super) fn bytes(report: &mut Report) -> Result<(), ScaleError> {
    let (compact, indented) = (list(report, Form::Compact)?, list(report, Form::Indented)?);
    report.counted("full_list_bytes", Unit::Bytes, compact.len() as u64)?;
    report.counted(
        "full_list_indented_bytes",
        Unit::Bytes,
        indented.len() as u64,
    )
}

pub(super) fn processor_time(report: &mut Report) -> Result<(), ScaleError> {
    for (metric, form) in [
        ("decode_cpu", Form::Compact),
        ("decode_indented_cpu", Form::Indented),
    ] {
        let (bytes, repeats) = (list(report, form)?, report.repeats());
        let size = report.size;
        report.cpu_of_each(
            metric,
            || Ok((0..repeats).collect()),
            |_| decode(&bytes).map_err(|error| unsettled(size, error)),
        )?;
    }
    apply(report)?;
    follow(report)
}

/// The table takes in a list of unknown servers, and one of servers that it knows.
fn apply(report: &mut Report) -> Result<(), ScaleError> {
    let (news, repeats) = (news(report)?, report.repeats());
    report.cpu_of_each(
        "apply_all_new_cpu",
        || {
            Ok((0..repeats)
                .map(|_| (EndpointTable::default(), news.clone()))
                .collect())
        },
        |(mut table, news)| {
            let list = table.apply(news, false);
            Ok((table, list))
        },
    )?;
    let mut table = EndpointTable::default();
    table.apply(news.clone(), false);
    report.cpu_of_each(
        "apply_all_known_cpu",
        || Ok((0..repeats).map(|_| news.clone()).collect()),
        |news| Ok(table.apply(news, false)),
    )
}

/// The round that brings a list to the decision module.
fn follow(report: &mut Report) -> Result<(), ScaleError> {
    let list = EndpointTable::default().apply(news(report)?, false);
    let (seed, size, repeats) = (report.request.seed, report.size, report.repeats());
    let limiter = || HollowLimiter::new(seed).map_err(|why| unsettled(size, why));
    report.cpu_of_each(
        "follow_all_new_cpu",
        || {
            (0..repeats)
                .map(|_| Ok((limiter()?, list.clone())))
                .collect()
        },
        |(mut limiter, list)| {
            limiter.follow(list);
            Ok(limiter)
        },
    )?;
    let mut limiter = limiter()?;
    limiter.follow(list.clone());
    report.cpu_of_each(
        "follow_all_known_cpu",
        || Ok((0..KNOWN_LISTS * repeats).map(|_| list.clone()).collect()),
        |list: EndpointUpdate| {
            limiter.follow(list);
            Ok(())
        },
    )
}

/// A change message, from its bytes to the decision module, between two beats.
pub(super) fn changes(report: &mut Report) -> Result<(), ScaleError> {
    for (count, share, bytes_metric, cpu_metric) in [
        (
            1,
            SHORT_MESSAGES_PER_SERVER,
            "change_1_bytes",
            "change_1_cpu",
        ),
        (
            MANY,
            LONG_MESSAGES_PER_SERVER,
            "change_100_bytes",
            "change_100_cpu",
        ),
    ] {
        let mut limiter = informed(report)?;
        let (size, now_ms) = (report.size, limiter.now_ms());
        let mut source = ListSource::new(size, report.request.seed, Form::Compact);
        let messages = ((report.largest() as f64 * share) as u64).max(1);
        report.cpu_of_each(
            cpu_metric,
            || {
                let message = |_| {
                    source
                        .restarts(count, now_ms)
                        .map_err(|error| unsettled(size, error))
                };
                (0..messages).map(message).collect()
            },
            |bytes| {
                limiter
                    .receive(bytes)
                    .map(drop)
                    .map_err(|error| unsettled(size, error))
            },
        )?;
        let told = messages * u64::from(report.request.runs);
        report.counted(bytes_metric, Unit::Bytes, source.bytes_sent / told)?;
    }
    Ok(())
}

/// A large part of the servers is replaced in one message; later the indices of those that are gone are free.
pub(super) fn replacement(report: &mut Report) -> Result<(), ScaleError> {
    let count = (report.size as f64 * REPLACED_SHARE) as usize;
    let (mut cpu, mut indices, mut indices_at_next) = (Vec::new(), 0, 0);
    let mut message_bytes = 0;
    for _ in 0..report.request.runs {
        let mut limiter = informed(report)?;
        let mut source = ListSource::new(report.size, report.request.seed, Form::Compact);
        let first = source
            .replacement(count, limiter.now_ms())
            .map_err(|error| report.failed(error))?;
        message_bytes = first.len() as u64;
        let meter = Meter::start();
        limiter
            .receive(first)
            .map_err(|error| report.failed(error))?;
        cpu.push(meter.read().cpu_seconds);
        indices = limiter.table.indices() as u64;
        limiter.rest_by_seconds(FORGOTTEN_AFTER);
        let next = source
            .replacement(count, limiter.now_ms())
            .map_err(|error| report.failed(error))?;
        limiter
            .receive(next)
            .map_err(|error| report.failed(error))?;
        indices_at_next = limiter.table.indices() as u64;
        if limiter.servers_known() != report.size {
            return Err(report.failed(format!("{} servers are known", limiter.servers_known())));
        }
    }
    report.counted("replacement_bytes", Unit::Bytes, message_bytes)?;
    report.runs("replacement_cpu", Unit::CpuSeconds, Source::Kernel, cpu)?;
    report.counted("indices_after_replacement", Unit::Count, indices)?;
    report.counted(
        "indices_after_next_replacement",
        Unit::Count,
        indices_at_next,
    )
}
