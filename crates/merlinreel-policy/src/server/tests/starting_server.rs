//! What all limiters together send to one server that starts, under a burst at each of them. No sockets, no clock:
//! seeded, the same each run.

use crate::actions::Actions;
use crate::events::{EventBatch, PeerMessage};
use crate::limiter::Limiter;
use crate::model::attempt::{AttemptOutcome, AttemptResult};
use crate::model::endpoint::{Endpoint, EndpointConfig, EndpointState};
use crate::model::fleet::FleetConfig;
use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::limiter_config::LimiterConfig;
use crate::model::plan::Plan;
use crate::model::reject_reason::RejectReason;
use crate::model::request::{Request, RequestLimits};
use crate::model::request_class::Idempotency;
use crate::tests::helpers::*;
use crate::time::seconds;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

const SERVERS: u32 = 12;
/// The one that starts.
const STARTING: u32 = SERVERS - 1;
/// Requests that a server with full capacity works on at once, each for this long on the mean.
const CORES: usize = 4;
const WORK_SECONDS: f64 = 0.04;
/// Time between two batches of each limiter.
const STEP_SECONDS: f64 = 0.005;
/// The others have full capacity from the beginning; the last one starts, and the burst begins, at this moment.
const BEGIN: f64 = 1.0;
const STARTED_AT: f64 = 6.0;
const END: f64 = 16.0;
/// Work requested at all limiters together, in parts of the servers' capacity, before that moment and from it on.
const NORMAL_LOAD: f64 = 0.5;
const BURST_LOAD: f64 = 1.5;
/// A server that fails sooner than most, at one and a half times its capacity.
const OVERLOAD_FACTOR: f64 = 1.5;
/// Runs of each case.
const SEEDS: u64 = 2;

/// How the starting server appears.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Appears {
    /// It was never reported before.
    New,
    /// It had full capacity, is removed for a second and starts again.
    Back,
}

/// What a limiter decided in a batch.
#[derive(Default)]
struct Decisions {
    attempts: Vec<(RequestIndex, ServerIndex)>,
    peer_messages: Vec<(u32, Vec<u8>)>,
}

impl Actions for Decisions {
    fn start_attempt(&mut self, request: RequestIndex, server: ServerIndex, _: Option<Duration>) {
        self.attempts.push((request, server));
    }
    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]) {
        self.peer_messages.push((limiter, peer_message.to_vec()));
    }
    fn reject(&mut self, _: RequestIndex, _: RejectReason, _: Option<Duration>) {}
    fn fail(&mut self, _: RequestIndex) {}
    fn cancel_attempt(&mut self, _: RequestIndex, _: u32) {}
    fn start_health_check(&mut self, _: ServerIndex) {}
    fn increment_counter(&mut self, _: u64, _: u64, _: f64, _: Duration) {}
    fn set_endpoint_subscription(&mut self, _: bool) {}
    fn poll_endpoints(&mut self) {}
    fn close_idle_connections(&mut self, _: ServerIndex) {}
    fn release_endpoint(&mut self, _: ServerIndex) {}
    fn schedule_wakeup(&mut self, _: Duration) {}
    fn log(&mut self, _: &str) {}
}

fn config() -> EndpointConfig {
    EndpointConfig {
        overload_factor: OVERLOAD_FACTOR,
        ..endpoint_config()
    }
}

/// The share of its capacity that the settings allow the starting server at a time.
fn allowed_share(now: f64) -> f64 {
    let config = config();
    let progress = (now - STARTED_AT).max(0.0) / seconds(config.slow_start_duration);
    (config.slow_start_fraction + (1.0 - config.slow_start_fraction) * progress).min(1.0)
}

