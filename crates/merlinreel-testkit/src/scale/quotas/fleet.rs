//! Hollow limiters on a test's clock: the real decision module of each, requests put in without sockets, peer messages
//! over the in-memory network.
//!
//! There are no servers: a request that was let in waits for one, and its client leaves at the limiter's next round,
//! which charges the quota as an answer does. With servers, their credits (four over the number of limiters at each)
//! would hold requests back unless the list grew with the fleet, and choosing among them would hide what quotas cost.

use super::customer::Customer;
use super::inbox::Inbox;
use super::setting::{CALM, FleetSetting, INBOX_PER_S, PRESSED, PROBED};
use crate::scale::{Delivery, Network, Traffic, Ways};
use merlinreel_policy::Limiter;
use merlinreel_policy::{Actions, EventBatch, PeerMessage, Request};
use merlinreel_settings::Settings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// When the fleet starts: quota windows and lives of limiters are not at their first.
pub const START: Duration = Duration::from_secs(1000);
/// Limiters start within this time, so that their beats are spread.
const STARTS_WITHIN: Duration = Duration::from_millis(100);
/// As the class's deadline.
const TIME_LEFT: Duration = Duration::from_secs(4);
/// Requests of one limiter have numbers up to this; a number is free again at the limiter's next round.
const REQUEST_NUMBERS: u32 = 256;
/// How often a limiter of a probed customer's set asks.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    /// The limiter asked to be called; the number is its life.
    Wake(u32),
    /// One of the limiter's customers asks, and another in its time.
    Request,
    /// This customer asks there, and again after a while.
    Repeat { customer: usize, every: Duration },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: Duration,
    /// Keeps events of one moment in order.
    number: u64,
    limiter: u32,
    cause: Cause,
}

/// The decisions of one round that this fleet heeds.
#[derive(Default)]
struct Decisions {
    messages: Vec<(u32, Vec<u8>)>,
    refused: Vec<u32>,
    wake: Option<Duration>,
}

impl Actions for Decisions {
    fn start_attempt(&mut self, _: u32, _: u32, _: Option<Duration>) {}
    fn reject(&mut self, job: u32, _: Option<Duration>) {
        self.refused.push(job);
    }
    fn fail(&mut self, _: u32) {}
    fn cancel_attempt(&mut self, _: u32, _: u32) {}
    fn start_health_check(&mut self, _: u32) {}
    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]) {
        self.messages.push((limiter, peer_message.to_vec()));
    }
    fn increment_counter(&mut self, _: u64, _: u64, _: f64, _: Duration) {}
    fn set_endpoint_subscription(&mut self, _: bool) {}
    fn poll_endpoints(&mut self) {}
    fn close_idle_connections(&mut self, _: u32) {}
    fn release_endpoint(&mut self, _: u32) {}
    fn schedule_wakeup(&mut self, after: Duration) {
        self.wake = Some(after);
    }
    fn log(&mut self, _: &str) {}
}

struct HollowLimiter {
    limiter: Limiter,
    life: u32,
    next_request: u32,
    /// Requests let in whose clients leave at the next round.
    leaving: Vec<u32>,
    inbox: Inbox,
}

/// Hollow limiters, their customers and the network between them.
pub struct Fleet {
    setting: FleetSetting,
    terms: Settings,
    now: Duration,
    chance: ChaCha8Rng,
    limiters: Vec<HollowLimiter>,
    pub customers: Vec<Customer>,
    /// By limiter, the customers that ask there at the fleet's rate.
    customers_of: Vec<Vec<usize>>,
    network: Network,
    events: BinaryHeap<Reverse<Event>>,
    event_number: u64,
    /// By probed customer, when each limiter of its set refused first since it asked at all of them.
    refusals: BTreeMap<usize, Vec<Option<Duration>>>,
}

impl Fleet {
    /// A fleet that begins at [`START`], each customer's store full.
    pub fn new(setting: FleetSetting, seed: u64) -> Result<Fleet, String> {
        let mut fleet = Fleet {
            setting,
            terms: setting.terms()?,
            now: START,
            chance: ChaCha8Rng::seed_from_u64(seed),
            limiters: Vec::new(),
            customers: Vec::new(),
            customers_of: vec![Vec::new(); setting.limiters as usize],
            network: Network::new(setting.limiters as usize, seed, Ways::default()),
            events: BinaryHeap::new(),
            event_number: 0,
            refusals: BTreeMap::new(),
        };
        fleet.add_customers();
        (0..setting.limiters).for_each(|rank| fleet.start_limiter(rank));
        Ok(fleet)
    }

