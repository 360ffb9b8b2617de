use super::*;
use test_case::test_case;

const ZONE: Idempotency =
    Idempotency::IdempotencyKey(IdempotencyScope::Zone, Duration::from_millis(600));

#[test_case(Idempotency::Idempotent, AttemptOutcome::Error, 1.1 => (vec![0], 0) ; "replayable goes again")]
#[test_case(Idempotency::NonIdempotent, AttemptOutcome::Rejected, 1.1 => (vec![0], 0) ; "single-use that never ran")]
#[test_case(Idempotency::NonIdempotent, AttemptOutcome::ConnectionLost, 1.1 => (vec![], 1) ; "single-use that may have run")]
#[test_case(ZONE, AttemptOutcome::ConnectionLost, 1.1 => (vec![0], 0) ; "keyed within its memory")]
#[test_case(ZONE, AttemptOutcome::ConnectionLost, 1.7 => (vec![], 1) ; "keyed after it")]
#[test_case(Idempotency::Idempotent, AttemptOutcome::DeadlineExceeded, 3.0 => (vec![], 1) ; "nothing after the client's time")]
fn further_attempts(repeats: Idempotency, outcome: AttemptOutcome, when: f64) -> (Vec<u32>, usize) {
    let mut limiter = on_attempt(repeats);
    let mut notes = Notes::default();
    limiter.end_attempt(at(when), &attempt_end(outcome, false), &mut notes);
    (limiter.queue, notes.lines.len())
}

#[test_case(Idempotency::Idempotent => "refuse 0 3.0" ; "harmless to try again")]
#[test_case(Idempotency::NonIdempotent => "fail 0" ; "no promise where it may have run")]
#[test_case(ZONE => "fail 0" ; "nor outside the group that drops repeats")]
fn giving_up(repeats: Idempotency) -> String {
    let mut limiter = on_attempt(repeats);
    limiter.requests[0]
        .as_mut()
        .into_iter()
        .for_each(|open| open.ran = Some((0, at(1.0))));
    let mut notes = Notes::default();
    limiter.give_up(at(1.0), 0, &mut notes);
    notes.lines.remove(0)
}

#[test]
fn units_of_a_job_never_sent_are_given_back() {
    let mut limiter = on_attempt(Idempotency::NonIdempotent);
    limiter.requests[0]
        .as_mut()
        .into_iter()
        .for_each(|open| open.attempts.clear());
    limiter.give_up(at(1.0), 0, &mut Notes::default());
    assert_eq!(limiter.accounts[0].own[0], 0.0);
}

#[test_case(ZONE => Some(0) ; "keyed stays in the zone of its first attempt")]
#[test_case(Idempotency::Idempotent => Some(1) ; "replayable goes elsewhere")]
fn where_to_next(repeats: Idempotency) -> Option<u32> {
    let mut limiter = on_attempt(repeats);
    if let Some(open) = &mut limiter.requests[0] {
        open.attempts[0].out = false;
        open.ran = Some((0, at(1.0)));
    }
    limiter.choose(at(1.1), 0)
}

#[test]
fn a_server_that_streams_is_not_silent() {
    let mut limiter = on_attempt(Idempotency::Idempotent);
    limiter.answer_begins(at(4.0), 0);
    assert!(
        limiter.servers[0]
            .as_ref()
            .is_some_and(|server| server.owing_since == at(4.0))
    );
}

#[test_case(Idempotency::Idempotent => 1 ; "what may go again is taken back")]
#[test_case(Idempotency::NonIdempotent => 0 ; "single-use waits")]
fn silent_servers(repeats: Idempotency) -> usize {
    let mut limiter = on_attempt(repeats);
    limiter.requests[0]
        .as_mut()
        .into_iter()
        .for_each(|open| open.target = at(9.0));
    let mut notes = Notes::default();
    limiter.watch(at(4.0), &mut notes);
    notes.lines.len()
}

