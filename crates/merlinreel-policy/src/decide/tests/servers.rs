use super::*;
use test_case::test_case;

#[test_case(0.02, 2.0 => true ; "quick answers while jobs wait earn credit")]
#[test_case(1.0, 2.0 => false ; "long ones cost it")]
fn credits_follow_answers(took: f64, start: f64) -> bool {
    let mut server = Server::new(entry(0), &endpoint_config(), 3);
    server.credits = start;
    (0..8).for_each(|i| server.pace(at(f64::from(i)), took, 0.2, 1.0, true));
    server.credits > start
}

#[test_case(|_| () => Some(0) ; "the nearer of two that are alike")]
#[test_case(|s| s.listed = false => Some(1) ; "one that drains or is gone")]
#[test_case(|s| s.benched_until = at(9.0) => Some(1) ; "one that failed")]
#[test_case(|s| s.out = 2 => Some(1) ; "no credit left")]
#[test_case(|s| s.errors = 0.2 => Some(1) ; "one that fails fast and so looks idle")]
fn choosing(trouble: fn(&mut Server)) -> Option<u32> {
    let mut limiter = with_servers(on_attempt(Idempotency::Idempotent));
    limiter.servers[1]
        .as_mut()
        .into_iter()
        .for_each(|server| server.took = 0.25);
    limiter.servers[0]
        .as_mut()
        .into_iter()
        .for_each(|server| server.took = 0.2);
    limiter.requests[0]
        .as_mut()
        .into_iter()
        .for_each(|open| open.attempts.clear());
    limiter.servers[0].as_mut().into_iter().for_each(trouble);
    limiter.choose(at(2.0), 0)
}

#[test_case(false ; "cold")]
#[test_case(true ; "struck and on trial")]
fn many_limiters_do_not_all_try_a_weak_server_at_once(struck: bool) {
    let tries = |me: u32| {
        let mut limiter = limiter(Idempotency::Idempotent, FleetConfig { me, ..many() });
        limiter.servers = (0..2)
            .map(|i| Some(Server::new(entry(i), &endpoint_config(), 90)))
            .collect();
        limiter.requests = on_attempt(Idempotency::Idempotent).requests;
        limiter.requests[0]
            .as_mut()
            .into_iter()
            .for_each(|open| open.attempts.clear());
        if let [Some(weak), Some(other)] = &mut limiter.servers[..] {
            (weak.cold_since, weak.strikes) = ((!struck).then_some(at(1.9)), u32::from(struck));
            other.out = 1;
        }
        limiter.warm_sends = 3.0;
        limiter.choose(at(2.0), 0).is_some()
    };
    assert!((0..90).filter(|&me| tries(me)).count() <= 4);
}

#[test_case(3.0 => None ; "it had its share")]
#[test_case(30.0 => Some(0) ; "it did not")]
fn a_cold_server_gets_its_share_of_what_warm_ones_get(warm_sends: f64) -> Option<u32> {
    let mut limiter = on_attempt(Idempotency::Idempotent);
    limiter.requests[0]
        .as_mut()
        .into_iter()
        .for_each(|open| open.attempts.clear());
    limiter.warm_sends = warm_sends;
    if let [Some(cold), Some(warm)] = &mut limiter.servers[..] {
        (cold.cold_since, cold.out) = (Some(at(1.0)), 0);
        cold.credits = 8.0;
        cold.sends.add(at(2.0), 1.0);
        (warm.credits, warm.out) = (9.0, 9);
    }
    limiter.choose(at(2.0), 0)
}

#[test_case(true, 7.0 => 12.0 ; "what the warm one gets")]
#[test_case(false, 7.0 => 7.0 ; "what was seen last while none is warm")]
#[test_case(false, 0.0 => 5.0 ; "enough for an attempt where nothing was seen")]
fn what_cold_servers_are_measured_by(warm: bool, seen: f64) -> f64 {
    let mut limiter = with_servers(limiter(Idempotency::Idempotent, fleet()));
    limiter.warm_sends = seen;
    for server in limiter.servers.iter_mut().flatten() {
        server.cold_since = Some(at(1.0));
    }
    if let Some(server) = limiter.servers[1].as_mut() {
        server.cold_since = (!warm).then_some(at(1.0));
        server.sends.add(at(2.0), 12.0);
    }
    limiter.gauge(at(2.0));
    limiter.warm_sends
}

