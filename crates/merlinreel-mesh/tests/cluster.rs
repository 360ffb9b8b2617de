//! Clusters of nodes on a simulated network and clock. Runs with the same seed are identical.

use merlinreel_mesh::{
    Capacity, Counters, Datagram, Event, Key, Keys, Member, Node, NodeConfig, Urgency,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

pub const UNIX_TIME: Duration = Duration::from_secs(1_790_000_000);
pub const KIND: u16 = 7;
const TTL: Duration = Duration::from_secs(30);

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

/// Returns the time that a datagram from one node to another takes, or `None` if it is lost.
type Network = Box<dyn Fn(&mut ChaCha8Rng, usize, usize) -> Option<Duration>>;

/// What each node's monotonic clock shows at the start of the simulation: every clock has another origin.
fn clock_offset(i: usize) -> Duration {
    Duration::from_secs(100 * i as u64)
}

struct Cluster {
    nodes: Vec<Option<Node>>,
    /// The stalled nodes, with the simulated time at which the stall ends. Until then a node does nothing; afterwards
    /// the datagrams sent to it in the meantime arrive at once.
    stalled: BTreeMap<usize, Duration>,
    /// Simulated time since the start.
    now: Duration,
    /// Datagrams in flight with their receivers, by time of arrival and number.
    in_flight: BTreeMap<(Duration, u64), (usize, Vec<u8>)>,
    last_datagram_number: u64,
    random: ChaCha8Rng,
    network: Network,
}

fn config(i: usize, restarts: u64) -> NodeConfig {
    NodeConfig {
        own: Member {
            address: address(1000 + i as u16),
            incarnation: 1_790_000_000_000 + restarts,
        },
        seeds: vec![address(1000), address(1001)],
        keys: Keys::new(vec![Key::new(1, vec![7; 32])], None).expect("a valid key"),
        random_seed: i as u64 + restarts * 1000,
        bytes_per_second: 8000,
        burst_bytes: 32_000,
        capacity: Capacity::for_limiters(50),
    }
}

/// Loses this percentage of the datagrams, chosen at random.
fn lossy(lost_percent: u32) -> Network {
    Box::new(move |random, _, _| {
        (random.random_range(0..100) >= lost_percent)
            .then(|| Duration::from_micros(random.random_range(200..2000)))
    })
}

impl Cluster {
    fn new(size: usize, seed: u64, network: Network) -> Cluster {
        let node = |i| Some(Node::new(config(i, 0), clock_offset(i), UNIX_TIME));
        Cluster {
            nodes: (0..size).map(node).collect(),
            stalled: BTreeMap::new(),
            now: Duration::ZERO,
            in_flight: BTreeMap::new(),
            last_datagram_number: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            network,
        }
    }

    /// Puts the datagrams that a node has queued into the network.
    fn flush(&mut self, i: usize) {
        let Some(node) = self.nodes[i].as_mut() else {
            return;
        };
        while let Some(Datagram { to, bytes }) = node.next_datagram() {
            let to = usize::from(to.port() - 1000);
            if let Some(delay) = (self.network)(&mut self.random, i, to) {
                self.last_datagram_number += 1;
                self.in_flight
                    .insert((self.now + delay, self.last_datagram_number), (to, bytes));
            }
        }
    }

    /// Runs all nodes for a duration, in steps of 10 ms.
    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            let step_end = self.now + Duration::from_millis(10);
            while let Some(entry) = self
                .in_flight
                .first_entry()
                .filter(|entry| entry.key().0 <= step_end)
            {
                let ((arrives_at, number), (to, bytes)) = (*entry.key(), entry.remove());
                if let Some(&until) = self.stalled.get(&to).filter(|until| **until > step_end) {
                    self.in_flight.insert((until, number), (to, bytes));
                    continue;
                }
                self.now = self.now.max(arrives_at);
                let now = self.now;
                if let Some(node) = self.nodes.get_mut(to).and_then(Option::as_mut) {
                    node.receive(&bytes, clock_offset(to) + now, UNIX_TIME + now);
                    self.flush(to);
                }
            }
            self.now = step_end;
            self.stalled.retain(|_, until| *until > step_end);
            for i in 0..self.nodes.len() {
                if self.stalled.contains_key(&i) {
                    continue;
                }
                if let Some(node) = self.nodes[i]
                    .as_mut()
                    .filter(|node| node.next_tick() <= clock_offset(i) + step_end)
                {
                    node.tick(clock_offset(i) + step_end, UNIX_TIME + step_end);
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

    /// For each running node the value that it holds of the record of node `owner`; `None` if it holds no valid one.
    fn held_values(&self, owner: usize) -> Vec<Option<u32>> {
        let held_value = |(i, node): (usize, &Node)| {
            let decoded = node.view(clock_offset(i) + self.now).decode::<u32>(KIND);
            decoded
                .records
                .iter()
                .find(|record| record.owner.address == address(1000 + owner as u16))
                .map(|record| record.body)
        };
        self.nodes
            .iter()
            .enumerate()
            .filter_map(|(i, node)| Some((i, node.as_ref()?)))
            .map(held_value)
            .collect()
    }

    /// Whether each running node holds this value of the record of node `owner`.
    fn all_hold(&self, owner: usize, value: u32) -> bool {
        self.held_values(owner)
            .iter()
            .all(|held| *held == Some(value))
    }

    /// Number of other members that node `i` considers alive; 0 if it is not running.
    fn member_count(&self, i: usize) -> usize {
        self.nodes[i]
            .as_ref()
            .map_or(0, |node| node.members().count())
    }

    /// The counters of the running nodes.
    fn counters(&self) -> Vec<Counters> {
        self.nodes
            .iter()
            .flatten()
            .map(|node| node.counters().clone())
            .collect()
    }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Twenty nodes join through two seeds while a fifth of all datagrams is lost. An urgent record reaches all nodes
/// within 5 s, a routine one within 20 s.
#[test]
fn simulated_nodes_join_and_records_reach_all() {
    for seed in 0..5 {
        let mut cluster = Cluster::new(20, seed, lossy(20));
        cluster.run(seconds(20));
        assert!(
            (0..20).all(|i| cluster.member_count(i) == 19),
            "seed {seed}"
        );
        cluster.publish(3, 1, Urgency::Routine);
        cluster.run(seconds(20));
        assert!(
            cluster.all_hold(3, 1),
            "seed {seed}: {:?}",
            cluster.held_values(3)
        );
        cluster.publish(3, 2, Urgency::Urgent);
        cluster.run(seconds(5));
        assert!(
            cluster.all_hold(3, 2),
            "seed {seed}: {:?}",
            cluster.held_values(3)
        );
    }
}

/// A crashed node is detected and its records expire. A node that leaves is removed within 3 s. A node that restarts
/// without memory joins under a greater incarnation.
#[test]
fn simulated_crashed_node_expires_and_restarted_node_joins() {
    let mut cluster = Cluster::new(8, 1, lossy(5));
    cluster.run(seconds(10));
    (0..8).for_each(|i| cluster.publish(i, 100 + i as u32, Urgency::Routine));
    cluster.run(seconds(10));
    cluster.nodes[2] = None;
    let now = cluster.now;
    cluster.nodes[3]
        .as_mut()
        .expect("a running node")
        .leave(clock_offset(3) + now);
    cluster.flush(3);
    cluster.nodes[3] = None;
    cluster.run(seconds(3));
    let nodes_listing = |cluster: &Cluster, member: u16| {
        cluster
            .nodes
            .iter()
            .flatten()
            .filter(|node| {
                node.members()
                    .any(|other| other.address == address(1000 + member))
            })
            .count()
    };
    assert_eq!(nodes_listing(&cluster, 3), 0, "the node that left");
    cluster.run(seconds(30));
    assert_eq!(nodes_listing(&cluster, 2), 0, "the node that crashed");
    assert!(
        cluster.held_values(2).iter().all(Option::is_none),
        "the record of the crashed node must expire"
    );
    cluster.nodes[2] = Some(Node::new(
        config(2, 9),
        clock_offset(2) + cluster.now,
        UNIX_TIME + cluster.now,
    ));
    cluster.publish(2, 7, Urgency::Routine);
    cluster.run(seconds(15));
    assert!(
        cluster.all_hold(2, 7)
            && (0..8)
                .filter(|i| *i != 3)
                .all(|i| cluster.member_count(i) == 6)
    );
}

/// A node stalls until it has been declared dead, then receives all datagrams at once. It rejoins, and the old records
/// that it holds replace no newer ones.
#[test]
fn simulated_stalled_node_rejoins_and_catches_up() {
    let mut cluster = Cluster::new(8, 2, lossy(5));
    cluster.run(seconds(10));
    cluster.publish(1, 1, Urgency::Routine);
    cluster.run(seconds(10));
    let until = cluster.now + seconds(40);
    cluster.stalled.insert(5, until);
    cluster.run(seconds(5));
    cluster.publish(1, 2, Urgency::Routine);
    cluster.publish(5, 50, Urgency::Routine);
    cluster.run(seconds(30));
    assert!(
        (0..8)
            .filter(|i| *i != 5)
            .all(|i| cluster.member_count(i) == 6)
    );
    cluster.run(seconds(20));
    assert!((0..8).all(|i| cluster.member_count(i) == 7));
    assert!(cluster.all_hold(1, 2), "{:?}", cluster.held_values(1));
}

/// A network partition lasts until each side has declared the other dead. Each side continues alone. After the
/// partition heals, all nodes are members again and hold the same records.
#[test]
fn simulated_partition_heals() {
    let mut cluster = Cluster::new(10, 3, lossy(5));
    cluster.run(seconds(15));
    cluster.network = Box::new(|random, from, to| {
        ((from < 5) == (to < 5)).then(|| Duration::from_micros(random.random_range(200..2000)))
    });
    cluster.run(seconds(30));
    assert!((0..10).all(|i| cluster.member_count(i) == 4));
    cluster.publish(0, 1, Urgency::Urgent);
    cluster.publish(9, 9, Urgency::Urgent);
    cluster.run(seconds(5));
    assert_eq!(cluster.held_values(0).iter().flatten().count(), 5);
    cluster.network = lossy(5);
    cluster.run(seconds(40));
    assert!(
        (0..10).all(|i| cluster.member_count(i) == 9),
        "{:?}",
        (0..10).map(|i| cluster.member_count(i)).collect::<Vec<_>>()
    );
    assert!(cluster.all_hold(0, 1) && cluster.all_hold(9, 9));
}

/// An urgent record that follows a routine one of another kind reaches the nodes within 100 ms, although hardly any of
/// them holds the routine one yet.
#[test]
fn simulated_urgent_record_does_not_wait_for_an_earlier_one() {
    const OTHER_KIND: u16 = KIND + 1;
    let mut cluster = Cluster::new(20, 3, lossy(0));
    cluster.run(seconds(15));
    let now = clock_offset(4) + cluster.now;
    let node = cluster.nodes[4].as_mut().expect("a running node");
    node.publish(OTHER_KIND, b"1".to_vec(), TTL, Urgency::Routine, now)
        .expect("short");
    cluster.publish(4, 7, Urgency::Urgent);
    cluster.run(Duration::from_millis(100));
    let holders = cluster
        .held_values(4)
        .into_iter()
        .filter(|held| *held == Some(7))
        .count();
    assert!(
        holders >= 18,
        "{holders} of 20 nodes hold the urgent record"
    );
}

/// Records have a shorter TTL than a heartbeat takes to reach all nodes, as in fleets of hundreds, where a list of
/// digests takes many datagrams. They are held while their owners are alive, and expire afterwards.
#[test]
fn simulated_records_of_living_owners_do_not_expire() {
    const SIZE: usize = 40;
    let mut cluster = Cluster::new(SIZE, 8, lossy(1));
    cluster.run(seconds(15));
    let ttl = seconds(2);
    for i in 0..SIZE {
        let (now, body) = (
            clock_offset(i) + cluster.now,
            serde_json::to_vec(&(i as u32)).expect("a number"),
        );
        let node = cluster.nodes[i].as_mut().expect("a running node");
        node.publish(KIND, body, ttl, Urgency::Routine, now)
            .expect("short");
    }
    cluster.run(seconds(30));
    for owner in 0..SIZE {
        assert!(
            cluster.all_hold(owner, owner as u32),
            "{owner}: {:?}",
            cluster.held_values(owner)
        );
    }
    cluster.nodes[3] = None;
    cluster.run(seconds(30));
    assert!(
        cluster.held_values(3).iter().all(Option::is_none),
        "the record of the crashed node must expire"
    );
    assert!(cluster.all_hold(4, 4));
}

/// A node has capacity for fewer owners than there are. It keeps the owners that it holds, counts what it does not
/// handle of the others, and reports this at most once a minute.
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
        UNIX_TIME,
    ));
    let held_owners = |cluster: &Cluster| {
        (1..8)
            .filter(|&owner| cluster.held_values(owner)[0].is_some())
            .collect::<Vec<_>>()
    };
    (1..8).for_each(|i| cluster.publish(i, i as u32, Urgency::Routine));
    cluster.run(seconds(15));
    let before = held_owners(&cluster);
    assert_eq!(before.len(), 3, "three owners besides the node itself");
    cluster.run(seconds(60));
    assert_eq!(held_owners(&cluster), before);
    assert!(
        (1..8).all(|i| cluster.member_count(i) == 7),
        "the other nodes list all members"
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

/// One direction of a node's network fails: the node receives all datagrams, but none that it sends arrive. The others
/// declare it dead.
#[test]
fn simulated_node_that_only_receives_is_declared_dead() {
    let mut cluster = Cluster::new(6, 4, lossy(0));
    cluster.run(seconds(10));
    cluster.network = Box::new(|random, from, _| {
        (from != 4).then(|| Duration::from_micros(random.random_range(200..2000)))
    });
    cluster.run(seconds(30));
    assert!(
        (0..6)
            .filter(|i| *i != 4)
            .all(|i| cluster.member_count(i) == 4)
    );
}

/// The traffic of fifty idle nodes stays below 2000 bytes per second each, and under many urgent records each node
/// stays within its send budget.
#[test]
fn simulated_traffic_is_bounded() {
    let mut cluster = Cluster::new(50, 5, lossy(1));
    cluster.run(seconds(60));
    (0..50).for_each(|i| cluster.publish(i, i as u32, Urgency::Routine));
    cluster.run(seconds(60));
    let before: Vec<u64> = cluster
        .counters()
        .iter()
        .map(|counts| counts.sent_bytes)
        .collect();
    cluster.run(seconds(60));
    let after = cluster.counters();
    let idle_bytes_per_second: Vec<u64> = after
        .iter()
        .zip(&before)
        .map(|(now, before)| (now.sent_bytes - before) / 60)
        .collect();
    let max = idle_bytes_per_second.iter().max().copied().unwrap_or(0);
    assert!(max < 2000, "{max} bytes per second");
    eprintln!(
        "idle: at most {max} bytes per second, {} on average",
        idle_bytes_per_second.iter().sum::<u64>() / 50
    );
    // Every node keeps writing urgent records: the capacity of the token bucket and its refill limit what is sent.
    let before: Vec<u64> = after.iter().map(|counts| counts.sent_bytes).collect();
    for round in 0..200 {
        (0..50).for_each(|i| cluster.publish(i, round * 50 + i as u32, Urgency::Urgent));
        cluster.run(Duration::from_millis(50));
    }
    for (now, before) in cluster.counters().iter().zip(before) {
        assert!(now.sent_bytes - before <= 32_000 + 8000 * 10 + 1200);
    }
}