    fn add_customers(&mut self) {
        let customers = u64::from(self.setting.customers());
        for place in 0..customers {
            let set_first = (place * u64::from(self.setting.limiters) / customers) as u32;
            let pressed = self.chance.random_range(0..100) < self.setting.pressed_percent;
            let plan = if pressed { PRESSED } else { CALM };
            let customer = self.add_customer(plan, set_first);
            for limiter in self.customers[customer].set(self.setting.limiters) {
                self.customers_of[limiter as usize].push(customer);
            }
        }
    }

    /// A customer that asks only where it is told to.
    fn add_customer(&mut self, plan: usize, set_first: u32) -> usize {
        // As long in a message as a hashed name.
        let number = self.chance.random::<u64>() >> 2;
        let set = (set_first, self.setting.set_size());
        let (rate, burst) = (self.setting.rate(plan), self.setting.burst(plan));
        self.customers
            .push(Customer::new(number, plan, set, rate, burst));
        self.customers.len() - 1
    }

    fn start_limiter(&mut self, rank: u32) {
        let limiter = self.new_limiter(rank);
        self.limiters.push(HollowLimiter {
            limiter,
            life: 0,
            next_request: 0,
            leaving: Vec::new(),
            inbox: Inbox::default(),
        });
        let start = self.now + STARTS_WITHIN.mul_f64(self.chance.random::<f64>());
        self.push(start, rank, Cause::Wake(0));
        let first = start + self.next_request_after();
        self.push(first, rank, Cause::Request);
    }

    fn new_limiter(&mut self, rank: u32) -> Limiter {
        let seed = self.chance.random::<u64>();
        let mut terms = self.terms.clone();
        terms.fleet.me = rank;
        terms.limiter(seed)
    }

    /// These start again at once, with nothing kept.
    pub fn restart(&mut self, ranks: impl IntoIterator<Item = u32>) {
        for rank in ranks {
            let limiter = self.new_limiter(rank);
            let hollow = &mut self.limiters[rank as usize];
            (hollow.limiter, hollow.life) = (limiter, hollow.life + 1);
            hollow.leaving.clear();
            let life = hollow.life;
            let start = self.now + STARTS_WITHIN.mul_f64(self.chance.random::<f64>());
            self.push(start, rank, Cause::Wake(life));
        }
    }

    fn next_request_after(&mut self) -> Duration {
        let mean = 1.0 / f64::from(self.setting.requests_per_second);
        Duration::from_secs_f64(mean * (0.5 + self.chance.random::<f64>()))
    }

    fn push(&mut self, at: Duration, limiter: u32, cause: Cause) {
        self.event_number += 1;
        self.events.push(Reverse(Event {
            at,
            number: self.event_number,
            limiter,
            cause,
        }));
    }

