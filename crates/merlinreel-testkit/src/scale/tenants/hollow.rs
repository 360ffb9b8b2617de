//! One limiter's decision module with many tenants and no sockets, on a clock that the caller moves.

use merlinreel_policy::Limiter;
use merlinreel_policy::peer_batch::{self, BatchHeader, CounterRow};
use merlinreel_policy::{
    Actions, AttemptOutcome, AttemptResult, Endpoint, EndpointState, EndpointUpdate, EventBatch,
    LoadReport, PeerMessage, Request, ring_hash,
};
use merlinreel_settings::{Settings, SettingsTree};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::time::Duration;

/// The decision module's beat where it tells its peers nothing sooner.
pub const BEAT: Duration = Duration::from_millis(100);
/// Beats between two sweeps that forget quiet accounts.
pub const BEATS_PER_SWEEP: u64 = 10;
/// Seconds of one counting window: the plan's burst over its rate.
pub const WINDOW_SECONDS: u64 = 4;
/// Units of an ordinary request.
const UNITS: f64 = 1.0;
/// More than the ceiling's slack: admitted only where an account has been kept for some seconds.
const PROBE_UNITS: f64 = 2.0;
const SERVERS: u32 = 8;
/// The client's patience; far more than any request here takes.
const TIME_LEFT: Duration = Duration::from_secs(2);

/// A fleet and the part of it through which each tenant comes.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub limiters: u32,
    pub set_size: u32,
}

/// What the decision module had to say, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Said {
    pub admitted: u64,
    pub refused: u64,
    pub peer_messages: u64,
    pub peer_bytes: u64,
}

/// Counts decisions, and keeps those that the harness answers.
#[derive(Default)]
struct Decisions {
    said: Said,
    sent: Option<u32>,
    refused: bool,
    told: Vec<u32>,
}

impl Actions for Decisions {
    fn start_attempt(&mut self, _: u32, server: u32, _: Option<Duration>) {
        self.sent = Some(server);
    }
    fn reject(&mut self, _: u32, _: Option<Duration>) {
        self.refused = true;
    }
    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]) {
        self.said.peer_messages += 1;
        self.said.peer_bytes += peer_message.len() as u64;
        self.told.push(limiter);
    }
    fn fail(&mut self, _: u32) {}
    fn cancel_attempt(&mut self, _: u32, _: u32) {}
    fn start_health_check(&mut self, _: u32) {}
    fn increment_counter(&mut self, _: u64, _: u64, _: f64, _: Duration) {}
    fn set_endpoint_subscription(&mut self, _: bool) {}
    fn poll_endpoints(&mut self) {}
    fn close_idle_connections(&mut self, _: u32) {}
    fn release_endpoint(&mut self, _: u32) {}
    fn schedule_wakeup(&mut self, _: Duration) {}
    fn log(&mut self, _: &str) {}
}

#[derive(Clone, Copy)]
struct Tenant {
    customer: u64,
    set_first: u32,
}

/// A limiter, its tenants, and peers that acknowledge what they are told and say nothing more.
pub struct HollowLimiter {
    limiter: Limiter,
    fleet: Fleet,
    me: u32,
    now: Duration,
    tenants: Vec<Tenant>,
    chance: ChaCha8Rng,
    first_customer: u64,
    decisions: Decisions,
    /// By peer: its life and the number of its last message.
    heads: Vec<BatchHeader>,
}

impl HollowLimiter {
    /// The last of its fleet, which all others have greeted; it knows no tenant yet.
    pub fn new(fleet: Fleet, seed: u64) -> Result<HollowLimiter, String> {
        let me = fleet.limiters - 1;
        let terms = SettingsTree::from_json(&settings(fleet, me))
            .and_then(|tree| Settings::read(&tree))
            .map_err(|error| error.to_string())?;
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let first_customer = u64::from(chance.random::<u32>());
        let mut hollow = HollowLimiter {
            limiter: terms.limiter(seed),
            fleet,
            me,
            now: Duration::from_millis(1),
            tenants: Vec::new(),
            chance,
            first_customer,
            decisions: Decisions::default(),
            heads: vec![
                BatchHeader {
                    incarnation: 1,
                    sequence: 0
                };
                fleet.limiters as usize
            ],
        };
        let round = EventBatch {
            endpoint_updates: vec![server_list()],
            ..EventBatch::default()
        };
        hollow.run(&round);
        hollow.hear_from(0..me);
        Ok(hollow)
    }

    pub fn said(&self) -> Said {
        self.decisions.said
    }

    pub fn tenants(&self) -> u64 {
        self.tenants.len() as u64
    }

    fn run(&mut self, round: &EventBatch) {
        self.limiter.process(self.now, round, &mut self.decisions);
    }

    /// A message without rows from each of these.
    fn hear_from(&mut self, peers: impl IntoIterator<Item = u32>) {
        let peer_messages = peers
            .into_iter()
            .flat_map(|peer| self.messages(peer, &[]))
            .collect();
        self.run(&EventBatch {
            peer_messages,
            ..EventBatch::default()
        });
    }

    fn messages(&mut self, from: u32, rows: &[CounterRow]) -> Vec<PeerMessage> {
        let head = &mut self.heads[from as usize];
        head.sequence += 1;
        let written = peer_batch::encode(*head, rows);
        head.sequence += written.len() as u64 - 1;
        written
            .into_iter()
            .map(|bytes| PeerMessage { from, bytes })
            .collect()
    }

    /// A new tenant's first request; its set of limiters includes this one.
    pub fn add_tenant(&mut self) {
        let customer = self.first_customer + self.tenants();
        let before_me = self.chance.random_range(0..self.fleet.set_size);
        let set_first = (self.me + self.fleet.limiters - before_me) % self.fleet.limiters;
        self.tenants.push(Tenant {
            customer,
            set_first,
        });
        self.request(self.tenants.len() - 1);
    }

