use super::*;
use crate::event_log::{Event, LinkId};
use test_case::test_case;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn link(limiter: usize, server: usize) -> LinkId {
    LinkId { limiter, server }
}

fn sent(class: &'static str) -> Event {
    Event::RequestSent {
        id: "a".into(),
        class,
        customer: 7,
        limiter: 0,
        timeout: ms(1000),
    }
}

fn received(server: usize, attempt: u64) -> Event {
    Event::AttemptReceived {
        id: "a".into(),
        server,
        attempt,
        advertised_time: None,
    }
}

fn received_with_advertised_time(milliseconds: u64) -> Event {
    Event::AttemptReceived {
        id: "a".into(),
        server: 0,
        attempt: 1,
        advertised_time: Some(ms(milliseconds)),
    }
}

fn unanswered(is_first_on_connection: bool) -> Event {
    Event::NoResponse {
        id: "a".into(),
        is_first_on_connection,
    }
}

fn written() -> Event {
    Event::RequestWritten { id: "a".into() }
}

fn answered(status: u16) -> Event {
    Event::ResponseReceived {
        id: "a".into(),
        status,
        has_retry_after: false,
    }
}

/// Returns the names of the rules that a sequence of events violates, as their descriptions begin. Times are in
/// milliseconds.
fn violated_rules(events: &[(u64, Event)]) -> Vec<String> {
    let entries: Vec<LogEntry> = events
        .iter()
        .map(|(at, event)| LogEntry {
            at: ms(*at),
            event: event.clone(),
        })
        .collect();
    let found = find_violations(
        &entries,
        &Tolerances {
            quota: Some(QuotaBound {
                burst: 2.0,
                units_per_second: 1.0,
            }),
            ..Tolerances::default()
        },
    );
    found
        .iter()
        .map(|violation| {
            violation
                .to_string()
                .split(':')
                .next()
                .unwrap_or("")
                .to_owned()
        })
        .collect()
}