#[test_case(AttemptOutcome::ConnectionLost, 0, 0.0 => (0, false) ; "one dropped attempt is the link's doing")]
#[test_case(AttemptOutcome::ConnectionLost, 2, 0.0 => (1, false) ; "three in a row are the server's")]
#[test_case(AttemptOutcome::ConnectionLost, 2, 0.4 => (0, false) ; "three in a row are chance where all fail often")]
#[test_case(AttemptOutcome::ConnectionLost, 9, 0.4 => (1, false) ; "ten are not")]
#[test_case(AttemptOutcome::ConnectionRefused, 0, 0.0 => (1, true) ; "no connection: the process is gone")]
#[test_case(AttemptOutcome::Unreachable, 0, 0.0 => (1, true) ; "no connection came up: it may be gone")]
#[test_case(AttemptOutcome::Error, 0, 0.4 => (0, false) ; "what all servers share is no server's doing")]
fn failing(outcome: AttemptOutcome, drops: u32, erring: f64) -> (u32, bool) {
    let mut limiter = on_attempt(Idempotency::Idempotent);
    limiter.erring = erring;
    if let Some(server) = limiter.servers[0].as_mut() {
        (server.drops, server.errors) = (drops, erring);
    }
    limiter.end_attempt(at(1.1), &attempt_end(outcome, false), &mut Notes::default());
    limiter.servers[0]
        .as_ref()
        .map_or((9, false), |server| (server.strikes, server.down))
}

/// Server 0 could not be reached and then answers; whether it is taken for one that has just started.
#[test_case(AttemptOutcome::Unreachable, true => false ; "nor could any other: it was this limiter's own trouble")]
#[test_case(AttemptOutcome::Unreachable, false => true ; "others could be")]
#[test_case(AttemptOutcome::ConnectionRefused, true => true ; "it refused: its process was gone")]
fn back_from_unreachable(outcome: AttemptOutcome, others_too: bool) -> bool {
    let mut limiter = on_attempt(Idempotency::Idempotent);
    if let Some(other) = limiter.servers[1].as_mut() {
        other.unreachable_since = others_too.then_some(at(1.05));
    }
    let mut notes = Notes::default();
    limiter.end_attempt(at(1.1), &attempt_end(outcome, false), &mut notes);
    limiter.requests = on_attempt(Idempotency::Idempotent).requests;
    limiter.end_attempt(
        at(2.0),
        &attempt_end(AttemptOutcome::Success, true),
        &mut notes,
    );
    limiter.servers[0]
        .as_ref()
        .is_some_and(|server| server.cold_since.is_some())
}

#[test]
fn parts_of_a_credit_go_by_turns() {
    let sends = |me: u32| {
        let mut limiter = on_attempt(Idempotency::Idempotent);
        limiter.fleet.me = me;
        for server in limiter.servers.iter_mut().flatten() {
            (server.credits, server.out) = (1.0 / 3.0, 0);
        }
        limiter.requests[0]
            .as_mut()
            .into_iter()
            .for_each(|open| open.attempts.clear());
        limiter.choose(at(2.0), 0) == Some(0)
    };
    assert_eq!((0..3).filter(|&me| sends(me)).count(), 1);
}

#[test_case(EndpointState::Draining, false => false ; "told that it drains")]
#[test_case(EndpointState::Ready, true => true ; "a whole list keeps who is on it")]
fn following(state: EndpointState, complete: bool) -> bool {
    let mut limiter = with_servers(limiter(Idempotency::Idempotent, fleet()));
    let endpoints = vec![Endpoint { state, ..entry(0) }];
    let endpoint_updates = EndpointUpdate {
        complete,
        cached: false,
        unavailable: false,
        endpoints,
    };
    limiter.follow(at(1.0), &endpoint_updates);
    let listed = |i: usize| {
        limiter.servers[i]
            .as_ref()
            .is_some_and(|server| server.listed)
    };
    assert_eq!(listed(1), !complete);
    listed(0)
}

