//! Simulates what all limiters together send to one starting server during a burst at each of them, without sockets or
//! a real clock. Runs with the same seed are the same.

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
/// Index of the server that starts.
const STARTING: u32 = SERVERS - 1;
/// Requests that a server works on at once.
const CORES: usize = 4;
/// Mean time of a request on a core at full capacity.
const WORK_SECONDS: f64 = 0.04;
/// Simulated time between two batches of each limiter.
const STEP_SECONDS: f64 = 0.005;
/// Start of a run, in seconds of simulated time; the other servers have full capacity from then on.
const BEGIN: f64 = 1.0;
/// Start of the last server and of the burst, in seconds of simulated time.
const STARTED_AT: f64 = 6.0;
/// End of a run, in seconds of simulated time.
const END: f64 = 16.0;
/// Requested work over the capacity of all servers, before the burst.
const NORMAL_LOAD: f64 = 0.5;
/// Requested work over the capacity of all servers, during the burst.
const BURST_LOAD: f64 = 1.5;
/// Multiple of its capacity at which the starting server fails; lower than for most servers.
const OVERLOAD_FACTOR: f64 = 1.5;
/// Number of runs of each case, with seeds from 0.
const SEEDS: u64 = 2;

/// What the limiters know of the starting server before its start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ServerHistory {
    /// Discovery has not reported it before.
    New,
    /// It had full capacity, and was removed one second before its restart.
    Returning,
}

/// Attempts and peer messages of a limiter in one batch; other actions are ignored.
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

/// Fraction of its full capacity that the starting server has at time `now` according to the settings.
fn capacity_fraction(now: f64) -> f64 {
    let config = config();
    let progress = (now - STARTED_AT).max(0.0) / seconds(config.slow_start_duration);
    (config.slow_start_fraction + (1.0 - config.slow_start_fraction) * progress).min(1.0)
}

/// Maximum number of attempts in the overload window that begins at `now` by which the starting server is not
/// overloaded: the overload factor times its capacity, in requests of mean work, plus a tolerance for random variation.
fn max_attempts_in_window(now: f64) -> f64 {
    let config = config();
    let max_mean_attempts = config.overload_factor * capacity_fraction(now) * CORES as f64
        / WORK_SECONDS
        * seconds(config.overload_window);
    max_mean_attempts + 2.0 * max_mean_attempts.sqrt() + 2.0
}

/// One limiter, with the events of its next batch.
struct Node {
    limiter: Limiter,
    next: EventBatch,
    /// Future results of its attempts, by simulated time in microseconds and request.
    results: BTreeMap<(u64, u32), AttemptResult>,
    /// Number of requests sent to it so far.
    requests: u32,
}

impl Node {
    /// Limiter with index `index`, whose settings contain `configured` as the number of limiters.
    fn new(index: u32, configured: u32, seed: u64) -> Node {
        // High enough that quotas reject no request.
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
                own_index: index.min(configured - 1),
                ..fleet()
            },
            endpoints: config(),
            request_limits: RequestLimits {
                cancellation: false,
                ..request_limits()
            },
        };
        let seed = seed.wrapping_mul(1000) + u64::from(index);
        Node {
            limiter: Limiter::new(seed, limiter_config),
            next: EventBatch::default(),
            results: BTreeMap::new(),
            requests: 0,
        }
    }

    /// Adds a request to the next batch, from one of 50 customers that use this limiter only.
    fn request(&mut self, limiters: u32, index: u32) {
        let customer = u64::from(self.requests % 50) * u64::from(limiters) + u64::from(index);
        self.next.requests.push(Request {
            id: RequestIndex(self.requests),
            customer,
            set_size: 1,
            set_first: index,
            ..request()
        });
        self.requests += 1;
    }
}

/// All limiters and all servers of a run.
struct Fleet {
    nodes: Vec<Node>,
    /// Simulated time in seconds from which each core of each server is free.
    cores: Vec<[f64; CORES]>,
    random: WyRand,
    /// Simulated times in seconds of the attempts sent to the starting server since its start.
    sent_to_starting: Vec<f64>,
}

