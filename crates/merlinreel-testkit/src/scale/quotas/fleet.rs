//! A fleet of simulated limiters. Each runs the real decision module; requests are passed to it without sockets, and peer
//! messages are sent over the in-memory network.
//!
//! There are no servers: an admitted request waits for a server until its client disconnects at the limiter's next event
//! batch, which charges the quota as a response does. With servers, their concurrency limits (at first four attempts,
//! divided by the number of limiters) would delay requests unless the endpoint list grew with the fleet, and the cost of
//! server selection would hide that of quotas.

mod event_queue;

use super::customer::{Customer, LimiterSet, Usage};
use super::fleet_setting::{
    FleetSetting, OVERLOADED_PLAN, PEER_INBOX_PER_SECOND, TRACED_PLAN, UNDERLOADED_PLAN,
};
use super::peer_inbox::PeerInbox;
use crate::scale::simulated::{ActionObserver, InvalidSettings, Observed};
use crate::scale::{Datagram, LinkConditions, Network, Traffic};
use event_queue::{Cause, Event, EventQueue};
use merlinreel_policy::Limiter;
use merlinreel_policy::RequestIndex;
use merlinreel_policy::{EventBatch, PeerMessage, Request};
use merlinreel_settings::Settings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Simulated time at which the fleet starts, well after zero, so that quota windows and incarnations don't begin at 0.
pub const START: Duration = Duration::from_secs(1000);
/// Each limiter starts after a random delay of at most this time, so that the limiters' ticks don't coincide.
const START_SPREAD: Duration = Duration::from_millis(100);
/// Remaining time of each request: the deadline of its class.
const REMAINING_TIME: Duration = Duration::from_secs(4);
/// Number of request ids that a limiter uses in turn; an id is free again after the limiter's next event batch.
const REQUEST_IDS: u32 = 256;
/// Time between two requests of a traced customer at each limiter of its set except the first.
const TRACE_INTERVAL: Duration = Duration::from_secs(1);

/// Actions of one event batch that the simulation carries out.
#[derive(Default)]
struct BatchActions {
    peer_messages: Vec<(u32, Vec<u8>)>,
    rejected: Vec<RequestIndex>,
    wakeup_after: Option<Duration>,
}

impl ActionObserver for BatchActions {
    fn request_rejected(&mut self, request: RequestIndex) {
        self.rejected.push(request);
    }
    fn peer_message_sent(&mut self, limiter: u32, message: &[u8]) {
        self.peer_messages.push((limiter, message.to_vec()));
    }
    fn wakeup_scheduled(&mut self, after: Duration) {
        self.wakeup_after = Some(after);
    }
}

struct SimulatedLimiter {
    limiter: Limiter,
    /// Number of restarts. Wakeups that an earlier incarnation scheduled are ignored.
    incarnation: u32,
    next_request: u32,
    /// Admitted requests whose clients disconnect in the next event batch.
    disconnecting: Vec<RequestIndex>,
    inbox: PeerInbox,
}

/// Simulated limiters, their customers and the network between them.
pub struct Fleet {
    setting: FleetSetting,
    settings: Settings,
    now: Duration,
    random: ChaCha8Rng,
    limiters: Vec<SimulatedLimiter>,
    /// All customers, traced ones included.
    pub customers: Vec<Customer>,
    /// For each limiter, the customers whose requests it receives at the rate of the setting; no traced ones.
    customers_of: Vec<Vec<usize>>,
    network: Network,
    events: EventQueue,
    /// For each traced customer that sends requests to its whole set, the simulated time at which each limiter of the set
    /// first rejected one; `None` if it has rejected none.
    rejections: BTreeMap<usize, Vec<Option<Duration>>>,
}

impl Fleet {
    /// Creates a fleet that starts at [`START`] with full token buckets. The network and the fleet draw from the same seed.
    ///
    /// # Errors
    /// The program rejects the settings.
    pub fn new(setting: FleetSetting, seed: u64) -> Result<Fleet, InvalidSettings> {
        let limiters = setting.limiters as usize;
        let mut fleet = Fleet {
            setting,
            settings: setting.settings()?,
            now: START,
            random: ChaCha8Rng::seed_from_u64(seed),
            limiters: Vec::new(),
            customers: Vec::new(),
            customers_of: vec![Vec::new(); limiters],
            network: Network::new(limiters, seed, LinkConditions::default()),
            events: EventQueue::default(),
            rejections: BTreeMap::new(),
        };
        fleet.add_customers();
        (0..setting.limiters).for_each(|index| fleet.start_limiter(index));
        Ok(fleet)
    }