/// For each rule, a sequence of events that violates it and a similar one that does not.
#[test_case(&[(0, sent("pay")), (1, received(0, 1)), (2, Event::AttemptCompleted { attempt: 1 }), (3, answered(200))] => Vec::<String>::new() ; "no violation")]
#[test_case(&[(0, sent("pay")), (900, unanswered(false))] => vec!["no request lost"] ; "unanswered request")]
#[test_case(&[(0, sent("pay")), (5, Event::LimiterKilled { limiter: 0 }), (9, unanswered(false))] => Vec::<String>::new() ; "limiter killed")]
#[test_case(&[(0, Event::BurstStarted { limiter: 0 }), (1, sent("pay")), (9, unanswered(true))] => Vec::<String>::new() ; "new connection closed in a burst")]
#[test_case(&[(0, Event::BurstStarted { limiter: 0 }), (1, sent("pay")), (9, unanswered(false))] => vec!["no request lost"] ; "reused connection closed in a burst")]
#[test_case(&[(0, Event::LimiterTerminated { limiter: 0 }), (800, sent("pay")), (1500, Event::LimiterKilled { limiter: 0 }), (1501, unanswered(false))] => vec!["no request lost"] ; "sent late in a shutdown, unanswered at the kill")]
#[test_case(&[(0, Event::LimiterTerminated { limiter: 0 }), (2600, sent("pay")), (2700, Event::LimiterKilled { limiter: 0 }), (2701, unanswered(false))] => Vec::<String>::new() ; "unanswered at a later kill, after a restart")]
#[test_case(&[(0, Event::LimiterTerminated { limiter: 0 }), (600, sent("pay")), (1500, Event::LimiterKilled { limiter: 0 }), (1501, unanswered(false))] => Vec::<String>::new() ; "sent early in a shutdown, unanswered at the kill")]
#[test_case(&[(0, sent("pay")), (5, Event::ClientDisconnected { id: "a".into() }), (600, received(0, 1)), (601, Event::AttemptAborted { attempt: 1 })] => vec!["no attempt after the client disconnected"] ; "attempt after the client disconnected")]
#[test_case(&[(0, sent("pay")), (3, received(0, 1)), (5, Event::ClientDisconnected { id: "a".into() }), (60, Event::AttemptAborted { attempt: 1 })] => Vec::<String>::new() ; "attempt before the client disconnected")]
#[test_case(&[(0, sent("pay")), (700, received_with_advertised_time(1000)), (701, Event::AttemptCompleted { attempt: 1 }), (702, answered(200))] => vec!["time advertised to servers"] ; "full time advertised late")]
#[test_case(&[(0, sent("pay")), (700, received_with_advertised_time(320)), (701, Event::AttemptCompleted { attempt: 1 }), (702, answered(200))] => Vec::<String>::new() ; "remaining time advertised")]
#[test_case(&[(0, sent("look")), (3, answered(200)), (4, answered(429))] => vec!["one final response"] ; "two responses")]
#[test_case(&[(0, sent("look")), (4000, answered(200))] => vec!["response in time"] ; "late response")]
#[test_case(&[(0, sent("look")), (10, Event::LimiterSuspended { limiter: 0 }), (3000, Event::LimiterContinued { limiter: 0 }), (4000, answered(502))] => Vec::<String>::new() ; "limiter suspended")]
#[test_case(&[(0, sent("pay")), (1, received(0, 1)), (2, Event::AttemptAborted { attempt: 1 }), (3, received(1, 2)), (4, Event::AttemptCompleted { attempt: 2 }), (5, answered(200))] => vec!["no duplicate effect"] ; "non-idempotent request retried")]
#[test_case(&[(0, sent("pay")), (1, received(0, 1)), (2, Event::AttemptAborted { attempt: 1 }), (3, answered(429))] => vec!["no duplicate effect"] ; "rejected though it may have run")]
#[test_case(&[(0, sent("pay")), (1, received(0, 1)), (2, Event::AttemptRejected { attempt: 1 }), (3, received(1, 2)), (4, Event::AttemptCompleted { attempt: 2 }), (5, answered(200))] => Vec::<String>::new() ; "rejected by one server, run by another")]
#[test_case(&[(0, sent("look")), (1, received(0, 1)), (2, Event::AttemptAborted { attempt: 1 }), (3, received(1, 2)), (4, Event::AttemptCompleted { attempt: 2 }), (5, answered(200))] => Vec::<String>::new() ; "idempotent request retried")]
#[test_case(&[(0, sent("look")), (1, received(0, 1)), (2, received(1, 2)), (4, Event::AttemptCompleted { attempt: 2 }), (5, answered(200)), (400, Event::AttemptAborted { attempt: 1 })] => vec!["one attempt at a time"] ; "two attempts at once")]
#[test_case(&[(0, Event::LinkPartitioned(link(0, 0))), (1, sent("look")), (2, received(0, 1)), (3, received(1, 2)), (4, Event::AttemptCompleted { attempt: 2 }), (5, answered(200)), (6, Event::LinkHealed(link(0, 0))), (7, Event::AttemptAborted { attempt: 1 })] => Vec::<String>::new() ; "partition hides the end of an attempt")]
#[test_case(&[(0, Event::LinkPartitioned(link(0, 1))), (1, sent("look")), (2, received(0, 1)), (3, received(1, 2)), (4, Event::AttemptCompleted { attempt: 2 }), (5, answered(200)), (6, Event::LinkHealed(link(0, 1))), (400, Event::AttemptAborted { attempt: 1 })] => vec!["one attempt at a time"] ; "another link partitioned")]
#[test_case(&[(0, Event::DrainAnnounced(link(0, 3))), (3500, sent("look")), (3600, received(3, 1)), (3601, Event::AttemptCompleted { attempt: 1 }), (3602, answered(200))] => vec!["no attempt after a drain"] ; "attempt after the drain grace")]
#[test_case(&[(0, Event::DrainAnnounced(link(1, 3))), (3500, sent("look")), (3600, received(3, 1)), (3601, Event::AttemptCompleted { attempt: 1 }), (3602, answered(200))] => Vec::<String>::new() ; "drain announced to another limiter")]
#[test_case(&[(0, sent("put")), (10, written()), (2200, answered(408))] => vec!["response in time", "no complete request refused as late"] ; "complete request rejected as incomplete")]
#[test_case(&[(0, sent("put")), (900, written()), (1900, answered(408))] => Vec::<String>::new() ; "slowly written request rejected as incomplete")]
fn event_sequence_violates_expected_rules(events: &[(u64, Event)]) -> Vec<String> {
    violated_rules(events)
}

/// Three requests at once exceed a burst of two units by one. At the rate of the refill they do not.
#[test_case(0 => vec!["quota"] ; "all at once")]
#[test_case(1000 => Vec::<String>::new() ; "at the rate of the refill")]
fn use_over_the_quota_is_a_violation(interval_ms: u64) -> Vec<String> {
    let mut events = Vec::new();
    for n in 0..3u64 {
        let (id, at) = (format!("j{n}"), n * interval_ms);
        let timeout = ms(1000);
        events.push((
            at,
            Event::RequestSent {
                id: id.clone(),
                class: "look",
                customer: 7,
                limiter: 0,
                timeout,
            },
        ));
        events.push((
            at + 1,
            Event::AttemptReceived {
                id: id.clone(),
                server: 0,
                attempt: n,
                advertised_time: None,
            },
        ));
        events.push((at + 2, Event::AttemptCompleted { attempt: n }));
        events.push((
            at + 3,
            Event::ResponseReceived {
                id,
                status: 200,
                has_retry_after: false,
            },
        ));
    }
    violated_rules(&events)
}
