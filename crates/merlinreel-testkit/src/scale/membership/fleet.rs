//! Simulated limiters: each runs the real [`Node`] of the mesh, without a socket and without clients, over one in-memory
//! network, on one simulated clock.

mod knowledge;

pub use knowledge::Knowledge;

use super::record_watch::{RecordWatch, WATCHED_KIND, body_with};
use crate::scale::{LinkConditions, Network};
use merlinreel_mesh::{
    Capacity, Datagram, Event, Key, Keys, Kind, Member, MeshError, Node, NodeConfig, PublishError,
    Urgency,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Each limiter's record of itself, as the program publishes it.
const LIMITER_KIND: Kind = 1;
const LIMITER_RECORD_TTL: Duration = Duration::from_secs(60);
const WATCHED_RECORD_TTL: Duration = Duration::from_secs(600);
/// The Unix time at the start of the fleet's clock.
const UNIX_START: Duration = Duration::from_secs(1_790_000_000);
const PORT: u16 = 7946;
/// Limiters start within this time, so that their timers are spread.
const START_SPREAD: Duration = Duration::from_secs(1);
/// How often it is checked whether the fleet has converged.
const CONVERGENCE_CHECK: Duration = Duration::from_secs(1);

/// The conditions of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSetting {
    /// The number of limiters.
    pub limiters: usize,
    /// How many limiters, the first by number, are the seeds of all.
    pub seeds: usize,
    /// Bytes that a limiter may send each second; its burst is four times as many.
    pub bytes_per_second: u32,
    /// The conditions between limiters.
    pub link_conditions: LinkConditions,
}

impl FleetSetting {
    /// The program's own defaults, and three seeds.
    pub fn of(limiters: usize) -> FleetSetting {
        FleetSetting {
            limiters,
            seeds: 3,
            bytes_per_second: 8000,
            link_conditions: LinkConditions::default(),
        }
    }
}

/// The counters of all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Messages sent.
    pub sent: u64,
    /// Messages not sent, as a limiter's budget was used up.
    pub held_back: u64,
    /// Messages received and dropped.
    pub dropped: u64,
}

/// Limiters numbered from 0 on. A limiter that is down has no node.
pub struct Fleet {
    setting: FleetSetting,
    keys: Keys,
    random: ChaCha8Rng,
    nodes: Vec<Option<Node>>,
    incarnations: Vec<u64>,
    network: Network,
    now: Duration,
    /// Scheduled calls by time.
    wakeups: BTreeSet<(Duration, u32)>,
    /// The same by limiter.
    wakeup_at: Vec<Option<Duration>>,
    /// Limiters that are down, by the time of their start.
    starts: BTreeSet<(Duration, u32)>,
    watches: Vec<RecordWatch>,
    published: u64,
}