#[test_case(2.0, 0.4, true, None => 2.01 ; "quick answers while jobs wait raise it")]
#[test_case(2.0, 0.4, false, None => 2.0 ; "nothing waits")]
#[test_case(2.0, 0.9, true, None => 1.97 ; "long answers cut it")]
#[test_case(1.0, 0.9, true, None => 1.0 ; "never under what the credits say")]
#[test_case(4.0, 0.1, true, None => 4.0 ; "nor over four times")]
#[test_case(2.0, 0.9, true, Some((0.6, 0.0)) => 2.4 ; "a report of room counts more than long answers")]
#[test_case(2.0, 0.1, true, Some((0.95, 0.0)) => 2.0 ; "a report of busy cores")]
#[test_case(2.0, 0.1, true, Some((0.6, 2.0)) => 1.6 ; "a report of jobs that wait")]
#[test_case(7.9, 0.1, true, Some((0.6, 0.0)) => 8.0 ; "at most eight times")]
fn level_over_credits(level: f64, strain: f64, pressed: bool, report: Option<(f64, f64)>) -> f64 {
    let load = report.map_or_else(LoadReport::default, |(busy, waiting)| LoadReport {
        utilization: Some(busy),
        queued: Some(waiting),
        ..LoadReport::default()
    });
    (next_level(level, strain, pressed, &load) * 1000.0).round() / 1000.0
}

/// Guards against credits that are learned at the regular servers and counted at all.
#[test]
fn what_the_regular_servers_bear_stands_for_all() {
    let mut limiter = on_attempt(Idempotency::NonIdempotent);
    limiter
        .servers
        .resize_with(20, || Some(Server::new(entry(9), &endpoint_config(), 100)));
    limiter
        .servers
        .iter_mut()
        .skip(2)
        .flatten()
        .for_each(|server| server.aside = true);
    // One attempt is actions, and two servers with two credits each stand for twenty.
    limiter.servers[0]
        .iter_mut()
        .for_each(|server| server.credits = 0.2);
    limiter.servers[1]
        .iter_mut()
        .for_each(|server| server.credits = 0.2);
    let chosen = [1.0, 10.0].map(|reach| {
        limiter.reach = reach;
        limiter.choose(at(1.1), 0)
    });
    assert_eq!(chosen, [None, Some(1)]);
}

#[test_case(0.02, 0.6 ; "a slow answer is waited for")]
#[test_case(0.12, 0.288 ; "less so where many are lost")]
#[test_case(0.9, 0.1 ; "but no less than a tenth of a second")]
fn patience_with_answers(losing: f64, patience: f64) {
    assert!((secs(overdue_after(0.1, losing)) - patience).abs() < 0.001);
}

#[test_case(0.5 => (0, 1) ; "a hang: the server answered nothing since and is struck")]
#[test_case(2.0 => (0, 0) ; "a lost answer: it answered others, its credit comes back")]
fn overdue_attempts(answered: f64) -> (u32, u32) {
    let mut limiter = on_attempt(Idempotency::NonIdempotent);
    limiter.servers[0]
        .as_mut()
        .into_iter()
        .for_each(|server| server.owing_since = at(answered));
    limiter.watch(at(4.0), &mut Notes::default());
    limiter.servers[0]
        .as_ref()
        .map_or((9, 9), |server| (server.out, server.strikes))
}

#[test_case(0.1, 2.0, "send 0 to 0" ; "sent where credit is left")]
#[test_case(0.1, 1.05, "refuse 0 3.0" ; "given up at once when its target time cannot be met")]
#[test_case(9.0, 1.4, "send 0 to 0" ; "slow answers never close the limiter for good")]
fn dispatching(usual: f64, target: f64, decision: &str) {
    let mut limiter = on_attempt(Idempotency::Idempotent);
    (limiter.usual, limiter.queue) = (usual, vec![0]);
    // It is what answers took.
    limiter.answers.add(at(1.0), 1.0);
    limiter.servers[0]
        .as_mut()
        .into_iter()
        .for_each(|server| server.out = 0);
    limiter.servers[1] = None;
    if let Some(open) = &mut limiter.requests[0] {
        (open.queued, open.target, open.attempts) = (true, at(target), Vec::new());
    }
    let mut notes = Notes::default();
    limiter.dispatch(at(1.0), &mut notes);
    assert_eq!(notes.lines, [decision]);
}

