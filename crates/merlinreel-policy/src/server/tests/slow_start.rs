use crate::model::index::RequestIndex;
use crate::model::request_class::Idempotency;
use crate::tests::helpers::*;
use test_case::test_case;

#[test_case(3.0 => None ; "share already sent")]
#[test_case(30.0 => Some(0) ; "share not yet sent")]
fn starting_server_gets_its_share_of_a_full_servers_load(full_capacity_load: f64) -> Option<u32> {
    let mut limiter = with_attempt(Idempotency::Idempotent);
    pending_mut(&mut limiter, 0).attempts.clear();
    limiter.servers.full_capacity_attempts = full_capacity_load;
    let starting = server_mut(&mut limiter, 0);
    starting.slow_start_since = Some(at(1.0));
    starting.limit.in_flight = 0;
    starting.limit.attempts = 8.0;
    starting.recent_attempts.add(at(2.0), 1.0);
    let other = server_mut(&mut limiter, 1);
    other.limit.attempts = 9.0;
    other.limit.in_flight = 9;
    let selected = limiter.dispatch().select(at(2.0), RequestIndex(0));
    selected.map(|server| server.0)
}

#[test_case(true, 7.0 => 12.0 ; "attempts of the server with full capacity")]
#[test_case(false, 7.0 => 7.0 ; "last measurement while no server has full capacity")]
#[test_case(false, 0.0 => 5.0 ; "enough for one attempt without a measurement")]
fn full_capacity_load_is_measured(has_full_capacity: bool, last_measured: f64) -> f64 {
    let mut limiter = with_servers(limiter(Idempotency::Idempotent, fleet()));
    limiter.servers.full_capacity_attempts = last_measured;
    for server in limiter.servers.servers.values_mut() {
        server.slow_start_since = Some(at(1.0));
    }
    let other = server_mut(&mut limiter, 1);
    other.slow_start_since = (!has_full_capacity).then_some(at(1.0));
    other.recent_attempts.add(at(2.0), 12.0);
    limiter
        .servers
        .measure_full_capacity_load(at(2.0), &endpoint_config());
    limiter.servers.full_capacity_attempts
}