/// Rounds a second apart; how many accounts and servers are kept then.
#[test_case(33, 0.0, false => (0, 1) ; "a customer that came once, and a server that is gone")]
#[test_case(20, 0.0, false => (1, 2) ; "not within half a minute")]
#[test_case(33, 200.0, false => (1, 1) ; "a store that is not full again")]
#[test_case(33, 0.0, true => (1, 2) ; "what an open job refers to")]
fn forgetting(seconds: u32, used: f64, open: bool) -> (usize, usize) {
    let mut limiter = with_servers(limiter(Idempotency::Idempotent, fleet()));
    let endpoints = vec![entry(1)];
    limiter.follow(
        at(1.0),
        &EndpointUpdate {
            complete: true,
            cached: false,
            unavailable: false,
            endpoints,
        },
    );
    account(&mut limiter).add_own(0, used);
    if open {
        let attempts = vec![Attempt {
            server: 0,
            sent: at(1.0),
            out: true,
            revoked: true,
            overdue: true,
        }];
        let request = PendingRequest::new(&request(), 0, at(1.0), at(900.0), None);
        limiter.requests = vec![Some(PendingRequest {
            attempts,
            queued: false,
            ..request
        })];
    }
    let mut notes = Notes::default();
    (1..=seconds).for_each(|second| {
        limiter.round(at(f64::from(second)), &EventBatch::default(), &mut notes)
    });
    let kept = (
        limiter.by_customer.len(),
        limiter.servers.iter().flatten().count(),
    );
    assert_eq!(
        notes
            .lines
            .iter()
            .filter(|line| *line == "forget 0")
            .count(),
        2 - kept.1
    );
    // The next customer takes the place of one that was forgotten.
    assert_eq!(limiter.account(at(99.0), 78, 0), kept.0);
    kept
}

#[test_case(1.0, 1 ; "at once when it was not asked of late")]
#[test_case(0.2, 0 ; "not again within half a second")]
fn a_lost_server_list_is_asked_for_again(when: f64, calls: usize) {
    let mut limiter = limiter(
        Idempotency::Idempotent,
        FleetConfig {
            peer_messages: false,
            ..fleet()
        },
    );
    (limiter.started, limiter.discovery_lost) = (Some(at(0.0)), true);
    let mut notes = Notes::default();
    limiter.round(at(when), &EventBatch::default(), &mut notes);
    assert_eq!(notes.lines.len(), calls);
}

/// How many of the limiters send to each of the servers as a rule: the fewest and the most. Guards against servers
/// that nobody meets, and against a connection from each of many limiters.
#[test_case(1, 0, false => (0, 0) ; "none listed")]
#[test_case(1, 3, true => (1, 1) ; "one limiter without a peer")]
#[test_case(300, 1, false => (300, 300) ; "a lone server")]
#[test_case(4, 14, false => (4, 4) ; "all where limiters are few")]
#[test_case(100, 60, false => (9, 11) ; "ten of a hundred")]
#[test_case(300, 200, false => (9, 12) ; "ten of three hundred")]
#[test_case(100, 60, true => (11, 29) ; "more where half of the servers are cold")]
fn limiters_at_a_server(limiters: u32, servers: u32, cold: bool) -> (usize, usize) {
    let mut at_server = vec![0; servers as usize];
    for me in 0..limiters {
        let mut limiter = limiter(
            Idempotency::Idempotent,
            FleetConfig {
                limiters,
                me,
                ..fleet()
            },
        );
        limiter.servers = (0..servers)
            .map(|i| Some(Server::new(entry(i), &endpoint_config(), limiters)))
            .collect();
        let starts = limiter
            .servers
            .iter_mut()
            .step_by(2)
            .flatten()
            .filter(|_| cold);
        starts.for_each(|server| server.cold_since = Some(at(1.0)));
        limiter.keep_regulars(at(1.0));
        let regulars = limiter
            .servers
            .iter()
            .flatten()
            .filter(|server| !server.aside);
        regulars.for_each(|server| at_server[server.entry.server as usize] += 1);
    }
    (
        at_server.iter().copied().min().unwrap_or(0),
        at_server.iter().copied().max().unwrap_or(0),
    )
}

#[test]
fn a_start_told_by_discovery_makes_a_server_cold() {
    let mut limiter = with_servers(limiter(Idempotency::Idempotent, fleet()));
    let endpoints = vec![Endpoint {
        started_at: Some(at(20.0)),
        ..entry(0)
    }];
    let endpoint_updates = EndpointUpdate {
        complete: false,
        cached: false,
        unavailable: false,
        endpoints,
    };
    limiter.follow(at(20.0), &endpoint_updates);
    let warmth = limiter.servers[0]
        .as_ref()
        .map(|s| s.warmth(at(22.0), &endpoint_config()));
    assert!(warmth.is_some_and(|warmth| warmth < 0.4));
}