#[test_case(0.3, true => 1 ; "idle servers take what earns beyond the quota")]
#[test_case(0.3, false => 0 ; "busy ones do not")]
#[test_case(0.0, true => 0 ; "nor what earns nothing")]
fn beyond_the_quota(overage_value: f64, idle: bool) -> usize {
    let mut limiter = limiter(Idempotency::Idempotent, fleet());
    limiter.plans[0].overage_value = overage_value;
    limiter.idle = idle;
    account(&mut limiter).carried = -5.0;
    limiter.take(at(1.0), &request(), &mut Notes::default());
    assert_eq!(limiter.accounts[0].own[0], 0.0);
    limiter.queue.len()
}

#[test_case(1.0, 1.0 => "send 1 to 0" ; "among near equals the newest")]
#[test_case(4.0, 1.0 => "send 0 to 0" ; "far more gain before the newest")]
fn who_goes_first(older: f64, newer: f64) -> String {
    let mut limiter = on_attempt(Idempotency::Idempotent);
    limiter.plans = [older, newer]
        .map(|plan_weight| Plan {
            plan_weight,
            ..plan()
        })
        .to_vec();
    limiter.servers[0]
        .as_mut()
        .into_iter()
        .for_each(|server| (server.credits, server.out) = (1.0, 0));
    limiter.servers[1] = None;
    let second = on_attempt(Idempotency::Idempotent).requests.remove(0);
    limiter.requests.push(second);
    for (i, open) in limiter.requests.iter_mut().flatten().enumerate() {
        (open.queued, open.target, open.attempts) = (true, at(2.0), Vec::new());
        (open.arrived, open.request.id, open.request.plan) =
            (at(1.0 + i as f64 / 10.0), i as u32, i);
    }
    limiter.queue = vec![0, 1];
    let mut notes = Notes::default();
    limiter.dispatch(at(1.2), &mut notes);
    notes.lines.remove(0)
}

#[test]
fn a_job_that_waits_twice_in_the_queue_is_sent_once() {
    let mut limiter = on_attempt(Idempotency::NonIdempotent);
    limiter.queue = vec![0, 0];
    if let Some(open) = &mut limiter.requests[0] {
        (open.queued, open.target, open.attempts) = (true, at(2.0), Vec::new());
    }
    let mut notes = Notes::default();
    limiter.dispatch(at(1.0), &mut notes);
    assert_eq!(notes.lines.len(), 1);
}

#[test_case(3 ; "a few limiters")]
#[test_case(40 ; "many, with rare peer messages")]
fn what_waits_is_looked_at_in_time(limiters: u32) {
    let limiter = limiter(
        Idempotency::Idempotent,
        FleetConfig {
            limiters,
            ..fleet()
        },
    );
    assert!(limiter.beat() <= at(0.1));
}

#[test_case(-5.0, "refuse 0 2.5" ; "until the refill covers it")]
#[test_case(-20.0, "refuse 0 3.0" ; "to the window's end at most")]
fn a_job_beyond_the_quota_is_refused_at_once(carried: f64, decision: &str) {
    let mut limiter = limiter(Idempotency::Idempotent, fleet());
    account(&mut limiter).carried = carried;
    let mut notes = Notes::default();
    limiter.take(at(1.0), &request(), &mut notes);
    assert_eq!(notes.lines, [decision]);
}

#[test]
fn the_answer_settles_the_units() {
    let mut limiter = on_attempt(Idempotency::Idempotent);
    limiter.fleet.settles = true;
    let end = AttemptResult {
        units: Some(3.0),
        ..attempt_end(AttemptOutcome::Success, true)
    };
    limiter.end_attempt(at(1.1), &end, &mut Notes::default());
    assert_eq!(limiter.accounts[0].own[0], 3.0);
}

