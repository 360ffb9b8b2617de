//! Clusters of nodes on a simulated network and clock: each run with the same seed is the same.

use merlinreel_mesh::{
    Capacity, Counters, Datagram, Event, Key, Keys, Member, Node, NodeConfig, Urgency,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

pub const UNIX: Duration = Duration::from_secs(1_790_000_000);
pub const KIND: u16 = 7;
const TTL: Duration = Duration::from_secs(30);

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

/// Whether a datagram from one node to another is lost, or after which time it arrives.
type Network = Box<dyn Fn(&mut ChaCha8Rng, usize, usize) -> Option<Duration>>;

/// The monotonic clock of each node has another origin.
fn clock_offset(i: usize) -> Duration {
    Duration::from_secs(100 * i as u64)
}

struct Cluster {
    nodes: Vec<Option<Node>>,
    /// Until then a node does nothing; datagrams for it arrive at once after it.
    stalled: BTreeMap<usize, Duration>,
    now: Duration,
    due: BTreeMap<(Duration, u64), (usize, Vec<u8>)>,
    number: u64,
    random: ChaCha8Rng,
    network: Network,
}

fn config(i: usize, restart: u64) -> NodeConfig {
    NodeConfig {
        own: Member {
            address: address(1000 + i as u16),
            incarnation: 1_790_000_000_000 + restart,
        },
        seeds: vec![address(1000), address(1001)],
        keys: Keys::new(vec![Key::new(1, vec![7; 32])], None).expect("a valid key"),
        random_seed: i as u64 + restart * 1000,
        bytes_per_second: 8000,
        burst_bytes: 32_000,
        capacity: Capacity::for_limiters(50),
    }
}

fn lossy(percent: u32) -> Network {
    Box::new(move |random, _, _| {
        (random.random_range(0..100) >= percent)
            .then(|| Duration::from_micros(random.random_range(200..2000)))
    })
}

impl Cluster {
    fn new(size: usize, seed: u64, network: Network) -> Cluster {
        let node = |i| Some(Node::new(config(i, 0), clock_offset(i), UNIX));
        Cluster {
            nodes: (0..size).map(node).collect(),
            stalled: BTreeMap::new(),
            now: Duration::ZERO,
            due: BTreeMap::new(),
            number: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            network,
        }
    }

    fn flush(&mut self, i: usize) {
        let Some(node) = self.nodes[i].as_mut() else {
            return;
        };
        while let Some(Datagram { to, bytes }) = node.next_datagram() {
            let to = usize::from(to.port() - 1000);
            if let Some(after) = (self.network)(&mut self.random, i, to) {
                self.number += 1;
                self.due
                    .insert((self.now + after, self.number), (to, bytes));
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let step = self.now + Duration::from_millis(10);
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= step) {
                let ((at, number), (to, bytes)) = (*entry.key(), entry.remove());
                if let Some(&until) = self.stalled.get(&to).filter(|until| **until > step) {
                    self.due.insert((until, number), (to, bytes));
                    continue;
                }
                self.now = self.now.max(at);
                let now = self.now;
                if let Some(node) = self.nodes.get_mut(to).and_then(Option::as_mut) {
                    node.receive(&bytes, clock_offset(to) + now, UNIX + now);
                    self.flush(to);
                }
            }
            self.now = step;
            self.stalled.retain(|_, until| *until > step);
            for i in 0..self.nodes.len() {
                if self.stalled.contains_key(&i) {
                    continue;
                }
                if let Some(node) = self.nodes[i]
                    .as_mut()
                    .filter(|node| node.next_tick() <= clock_offset(i) + step)
                {
                    node.tick(clock_offset(i) + step, UNIX + step);
                }
                self.flush(i);
            }
        }
    }

    fn publish(&mut self, i: usize, value: u32, urgency: Urgency) {
        let now = clock_offset(i) + self.now;
        if let Some(node) = self.nodes[i].as_mut() {
            node.publish(
                KIND,
                serde_json::to_vec(&value).expect("a number"),
                TTL,
                urgency,
                now,
            )
            .expect("short");
        }
        self.flush(i);
    }

    /// The record of node `of` that each running node holds.
    fn known(&self, of: usize) -> Vec<Option<u32>> {
        let held = |(i, node): (usize, &Node)| {
            let decoded = node.view(clock_offset(i) + self.now).decode::<u32>(KIND);
            decoded
                .records
                .iter()
                .find(|held| held.owner.address == address(1000 + of as u16))
                .map(|held| held.body)
        };
        self.nodes
            .iter()
            .enumerate()
            .filter_map(|(i, node)| Some((i, node.as_ref()?)))
            .map(held)
            .collect()
    }

    fn all_know(&self, of: usize, value: u32) -> bool {
        self.known(of).iter().all(|known| *known == Some(value))
    }

    fn members(&self, i: usize) -> usize {
        self.nodes[i]
            .as_ref()
            .map_or(0, |node| node.members().count())
    }

    fn counters(&self) -> Vec<Counters> {
        self.nodes
            .iter()
            .flatten()
            .map(|node| node.counters().clone())
            .collect()
    }
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Twenty nodes join through two seeds while a fifth of all datagrams is lost; an urgent record reaches all within 5 s,
/// a routine one within 20 s.
#[test]
fn simulated_nodes_join_and_records_reach_all() {
    for seed in 0..5 {
        let mut cluster = Cluster::new(20, seed, lossy(20));
        cluster.run(s(20));
        assert!((0..20).all(|i| cluster.members(i) == 19), "seed {seed}");
        cluster.publish(3, 1, Urgency::Routine);
        cluster.run(s(20));
        assert!(
            cluster.all_know(3, 1),
            "seed {seed}: {:?}",
            cluster.known(3)
        );
        cluster.publish(3, 2, Urgency::Urgent);
        cluster.run(s(5));
        assert!(
            cluster.all_know(3, 2),
            "seed {seed}: {:?}",
            cluster.known(3)
        );
    }
}

/// A crashed node is detected and its records expire; a node that leaves is removed at once; a node that restarts
/// without memory joins as its next incarnation.
#[test]
fn simulated_crashed_node_expires_and_restarted_node_joins() {
    let mut cluster = Cluster::new(8, 1, lossy(5));
    cluster.run(s(10));
    (0..8).for_each(|i| cluster.publish(i, 100 + i as u32, Urgency::Routine));
    cluster.run(s(10));
    cluster.nodes[2] = None;
    let now = cluster.now;
    cluster.nodes[3]
        .as_mut()
        .expect("a running node")
        .leave(clock_offset(3) + now);
    cluster.flush(3);
    cluster.nodes[3] = None;
    cluster.run(s(3));
    let knows = |cluster: &Cluster, of: u16| {
        cluster
            .nodes
            .iter()
            .flatten()
            .filter(|node| node.members().any(|m| m.address == address(1000 + of)))
            .count()
    };
    assert_eq!(knows(&cluster, 3), 0, "it left");
    cluster.run(s(30));
    assert_eq!(knows(&cluster, 2), 0, "it crashed");
    assert!(
        cluster.known(2).iter().all(Option::is_none),
        "its record expired"
    );
    cluster.nodes[2] = Some(Node::new(
        config(2, 9),
        clock_offset(2) + cluster.now,
        UNIX + cluster.now,
    ));
    cluster.publish(2, 7, Urgency::Routine);
    cluster.run(s(15));
    assert!(cluster.all_know(2, 7) && (0..8).filter(|i| *i != 3).all(|i| cluster.members(i) == 6));
}

/// A node is stalled for longer than it takes to be declared dead, then receives all datagrams at once: it rejoins, and
/// the old records that it holds replace no newer ones.
#[test]
fn simulated_stalled_node_rejoins_and_catches_up() {
    let mut cluster = Cluster::new(8, 2, lossy(5));
    cluster.run(s(10));
    cluster.publish(1, 1, Urgency::Routine);
    cluster.run(s(10));
    let until = cluster.now + s(40);
    cluster.stalled.insert(5, until);
    cluster.run(s(5));
    cluster.publish(1, 2, Urgency::Routine);
    cluster.publish(5, 50, Urgency::Routine);
    cluster.run(s(30));
    assert!((0..8).filter(|i| *i != 5).all(|i| cluster.members(i) == 6));
    cluster.run(s(20));
    assert!((0..8).all(|i| cluster.members(i) == 7));
    assert!(cluster.all_know(1, 2), "{:?}", cluster.known(1));
}

/// A network partition lasts longer than it takes to be declared dead: each side continues alone, and once it heals all
/// nodes are members again and hold the same records.
#[test]
fn simulated_partition_heals() {
    let mut cluster = Cluster::new(10, 3, lossy(5));
    cluster.run(s(15));
    cluster.network = Box::new(|random, from, to| {
        ((from < 5) == (to < 5)).then(|| Duration::from_micros(random.random_range(200..2000)))
    });
    cluster.run(s(30));
    assert!((0..10).all(|i| cluster.members(i) == 4));
    cluster.publish(0, 1, Urgency::Urgent);
    cluster.publish(9, 9, Urgency::Urgent);
    cluster.run(s(5));
    assert_eq!(cluster.known(0).iter().flatten().count(), 5);
    cluster.network = lossy(5);
    cluster.run(s(40));
    assert!(
        (0..10).all(|i| cluster.members(i) == 9),
        "{:?}",
        (0..10).map(|i| cluster.members(i)).collect::<Vec<_>>()
    );
    assert!(cluster.all_know(0, 1) && cluster.all_know(9, 9));
}

/// An urgent record follows a routine one of another kind: it reaches all at once, though hardly any node has the earlier
/// one yet.
#[test]
fn simulated_urgent_record_does_not_wait_for_an_earlier_one() {
    const OTHER_KIND: u16 = KIND + 1;
    let mut cluster = Cluster::new(20, 3, lossy(0));
    cluster.run(s(15));
    let now = clock_offset(4) + cluster.now;
    let node = cluster.nodes[4].as_mut().expect("a running node");
    node.publish(OTHER_KIND, b"1".to_vec(), TTL, Urgency::Routine, now)
        .expect("short");
    cluster.publish(4, 7, Urgency::Urgent);
    cluster.run(Duration::from_millis(100));
    let known = cluster
        .known(4)
        .into_iter()
        .filter(|known| *known == Some(7))
        .count();
    assert!(known >= 18, "{known} of 20 know it");
}

/// Records have a TTL shorter than a heartbeat takes to reach all nodes, as in fleets of hundreds, where a list of digests
/// takes many datagrams: they are held while their owners are alive, and expire afterwards.
#[test]
fn simulated_records_of_living_owners_do_not_expire() {
    const SIZE: usize = 40;
    let mut cluster = Cluster::new(SIZE, 8, lossy(1));
    cluster.run(s(15));
    let ttl = s(2);
    for i in 0..SIZE {
        let (now, body) = (
            clock_offset(i) + cluster.now,
            serde_json::to_vec(&(i as u32)).expect("a number"),
        );
        let node = cluster.nodes[i].as_mut().expect("a running node");
        node.publish(KIND, body, ttl, Urgency::Routine, now)
            .expect("short");
    }
    cluster.run(s(30));
    for of in 0..SIZE {
        assert!(
            cluster.all_know(of, of as u32),
            "{of}: {:?}",
            cluster.known(of)
        );
    }
    cluster.nodes[3] = None;
    cluster.run(s(30));
    assert!(cluster.known(3).iter().all(Option::is_none), "it crashed");
    assert!(cluster.all_know(4, 4));
}

/// A node with capacity for fewer owners than there are: it keeps those it has, counts the others, and reports them no
/// more often than once a minute.
#[test]
fn simulated_node_at_capacity_keeps_the_owners_it_has() {
    let mut cluster = Cluster::new(8, 6, lossy(0));
    let capacity = Capacity {
        owners: 4,
        senders: 8,
        departed: 4,
    };
    cluster.nodes[0] = Some(Node::new(
        NodeConfig {
            capacity,
            ..config(0, 0)
        },
        clock_offset(0),
        UNIX,
    ));
    let held = |cluster: &Cluster| {
        (1..8)
            .filter(|&of| cluster.known(of)[0].is_some())
            .collect::<Vec<_>>()
    };
    (1..8).for_each(|i| cluster.publish(i, i as u32, Urgency::Routine));
    cluster.run(s(15));
    let before = held(&cluster);
    assert_eq!(before.len(), 3, "besides its own");
    cluster.run(s(60));
    assert_eq!(held(&cluster), before);
    assert!(
        (1..8).all(|i| cluster.members(i) == 7),
        "the others know all members"
    );
    let node = cluster.nodes[0].as_mut().expect("a running node");
    assert!(
        node.counters().at_capacity > 10,
        "{}",
        node.counters().at_capacity
    );
    let reported = std::iter::from_fn(|| node.next_event())
        .filter(|event| matches!(event, Event::AtCapacity(_)))
        .count();
    assert!((1..=2).contains(&reported), "{reported}");
}

/// One direction of a node's network fails: it receives all datagrams, but none of its own arrive.
#[test]
fn simulated_node_that_only_receives_is_declared_dead() {
    let mut cluster = Cluster::new(6, 4, lossy(0));
    cluster.run(s(10));
    cluster.network = Box::new(|random, from, _| {
        (from != 4).then(|| Duration::from_micros(random.random_range(200..2000)))
    });
    cluster.run(s(30));
    assert!((0..6).filter(|i| *i != 4).all(|i| cluster.members(i) == 4));
}

/// The traffic of fifty nodes without changes, and their send budget under many urgent records.
#[test]
fn simulated_traffic_is_bounded() {
    let mut cluster = Cluster::new(50, 5, lossy(1));
    cluster.run(s(60));
    (0..50).for_each(|i| cluster.publish(i, i as u32, Urgency::Routine));
    cluster.run(s(60));
    let before: Vec<u64> = cluster
        .counters()
        .iter()
        .map(|counts| counts.sent_bytes)
        .collect();
    cluster.run(s(60));
    let after = cluster.counters();
    let idle: Vec<u64> = after
        .iter()
        .zip(&before)
        .map(|(now, before)| (now.sent_bytes - before) / 60)
        .collect();
    let max = idle.iter().max().copied().unwrap_or(0);
    assert!(max < 2000, "{max} bytes a second");
    eprintln!(
        "idle: {max} bytes a second at most, {} on average",
        idle.iter().sum::<u64>() / 50
    );
    // Every node keeps writing urgent records: the token bucket and its refill bound what is sent.
    let before: Vec<u64> = after.iter().map(|counts| counts.sent_bytes).collect();
    for round in 0..200 {
        (0..50).for_each(|i| cluster.publish(i, round * 50 + i as u32, Urgency::Urgent));
        cluster.run(Duration::from_millis(50));
    }
    for (now, before) in cluster.counters().iter().zip(before) {
        assert!(now.sent_bytes - before <= 32_000 + 8000 * 10 + 1200);
    }
}
