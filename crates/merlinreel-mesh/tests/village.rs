//! Many nodes over a network of chance, on a clock of the test's own: the same each run.

use merlinreel_mesh::{Capacity, Counts, Event, Keys, Member, Node, Part};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

pub const UNIX: Duration = Duration::from_secs(1_790_000_000);
pub const KIND: u16 = 7;
const LIFE: Duration = Duration::from_secs(30);

fn at(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

/// How a datagram of `from` for `to` fares: lost, or there after a time.
type Links = Box<dyn Fn(&mut ChaCha8Rng, usize, usize) -> Option<Duration>>;

/// The nodes' own clocks differ: each began at another moment.
fn ahead(i: usize) -> Duration {
    Duration::from_secs(100 * i as u64)
}

struct Village {
    nodes: Vec<Option<Node>>,
    /// Until then a node does nothing, and gets what came meanwhile at once after it.
    stalled: BTreeMap<usize, Duration>,
    now: Duration,
    due: BTreeMap<(Duration, u64), (usize, Vec<u8>)>,
    number: u64,
    chance: ChaCha8Rng,
    links: Links,
}

fn part(i: usize, life: u64) -> Part {
    Part {
        own: Member {
            at: at(1000 + i as u16),
            incarnation: 1_790_000_000_000 + life,
        },
        seeds: vec![at(1000), at(1001)],
        keys: Keys::new(vec![(1, vec![7; 32])], None).expect("sound"),
        seed: i as u64 + life * 1000,
        bytes_a_second: 8000,
        bytes_at_once: 32_000,
        capacity: Capacity::for_limiters(50),
    }
}

fn lossy(percent: u32) -> Links {
    Box::new(move |chance, _, _| {
        (chance.random_range(0..100) >= percent)
            .then(|| Duration::from_micros(chance.random_range(200..2000)))
    })
}

impl Village {
    fn new(size: usize, seed: u64, links: Links) -> Village {
        let node = |i| Some(Node::new(part(i, 0), ahead(i), UNIX));
        Village {
            nodes: (0..size).map(node).collect(),
            stalled: BTreeMap::new(),
            now: Duration::ZERO,
            due: BTreeMap::new(),
            number: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            links,
        }
    }

    fn flush(&mut self, i: usize) {
        let Some(node) = self.nodes[i].as_mut() else {
            return;
        };
        while let Some((to, bytes)) = node.outgoing() {
            let to = usize::from(to.port() - 1000);
            if let Some(after) = (self.links)(&mut self.chance, i, to) {
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
                    node.receive(&bytes, ahead(to) + now, UNIX + now);
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
                    .filter(|node| node.wakes_at() <= ahead(i) + step)
                {
                    node.turn(ahead(i) + step, UNIX + step);
                }
                self.flush(i);
            }
        }
    }

    fn publish(&mut self, i: usize, what: u32, urgent: bool) {
        let now = ahead(i) + self.now;
        if let Some(node) = self.nodes[i].as_mut() {
            node.publish(
                KIND,
                serde_json::to_vec(&what).expect("a number"),
                LIFE,
                urgent,
                now,
            )
            .expect("short");
        }
        self.flush(i);
    }

    /// What each node that runs holds of node `of`.
    fn known(&self, of: usize) -> Vec<Option<u32>> {
        let held = |(i, node): (usize, &Node)| {
            let (held, _) = node.view(ahead(i) + self.now).read::<u32>(KIND);
            held.iter()
                .find(|held| held.owner.at == at(1000 + of as u16))
                .map(|held| held.body)
        };
        self.nodes
            .iter()
            .enumerate()
            .filter_map(|(i, node)| Some((i, node.as_ref()?)))
            .map(held)
            .collect()
    }

    fn all_know(&self, of: usize, what: u32) -> bool {
        self.known(of).iter().all(|known| *known == Some(what))
    }

    fn members(&self, i: usize) -> usize {
        self.nodes[i]
            .as_ref()
            .map_or(0, |node| node.members().count())
    }

    fn counts(&self) -> Vec<Counts> {
        self.nodes
            .iter()
            .flatten()
            .map(|node| node.counts().clone())
            .collect()
    }
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Twenty join through two seeds, a fifth of all datagrams lost; an urgent record is everywhere within 5 s, one that
/// can wait within 20 s.
#[test]
fn processes_join_and_records_reach_all() {
    for seed in 0..5 {
        let mut village = Village::new(20, seed, lossy(20));
        village.run(s(20));
        assert!((0..20).all(|i| village.members(i) == 19), "seed {seed}");
        village.publish(3, 1, false);
        village.run(s(20));
        assert!(
            village.all_know(3, 1),
            "seed {seed}: {:?}",
            village.known(3)
        );
        village.publish(3, 2, true);
        village.run(s(5));
        assert!(
            village.all_know(3, 2),
            "seed {seed}: {:?}",
            village.known(3)
        );
    }
}

/// The dead are noticed and their records let go of after their time; who leaves is gone at once; who starts again
/// with no memory takes part as its next life.
#[test]
fn the_dead_go_and_the_returned_are_new() {
    let mut village = Village::new(8, 1, lossy(5));
    village.run(s(10));
    (0..8).for_each(|i| village.publish(i, 100 + i as u32, false));
    village.run(s(10));
    village.nodes[2] = None;
    let now = village.now;
    village.nodes[3]
        .as_mut()
        .expect("runs")
        .leave(ahead(3) + now);
    village.flush(3);
    village.nodes[3] = None;
    village.run(s(3));
    let knows = |village: &Village, of: u16| {
        village
            .nodes
            .iter()
            .flatten()
            .filter(|node| node.members().any(|m| m.at == at(1000 + of)))
            .count()
    };
    assert_eq!(knows(&village, 3), 0, "it left");
    village.run(s(30));
    assert_eq!(knows(&village, 2), 0, "it died");
    assert!(
        village.known(2).iter().all(Option::is_none),
        "its time is over"
    );
    village.nodes[2] = Some(Node::new(
        part(2, 9),
        ahead(2) + village.now,
        UNIX + village.now,
    ));
    village.publish(2, 7, false);
    village.run(s(15));
    assert!(village.all_know(2, 7) && (0..8).filter(|i| *i != 3).all(|i| village.members(i) == 6));
}

/// A process that stands still for longer than it takes to count as dead, and then wakes with all that came: it is
/// taken in again, and what it held of others goes back nowhere.
#[test]
fn a_stalled_process_wakes_up_behind_and_catches_up() {
    let mut village = Village::new(8, 2, lossy(5));
    village.run(s(10));
    village.publish(1, 1, false);
    village.run(s(10));
    let until = village.now + s(40);
    village.stalled.insert(5, until);
    village.run(s(5));
    village.publish(1, 2, false);
    village.publish(5, 50, false);
    village.run(s(30));
    assert!((0..8).filter(|i| *i != 5).all(|i| village.members(i) == 6));
    village.run(s(20));
    assert!((0..8).all(|i| village.members(i) == 7));
    assert!(village.all_know(1, 2), "{:?}", village.known(1));
}

/// A cut through the middle, longer than it takes to count as dead: each side goes on alone, and once it heals both
/// are one again and hold the same.
#[test]
fn two_sides_of_a_cut_become_one_again() {
    let mut village = Village::new(10, 3, lossy(5));
    village.run(s(15));
    village.links = Box::new(|chance, from, to| {
        ((from < 5) == (to < 5)).then(|| Duration::from_micros(chance.random_range(200..2000)))
    });
    village.run(s(30));
    assert!((0..10).all(|i| village.members(i) == 4));
    village.publish(0, 1, true);
    village.publish(9, 9, true);
    village.run(s(5));
    assert_eq!(village.known(0).iter().flatten().count(), 5);
    village.links = lossy(5);
    village.run(s(40));
    assert!(
        (0..10).all(|i| village.members(i) == 9),
        "{:?}",
        (0..10).map(|i| village.members(i)).collect::<Vec<_>>()
    );
    assert!(village.all_know(0, 1) && village.all_know(9, 9));
}

/// An urgent record right behind one that can wait, of another kind: it is everywhere at once, though hardly anybody has
/// the earlier one yet.
#[test]
fn an_urgent_record_does_not_wait_for_an_earlier_one() {
    const OTHER_KIND: u16 = KIND + 1;
    let mut village = Village::new(20, 3, lossy(0));
    village.run(s(15));
    let now = ahead(4) + village.now;
    let node = village.nodes[4].as_mut().expect("runs");
    node.publish(OTHER_KIND, b"1".to_vec(), LIFE, false, now)
        .expect("short");
    village.publish(4, 7, true);
    village.run(Duration::from_millis(100));
    let known = village
        .known(4)
        .into_iter()
        .filter(|known| *known == Some(7))
        .count();
    assert!(known >= 18, "{known} of 20 know it");
}

/// Records whose life is shorter than a beat takes to come round: they are held as long as their owners live, and let go of
/// after it. Guards fleets of hundreds, where a list of stamps takes many datagrams, against losing sight of most.
#[test]
fn records_of_those_who_live_outlast_the_rounds() {
    const SIZE: usize = 40;
    let mut village = Village::new(SIZE, 8, lossy(1));
    village.run(s(15));
    let life = s(2);
    for i in 0..SIZE {
        let (now, body) = (
            ahead(i) + village.now,
            serde_json::to_vec(&(i as u32)).expect("a number"),
        );
        let node = village.nodes[i].as_mut().expect("runs");
        node.publish(KIND, body, life, false, now).expect("short");
    }
    village.run(s(30));
    for of in 0..SIZE {
        assert!(
            village.all_know(of, of as u32),
            "{of}: {:?}",
            village.known(of)
        );
    }
    village.nodes[3] = None;
    village.run(s(30));
    assert!(village.known(3).iter().all(Option::is_none), "it died");
    assert!(village.all_know(4, 4));
}

/// A process with room for fewer than there are: it holds on to those it has, counts the others, and tells of them no
/// more often than once a minute.
#[test]
fn a_process_without_room_for_all_goes_on_with_those_it_has() {
    let mut village = Village::new(8, 6, lossy(0));
    let capacity = Capacity {
        owners: 4,
        senders: 8,
        dead: 4,
    };
    village.nodes[0] = Some(Node::new(
        Part {
            capacity,
            ..part(0, 0)
        },
        ahead(0),
        UNIX,
    ));
    let held = |village: &Village| {
        (1..8)
            .filter(|&of| village.known(of)[0].is_some())
            .collect::<Vec<_>>()
    };
    (1..8).for_each(|i| village.publish(i, i as u32, false));
    village.run(s(15));
    let before = held(&village);
    assert_eq!(before.len(), 3, "and its own");
    village.run(s(60));
    assert_eq!(held(&village), before);
    assert!(
        (1..8).all(|i| village.members(i) == 7),
        "the others miss nobody"
    );
    let node = village.nodes[0].as_mut().expect("runs");
    assert!(node.counts().no_room > 10, "{}", node.counts().no_room);
    let told = std::iter::from_fn(|| node.event())
        .filter(|event| matches!(event, Event::NoRoom(_)))
        .count();
    assert!((1..=2).contains(&told), "{told}");
}

/// One direction only: what a process sends arrives nowhere, though it hears all.
#[test]
fn who_is_not_heard_counts_as_dead() {
    let mut village = Village::new(6, 4, lossy(0));
    village.run(s(10));
    village.links = Box::new(|chance, from, _| {
        (from != 4).then(|| Duration::from_micros(chance.random_range(200..2000)))
    });
    village.run(s(30));
    assert!((0..6).filter(|i| *i != 4).all(|i| village.members(i) == 4));
}

/// The quiet's cost, and the budget under churn, by the counts themselves: fifty processes.
#[test]
fn what_is_sent_is_bounded() {
    let mut village = Village::new(50, 5, lossy(1));
    village.run(s(60));
    (0..50).for_each(|i| village.publish(i, i as u32, false));
    village.run(s(60));
    let before: Vec<u64> = village
        .counts()
        .iter()
        .map(|counts| counts.sent_bytes)
        .collect();
    village.run(s(60));
    let after = village.counts();
    let quiet: Vec<u64> = after
        .iter()
        .zip(&before)
        .map(|(now, before)| (now.sent_bytes - before) / 60)
        .collect();
    let most = quiet.iter().max().copied().unwrap_or(0);
    assert!(most < 2000, "{most} bytes a second");
    eprintln!(
        "quiet: {most} bytes a second at most, {} on average",
        quiet.iter().sum::<u64>() / 50
    );
    // Every process writes urgent records without end: the store and its refill bound what goes.
    let before: Vec<u64> = after.iter().map(|counts| counts.sent_bytes).collect();
    for round in 0..200 {
        (0..50).for_each(|i| village.publish(i, round * 50 + i as u32, true));
        village.run(Duration::from_millis(50));
    }
    for (now, before) in village.counts().iter().zip(before) {
        assert!(now.sent_bytes - before <= 32_000 + 8000 * 10 + 1200);
    }
}
