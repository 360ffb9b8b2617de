//! The decision module of one limiter with many tenants, without sockets, on a simulated clock that the caller advances.

use crate::scale::simulated::{
    ActionObserver, InvalidSettings, Observed, read_settings, successful_attempt,
};
use merlinreel_policy::Limiter;
use merlinreel_policy::peer_batch::{self, BatchHeader, CounterRow};
use merlinreel_policy::{
    Endpoint, EndpointState, EndpointUpdate, EventBatch, PeerMessage, Request, ring_hash,
};
use merlinreel_policy::{RequestIndex, ServerIndex};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::time::Duration;

/// Interval of the decision module's ticks in a fleet whose limiters message each other less often than this.
const TICK: Duration = Duration::from_millis(100);
/// Ticks from one sweep to the next. A sweep checks all accounts and removes the expired ones.
pub const TICKS_PER_SWEEP: u64 = 10;
/// Length of a counting window: the plan's burst divided by its rate.
pub const WINDOW_SECONDS: u64 = 4;
/// Units of an ordinary request.
const UNITS: f64 = 1.0;
/// Units of a request that exceeds the slack of a new account's ceiling, 1 unit at each limiter, so that it is admitted
/// only if the account has existed for some seconds.
const KEPT_ACCOUNT_UNITS: f64 = 2.0;
/// Servers in the endpoint list.
const SERVERS: u32 = 8;
/// Remaining time of each request, far more than [`RESPONSE_TIME`].
const REMAINING_TIME: Duration = Duration::from_secs(2);
/// Latency of each attempt, as reported to the limiter.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Size of a fleet and of its tenants' limiter sets.
#[derive(Clone, Copy, Debug)]
pub struct FleetSetting {
    /// Number of limiters.
    pub limiters: u32,
    /// Limiters in each tenant's set.
    pub set_size: u32,
}

/// Counts of a limiter's decisions and peer messages since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounts {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Messages sent to peers.
    pub peer_messages: u64,
    /// Bytes sent to peers.
    pub peer_bytes: u64,
}

/// Counts peer messages and records the actions that the simulation responds to.
#[derive(Default)]
struct DecisionObserver {
    counts: DecisionCounts,
    /// Server of the last attempt since the last request was passed in; `None` if there was none.
    attempt_server: Option<ServerIndex>,
    /// Whether the last request was rejected.
    is_rejected: bool,
    /// Receivers of the messages that have not been acknowledged yet.
    unacknowledged_peers: Vec<u32>,
}

impl ActionObserver for DecisionObserver {
    fn attempt_started(&mut self, server: ServerIndex) {
        self.attempt_server = Some(server);
    }
    fn request_rejected(&mut self, _: RequestIndex) {
        self.is_rejected = true;
    }
    fn peer_message_sent(&mut self, limiter: u32, message: &[u8]) {
        self.counts.peer_messages += 1;
        self.counts.peer_bytes += message.len() as u64;
        self.unacknowledged_peers.push(limiter);
    }
}

#[derive(Clone, Copy)]
struct Tenant {
    customer: u64,
    set_first: u32,
}

/// A limiter and its tenants. Its peers acknowledge its messages, and send others only when a caller asks for them.
pub struct SimulatedLimiter {
    limiter: Limiter,
    fleet: FleetSetting,
    own_index: u32,
    now: Duration,
    tenants: Vec<Tenant>,
    random: ChaCha8Rng,
    first_customer: u64,
    observer: Observed<DecisionObserver>,
    /// For each peer, the incarnation and sequence number of its last message.
    peer_headers: Vec<BatchHeader>,
}

impl SimulatedLimiter {
    /// Creates the last limiter of a fleet, which has received a message from every other limiter and knows no tenants.
    ///
    /// # Errors
    /// The program rejects the settings.
    pub fn new(fleet: FleetSetting, seed: u64) -> Result<SimulatedLimiter, InvalidSettings> {
        let own_index = fleet.limiters - 1;
        let settings = read_settings(&settings(fleet, own_index))?;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let first_customer = u64::from(random.random::<u32>());
        let first_header = BatchHeader {
            incarnation: 1,
            sequence: 0,
        };
        let mut simulated = SimulatedLimiter {
            limiter: settings.limiter(seed),
            fleet,
            own_index,
            now: Duration::from_millis(1),
            tenants: Vec::new(),
            random,
            first_customer,
            observer: Observed::default(),
            peer_headers: vec![first_header; fleet.limiters as usize],
        };
        simulated.run_batch(&EventBatch {
            endpoint_updates: vec![endpoint_list()],
            ..EventBatch::default()
        });
        simulated.receive_acknowledgements(0..own_index);
        Ok(simulated)
    }

