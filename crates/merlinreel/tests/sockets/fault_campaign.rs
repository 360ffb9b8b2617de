//! Clusters of several limiters with faults of processes and links. The event log is checked against the five rules of the
//! protocol.

use merlinreel_testkit::link::NetworkConditions;
use merlinreel_testkit::*;
use std::time::Duration;
use test_case::test_case;

const LIMITERS: usize = 3;
const SERVERS: usize = 4;

/// No rule is violated under randomly drawn faults ([`Fault`] describes each), and more than half of the requests are
/// served. Limiters are killed, terminated by repeated signals and killed as early as possible, suspended, restarted and
/// reloaded; servers pause and drain, links are partitioned in one direction or both, connections are closed, discoveries
/// fall silent, connection bursts arrive. Meanwhile clients pipeline four requests or disconnect, and a fifth of the peer
/// messages is lost.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
fn generated_faults_violate_no_rule(seed: u64) {
    let duration = Duration::from_secs(8);
    let mut cluster = Cluster::start(seed, LIMITERS, SERVERS);
    let plan = FaultPlan::generate(seed, 6, LIMITERS, SERVERS, duration);
    let entries = cluster.run(&plan, duration);
    let violations = find_violations(&entries, &Tolerances::default());
    let first_violations: Vec<String> =
        violations.iter().take(5).map(ToString::to_string).collect();
    assert!(
        violations.is_empty(),
        "{first_violations:?} under {:?}",
        plan.faults
    );
    let count = |matches_event: fn(&Event) -> bool| {
        entries
            .iter()
            .filter(|entry| matches_event(&entry.event))
            .count()
    };
    let sent = count(|event| matches!(event, Event::RequestSent { .. }));
    let served = count(|event| matches!(event, Event::ResponseReceived { status: 200, .. }));
    assert!(sent > 300 && served * 2 > sent, "{served} of {sent} served");
    assert!(cluster.servers[0].completed_requests() > 0);
}

/// No rule is violated under compound faults: short suspensions in a row, slow links, a restart while discovery is silent,
/// a shutdown during a connection burst, reloads during a drain. Further clients pause in the middle of a request or upload
/// in thousands of chunks. More than 300 requests are served.
#[test_case(1)]
#[test_case(2)]
fn faults_of_several_parts_violate_no_rule(seed: u64) {
    let duration = Duration::from_secs(8);
    let mut cluster = Cluster::start(seed, LIMITERS, SERVERS);
    let plan = FaultPlan::generate_with_compound_faults(seed, 4, LIMITERS, SERVERS, duration);
    let entries = cluster.run_with_extra_clients(&plan, duration);
    let violations = find_violations(&entries, &Tolerances::default());
    let first_violations: Vec<String> =
        violations.iter().take(5).map(ToString::to_string).collect();
    assert!(
        violations.is_empty(),
        "{first_violations:?} under {:?}",
        plan.faults
    );
    let served = entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::ResponseReceived { status: 200, .. }))
        .count();
    assert!(served > 300, "{served} served");
}

/// No response is truncated or lost, and no other rule violated, when all links are slow and split responses into small
/// pieces.
#[test]
fn trickled_responses_violate_no_rule() {
    let mut cluster = Cluster::start(9, LIMITERS, SERVERS);
    for limiter in 0..LIMITERS {
        for server in 0..SERVERS {
            let forward = NetworkConditions {
                delay: Duration::from_millis(5),
                jitter: Duration::from_millis(10),
                ..NetworkConditions::default()
            };
            cluster.set_network_conditions(
                LinkId { limiter, server },
                forward,
                NetworkConditions {
                    chunk_bytes: Some(7),
                    ..forward
                },
            );
        }
    }
    let entries = cluster.run(&FaultPlan { faults: Vec::new() }, Duration::from_secs(4));
    assert_eq!(find_violations(&entries, &Tolerances::default()), []);
    assert!(
        entries
            .iter()
            .any(|entry| matches!(entry.event, Event::ResponseReceived { status: 200, .. }))
    );
}
