use crate::model::fleet::FleetConfig;
use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::request_class::{Idempotency, IdempotencyScope};
use crate::request_table::FirstRun;
use crate::server::server_state::Server;
use crate::tests::helpers::*;
use std::time::Duration;
use test_case::test_case;

const ZONE: Idempotency =
    Idempotency::IdempotencyKey(IdempotencyScope::Zone, Duration::from_millis(600));

#[test_case(|_| () => Some(0) ; "prefers the faster server in its own zone")]
#[test_case(|s| s.eligible = false => Some(1) ; "avoids a server that drains or is removed")]
#[test_case(|s| s.health.ejected_until = at(9.0) => Some(1) ; "avoids an ejected server")]
#[test_case(|s| s.limit.in_flight = 2 => Some(1) ; "avoids a server at its limit")]
#[test_case(|s| s.health.error_rate = 0.2 => Some(1) ; "avoids a server that fails fast")]
fn selection_avoids_the_worse_server(impair: fn(&mut Server)) -> Option<u32> {
    let mut limiter = with_servers(with_attempt(Idempotency::Idempotent));
    server_mut(&mut limiter, 1).latency_seconds = 0.25;
    server_mut(&mut limiter, 0).latency_seconds = 0.2;
    pending_mut(&mut limiter, 0).attempts.clear();
    impair(server_mut(&mut limiter, 0));
    let selected = limiter.dispatch().select(at(2.0), RequestIndex(0));
    selected.map(|server| server.0)
}

#[test_case(false ; "starting")]
#[test_case(true ; "failed before")]
fn many_limiters_do_not_all_send_to_an_impaired_server_at_once(failed: bool) {
    let selects_server = |limiter_index: u32| {
        let fleet = FleetConfig {
            own_index: limiter_index,
            ..large_fleet()
        };
        let mut limiter = limiter(Idempotency::Idempotent, fleet);
        limiter.servers.servers = (0..2).map(|index| server(index, 90)).collect();
        *limiter.requests.pending.slot(RequestIndex(0)) = Some(pending_request());
        pending_mut(&mut limiter, 0).attempts.clear();
        let impaired = server_mut(&mut limiter, 0);
        impaired.slow_start_since = (!failed).then_some(at(1.9));
        impaired.health.consecutive_failures = u32::from(failed);
        server_mut(&mut limiter, 1).limit.in_flight = 1;
        limiter.servers.full_capacity_attempts = 3.0;
        limiter
            .dispatch()
            .select(at(2.0), RequestIndex(0))
            .is_some()
    };
    assert!(
        (0..90)
            .filter(|&limiter_index| selects_server(limiter_index))
            .count()
            <= 4
    );
}

#[test]
fn fraction_of_an_attempt_rotates_among_limiters() {
    let selects_first_server = |limiter_index: u32| {
        let mut limiter = with_attempt(Idempotency::Idempotent);
        limiter.config.fleet.own_index = limiter_index;
        for server in limiter.servers.servers.values_mut() {
            server.limit.attempts = 1.0 / 3.0;
            server.limit.in_flight = 0;
        }
        pending_mut(&mut limiter, 0).attempts.clear();
        limiter.dispatch().select(at(2.0), RequestIndex(0)) == Some(ServerIndex(0))
    };
    assert_eq!(
        (0..3)
            .filter(|&limiter_index| selects_first_server(limiter_index))
            .count(),
        1
    );
}

#[test_case(ZONE => Some(0) ; "request with a key stays in the zone of its first attempt")]
#[test_case(Idempotency::Idempotent => Some(1) ; "idempotent request goes to another zone")]
fn retry_stays_in_its_scope(idempotency: Idempotency) -> Option<u32> {
    let mut limiter = with_attempt(idempotency);
    let pending = pending_mut(&mut limiter, 0);
    pending.attempts[0].in_flight = false;
    pending.first_run = Some(FirstRun {
        server: ServerIndex(0),
        sent_at: at(1.0),
    });
    let selected = limiter.dispatch().select(at(1.1), RequestIndex(0));
    selected.map(|server| server.0)
}

/// Limits are known for the servers of the subset only, but attempts in flight are counted at all servers: without
/// `subset_scale`, the total limit would be too low.
#[test]
fn subset_limits_stand_for_all_servers() {
    let mut limiter = with_attempt(Idempotency::NonIdempotent);
    for index in 2..20 {
        let mut other = server(9, 100);
        other.outside_subset = true;
        *limiter.servers.servers.slot(ServerIndex(index)) = Some(other);
    }
    // One attempt is in flight; the two servers of the subset have limits of 0.2, and represent 20 servers at a scale
    // of 10.
    server_mut(&mut limiter, 0).limit.attempts = 0.2;
    server_mut(&mut limiter, 1).limit.attempts = 0.2;
    let selected = [1.0, 10.0].map(|subset_scale| {
        limiter.servers.subset_scale = subset_scale;
        limiter.dispatch().select(at(1.1), RequestIndex(0))
    });
    assert_eq!(selected, [None, Some(ServerIndex(1))]);
}