    /// Counts of the decisions so far.
    pub fn counts(&self) -> DecisionCounts {
        self.observer.0.counts
    }

    /// Number of tenants that were added.
    pub fn tenants(&self) -> u64 {
        self.tenants.len() as u64
    }

    fn run_batch(&mut self, batch: &EventBatch) {
        self.limiter.process(self.now, batch, &mut self.observer);
    }

    /// Receives a message without rows from each of these peers, which acknowledges the limiter's messages.
    fn receive_acknowledgements(&mut self, peers: impl IntoIterator<Item = u32>) {
        let peer_messages = peers
            .into_iter()
            .flat_map(|peer| self.messages_from(peer, &[]))
            .collect();
        self.run_batch(&EventBatch {
            peer_messages,
            ..EventBatch::default()
        });
    }

    fn messages_from(&mut self, peer: u32, rows: &[CounterRow]) -> Vec<PeerMessage> {
        let header = &mut self.peer_headers[peer as usize];
        header.sequence += 1;
        let messages = peer_batch::encode(*header, rows);
        header.sequence += messages.len() as u64 - 1;
        messages
            .into_iter()
            .map(|bytes| PeerMessage { from: peer, bytes })
            .collect()
    }

    /// Adds a tenant whose limiter set includes this limiter, and passes its first request.
    pub fn add_tenant(&mut self) {
        let customer = self.first_customer + self.tenants();
        let position_in_set = self.random.random_range(0..self.fleet.set_size);
        let set_first =
            (self.own_index + self.fleet.limiters - position_in_set) % self.fleet.limiters;
        self.tenants.push(Tenant {
            customer,
            set_first,
        });
        self.request(self.tenants.len() - 1);
    }

    /// Adds `count` tenants, spread evenly over `ticks` ticks.
    pub fn add_tenants(&mut self, count: u64, ticks: u64) {
        for tick in 1..=ticks {
            while self.tenants() < count * tick / ticks {
                self.add_tenant();
            }
            self.run_tick();
        }
    }

    /// Passes a request of a tenant and returns whether it was admitted. An admitted request succeeds at once or, if no
    /// attempt was started, its client disconnects.
    pub fn request(&mut self, tenant: usize) -> bool {
        self.request_units(tenant, UNITS)
    }

    fn request_units(&mut self, tenant: usize, units: f64) -> bool {
        let Tenant {
            customer,
            set_first,
        } = self.tenants[tenant];
        let request = Request {
            id: RequestIndex(0),
            customer,
            plan: 0,
            class: 0,
            units,
            remaining_time: REMAINING_TIME,
            set_size: self.fleet.set_size,
            set_first,
            is_retry: false,
        };
        self.observer.0.attempt_server = None;
        self.observer.0.is_rejected = false;
        self.run_batch(&EventBatch {
            requests: vec![request],
            ..EventBatch::default()
        });
        if self.observer.0.is_rejected {
            self.observer.0.counts.rejected += 1;
            return false;
        }
        self.observer.0.counts.admitted += 1;
        let completion = match self.observer.0.attempt_server {
            Some(server) => EventBatch {
                attempt_results: vec![successful_attempt(server, RESPONSE_TIME)],
                ..EventBatch::default()
            },
            None => EventBatch {
                disconnects: vec![RequestIndex(0)],
                ..EventBatch::default()
            },
        };
        self.run_batch(&completion);
        true
    }

    /// Passes a request of each tenant at the same moment.
    pub fn request_from_all(&mut self) {
        (0..self.tenants.len()).for_each(|tenant| {
            self.request(tenant);
        });
    }

