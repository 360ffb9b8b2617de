//! Decodes the messages for an instance into events of its batch, one function for each message.

use crate::encoding::{decode_counter_name, decode_hex};
use crate::endpoint_lists::{EndpointLists, ListEntry};
use crate::error::ProtocolError;
use crate::instance::Instance;
use crate::protocol::{RETRY_FLAG, load, message, outcome, update_kind, value_name};
use crate::values::{Values, parse_number};
use merlinreel_policy::ServerIndex;
use merlinreel_policy::{
    AttemptOutcome, AttemptResult, CounterReply, Endpoint, EndpointUpdate, HealthCheckResult,
    LoadReport, PeerMessage, Request,
};

/// Upper bound, exclusive, of a limiter's index and of the size of a limiter set.
const MAX_LIMITERS: u64 = 1 << 16;

/// Kind of a message that is an event for an instance.
#[derive(Clone, Copy)]
pub enum EventKind {
    /// Discovery published an endpoint list, or could not be reached.
    EndpointUpdate,
    /// A client sent a request.
    Request,
    /// The response to a request has started to stream.
    Streaming,
    /// The client of a request closed its connection.
    Disconnect,
    /// A health check ended.
    HealthCheck,
    /// Another limiter sent a message.
    PeerMessage,
    /// An attempt ended.
    AttemptResult,
    /// A timer fired.
    Wakeup,
    /// The counter service replied.
    CounterReply,
}

impl EventKind {
    /// The kind of event that a message of this name carries; `None` if it does not carry an event.
    pub fn from_message(name: &str) -> Option<EventKind> {
        match name {
            message::ENDPOINT_UPDATE => Some(EventKind::EndpointUpdate),
            message::REQUEST => Some(EventKind::Request),
            message::STREAMING => Some(EventKind::Streaming),
            message::DISCONNECT => Some(EventKind::Disconnect),
            message::HEALTH_CHECK => Some(EventKind::HealthCheck),
            message::PEER_MESSAGE => Some(EventKind::PeerMessage),
            message::ATTEMPT_RESULT => Some(EventKind::AttemptResult),
            message::WAKEUP => Some(EventKind::Wakeup),
            message::COUNTER_REPLY => Some(EventKind::CounterReply),
            _ => None,
        }
    }
}

/// Decodes the values of a message and adds the event to the instance's batch.
///
/// # Errors
///
/// The first value that cannot be used. The batch is unchanged then.
pub fn add_event(
    kind: EventKind,
    values: &mut Values,
    lists: &EndpointLists,
    instance: &mut Instance,
) -> Result<(), ProtocolError> {
    match kind {
        EventKind::EndpointUpdate => add_endpoint_update(values, lists, instance),
        EventKind::Request => add_request(values, instance),
        EventKind::Streaming => add_streaming(values, instance),
        EventKind::Disconnect => add_disconnect(values, instance),
        EventKind::HealthCheck => add_health_check(values, instance),
        EventKind::PeerMessage => add_peer_message(values, instance),
        EventKind::AttemptResult => add_attempt_result(values, instance),
        // A timer adds no event: the limiter runs at the end of the batch, which is all that a wakeup asks for.
        EventKind::Wakeup => values.text(value_name::TIMER).map(|_| ()),
        EventKind::CounterReply => add_counter_reply(values, instance),
    }
}

fn add_endpoint_update(
    values: &mut Values,
    lists: &EndpointLists,
    instance: &mut Instance,
) -> Result<(), ProtocolError> {
    let kind = values.text(value_name::UPDATE_KIND)?;
    values.integer(value_name::LIST_VERSION)?;
    let mut update = EndpointUpdate {
        complete: false,
        cached: false,
        unavailable: false,
        endpoints: Vec::new(),
    };
    if kind == update_kind::UNAVAILABLE {
        update.unavailable = true;
        instance.batch.endpoint_updates.push(update);
        return Ok(());
    }
    let entries = lists.entries(values.integer(value_name::LIST)?)?;
    match kind {
        update_kind::CHANGES => {}
        update_kind::SNAPSHOT => update.complete = true,
        update_kind::CACHED => {
            update.complete = true;
            update.cached = true;
        }
        other => return Err(unknown_value(value_name::UPDATE_KIND, other)),
    }
    let indexed_endpoint = |entry: &ListEntry| Endpoint {
        server: instance.servers.insert(&entry.name),
        ..entry.endpoint
    };
    update.endpoints = entries.iter().map(indexed_endpoint).collect();
    instance.batch.endpoint_updates.push(update);
    Ok(())
}

