//! Hollow limiters: each runs the real [`Node`] of the mesh, without a socket and without clients, over one in-memory
//! network, on one clock.

use super::watch::{RecordWatch, body_of};
use crate::scale::{Network, Ways};
use merlinreel_mesh::{
    Capacity, Datagram, Event, Key, Keys, Kind, Member, MeshError, Node, NodeConfig, PublishError,
    Urgency,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// What each limiter tells of itself as long as it runs, as the program does.
const LIMITER_KIND: Kind = 1;
const LIMITER_LIFE: Duration = Duration::from_secs(60);
/// Records that are published to be watched.
pub const WATCHED_KIND: Kind = 7;
const WATCHED_LIFE: Duration = Duration::from_secs(600);
/// All limiters agree on this time at the start of the fleet's clock.
const UNIX_START: Duration = Duration::from_secs(1_790_000_000);
const PORT: u16 = 7946;
/// Limiters start within this span of one another.
const START_SPREAD: Duration = Duration::from_secs(1);
/// The share of the others that is known in a fleet that is nearly whole.
const NEARLY: f64 = 0.99;
/// How often it is looked whether the fleet is whole.
const WHOLE_CHECK: Duration = Duration::from_secs(1);

/// What a fleet is started with.
#[derive(Clone, Copy, Debug)]
pub struct FleetSetting {
    pub limiters: usize,
    /// The first so many limiters are the seeds of all.
    pub seeds: usize,
    /// Bytes that a limiter may send a second; four times as many at once.
    pub bytes_a_second: u32,
    pub ways: Ways,
}

impl FleetSetting {
    /// The program's own defaults, and three seeds.
    pub fn of(limiters: usize) -> FleetSetting {
        FleetSetting {
            limiters,
            seeds: 3,
            bytes_a_second: 8000,
            ways: Ways::default(),
        }
    }
}

/// What the nodes counted, all of them together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    pub sent: u64,
    /// Not sent, as a limiter's budget was used up.
    pub held_back: u64,
    pub dropped: u64,
}

/// How much of what each limiter should know is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Knowledge {
    /// Share of the other members, over all limiters.
    pub members: f64,
    /// Share of the limiters' own records in their present incarnation, over all limiters.
    pub records: f64,
    /// The same shares at the limiter that knows least.
    pub least_members: f64,
    pub least_records: f64,
}

impl Knowledge {
    /// Whether each limiter knows 99 % of the others and of their records.
    pub fn is_nearly_whole(&self) -> bool {
        self.least_members >= NEARLY && self.least_records >= NEARLY
    }
}

/// Limiters by number from 0 on. A limiter that is stopped has no node.
pub struct Fleet {
    setting: FleetSetting,
    keys: Keys,
    chance: ChaCha8Rng,
    nodes: Vec<Option<Node>>,
    incarnations: Vec<u64>,
    network: Network,
    now: Duration,
    /// Who is to be called when, and the same by limiter.
    wakes: BTreeSet<(Duration, u32)>,
    wakes_at: Vec<Option<Duration>>,
    starts: BTreeSet<(Duration, u32)>,
    watches: Vec<RecordWatch>,
    published: u64,
}

impl Fleet {
    /// All limiters start within a second, none knows any other but the seeds' addresses.
    pub fn start(setting: FleetSetting, seed: u64) -> Result<Fleet, MeshError> {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let starts = (0..setting.limiters as u32)
            .map(|limiter| (START_SPREAD.mul_f64(chance.random::<f64>()), limiter))
            .collect();
        Ok(Fleet {
            setting,
            keys: Keys::new(vec![Key::new(1, vec![7; 32])], None)?,
            network: Network::new(setting.limiters, chance.random(), setting.ways),
            chance,
            nodes: std::iter::repeat_with(|| None)
                .take(setting.limiters)
                .collect(),
            incarnations: vec![0; setting.limiters],
            now: Duration::ZERO,
            wakes: BTreeSet::new(),
            wakes_at: vec![None; setting.limiters],
            starts,
            watches: Vec::new(),
            published: 0,
        })
    }

    pub fn now(&self) -> Duration {
        self.now
    }

    pub fn network(&self) -> &Network {
        &self.network
    }

    pub fn network_mut(&mut self) -> &mut Network {
        &mut self.network
    }

    /// A limiter drawn by chance.
    pub fn draw_limiter(&mut self) -> u32 {
        self.chance.random_range(0..self.setting.limiters as u32)
    }

    /// What the nodes that run now have counted since they started.
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

    /// Ends these limiters without a word; each starts again, with no memory, after that time.
    pub fn restart(&mut self, limiters: impl IntoIterator<Item = u32>, after: Duration) {
        for limiter in limiters {
            self.nodes[limiter as usize] = None;
            self.plan_wake(limiter);
            self.starts.insert((self.now + after, limiter));
        }
    }

    /// Publishes a record whose way is watched; returns the watch's number.
    pub fn publish_watched(&mut self, owner: u32, urgent: bool) -> Result<usize, PublishError> {
        let number = self.publish(owner, urgent)?;
        let mut watch = RecordWatch::new(address(owner), number, self.now, self.setting.limiters);
        watch.note(owner, self.now);
        self.watches.push(watch);
        Ok(self.watches.len() - 1)
    }

    /// Publishes a record that nobody watches; returns the number in its body.
    pub fn publish(&mut self, owner: u32, urgent: bool) -> Result<u64, PublishError> {
        self.published += 1;
        let now = self.now;
        let urgency = if urgent {
            Urgency::Urgent
        } else {
            Urgency::Routine
        };
        if let Some(node) = self.nodes[owner as usize].as_mut() {
            node.publish(
                WATCHED_KIND,
                body_of(self.published),
                WATCHED_LIFE,
                urgency,
                now,
            )?;
        }
        self.after_call(owner);
        Ok(self.published)
    }

