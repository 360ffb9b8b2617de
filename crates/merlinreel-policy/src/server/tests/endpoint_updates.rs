use crate::events::EventBatch;
use crate::model::endpoint::{Endpoint, EndpointState};
use crate::model::fleet::FleetConfig;
use crate::model::request_class::Idempotency;
use crate::tests::helpers::*;
use test_case::test_case;

#[test_case(EndpointState::Draining, false => false ; "reported as draining")]
#[test_case(EndpointState::Ready, true => true ; "named in a complete list")]
fn endpoint_update_decides_eligibility(state: EndpointState, complete: bool) -> bool {
    let mut limiter = with_servers(limiter(Idempotency::Idempotent, fleet()));
    let endpoints = vec![Endpoint {
        state,
        ..endpoint(0)
    }];
    apply_endpoint_update(&mut limiter, at(1.0), &endpoint_update(complete, endpoints));
    assert_eq!(server_mut(&mut limiter, 1).eligible, !complete);
    server_mut(&mut limiter, 0).eligible
}

#[test_case(1.0, 1 ; "at once where it was not requested recently")]
#[test_case(0.2, 0 ; "no second request within half a second")]
fn lost_endpoint_subscription_is_renewed(now: f64, requests: usize) {
    let fleet = FleetConfig {
        peer_messages: false,
        ..fleet()
    };
    let mut limiter = limiter(Idempotency::Idempotent, fleet);
    limiter.peers.started_at = Some(at(0.0));
    limiter.subscription.lost = true;
    let mut actions = RecordedActions::default();
    limiter.process(at(now), &EventBatch::default(), &mut actions);
    assert_eq!(actions.lines.len(), requests);
}

#[test]
fn reported_start_begins_a_slow_start() {
    let mut limiter = with_servers(limiter(Idempotency::Idempotent, fleet()));
    let endpoints = vec![Endpoint {
        started_at: Some(at(20.0)),
        ..endpoint(0)
    }];
    apply_endpoint_update(&mut limiter, at(20.0), &endpoint_update(false, endpoints));
    let server = server_mut(&mut limiter, 0);
    assert!(server.capacity_fraction(at(22.0), &endpoint_config()) < 0.4);
}