fn add_request(values: &mut Values, instance: &mut Instance) -> Result<(), ProtocolError> {
    let name = values.text(value_name::REQUEST)?;
    let set_size = values.index(value_name::SET_SIZE, MAX_LIMITERS)? as u32;
    let remaining_time = values.duration(value_name::REMAINING_TIME)?;
    let customer = values.integer(value_name::CUSTOMER)?;
    let plans = instance.limiter.plan_count();
    let classes = instance.limiter.class_count();
    let plan = values.index(value_name::PLAN, plans as u64)? as usize;
    let class = values.index(value_name::CLASS, classes as u64)? as usize;
    let flags = values
        .optional_number(value_name::REQUEST_FLAGS)?
        .unwrap_or(0.0) as u32;
    let set_first = values
        .optional_number(value_name::SET_FIRST)?
        .unwrap_or(0.0) as u32;
    let units = values.optional_number(value_name::UNITS)?.unwrap_or(1.0);
    if units < 0.0 {
        return Err(ProtocolError::Negative {
            name: value_name::UNITS,
            given: units,
        });
    }
    if instance.requests.get(name).is_some() {
        return Err(ProtocolError::DuplicateRequest(name.to_owned()));
    }
    let request = Request {
        id: instance.requests.insert(name),
        customer,
        plan,
        class,
        units,
        remaining_time,
        set_size,
        set_first,
        is_retry: flags & RETRY_FLAG != 0,
    };
    instance.batch.requests.push(request);
    Ok(())
}

/// Ignores a request that is not in flight: it may have ended before the message arrived.
fn add_streaming(values: &mut Values, instance: &mut Instance) -> Result<(), ProtocolError> {
    if let Some(request) = instance.requests.get(values.text(value_name::REQUEST)?) {
        instance.batch.streaming.push(request);
    }
    Ok(())
}

/// Ignores a request that is not in flight: it may have ended before the message arrived.
fn add_disconnect(values: &mut Values, instance: &mut Instance) -> Result<(), ProtocolError> {
    if let Some(request) = instance.requests.get(values.text(value_name::REQUEST)?) {
        instance.batch.disconnects.push(request);
        instance.requests.complete(request);
    }
    Ok(())
}

fn add_health_check(values: &mut Values, instance: &mut Instance) -> Result<(), ProtocolError> {
    let server = read_server(values, instance)?;
    let outcome = decode_outcome(values.text(value_name::OUTCOME)?)?;
    let latency = values.duration(value_name::LATENCY)?;
    let load = read_load_report(values)?;
    instance.batch.health_checks.push(HealthCheckResult {
        server,
        answered: outcome == AttemptOutcome::Success,
        latency,
        load,
    });
    Ok(())
}

fn add_peer_message(values: &mut Values, instance: &mut Instance) -> Result<(), ProtocolError> {
    let from = values.index(value_name::SENDER, MAX_LIMITERS)? as u32;
    let content = values.text(value_name::CONTENT)?;
    let bytes = decode_hex(content).ok_or_else(|| ProtocolError::NotHex {
        name: value_name::CONTENT,
        given: content.to_owned(),
    })?;
    instance
        .batch
        .peer_messages
        .push(PeerMessage { from, bytes });
    Ok(())
}

