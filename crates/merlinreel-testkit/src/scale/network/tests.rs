use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Sends a hundred datagrams of eight bytes from endpoint 0 to endpoints 1 and 2 in turn. Returns the datagrams received
/// within a second, and the traffic of each endpoint.
fn exchange(seed: u64, is_partitioned: bool) -> (Vec<Datagram>, Vec<Traffic>) {
    let mut network = Network::new(
        3,
        seed,
        LinkConditions {
            loss: 0.2,
            ..LinkConditions::default()
        },
    );
    if is_partitioned {
        network.partition([2]);
    }
    for i in 0..100u64 {
        network.send(
            Duration::ZERO,
            0,
            1 + (i % 2) as u32,
            i.to_be_bytes().to_vec(),
        );
    }
    let arrived = std::iter::from_fn(|| network.receive(SECOND)).collect();
    (arrived, network.traffic().to_vec())
}

#[test]
fn same_seed_delivers_the_same_datagrams() {
    assert_eq!(exchange(7, false), exchange(7, false));
    assert_ne!(exchange(7, false).0, exchange(8, false).0);
}

#[test]
fn lost_datagrams_are_counted_as_sent_only() {
    let (arrived, traffic) = exchange(7, false);
    assert!((60..100).contains(&arrived.len()), "{}", arrived.len());
    assert_eq!(
        (traffic[0].sent_messages, traffic[0].sent_bytes),
        (100, 800)
    );
    let received: u64 = traffic
        .iter()
        .map(|endpoint| endpoint.received_messages)
        .sum();
    assert_eq!(received, arrived.len() as u64);
}

#[test]
fn partitioned_endpoint_receives_nothing() {
    assert!(exchange(7, true).0.iter().all(|datagram| datagram.to == 1));
}

#[test]
fn datagram_arrives_no_earlier_than_the_minimum_delay() {
    let mut network = Network::new(
        2,
        1,
        LinkConditions {
            loss: 0.0,
            ..LinkConditions::default()
        },
    );
    network.send(Duration::ZERO, 0, 1, vec![1]);
    assert_eq!(network.receive(Duration::from_micros(999)), None);
    assert!(
        network
            .next_due()
            .is_some_and(|at| at >= Duration::from_millis(1))
    );
}