/// Requests of mean work in an overload window from `now` on that the settings allow the starting server, and the most
/// that do not overload it.
fn bound(now: f64) -> f64 {
    let config = config();
    let allowed = config.overload_factor * allowed_share(now) * CORES as f64 / WORK_SECONDS
        * seconds(config.overload_window);
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// One limiter, and what comes to it next.
struct Node {
    limiter: Limiter,
    next: EventBatch,
    /// Results of its attempts that are still to come, by their time in microseconds.
    results: BTreeMap<(u64, u32), AttemptResult>,
    requests: u32,
}

impl Node {
    /// Number `me`; `configured` is the number of limiters that its settings name.
    fn new(me: u32, configured: u32, seed: u64) -> Node {
        // Quotas do not matter to this test: each customer has more than it requests.
        let plan = Plan {
            rate: 1e6,
            burst: 1e6,
            plan_weight: 1.0,
            ..Plan::default()
        };
        let limiter_config = LimiterConfig {
            plans: vec![plan],
            classes: vec![request_class(Idempotency::Idempotent)],
            fleet: FleetConfig {
                limiters: configured,
                own_index: me.min(configured - 1),
                ..fleet()
            },
            endpoints: config(),
            request_limits: RequestLimits {
                cancellation: false,
                ..request_limits()
            },
        };
        let seed = seed.wrapping_mul(1000) + u64::from(me);
        Node {
            limiter: Limiter::new(seed, limiter_config),
            next: EventBatch::default(),
            results: BTreeMap::new(),
            requests: 0,
        }
    }

    /// A request of a customer of its own.
    fn request(&mut self, limiters: u32, me: u32) {
        let customer = u64::from(self.requests % 50) * u64::from(limiters) + u64::from(me);
        self.next.requests.push(Request {
            id: RequestIndex(self.requests),
            customer,
            set_size: 1,
            set_first: me,
            ..request()
        });
        self.requests += 1;
    }
}

struct Fleet {
    nodes: Vec<Node>,
    /// When each core of each server is free.
    cores: Vec<[f64; CORES]>,
    random: WyRand,
    /// When attempts were sent to the starting server since it started.
    sent_to_starting: Vec<f64>,
}

impl Fleet {
    fn new(limiters: u32, configured: u32, seed: u64) -> Fleet {
        Fleet {
            nodes: (0..limiters)
                .map(|me| Node::new(me, configured, seed))
                .collect(),
            cores: vec![[0.0; CORES]; SERVERS as usize],
            random: WyRand::new_seed(seed),
            sent_to_starting: Vec::new(),
        }
    }

    fn update_endpoints(&mut self, endpoints: &[Endpoint]) {
        for node in &mut self.nodes {
            let update = endpoint_update(false, endpoints.to_vec());
            node.next.endpoint_updates.push(update);
        }
    }

    /// Requests of one step, each at a random limiter.
    fn send_requests(&mut self, load: f64) {
        let limiters = self.nodes.len() as u32;
        let mean = load * f64::from(SERVERS) * CORES as f64 / WORK_SECONDS * STEP_SECONDS;
        // Steps are short: requests come evenly, with a part of one by chance.
        let count =
            mean.floor() + f64::from(u8::from(self.random.generate::<f64>() < mean.fract()));
        for _ in 0..count as u32 {
            let me = self.random.generate_range(0..limiters);
            self.nodes[me as usize].request(limiters, me);
        }
    }

    /// When a server ends an attempt that reaches it now: first come, first served, work by chance.
    fn work(&mut self, server: u32, now: f64) -> f64 {
        let capacity = if server == STARTING && now >= STARTED_AT {
            allowed_share(now)
        } else {
            1.0
        };
        let work = -WORK_SECONDS * (1.0 - self.random.generate::<f64>()).ln() / capacity;
        let cores = &mut self.cores[server as usize];
        let core = (0..CORES)
            .min_by(|&one, &other| cores[one].total_cmp(&cores[other]))
            .unwrap_or(0);
        cores[core] = cores[core].max(now) + work;
        cores[core]
    }

    /// One batch of every limiter.
    fn process(&mut self, now: f64) {
        let mut peer_messages = Vec::new();
        for me in 0..self.nodes.len() {
            let node = &mut self.nodes[me];
            let mut batch = std::mem::take(&mut node.next);
            let later = node.results.split_off(&((now * 1e6) as u64, u32::MAX));
            batch.attempt_results = std::mem::replace(&mut node.results, later)
                .into_values()
                .collect();
            let mut decisions = Decisions::default();
            node.limiter.process(at(now), &batch, &mut decisions);
            let sent = decisions.peer_messages.into_iter();
            peer_messages.extend(sent.map(|message| (me as u32, message)));
            for (request, server) in decisions.attempts {
                if server == ServerIndex(STARTING) && now >= STARTED_AT {
                    self.sent_to_starting.push(now);
                }
                let latency = self.work(server.0, now) - now;
                let result = AttemptResult {
                    request,
                    server,
                    latency: at(latency),
                    ..attempt_result(AttemptOutcome::Success, true)
                };
                self.nodes[me]
                    .results
                    .insert((((now + latency) * 1e6) as u64, request.0), result);
            }
        }
        for (from, (to, bytes)) in peer_messages {
            self.nodes[to as usize]
                .next
                .peer_messages
                .push(PeerMessage { from, bytes });
        }
    }

    fn run(mut self, appears: Appears) -> Vec<f64> {
        let known = if appears == Appears::New {
            STARTING
        } else {
            SERVERS
        };
        self.update_endpoints(&(0..known).map(endpoint).collect::<Vec<_>>());
        let mut removed = appears == Appears::New;
        let mut started = false;
        for step in 0..((END - BEGIN) / STEP_SECONDS) as u32 {
            let now = BEGIN + f64::from(step) * STEP_SECONDS;
            if !removed && now >= STARTED_AT - 1.0 {
                removed = true;
                self.update_endpoints(&[Endpoint {
                    state: EndpointState::Removed,
                    ..endpoint(STARTING)
                }]);
            }
            if !started && now >= STARTED_AT {
                started = true;
                self.cores[STARTING as usize] = [now; CORES];
                self.update_endpoints(&[Endpoint {
                    started_at: Some(at(STARTED_AT)),
                    ..endpoint(STARTING)
                }]);
            }
            self.send_requests(if started { BURST_LOAD } else { NORMAL_LOAD });
            self.process(now);
        }
        self.sent_to_starting
    }
}

/// The most that was sent in an overload window from any attempt on, as a part of what the server bears then.
fn highest_load(sends: &[f64]) -> f64 {
    let window = seconds(config().overload_window);
    let load = |(i, &begin): (usize, &f64)| {
        let within = sends[i..]
            .iter()
            .take_while(|&&sent| sent < begin + window)
            .count();
        within as f64 / bound(begin)
    };
    sends.iter().enumerate().map(load).fold(0.0, f64::max)
}

/// A burst at every limiter as one server starts: together they never send it, in any overload window, what would
/// overload it; and they do use it.
#[test_case(1, Appears::New ; "one, a new server")]
#[test_case(1, Appears::Back ; "one, one that is back")]
#[test_case(2, Appears::Back ; "two, one that is back")]
#[test_case(4, Appears::New ; "four, a new server")]
#[test_case(4, Appears::Back ; "four, one that is back")]
#[test_case(24, Appears::New ; "twenty four, a new server")]
#[test_case(24, Appears::Back ; "twenty four, one that is back")]
#[test_case(20, Appears::New ; "twenty, a new server")]
#[test_case(20, Appears::Back ; "twenty, one that is back")]
#[test_case(30, Appears::New ; "thirty, a new server")]
#[test_case(30, Appears::Back ; "thirty, one that is back")]
fn all_limiters_together_do_not_overload_a_starting_server(limiters: u32, appears: Appears) {
    for seed in 0..SEEDS {
        let sends = Fleet::new(limiters, limiters, seed).run(appears);
        let highest = highest_load(&sends);
        assert!(highest <= 1.0, "seed {seed}: {highest}");
        assert!(sends.len() > 100, "seed {seed}: {} sends", sends.len());
    }
}

/// The bound can be broken: limiters that each take themselves for the only one send more than it together.
#[test_case(24, Appears::New ; "twenty four, a new server")]
#[test_case(24, Appears::Back ; "twenty four, one that is back")]
#[test_case(30, Appears::New ; "thirty, a new server")]
fn limiters_with_a_wrong_fleet_size_send_too_much(limiters: u32, appears: Appears) {
    for seed in 0..SEEDS {
        let highest = highest_load(&Fleet::new(limiters, 1, seed).run(appears));
        assert!(highest > 1.0, "seed {seed}: {highest}");
    }
}

/// A seed gives one run.
#[test]
fn same_seed_gives_the_same_run() {
    let run = || Fleet::new(24, 24, 0).run(Appears::Back);
    assert_eq!(run(), run());
}