impl Fleet {
    /// A fleet whose limiters start within a second and know only the seeds' addresses.
    ///
    /// # Errors
    /// The mesh rejects the keys.
    pub fn start(setting: FleetSetting, seed: u64) -> Result<Fleet, MeshError> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let starts = (0..setting.limiters as u32)
            .map(|limiter| (START_SPREAD.mul_f64(random.random::<f64>()), limiter))
            .collect();
        Ok(Fleet {
            setting,
            keys: Keys::new(vec![Key::new(1, vec![7; 32])], None)?,
            network: Network::new(setting.limiters, random.random(), setting.link_conditions),
            random,
            nodes: std::iter::repeat_with(|| None)
                .take(setting.limiters)
                .collect(),
            incarnations: vec![0; setting.limiters],
            now: Duration::ZERO,
            wakeups: BTreeSet::new(),
            wakeup_at: vec![None; setting.limiters],
            starts,
            watches: Vec::new(),
            published: 0,
        })
    }

    /// The fleet's clock.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// The network between the limiters.
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// The network between the limiters.
    pub fn network_mut(&mut self) -> &mut Network {
        &mut self.network
    }

    /// Draws a limiter at random.
    pub fn draw_limiter(&mut self) -> u32 {
        self.random.random_range(0..self.setting.limiters as u32)
    }

    /// The counters of the nodes that run now, since they started.
    pub fn counts(&self) -> FleetCounts {
        let mut all = FleetCounts::default();
        for node in self.nodes.iter().flatten() {
            let counters = node.counters();
            all.sent += counters.sent;
            all.held_back += counters.held_back;
            all.dropped += counters.dropped.values().sum::<u64>();
        }
        all
    }

    /// Stops these limiters abruptly; each starts again, with no memory, after the downtime.
    pub fn restart(&mut self, limiters: impl IntoIterator<Item = u32>, downtime: Duration) {
        for limiter in limiters {
            self.nodes[limiter as usize] = None;
            self.schedule_wakeup(limiter);
            self.starts.insert((self.now + downtime, limiter));
        }
    }

    /// Publishes a record and watches who holds it; the watch's number.
    ///
    /// # Errors
    /// The mesh rejects the record.
    pub fn publish_watched(&mut self, owner: u32, urgency: Urgency) -> Result<usize, PublishError> {
        let number = self.publish(owner, urgency)?;
        let mut watch = RecordWatch::new(address(owner), number, self.now, self.setting.limiters);
        watch.add_holder(owner, self.now);
        self.watches.push(watch);
        Ok(self.watches.len() - 1)
    }

    /// Publishes a record; the number in its body.
    ///
    /// # Errors
    /// The mesh rejects the record.
    pub fn publish(&mut self, owner: u32, urgency: Urgency) -> Result<u64, PublishError> {
        self.published += 1;
        let now = self.now;
        if let Some(node) = self.nodes[owner as usize].as_mut() {
            node.publish(
                WATCHED_KIND,
                body_with(self.published),
                WATCHED_RECORD_TTL,
                urgency,
                now,
            )?;
        }
        self.after_call(owner);
        Ok(self.published)
    }

    /// The watch of that number.
    pub fn watch(&self, number: usize) -> &RecordWatch {
        &self.watches[number]
    }

    /// Runs for a duration of the fleet's clock.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until a condition holds, or the time is over; whether it holds. The condition is checked at each interval.
    pub fn run_until(
        &mut self,
        timeout: Duration,
        interval: Duration,
        mut condition: impl FnMut(&Fleet) -> bool,
    ) -> bool {
        let end = self.now + timeout;
        while !condition(self) {
            if self.now >= end {
                return false;
            }
            self.run(interval.min(end.saturating_sub(self.now)));
        }
        true
    }

    /// Runs until each limiter knows all others and holds their records; whether they did in time. Checked each second.
    pub fn run_until_converged(&mut self, timeout: Duration) -> bool {
        // The last limiter that was found to miss something is checked first.
        let mut first_incomplete = 0;
        self.run_until(timeout, CONVERGENCE_CHECK, |fleet| {
            let others = first_incomplete..fleet.nodes.len();
            let next = others
                .chain(0..first_incomplete)
                .find(|&limiter| !fleet.knows_all(limiter));
            first_incomplete = next.unwrap_or(0);
            next.is_none()
        })
    }

    /// Runs the next datagram, timer or start up to `end`; whether there was one.
    fn step(&mut self, end: Duration) -> bool {
        let start = self.starts.first().map(|(at, _)| *at);
        let wakeup = self.wakeups.first().map(|(at, _)| *at);
        let next = [self.network.next_due(), start, wakeup]
            .into_iter()
            .flatten()
            .min();
        let Some(next) = next.filter(|next| *next <= end) else {
            return false;
        };
        self.now = self.now.max(next);
        if start == Some(next) {
            self.start_limiter();
        } else if wakeup == Some(next) {
            self.run_wakeup();
        } else {
            self.deliver_datagram();
        }
        true
    }

    fn start_limiter(&mut self) {
        let Some((_, limiter)) = self.starts.pop_first() else {
            return;
        };
        let unix = UNIX_START + self.now;
        let incarnation = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        self.incarnations[limiter as usize] = incarnation;
        let config = NodeConfig {
            own: Member {
                address: address(limiter),
                incarnation,
            },
            seeds: (0..self.setting.seeds as u32).map(address).collect(),
            keys: self.keys.clone(),
            random_seed: self.random.random(),
            bytes_per_second: self.setting.bytes_per_second,
            burst_bytes: self.setting.bytes_per_second * 4,
            capacity: Capacity::for_limiters(self.setting.limiters),
        };
        let mut node = Node::new(config, self.now, unix);
        let own =
            format!("{{\"name\":\"limiter-{limiter:05}\",\"program\":\"0.1.0\",\"serves\":true}}");
        // A short first record of its kind is never rejected.
        let _ = node.publish(
            LIMITER_KIND,
            own.into_bytes(),
            LIMITER_RECORD_TTL,
            Urgency::Routine,
            self.now,
        );
        self.nodes[limiter as usize] = Some(node);
        self.after_call(limiter);
    }

    fn run_wakeup(&mut self) {
        let Some((_, limiter)) = self.wakeups.pop_first() else {
            return;
        };
        self.wakeup_at[limiter as usize] = None;
        let now = self.now;
        if let Some(node) = self.nodes[limiter as usize].as_mut() {
            node.tick(now, UNIX_START + now);
        }
        self.after_call(limiter);
    }

    fn deliver_datagram(&mut self) {
        let now = self.now;
        let Some(datagram) = self.network.receive(now) else {
            return;
        };
        let Some(node) = self.nodes[datagram.to as usize].as_mut() else {
            return;
        };
        node.receive(&datagram.bytes, now, UNIX_START + now);
        self.after_call(datagram.to);
    }

    /// Sends a node's datagrams, passes its events to the watches, and schedules its next call.
    fn after_call(&mut self, limiter: u32) {
        let Some(node) = self.nodes[limiter as usize].as_mut() else {
            return;
        };
        while let Some(Datagram { to, bytes }) = node.next_datagram() {
            if let Some(to) = limiter_at(to) {
                self.network.send(self.now, limiter, to, bytes);
            }
        }
        while let Some(event) = node.next_event() {
            if let Event::RecordsUpdated(owner) = event {
                for watch in &mut self.watches {
                    watch.check(owner, limiter, node, self.now);
                }
            }
        }
        self.schedule_wakeup(limiter);
    }

    fn schedule_wakeup(&mut self, limiter: u32) {
        let planned = &mut self.wakeup_at[limiter as usize];
        if let Some(before) = planned.take() {
            self.wakeups.remove(&(before, limiter));
        }
        if let Some(node) = &self.nodes[limiter as usize] {
            let at = node.next_tick().max(self.now);
            *planned = Some(at);
            self.wakeups.insert((at, limiter));
        }
    }
}

fn address(limiter: u32) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::from_bits(u32::from_be_bytes([10, 0, 0, 0]) + limiter),
        PORT,
    )
}

fn limiter_at(at: SocketAddrV4) -> Option<u32> {
    at.ip()
        .to_bits()
        .checked_sub(u32::from_be_bytes([10, 0, 0, 0]))
}