    pub fn watch(&self, number: usize) -> &RecordWatch {
        &self.watches[number]
    }

    /// Runs for a span of the fleet's clock.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until a condition holds, or the span is over; whether it holds.
    pub fn run_until(
        &mut self,
        most: Duration,
        every: Duration,
        mut holds: impl FnMut(&Fleet) -> bool,
    ) -> bool {
        let end = self.now + most;
        while !holds(self) {
            if self.now >= end {
                return false;
            }
            self.run(every.min(end - self.now));
        }
        true
    }

    /// Runs until each limiter knows all others and holds their records, told to a second; whether it came to that.
    pub fn run_until_whole(&mut self, most: Duration) -> bool {
        let mut first_not_whole = 0;
        self.run_until(most, WHOLE_CHECK, |fleet| {
            let others = first_not_whole..fleet.nodes.len();
            let next = others
                .chain(0..first_not_whole)
                .find(|&limiter| !fleet.is_whole(limiter));
            first_not_whole = next.unwrap_or(0);
            next.is_none()
        })
    }

    fn is_whole(&self, limiter: usize) -> bool {
        let others = self.setting.limiters - 1;
        self.members_known(limiter) == others && self.records_held(limiter) == others
    }

    /// How much is known over all limiters.
    pub fn knowledge(&self) -> Knowledge {
        let limiters = self.setting.limiters;
        let others = (limiters - 1).max(1) as f64;
        let shares = |known: Vec<usize>| {
            let mean = known.iter().sum::<usize>() as f64 / limiters as f64 / others;
            (
                mean,
                known.iter().min().copied().unwrap_or(0) as f64 / others,
            )
        };
        let (members, least_members) =
            shares((0..limiters).map(|one| self.members_known(one)).collect());
        let (records, least_records) =
            shares((0..limiters).map(|one| self.records_held(one)).collect());
        Knowledge {
            members,
            records,
            least_members,
            least_records,
        }
    }

    /// Others that run, in their present incarnation or a later one.
    fn members_known(&self, limiter: usize) -> usize {
        let Some(node) = &self.nodes[limiter] else {
            return 0;
        };
        node.members()
            .filter(|member| self.is_present(member))
            .count()
    }

    fn records_held(&self, limiter: usize) -> usize {
        let Some(node) = &self.nodes[limiter] else {
            return 0;
        };
        let held = node.view(self.now).raw(LIMITER_KIND).map(|held| held.owner);
        held.filter(|owner| *owner != node.own() && self.is_present(owner))
            .count()
    }

    fn is_present(&self, member: &Member) -> bool {
        let Some(limiter) = limiter_at(member.address) else {
            return false;
        };
        let limiter = limiter as usize;
        self.nodes[limiter].is_some() && member.incarnation >= self.incarnations[limiter]
    }

    /// The next datagram, timer or start up to `end`; whether there was one.
    fn step(&mut self, end: Duration) -> bool {
        let start = self.starts.first().map(|(at, _)| *at);
        let wake = self.wakes.first().map(|(at, _)| *at);
        let next = [self.network.next_at(), start, wake]
            .into_iter()
            .flatten()
            .min();
        let Some(next) = next.filter(|next| *next <= end) else {
            return false;
        };
        self.now = self.now.max(next);
        if start == Some(next) {
            self.start_next();
        } else if wake == Some(next) {
            self.wake_next();
        } else {
            self.deliver_next();
        }
        true
    }

    fn start_next(&mut self) {
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
            random_seed: self.chance.random(),
            bytes_per_second: self.setting.bytes_a_second,
            burst_bytes: self.setting.bytes_a_second * 4,
            capacity: Capacity::for_limiters(self.setting.limiters),
        };
        let mut node = Node::new(config, self.now, unix);
        let own =
            format!("{{\"name\":\"limiter-{limiter:05}\",\"program\":\"0.1.0\",\"serves\":true}}");
        // Short, and the first of its kind: there is nothing in it that is refused.
        let _ = node.publish(
            LIMITER_KIND,
            own.into_bytes(),
            LIMITER_LIFE,
            Urgency::Routine,
            self.now,
        );
        self.nodes[limiter as usize] = Some(node);
        self.after_call(limiter);
    }

    fn wake_next(&mut self) {
        let Some((_, limiter)) = self.wakes.pop_first() else {
            return;
        };
        self.wakes_at[limiter as usize] = None;
        let now = self.now;
        if let Some(node) = self.nodes[limiter as usize].as_mut() {
            node.tick(now, UNIX_START + now);
        }
        self.after_call(limiter);
    }

    fn deliver_next(&mut self) {
        let now = self.now;
        let Some(delivery) = self.network.arrived(now) else {
            return;
        };
        let Some(node) = self.nodes[delivery.to as usize].as_mut() else {
            return;
        };
        node.receive(&delivery.bytes, now, UNIX_START + now);
        self.after_call(delivery.to);
    }

    /// Sends what a node wants sent, notes its events, and when it is to be called next.
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
            if let Event::RecordsUpdated(of) = event {
                for watch in &mut self.watches {
                    watch.look(of, limiter, node, self.now);
                }
            }
        }
        self.plan_wake(limiter);
    }

    fn plan_wake(&mut self, limiter: u32) {
        let planned = &mut self.wakes_at[limiter as usize];
        if let Some(before) = planned.take() {
            self.wakes.remove(&(before, limiter));
        }
        if let Some(node) = &self.nodes[limiter as usize] {
            let at = node.next_tick().max(self.now);
            *planned = Some(at);
            self.wakes.insert((at, limiter));
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