    /// Runs for so long on the test's clock.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(at) = self.next_at().filter(|at| *at <= end) {
            self.now = at;
            while let Some(delivery) = self.network.arrived(at) {
                self.deliver(delivery);
            }
            while self.events.peek().is_some_and(|event| event.0.at <= at) {
                self.events
                    .pop()
                    .into_iter()
                    .for_each(|event| self.handle(event.0));
            }
        }
        self.now = end;
    }

    fn next_at(&self) -> Option<Duration> {
        let event = self.events.peek().map(|event| event.0.at);
        [event, self.network.next_at()].into_iter().flatten().min()
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Delivery { from, to, bytes } = delivery;
        if self.limiters[to as usize]
            .inbox
            .takes(self.now, INBOX_PER_S)
        {
            self.round(
                to,
                EventBatch {
                    peer_messages: vec![PeerMessage { from, bytes }],
                    ..EventBatch::default()
                },
            );
        }
    }

    fn handle(&mut self, event: Event) {
        let limiter = event.limiter;
        match event.cause {
            Cause::Wake(life) if life == self.limiters[limiter as usize].life => {
                self.round(limiter, EventBatch::default());
            }
            Cause::Wake(_) => {}
            Cause::Request => {
                let customers = &self.customers_of[limiter as usize];
                if !customers.is_empty() {
                    let customer = customers[self.chance.random_range(0..customers.len())];
                    self.request(limiter, customer);
                }
                let next = self.now + self.next_request_after();
                self.push(next, limiter, Cause::Request);
            }
            Cause::Repeat { customer, every } => {
                self.request(limiter, customer);
                self.push(self.now + every, limiter, event.cause);
            }
        }
    }

    fn request(&mut self, limiter: u32, customer: usize) {
        let hollow = &mut self.limiters[limiter as usize];
        let number = hollow.next_request;
        hollow.next_request = (number + 1) % REQUEST_NUMBERS;
        let Customer {
            number: name,
            plan,
            set_first,
            set_size,
            ..
        } = self.customers[customer];
        let job = Request {
            id: number,
            customer: name,
            plan,
            class: 0,
            units: 1.0,
            remaining_time: TIME_LEFT,
            set_size,
            set_first,
            is_retry: false,
        };
        let refused = self.round(
            limiter,
            EventBatch {
                requests: vec![job],
                ..EventBatch::default()
            },
        );
        let admitted = !refused.contains(&number);
        if admitted {
            self.limiters[limiter as usize].leaving.push(number);
        }
        self.customers[customer].count(self.now, admitted);
        if !admitted {
            self.note_refusal(limiter, customer);
        }
    }

    fn note_refusal(&mut self, limiter: u32, customer: usize) {
        let Some(refusals) = self.refusals.get_mut(&customer) else {
            return;
        };
        let (limiters, first) = (self.setting.limiters, self.customers[customer].set_first);
        let place = (limiter + limiters - first) % limiters;
        refusals[place as usize].get_or_insert(self.now);
    }

    /// One round of a limiter; returns the requests that it refused.
    fn round(&mut self, rank: u32, round: EventBatch) -> Vec<u32> {
        let hollow = &mut self.limiters[rank as usize];
        let left = std::mem::take(&mut hollow.leaving);
        let mut decisions = Decisions::default();
        hollow.limiter.process(
            self.now,
            &EventBatch {
                disconnects: left,
                ..round
            },
            &mut decisions,
        );
        for (to, bytes) in decisions.messages {
            self.send(rank, to, bytes);
        }
        let life = self.limiters[rank as usize].life;
        if let Some(after) = decisions.wake {
            self.push(self.now + after, rank, Cause::Wake(life));
        }
        decisions.refused
    }

    fn send(&mut self, from: u32, to: u32, bytes: Vec<u8>) {
        if !self.setting.tells_everybody {
            return self.network.send(self.now, from, to, bytes);
        }
        let others = (0..self.setting.limiters).filter(|&other| other != from);
        others.for_each(|other| self.network.send(self.now, from, other, bytes.clone()));
    }

    /// A new customer that asks `per_second` times at the first limiter of its set alone.
    pub fn probe_at_first(&mut self, set_first: u32, per_second: u32) -> usize {
        let customer = self.add_customer(PROBED, set_first);
        let every = Duration::from_secs(1) / per_second;
        self.push(
            self.now + every,
            set_first,
            Cause::Repeat { customer, every },
        );
        customer
    }

    /// From now on it asks once a second at each other limiter of its set too.
    pub fn probe_at_others(&mut self, customer: usize) {
        let set_size = self.customers[customer].set_size as usize;
        self.refusals.insert(customer, vec![None; set_size]);
        for limiter in self.customers[customer].set(self.setting.limiters).skip(1) {
            let at = self.now + PROBE_INTERVAL.mul_f64(self.chance.random::<f64>());
            self.push(
                at,
                limiter,
                Cause::Repeat {
                    customer,
                    every: PROBE_INTERVAL,
                },
            );
        }
    }

    /// By place in a probed customer's set, when that limiter refused it first since all were asked.
    pub fn first_refusals(&self, customer: usize) -> Vec<Option<Duration>> {
        self.refusals.get(&customer).cloned().unwrap_or_default()
    }

    /// Forgets what was counted; stores and limiters stay as they are.
    pub fn reset_counts(&mut self) {
        self.network.reset_traffic();
        self.limiters
            .iter_mut()
            .for_each(|hollow| hollow.inbox.dropped = 0);
        self.customers
            .iter_mut()
            .for_each(|customer| customer.used = Default::default());
    }

    pub fn now(&self) -> Duration {
        self.now
    }

    /// By limiter.
    pub fn traffic(&self) -> &[Traffic] {
        self.network.traffic()
    }

    /// Messages that arrived and found the inbox full.
    pub fn dropped(&self) -> u64 {
        self.limiters
            .iter()
            .map(|hollow| hollow.inbox.dropped)
            .sum()
    }
}
