use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Sends a hundred datagrams of eight bytes and returns who got what by a second later.
fn play(seed: u64, cut: bool) -> (Vec<Delivery>, Vec<Traffic>) {
    let mut network = Network::new(
        3,
        seed,
        Ways {
            loss: 0.2,
            ..Ways::default()
        },
    );
    if cut {
        network.cut_off([2]);
    }
    for i in 0..100u64 {
        network.send(
            Duration::ZERO,
            0,
            1 + (i % 2) as u32,
            i.to_be_bytes().to_vec(),
        );
    }
    let arrived = std::iter::from_fn(|| network.arrived(SECOND)).collect();
    (arrived, network.traffic().to_vec())
}

#[test]
fn one_seed_plays_the_same_each_time() {
    assert_eq!(play(7, false), play(7, false));
    assert_ne!(play(7, false).0, play(8, false).0);
}

#[test]
fn some_are_lost_and_all_are_counted() {
    let (arrived, traffic) = play(7, false);
    assert!((60..100).contains(&arrived.len()), "{}", arrived.len());
    assert_eq!(
        (traffic[0].sent_messages, traffic[0].sent_bytes),
        (100, 800)
    );
    let received: u64 = traffic.iter().map(|one| one.received_messages).sum();
    assert_eq!(received, arrived.len() as u64);
}

#[test]
fn nothing_crosses_a_cut() {
    assert!(play(7, true).0.iter().all(|delivery| delivery.to == 1));
}

#[test]
fn nothing_arrives_before_its_time() {
    let mut network = Network::new(
        2,
        1,
        Ways {
            loss: 0.0,
            ..Ways::default()
        },
    );
    network.send(Duration::ZERO, 0, 1, vec![1]);
    assert_eq!(network.arrived(Duration::from_micros(999)), None);
    assert!(
        network
            .next_at()
            .is_some_and(|at| at >= Duration::from_millis(1))
    );
}