impl Fleet {
    fn new(limiters: u32, configured: u32, seed: u64) -> Fleet {
        Fleet {
            nodes: (0..limiters)
                .map(|index| Node::new(index, configured, seed))
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

    /// Adds the requests of one step, each at a random limiter.
    fn send_requests(&mut self, load: f64) {
        let limiters = self.nodes.len() as u32;
        let mean = load * f64::from(SERVERS) * CORES as f64 / WORK_SECONDS * STEP_SECONDS;
        // Requests arrive evenly; the fractional part of the mean is the probability of one more request.
        let count =
            mean.floor() + f64::from(u8::from(self.random.generate::<f64>() < mean.fract()));
        for _ in 0..count as u32 {
            let index = self.random.generate_range(0..limiters);
            self.nodes[index as usize].request(limiters, index);
        }
    }

    /// Time at which a server completes an attempt that arrives now. Attempts are served in order of arrival, with
    /// exponentially distributed work.
    fn complete_at(&mut self, server: u32, now: f64) -> f64 {
        let capacity = if server == STARTING && now >= STARTED_AT {
            capacity_fraction(now)
        } else {
            1.0
        };
        let work_seconds = -WORK_SECONDS * (1.0 - self.random.generate::<f64>()).ln() / capacity;
        let cores = &mut self.cores[server as usize];
        let core = (0..CORES)
            .min_by(|&one, &other| cores[one].total_cmp(&cores[other]))
            .unwrap_or(0);
        cores[core] = cores[core].max(now) + work_seconds;
        cores[core]
    }

    /// Processes one batch at each limiter, and delivers the peer messages with the next batch.
    fn process(&mut self, now: f64) {
        let mut peer_messages = Vec::new();
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            let mut batch = std::mem::take(&mut node.next);
            let later = node.results.split_off(&((now * 1e6) as u64, u32::MAX));
            batch.attempt_results = std::mem::replace(&mut node.results, later)
                .into_values()
                .collect();
            let mut decisions = Decisions::default();
            node.limiter.process(at(now), &batch, &mut decisions);
            let sent = decisions.peer_messages.into_iter();
            peer_messages.extend(sent.map(|message| (index as u32, message)));
            for (request, server) in decisions.attempts {
                if server == ServerIndex(STARTING) && now >= STARTED_AT {
                    self.sent_to_starting.push(now);
                }
                let latency = self.complete_at(server.0, now) - now;
                let result = AttemptResult {
                    request,
                    server,
                    latency: at(latency),
                    ..attempt_result(AttemptOutcome::Success, true)
                };
                self.nodes[index]
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

    /// Simulates a whole run, and returns the times of the attempts sent to the starting server.
    fn run(mut self, history: ServerHistory) -> Vec<f64> {
        let known = if history == ServerHistory::New {
            STARTING
        } else {
            SERVERS
        };
        self.update_endpoints(&(0..known).map(endpoint).collect::<Vec<_>>());
        let mut removed = history == ServerHistory::New;
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

/// Highest number of attempts in an overload window that begins with an attempt, divided by the maximum for that
/// window.
fn peak_load(sends: &[f64]) -> f64 {
    let window = seconds(config().overload_window);
    let load = |(i, &begin): (usize, &f64)| {
        let in_window = sends[i..]
            .iter()
            .take_while(|&&sent| sent < begin + window)
            .count();
        in_window as f64 / max_attempts_in_window(begin)
    };
    sends.iter().enumerate().map(load).fold(0.0, f64::max)
}

/// During a burst at all limiters, the attempts that they send to a starting server do not overload it in any overload
/// window, and the server is used.
#[test_case(1, ServerHistory::New ; "one limiter, new server")]
#[test_case(1, ServerHistory::Returning ; "one limiter, returning server")]
#[test_case(2, ServerHistory::Returning ; "two limiters, returning server")]
#[test_case(4, ServerHistory::New ; "four limiters, new server")]
#[test_case(4, ServerHistory::Returning ; "four limiters, returning server")]
#[test_case(24, ServerHistory::New ; "twenty four limiters, new server")]
#[test_case(24, ServerHistory::Returning ; "twenty four limiters, returning server")]
#[test_case(20, ServerHistory::New ; "twenty limiters, new server")]
#[test_case(20, ServerHistory::Returning ; "twenty limiters, returning server")]
#[test_case(30, ServerHistory::New ; "thirty limiters, new server")]
#[test_case(30, ServerHistory::Returning ; "thirty limiters, returning server")]
fn all_limiters_together_do_not_overload_a_starting_server(limiters: u32, history: ServerHistory) {
    for seed in 0..SEEDS {
        let sends = Fleet::new(limiters, limiters, seed).run(history);
        let peak = peak_load(&sends);
        assert!(peak <= 1.0, "seed {seed}: {peak}");
        assert!(sends.len() > 100, "seed {seed}: {} sends", sends.len());
    }
}

/// Shows that the maximum can be exceeded: limiters that are each configured as the only one send too much together.
#[test_case(24, ServerHistory::New ; "twenty four limiters, new server")]
#[test_case(24, ServerHistory::Returning ; "twenty four limiters, returning server")]
#[test_case(30, ServerHistory::New ; "thirty limiters, new server")]
fn limiters_with_a_wrong_fleet_size_send_too_much(limiters: u32, history: ServerHistory) {
    for seed in 0..SEEDS {
        let peak = peak_load(&Fleet::new(limiters, 1, seed).run(history));
        assert!(peak > 1.0, "seed {seed}: {peak}");
    }
}

#[test]
fn same_seed_gives_the_same_run() {
    let run = || Fleet::new(24, 24, 0).run(ServerHistory::Returning);
    assert_eq!(run(), run());
}
