//! A fleet of simulated limiters. Each runs the real [`Node`] of the mesh, without sockets and clients. All share an
//! in-memory network and a simulated clock.

mod knowledge;

pub use knowledge::Knowledge;

use super::record_watch::{RecordWatch, WATCHED_KIND, body_with_number};
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

/// Kind of the record that each limiter publishes about itself, as in the program.
const LIMITER_KIND: Kind = 1;
const LIMITER_RECORD_TTL: Duration = Duration::from_secs(60);
const WATCHED_RECORD_TTL: Duration = Duration::from_secs(600);
/// Unix time at simulated time 0.
const UNIX_START: Duration = Duration::from_secs(1_790_000_000);
const PORT: u16 = 7946;
/// Limiters start at random times within this duration, so that their timers are not synchronized.
const START_SPREAD: Duration = Duration::from_secs(1);
/// Simulated time between two checks of whether the fleet has converged.
const CONVERGENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The configuration of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSetting {
    /// The number of limiters.
    pub limiters: usize,
    /// Number of seeds: the limiters with the lowest numbers, whose addresses all limiters know at their start.
    pub seeds: usize,
    /// Budget of bytes that a limiter may send per second; its burst is four times as much.
    pub bytes_per_second: u32,
    /// Delay, jitter and loss of datagrams between limiters.
    pub link_conditions: LinkConditions,
}

impl FleetSetting {
    /// The program's default byte budget, the default link conditions and three seeds.
    pub fn of(limiters: usize) -> FleetSetting {
        FleetSetting {
            limiters,
            seeds: 3,
            bytes_per_second: 8000,
            link_conditions: LinkConditions::default(),
        }
    }
}

/// Sums of the counters of all running nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Messages sent.
    pub sent: u64,
    /// Messages not sent, because a limiter's byte budget was exhausted.
    pub held_back: u64,
    /// Messages received and dropped.
    pub dropped: u64,
}

/// A fleet of simulated limiters, numbered from 0.
pub struct Fleet {
    setting: FleetSetting,
    keys: Keys,
    random: ChaCha8Rng,
    /// By limiter; `None` while the limiter is down.
    nodes: Vec<Option<Node>>,
    /// By limiter, the incarnation of its last start; 0 before the first one.
    incarnations: Vec<u64>,
    network: Network,
    /// Simulated time since the fleet was created.
    now: Duration,
    /// Scheduled ticks of nodes, by time.
    wakeups: BTreeSet<(Duration, u32)>,
    /// By limiter, the time of its scheduled tick; `None` while the limiter is down.
    wakeup_at: Vec<Option<Duration>>,
    /// Limiters that are down, by the time of their next start.
    starts: BTreeSet<(Duration, u32)>,
    watches: Vec<RecordWatch>,
    /// Number of records published so far, which is also the number in the last one.
    published: u64,
}

impl Fleet {
    /// Creates a fleet. Its limiters start within the first simulated second, and know only the addresses of the seeds.
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

    /// Simulated time since the fleet was created.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// The network between the limiters.
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// The network between the limiters, to send datagrams or to reset the traffic counts.
    pub fn network_mut(&mut self) -> &mut Network {
        &mut self.network
    }

    /// Draws a limiter at random.
    pub fn draw_limiter(&mut self) -> u32 {
        self.random.random_range(0..self.setting.limiters as u32)
    }

    /// Sums of the counters of all running nodes. The counters of a node are 0 when it starts.
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

    /// Stops these limiters without an announcement to the others. Each starts again after the downtime, without its
    /// earlier state.
    pub fn restart(&mut self, limiters: impl IntoIterator<Item = u32>, downtime: Duration) {
        for limiter in limiters {
            self.nodes[limiter as usize] = None;
            self.schedule_wakeup(limiter);
            self.starts.insert((self.now + downtime, limiter));
        }
    }

    /// Publishes a record and watches when each limiter receives it. Returns the index of the watch.
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

    /// Publishes a record, unless its owner is down. Returns the number in its body.
    ///
    /// # Errors
    /// The mesh rejects the record.
    pub fn publish(&mut self, owner: u32, urgency: Urgency) -> Result<u64, PublishError> {
        self.published += 1;
        let now = self.now;
        if let Some(node) = self.nodes[owner as usize].as_mut() {
            node.publish(
                WATCHED_KIND,
                body_with_number(self.published),
                WATCHED_RECORD_TTL,
                urgency,
                now,
            )?;
        }
        self.after_call(owner);
        Ok(self.published)
    }

    /// The watch with an index that [`Fleet::publish_watched`] returned.
    pub fn watch(&self, index: usize) -> &RecordWatch {
        &self.watches[index]
    }

    /// Runs for a duration of simulated time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until a condition holds or the timeout has passed, in simulated time. The condition is checked once per
    /// interval. Returns whether it holds.
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

    /// Runs until each limiter knows all others and holds their records, or the timeout has passed. Returns whether the
    /// fleet has converged. It is checked once per simulated second.
    pub fn run_until_converged(&mut self, timeout: Duration) -> bool {
        // Checks start with the limiter whose knowledge was incomplete at the last check.
        let mut first_incomplete = 0;
        self.run_until(timeout, CONVERGENCE_CHECK_INTERVAL, |fleet| {
            let others = first_incomplete..fleet.nodes.len();
            let next = others
                .chain(0..first_incomplete)
                .find(|&limiter| !fleet.knows_all(limiter));
            first_incomplete = next.unwrap_or(0);
            next.is_none()
        })
    }

    /// Runs the next start, tick or datagram that is due by `end`. Returns whether there was one.
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
        let own_record =
            format!("{{\"name\":\"limiter-{limiter:05}\",\"program\":\"0.1.0\",\"serves\":true}}");
        // Never rejected: the record is short and the first one of its node.
        let _ = node.publish(
            LIMITER_KIND,
            own_record.into_bytes(),
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

    /// After each call of a node: sends its datagrams, passes its events to the watches, and schedules its next tick.
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