/// The limiter may be held up for 0.15 s between reading its clock and writing: a keyed repeat is sent, and written, so
/// long before its servers forget the key, which they keep for 0.6 s from 1 s on.
#[test_case(1.40 => "send 0 to 1 within 0.05" ; "just in time")]
#[test_case(1.46 => "fail 0" ; "a hold-up might make it late")]
fn a_keyed_repeat_allows_for_a_hold_up(when: f64) -> String {
    let repeats = Idempotency::IdempotencyKey(IdempotencyScope::Zone, at(0.6));
    let (mut limiter, mut notes) = (on_attempt(repeats), Notes::default());
    // All in one zone.
    limiter.servers[1]
        .as_mut()
        .into_iter()
        .for_each(|server| server.entry.zone = 0);
    limiter.requests[0]
        .as_mut()
        .into_iter()
        .for_each(|open| open.target = at(2.5));
    limiter.end_attempt(
        at(when),
        &attempt_end(AttemptOutcome::ConnectionLost, false),
        &mut notes,
    );
    limiter.dispatch(at(when), &mut notes);
    notes.lines.join(", ")
}

/// A limiter that has seen no answer yet sends what has little time left, and learns; one whose servers take longer refuses.
#[test_case(None, 0.1 => "send 0 to 0" ; "nothing seen yet")]
#[test_case(Some(0.02), 0.1 => "send 0 to 0" ; "quick answers seen")]
#[test_case(Some(0.2), 0.1 => "refuse 0 2.5" ; "slow answers seen")]
fn little_time_left(seen: Option<f64>, left: f64) -> String {
    let mut limiter = with_servers(limiter(Idempotency::Idempotent, fleet()));
    limiter.servers[1] = None;
    for answer in seen
        .iter()
        .cycle()
        .take(if seen.is_some() { 60 } else { 0 })
    {
        limiter.requests = on_attempt(Idempotency::Idempotent).requests;
        account(&mut limiter);
        let end = AttemptResult {
            latency: at(*answer),
            ..attempt_end(AttemptOutcome::Success, true)
        };
        limiter.end_attempt(at(1.0), &end, &mut Notes::default());
    }
    let round = EventBatch {
        requests: vec![Request {
            remaining_time: at(left),
            ..request()
        }],
        ..EventBatch::default()
    };
    let mut notes = Notes::default();
    limiter.round(at(1.5), &round, &mut notes);
    notes.lines.remove(0)
}

/// An attempt whose client's time was over before a usual answer could have come says nothing of its server, which may
/// drop such requests without a word; one that waited for longer does.
#[test_case(0.05 => true ; "less than a usual answer takes")]
#[test_case(0.5 => false ; "more than that")]
fn a_server_that_drops_what_is_over_keeps_its_credits(took: f64) -> bool {
    let before = on_attempt(Idempotency::Idempotent).servers[0]
        .as_ref()
        .map(|server| server.credits);
    let mut limiter = on_attempt(Idempotency::Idempotent);
    limiter.usual = 0.1;
    for ends in 0..8 {
        limiter.requests = on_attempt(Idempotency::Idempotent).requests;
        let end = AttemptResult {
            latency: at(took),
            ..attempt_end(AttemptOutcome::DeadlineExceeded, true)
        };
        limiter.end_attempt(at(1.1 + f64::from(ends)), &end, &mut Notes::default());
    }
    limiter.servers[0].as_ref().map(|server| server.credits) == before
}

/// A further attempt must reach its server while the key of a first that may have run is kept, for 0.6 s here since that was
/// sent at 1 s, less what it may be held up; else it needs no hurry. Guards against an effect twice by a repeat that its connection holds up.
#[test_case(Idempotency::IdempotencyKey(IdempotencyScope::All, at(0.6)), AttemptOutcome::ConnectionLost => "send 0 to 1 within 0.25" ; "keyed, it may have run")]
#[test_case(Idempotency::IdempotencyKey(IdempotencyScope::All, at(0.6)), AttemptOutcome::NotSent => "send 0 to 1" ; "keyed, it never ran")]
#[test_case(Idempotency::Idempotent, AttemptOutcome::ConnectionLost => "send 0 to 1" ; "at will")]
fn a_repeat_is_there_while_its_key_is_kept(
    repeats: Idempotency,
    outcome: AttemptOutcome,
) -> String {
    let (mut limiter, mut notes) = (on_attempt(repeats), Notes::default());
    limiter.end_attempt(at(1.2), &attempt_end(outcome, false), &mut notes);
    limiter.dispatch(at(1.2), &mut notes);
    notes.lines.join(", ")
}