    fn add_customers(&mut self) {
        let customers = u64::from(self.setting.customers());
        for position in 0..customers {
            let set_first = (position * u64::from(self.setting.limiters) / customers) as u32;
            let is_overloaded = self.random.random_range(0..100) < self.setting.overloaded_percent;
            let plan = if is_overloaded {
                OVERLOADED_PLAN
            } else {
                UNDERLOADED_PLAN
            };
            let customer = self.add_customer(plan, set_first);
            let set = self.customers[customer].set;
            for limiter in set.limiters(self.setting.limiters) {
                self.customers_of[limiter as usize].push(customer);
            }
        }
    }

    /// Adds a customer that does not send requests yet; returns its index.
    fn add_customer(&mut self, plan: usize, set_first: u32) -> usize {
        // The number takes as many bytes in a message as the hash of a customer's name.
        let number = self.random.random::<u64>() >> 2;
        let set = LimiterSet {
            first: set_first,
            size: self.setting.set_size(),
        };
        let rate = self.setting.rate(plan);
        let burst = self.setting.burst(plan);
        self.customers
            .push(Customer::new(number, plan, set, rate, burst));
        self.customers.len() - 1
    }

    fn start_limiter(&mut self, index: u32) {
        let limiter = self.new_limiter(index);
        self.limiters.push(SimulatedLimiter {
            limiter,
            incarnation: 0,
            next_request: 0,
            disconnecting: Vec::new(),
            inbox: PeerInbox::default(),
        });
        let start = self.draw_start();
        self.events.push(start, index, Cause::Wakeup(0));
        let first_request = start + self.draw_request_interval();
        self.events.push(first_request, index, Cause::Request);
    }

    fn new_limiter(&mut self, index: u32) -> Limiter {
        let seed = self.random.random::<u64>();
        let mut settings = self.settings.clone();
        settings.fleet.own_index = index;
        settings.limiter(seed)
    }

    fn draw_start(&mut self) -> Duration {
        self.now + START_SPREAD.mul_f64(self.random.random::<f64>())
    }

    fn draw_request_interval(&mut self) -> Duration {
        let mean = 1.0 / f64::from(self.setting.requests_per_second);
        Duration::from_secs_f64(mean * (0.5 + self.random.random::<f64>()))
    }

    /// Restarts these limiters at once; they lose all state.
    pub fn restart(&mut self, indices: impl IntoIterator<Item = u32>) {
        for index in indices {
            let limiter = self.new_limiter(index);
            let simulated = &mut self.limiters[index as usize];
            simulated.limiter = limiter;
            simulated.incarnation += 1;
            simulated.disconnecting.clear();
            let incarnation = simulated.incarnation;
            let start = self.draw_start();
            self.events.push(start, index, Cause::Wakeup(incarnation));
        }
    }

    /// Runs the fleet for a duration of simulated time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(at) = self.next_at().filter(|at| *at <= end) {
            self.now = at;
            while let Some(datagram) = self.network.receive(at) {
                self.deliver(datagram);
            }
            while let Some(event) = self.events.pop_due(at) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn next_at(&self) -> Option<Duration> {
        [self.events.next_at(), self.network.next_due()]
            .into_iter()
            .flatten()
            .min()
    }

    fn deliver(&mut self, datagram: Datagram) {
        let Datagram { from, to, bytes } = datagram;
        let inbox = &mut self.limiters[to as usize].inbox;
        if inbox.accept(self.now, PEER_INBOX_PER_SECOND) {
            let batch = EventBatch {
                peer_messages: vec![PeerMessage { from, bytes }],
                ..EventBatch::default()
            };
            self.run_batch(to, batch);
        }
    }

    fn handle(&mut self, event: Event) {
        let limiter = event.limiter;
        match event.cause {
            Cause::Wakeup(incarnation) => {
                if incarnation == self.limiters[limiter as usize].incarnation {
                    self.run_batch(limiter, EventBatch::default());
                }
            }
            Cause::Request => {
                let customers = &self.customers_of[limiter as usize];
                if !customers.is_empty() {
                    let customer = customers[self.random.random_range(0..customers.len())];
                    self.request(limiter, customer);
                }
                let next = self.now + self.draw_request_interval();
                self.events.push(next, limiter, Cause::Request);
            }
            Cause::Repeat { customer, interval } => {
                self.request(limiter, customer);
                self.events.push(self.now + interval, limiter, event.cause);
            }
        }
    }