    /// Advances the clock by the tick interval and runs a tick, after which the peers acknowledge the messages sent.
    pub fn run_tick(&mut self) {
        self.advance(TICK);
    }

    /// Advances the clock by `time` and runs a single tick, after which the peers acknowledge the messages sent.
    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        self.run_batch(&EventBatch::default());
        let unacknowledged_peers = std::mem::take(&mut self.observer.0.unacknowledged_peers);
        if !unacknowledged_peers.is_empty() {
            self.receive_acknowledgements(unacknowledged_peers);
        }
    }

    /// Runs `count` ticks.
    pub fn run_ticks(&mut self, count: u64) {
        (0..count).for_each(|_| self.run_tick());
    }

    /// Receives the first message of a peer that has restarted.
    pub fn restart_peer(&mut self, peer: u32) {
        let header = &mut self.peer_headers[peer as usize];
        header.incarnation += 1;
        header.sequence = 0;
        self.receive_acknowledgements([peer]);
    }

    /// Receives a report of one unit in the current window for each tenant from each other limiter of its set. Returns the
    /// number of rows received.
    pub fn receive_reports(&mut self) -> u64 {
        let window = self.now.as_secs() / WINDOW_SECONDS;
        let mut rows: Vec<Vec<CounterRow>> = vec![Vec::new(); self.fleet.limiters as usize];
        for tenant in &self.tenants {
            for offset in 0..self.fleet.set_size {
                let peer = (tenant.set_first + offset) % self.fleet.limiters;
                if peer != self.own_index {
                    rows[peer as usize].push(report_row(tenant.customer, window));
                }
            }
        }
        let mut received = 0;
        for (peer, rows) in rows.iter().enumerate().filter(|(_, rows)| !rows.is_empty()) {
            received += rows.len() as u64;
            let peer_messages = self.messages_from(peer as u32, rows);
            self.run_batch(&EventBatch {
                peer_messages,
                ..EventBatch::default()
            });
        }
        received
    }

    /// Number of tenants whose account has been kept for some seconds, determined by a request of each tenant that the
    /// ceiling of a new account rejects. The requests create accounts in place of removed ones, so nothing can be measured
    /// afterwards.
    pub fn accounts_kept(&mut self) -> u64 {
        (0..self.tenants.len())
            .map(|tenant| u64::from(self.request_units(tenant, KEPT_ACCOUNT_UNITS)))
            .sum()
    }
}

fn report_row(customer: u64, window: u64) -> CounterRow {
    CounterRow {
        customer,
        plan: 0,
        window: window & 3,
        total: UNITS,
        demand: Some(UNITS),
        remaining: None,
        age: None,
    }
}

fn endpoint_list() -> EndpointUpdate {
    let endpoint = |server: u32| Endpoint {
        server: ServerIndex(server),
        ring_hash: ring_hash(&server.to_string()),
        state: EndpointState::Ready,
        weight: 1.0,
        ..Endpoint::default()
    };
    EndpointUpdate {
        complete: true,
        cached: false,
        unavailable: false,
        endpoints: (0..SERVERS).map(endpoint).collect(),
    }
}

/// Settings with one plan of two units per second. At each limiter, its ceiling refills by one unit per second, and the
/// slack, of which a limiter uses half its share, admits an ordinary request of a new account but not one of
/// [`KEPT_ACCOUNT_UNITS`].
fn settings(fleet: FleetSetting, own_index: u32) -> serde_json::Value {
    let set_size = f64::from(fleet.set_size);
    json!({
        "balancers": fleet.limiters, "rank": own_index,
        "classes": [{"name": "read", "idempotency": "read_like", "promiseS": 0.5, "hardLimitS": 2, "worth": 1}],
        "packages": [{"name": "basic", "unitsPerS": 2, "mostAtOnce": 2 * WINDOW_SECONDS, "price": 1,
            "ceilingRate": set_size, "capDepth": 8.0 * set_size, "capSlack": 2.0 * set_size}],
        "policyLimits": {"peers": true, "sendCap": 2, "mayCancel": true, "mostHeld": 1000},
        "familyInfo": {"inboxPerS": 40, "maxUnits": 8},
    })
}