    /// New tenants, evenly over some beats.
    pub fn add_tenants(&mut self, count: u64, beats: u64) {
        for beat in 1..=beats {
            while self.tenants() < count * beat / beats {
                self.add_tenant();
            }
            self.beat();
        }
    }

    /// A request of a tenant, answered or left by its client at once. Whether it was admitted.
    pub fn request(&mut self, tenant: usize) -> bool {
        self.request_units(tenant, UNITS)
    }

    fn request_units(&mut self, tenant: usize, units: f64) -> bool {
        let Tenant {
            customer,
            set_first,
        } = self.tenants[tenant];
        let set_size = self.fleet.set_size;
        let job = Request {
            id: 0,
            customer,
            plan: 0,
            class: 0,
            units,
            remaining_time: TIME_LEFT,
            set_size,
            set_first,
            is_retry: false,
        };
        (self.decisions.sent, self.decisions.refused) = (None, false);
        self.run(&EventBatch {
            requests: vec![job],
            ..EventBatch::default()
        });
        if self.decisions.refused {
            self.decisions.said.refused += 1;
            return false;
        }
        self.decisions.said.admitted += 1;
        let over = match self.decisions.sent {
            Some(server) => EventBatch {
                attempt_results: vec![answered(server)],
                ..EventBatch::default()
            },
            None => EventBatch {
                disconnects: vec![0],
                ..EventBatch::default()
            },
        };
        self.run(&over);
        true
    }

    /// A request of each tenant, at one moment.
    pub fn all_request(&mut self) {
        (0..self.tenants.len()).for_each(|tenant| {
            self.request(tenant);
        });
    }

    /// The clock goes on to the next beat, which is run; then the peers acknowledge what they were told.
    pub fn beat(&mut self) {
        self.step(BEAT);
    }

    /// The same after another time, in which no beat is run.
    pub fn step(&mut self, after: Duration) {
        self.now += after;
        self.run(&EventBatch::default());
        let told = std::mem::take(&mut self.decisions.told);
        if !told.is_empty() {
            self.hear_from(told);
        }
    }

    pub fn beats(&mut self, count: u64) {
        (0..count).for_each(|_| self.beat());
    }

    /// Another limiter says that it has started again.
    pub fn peer_restarts(&mut self, peer: u32) {
        self.heads[peer as usize] = BatchHeader {
            incarnation: self.heads[peer as usize].incarnation + 1,
            sequence: 0,
        };
        self.hear_from([peer]);
    }

    /// All others of each tenant's set report one unit in the present window. The number of rows told.
    pub fn hear_reports(&mut self) -> u64 {
        let window = self.now.as_secs() / WINDOW_SECONDS;
        let mut rows: Vec<Vec<CounterRow>> = vec![Vec::new(); self.fleet.limiters as usize];
        for tenant in &self.tenants {
            for peer in set(self.fleet, tenant.set_first).filter(|&peer| peer != self.me) {
                rows[peer as usize].push(report(tenant.customer, window));
            }
        }
        let mut told = 0;
        for (peer, rows) in rows.iter().enumerate().filter(|(_, rows)| !rows.is_empty()) {
            told += rows.len() as u64;
            let peer_messages = self.messages(peer as u32, rows);
            self.run(&EventBatch {
                peer_messages,
                ..EventBatch::default()
            });
        }
        told
    }

    /// How many accounts were kept since some seconds ago. A new account's ceiling admits less than one that was
    /// kept; the requests that tell it make new accounts of forgotten ones, so this is the last thing to ask.
    pub fn accounts_kept(&mut self) -> u64 {
        (0..self.tenants.len())
            .map(|tenant| u64::from(self.request_units(tenant, PROBE_UNITS)))
            .sum()
    }
}

fn set(fleet: Fleet, first: u32) -> impl Iterator<Item = u32> {
    (0..fleet.set_size).map(move |place| (first + place) % fleet.limiters)
}

fn report(customer: u64, window: u64) -> CounterRow {
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

fn answered(server: u32) -> AttemptResult {
    AttemptResult {
        request: 0,
        attempt: 0,
        server,
        outcome: AttemptOutcome::Success,
        latency: Duration::from_millis(100),
        request_completed: true,
        units: None,
        metered_usage: None,
        load: LoadReport::default(),
    }
}

fn server_list() -> EndpointUpdate {
    let entry = |server: u32| Endpoint {
        server,
        ring_hash: ring_hash(&server.to_string()),
        state: EndpointState::Ready,
        weight: 1.0,
        ..Endpoint::default()
    };
    EndpointUpdate {
        complete: true,
        cached: false,
        unavailable: false,
        endpoints: (0..SERVERS).map(entry).collect(),
    }
}

/// One plan of two units a second. Its ceiling refills by one unit a second at each limiter, and its slack lets an
/// ordinary request of a new account in, but no probe.
fn settings(fleet: Fleet, me: u32) -> serde_json::Value {
    let set = f64::from(fleet.set_size);
    json!({
        "balancers": fleet.limiters, "rank": me,
        "classes": [{"name": "read", "idempotency": "read_like", "promiseS": 0.5, "hardLimitS": 2, "worth": 1}],
        "packages": [{"name": "basic", "unitsPerS": 2, "mostAtOnce": 2 * WINDOW_SECONDS, "price": 1,
            "ceilingRate": set, "capDepth": 8.0 * set, "capSlack": 2.0 * set}],
        "policyLimits": {"peers": true, "sendCap": 2, "mayCancel": true, "mostHeld": 1000},
        "familyInfo": {"inboxPerS": 40, "maxUnits": 8},
    })
}