    /// Passes a request of a customer to a limiter and counts whether it was admitted.
    fn request(&mut self, limiter: u32, customer: usize) {
        let simulated = &mut self.limiters[limiter as usize];
        let id = RequestIndex(simulated.next_request);
        simulated.next_request = (id.0 + 1) % REQUEST_IDS;
        let sender = &self.customers[customer];
        let request = Request {
            id,
            customer: sender.number,
            plan: sender.plan,
            class: 0,
            units: 1.0,
            remaining_time: REMAINING_TIME,
            set_size: sender.set.size,
            set_first: sender.set.first,
            is_retry: false,
        };
        let batch = EventBatch {
            requests: vec![request],
            ..EventBatch::default()
        };
        let is_admitted = !self.run_batch(limiter, batch).contains(&id);
        self.customers[customer].count(self.now, is_admitted);
        if is_admitted {
            self.limiters[limiter as usize].disconnecting.push(id);
        } else {
            self.add_rejection(limiter, customer);
        }
    }

    fn add_rejection(&mut self, limiter: u32, customer: usize) {
        let Some(rejections) = self.rejections.get_mut(&customer) else {
            return;
        };
        let limiters = self.setting.limiters;
        let first = self.customers[customer].set.first;
        let offset = (limiter + limiters - first) % limiters;
        rejections[offset as usize].get_or_insert(self.now);
    }

    /// Runs one event batch of a limiter; returns the rejected requests.
    fn run_batch(&mut self, index: u32, batch: EventBatch) -> Vec<RequestIndex> {
        let simulated = &mut self.limiters[index as usize];
        let batch = EventBatch {
            disconnects: std::mem::take(&mut simulated.disconnecting),
            ..batch
        };
        let mut observer = Observed::<BatchActions>::default();
        simulated.limiter.process(self.now, &batch, &mut observer);
        let incarnation = simulated.incarnation;
        let actions = observer.0;
        for (to, bytes) in actions.peer_messages {
            self.send(index, to, bytes);
        }
        if let Some(after) = actions.wakeup_after {
            self.events
                .push(self.now + after, index, Cause::Wakeup(incarnation));
        }
        actions.rejected
    }

    fn send(&mut self, from: u32, to: u32, bytes: Vec<u8>) {
        if !self.setting.broadcasts_messages {
            return self.network.send(self.now, from, to, bytes);
        }
        let others = (0..self.setting.limiters).filter(|&other| other != from);
        others.for_each(|other| self.network.send(self.now, from, other, bytes.clone()));
    }

    /// Adds a traced customer that sends `per_second` requests per second to the first limiter of its set only; returns its
    /// index.
    pub fn trace_at_first_limiter(&mut self, set_first: u32, per_second: u32) -> usize {
        let customer = self.add_customer(TRACED_PLAN, set_first);
        let interval = Duration::from_secs(1) / per_second;
        let cause = Cause::Repeat { customer, interval };
        self.events.push(self.now + interval, set_first, cause);
        customer
    }

    /// Lets a traced customer also send a request per second to each other limiter of its set.
    pub fn trace_at_other_limiters(&mut self, customer: usize) {
        let set = self.customers[customer].set;
        self.rejections
            .insert(customer, vec![None; set.size as usize]);
        for limiter in set.limiters(self.setting.limiters).skip(1) {
            let at = self.now + TRACE_INTERVAL.mul_f64(self.random.random::<f64>());
            let cause = Cause::Repeat {
                customer,
                interval: TRACE_INTERVAL,
            };
            self.events.push(at, limiter, cause);
        }
    }

    /// For each limiter of a traced customer's set, the simulated time at which it first rejected a request since the whole
    /// set receives them; `None` if it has rejected none. Empty if the customer doesn't send requests to the whole set.
    pub fn first_rejections(&self, customer: usize) -> Vec<Option<Duration>> {
        self.rejections.get(&customer).cloned().unwrap_or_default()
    }

    /// Sets the counts of traffic, dropped messages and customers' usage to 0; token buckets and limiters keep their state.
    pub fn reset_counts(&mut self) {
        self.network.reset_traffic();
        for simulated in &mut self.limiters {
            simulated.inbox.dropped = 0;
        }
        for customer in &mut self.customers {
            customer.usage = Usage::default();
        }
    }

    /// Current simulated time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Traffic of each limiter since the start or the last reset.
    pub fn traffic(&self) -> &[Traffic] {
        self.network.traffic()
    }

    /// Messages dropped by all limiters' full inboxes since the start or the last reset.
    pub fn dropped(&self) -> u64 {
        self.limiters
            .iter()
            .map(|simulated| simulated.inbox.dropped)
            .sum()
    }
}