fn add_attempt_result(values: &mut Values, instance: &mut Instance) -> Result<(), ProtocolError> {
    let name = values.text(value_name::REQUEST)?;
    let request = instance.requests.get(name);
    let request = request.ok_or_else(|| ProtocolError::UnknownRequest(name.to_owned()))?;
    let is_final = values.boolean(value_name::REQUEST_COMPLETED)?;
    let units = values.optional_number(value_name::USED_UNITS)?;
    let server = read_server(values, instance)?;
    let outcome = decode_outcome(values.text(value_name::OUTCOME)?)?;
    let latency = values.duration(value_name::LATENCY)?;
    let attempt = values.integer(value_name::ATTEMPT)? as u32;
    let usage = values.optional_number(value_name::METERED_USAGE)?;
    let load = read_load_report(values)?;
    if instance.requests.attempts_in_flight(request) == 0 {
        return Err(ProtocolError::NoAttempt(name.to_owned()));
    }
    instance.requests.end_attempt(request);
    if is_final {
        instance.requests.complete(request);
    }
    instance.batch.attempt_results.push(AttemptResult {
        request,
        attempt,
        server,
        outcome,
        latency,
        request_completed: instance.requests.is_completed(request),
        units: units.filter(|&units| units > 0.0),
        metered_usage: usage.and_then(decode_metered_usage),
        load,
    });
    Ok(())
}

fn add_counter_reply(values: &mut Values, instance: &mut Instance) -> Result<(), ProtocolError> {
    let total = values.optional_number(value_name::COUNTER_TOTAL)?;
    let code = values.text(value_name::OUTCOME)?;
    values.duration(value_name::LATENCY)?;
    let name = values.text(value_name::COUNTER)?;
    let counter =
        decode_counter_name(name).ok_or_else(|| unknown_value(value_name::COUNTER, name))?;
    let outcome = decode_outcome(code)?;
    instance.batch.counter_replies.push(CounterReply {
        customer: counter.customer,
        window: counter.window,
        total: total.filter(|_| outcome == AttemptOutcome::Success),
        not_added: outcome.never_ran(),
    });
    Ok(())
}

fn read_server(values: &mut Values, instance: &Instance) -> Result<ServerIndex, ProtocolError> {
    let name = values.text(value_name::SERVER)?;
    let server = instance.servers.get(name);
    server.ok_or_else(|| ProtocolError::UnknownServer(name.to_owned()))
}

fn read_load_report(values: &mut Values) -> Result<LoadReport, ProtocolError> {
    let mut report = LoadReport::default();
    let Some(text) = values.optional_text() else {
        return Ok(report);
    };
    for pair in text.split(',') {
        let Some((name, value)) = pair.split_once(':') else {
            return Err(ProtocolError::NotAPair {
                name: value_name::LOAD_REPORT,
                given: pair.to_owned(),
            });
        };
        let value = Some(parse_number(value_name::LOAD_REPORT, value)?);
        match name {
            load::IN_FLIGHT => report.in_flight = value,
            load::QUEUED => report.queued = value,
            load::UTILIZATION => report.utilization = value,
            load::SERVICE_TIME_MS => report.service_time_ms = value,
            load::REQUESTS_PER_SECOND => report.requests_per_second = value,
            load::ERRORS_PER_SECOND => report.errors_per_second = value,
            _ => {}
        }
    }
    Ok(report)
}

/// Decodes the used share of the quota, which the wire gives in hundredths plus one. A value below 1 means that nothing was
/// metered.
fn decode_metered_usage(value: f64) -> Option<f64> {
    (value >= 1.0).then(|| (value - 1.0) / 100.0)
}

fn decode_outcome(code: &str) -> Result<AttemptOutcome, ProtocolError> {
    match code {
        outcome::SUCCESS => Ok(AttemptOutcome::Success),
        outcome::ERROR => Ok(AttemptOutcome::Error),
        outcome::REJECTED => Ok(AttemptOutcome::Rejected),
        outcome::DEADLINE_EXCEEDED => Ok(AttemptOutcome::DeadlineExceeded),
        outcome::CONNECTION_REFUSED => Ok(AttemptOutcome::ConnectionRefused),
        outcome::CONNECTION_LOST => Ok(AttemptOutcome::ConnectionLost),
        outcome::CANCELLED => Ok(AttemptOutcome::Cancelled),
        outcome::NOT_SENT => Ok(AttemptOutcome::NotSent),
        other => Err(unknown_value(value_name::OUTCOME, other)),
    }
}

fn unknown_value(name: &'static str, given: &str) -> ProtocolError {
    ProtocolError::UnknownValue {
        name,
        given: given.to_owned(),
    }
}

#[cfg(test)]
mod tests;
