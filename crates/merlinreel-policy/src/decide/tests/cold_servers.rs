//! What all limiters together send to one server that starts cold, under a burst at each of them. No sockets, no clock:
//! seeded, the same each run.

use super::*;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use test_case::test_case;

const SERVERS: u32 = 12;
/// The one that starts cold.
const COLD: u32 = SERVERS - 1;
/// Jobs that a warm server works on at once, each for this long on the mean.
const CORES: usize = 4;
const WORK: f64 = 0.04;
/// Time of one round of all limiters.
const STEP: f64 = 0.005;
/// The others are warm from the beginning; the cold one starts, and the burst begins, at this moment.
const BEGIN: f64 = 1.0;
const COLD_AT: f64 = 6.0;
const END: f64 = 16.0;
/// Work asked for at all limiters together, in parts of what the servers can do, before that moment and from it on.
const CALM: f64 = 0.5;
const BURST: f64 = 1.5;
/// A server that falls sooner than most, at one and a half times what it can do.
const FALL_FACTOR: f64 = 1.5;
/// Runs of each case.
const SEEDS: u64 = 2;

/// How the cold server comes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Comes {
    /// It was never listed before.
    New,
    /// It was warm, is gone for a second and starts again.
    Back,
}

/// What a limiter decided in a round.
#[derive(Default)]
struct Decisions {
    attempts: Vec<(u32, u32)>,
    peer_messages: Vec<(u32, Vec<u8>)>,
}

impl Actions for Decisions {
    fn start_attempt(&mut self, request: u32, server: u32, _: Option<Duration>) {
        self.attempts.push((request, server));
    }
    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]) {
        self.peer_messages.push((limiter, peer_message.to_vec()));
    }
    fn reject(&mut self, _: u32, _: Option<Duration>) {}
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

fn rules() -> EndpointConfig {
    EndpointConfig {
        overload_factor: FALL_FACTOR,
        ..endpoint_config()
    }
}

/// The share of its capacity that the settings allow the cold server at a time.
fn share(now: f64) -> f64 {
    let rules = rules();
    let passed = (now - COLD_AT).max(0.0) / secs(rules.slow_start_duration);
    (rules.slow_start_fraction + (1.0 - rules.slow_start_fraction) * passed).min(1.0)
}

/// Requests of mean work in a fall time from `now` on that the settings allow the cold server, and the most that do not
/// fell it.
fn bound(now: f64) -> f64 {
    let rules = rules();
    let allowed =
        rules.overload_factor * share(now) * CORES as f64 / WORK * secs(rules.overload_window);
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// One limiter, and what comes to it next.
struct Place {
    limiter: Limiter,
    next: EventBatch,
    /// Ends of its attempts that are still to come, by their time in microseconds.
    ends: BTreeMap<(u64, u32), AttemptResult>,
    requests: u32,
}

impl Place {
    /// Number `me`; `told` is the number of limiters that its settings name.
    fn new(me: u32, told: u32, seed: u64) -> Place {
        let fleet = FleetConfig {
            limiters: told,
            me: me.min(told - 1),
            ..fleet()
        };
        let class = RequestClass {
            latency_objective: at(0.5),
            deadline: at(2.0),
            priority_weight: 1.0,
            late_weight: 0.0,
            repeats: Idempotency::Idempotent,
        };
        let requests = RequestLimits {
            max_attempts: 4,
            hedging: false,
            cancellation: false,
            retry_after: true,
            max_retry_after: at(1.0),
            max_in_flight: 1000,
        };
        // Quotas are none of this test's: each customer has more than it asks for.
        let plan = Plan {
            rate: 1e6,
            burst: 1e6,
            plan_weight: 1.0,
            ..Plan::default()
        };
        let seed = seed.wrapping_mul(1000) + u64::from(me);
        let limiter = Limiter::new(seed, vec![plan], vec![class], fleet, rules(), requests);
        Place {
            limiter,
            next: EventBatch::default(),
            ends: BTreeMap::new(),
            requests: 0,
        }
    }

    /// A job of a customer of its own.
    fn take(&mut self, limiters: u32, me: u32) {
        let customer = u64::from(self.requests % 50) * u64::from(limiters) + u64::from(me);
        self.next.requests.push(Request {
            id: self.requests,
            customer,
            set_size: 1,
            set_first: me,
            ..request()
        });
        self.requests += 1;
    }
}

struct Fleet {
    places: Vec<Place>,
    /// When each core of each server is free.
    cores: Vec<[f64; CORES]>,
    chance: WyRand,
    /// When attempts were sent to the cold server since it started.
    to_cold: Vec<f64>,
}

impl Fleet {
    fn new(limiters: u32, told: u32, seed: u64) -> Fleet {
        Fleet {
            places: (0..limiters).map(|me| Place::new(me, told, seed)).collect(),
            cores: vec![[0.0; CORES]; SERVERS as usize],
            chance: WyRand::new_seed(seed),
            to_cold: Vec::new(),
        }
    }

    fn tell(&mut self, endpoints: &[Endpoint]) {
        for place in &mut self.places {
            let endpoints = endpoints.to_vec();
            place.next.endpoint_updates.push(EndpointUpdate {
                complete: false,
                cached: false,
                unavailable: false,
                endpoints,
            });
        }
    }

    /// Jobs of one step, each at a limiter of chance.
    fn ask(&mut self, part: f64) {
        let limiters = self.places.len() as u32;
        let mean = part * f64::from(SERVERS) * CORES as f64 / WORK * STEP;
        // Steps are short: jobs come evenly, with a part of one by chance.
        let count =
            mean.floor() + f64::from(u8::from(self.chance.generate::<f64>() < mean.fract()));
        for _ in 0..count as u32 {
            let me = self.chance.generate_range(0..limiters);
            self.places[me as usize].take(limiters, me);
        }
    }

    /// When a server ends an attempt that reaches it now: first come, first served, work by chance.
    fn work(&mut self, server: u32, now: f64) -> f64 {
        let slower = if server == COLD && now >= COLD_AT {
            share(now)
        } else {
            1.0
        };
        let work = -WORK * (1.0 - self.chance.generate::<f64>()).ln() / slower;
        let cores = &mut self.cores[server as usize];
        let core = (0..CORES)
            .min_by(|&one, &other| cores[one].total_cmp(&cores[other]))
            .unwrap_or(0);
        cores[core] = cores[core].max(now) + work;
        cores[core]
    }

    /// One round of every limiter.
    fn round(&mut self, now: f64) {
        let mut peer_messages = Vec::new();
        for me in 0..self.places.len() {
            let place = &mut self.places[me];
            let mut round = std::mem::take(&mut place.next);
            let later = place.ends.split_off(&((now * 1e6) as u64, u32::MAX));
            round.attempt_results = std::mem::replace(&mut place.ends, later)
                .into_values()
                .collect();
            let mut decisions = Decisions::default();
            place.limiter.round(at(now), &round, &mut decisions);
            peer_messages.extend(
                decisions
                    .peer_messages
                    .into_iter()
                    .map(|peer_message| (me as u32, peer_message)),
            );
            for (request, server) in decisions.attempts {
                if server == COLD && now >= COLD_AT {
                    self.to_cold.push(now);
                }
                let took = self.work(server, now) - now;
                let end = AttemptResult {
                    request,
                    server,
                    latency: at(took),
                    ..attempt_end(AttemptOutcome::Success, true)
                };
                self.places[me]
                    .ends
                    .insert((((now + took) * 1e6) as u64, request), end);
            }
        }
        for (from, (to, bytes)) in peer_messages {
            self.places[to as usize]
                .next
                .peer_messages
                .push(PeerMessage { from, bytes });
        }
    }

    fn run(mut self, comes: Comes) -> Vec<f64> {
        let listed = if comes == Comes::New { COLD } else { SERVERS };
        self.tell(&(0..listed).map(entry).collect::<Vec<_>>());
        let mut gone = comes == Comes::New;
        let mut cold = false;
        for step in 0..((END - BEGIN) / STEP) as u32 {
            let now = BEGIN + f64::from(step) * STEP;
            if !gone && now >= COLD_AT - 1.0 {
                gone = true;
                self.tell(&[Endpoint {
                    state: EndpointState::Removed,
                    ..entry(COLD)
                }]);
            }
            if !cold && now >= COLD_AT {
                cold = true;
                self.cores[COLD as usize] = [now; CORES];
                self.tell(&[Endpoint {
                    started_at: Some(at(COLD_AT)),
                    ..entry(COLD)
                }]);
            }
            self.ask(if cold { BURST } else { CALM });
            self.round(now);
        }
        self.to_cold
    }
}

/// The most that was sent in a fall time from any send on, as a part of what the server bears then.
fn fullest(sends: &[f64]) -> f64 {
    let fall = secs(rules().overload_window);
    let part = |(i, &begin): (usize, &f64)| {
        let within = sends[i..]
            .iter()
            .take_while(|&&sent| sent < begin + fall)
            .count();
        within as f64 / bound(begin)
    };
    sends.iter().enumerate().map(part).fold(0.0, f64::max)
}

/// A burst at every limiter as one server starts: together they never send it, in any span of the settings' time to fall,
/// what would fell it; and they do use it.
#[test_case(1, Comes::New ; "one, a new server")]
#[test_case(1, Comes::Back ; "one, one that is back")]
#[test_case(2, Comes::Back ; "two, one that is back")]
#[test_case(4, Comes::New ; "four, a new server")]
#[test_case(4, Comes::Back ; "four, one that is back")]
#[test_case(24, Comes::New ; "twenty four, a new server")]
#[test_case(24, Comes::Back ; "twenty four, one that is back")]
#[test_case(20, Comes::New ; "twenty, a new server")]
#[test_case(20, Comes::Back ; "twenty, one that is back")]
#[test_case(30, Comes::New ; "thirty, a new server")]
#[test_case(30, Comes::Back ; "thirty, one that is back")]
fn all_limiters_together_spare_a_cold_server(limiters: u32, comes: Comes) {
    for seed in 0..SEEDS {
        let sends = Fleet::new(limiters, limiters, seed).run(comes);
        let fullest = fullest(&sends);
        assert!(fullest <= 1.0, "seed {seed}: {fullest}");
        assert!(sends.len() > 100, "seed {seed}: {} sends", sends.len());
    }
}

/// The bound can be broken: limiters that each take themselves for the only one send more than it together.
#[test_case(24, Comes::New ; "twenty four, a new server")]
#[test_case(24, Comes::Back ; "twenty four, one that is back")]
#[test_case(30, Comes::New ; "thirty, a new server")]
fn limiters_told_a_wrong_number_send_too_much(limiters: u32, comes: Comes) {
    for seed in 0..SEEDS {
        let fullest = fullest(&Fleet::new(limiters, 1, seed).run(comes));
        assert!(fullest > 1.0, "seed {seed}: {fullest}");
    }
}

/// A seed gives one run.
#[test]
fn a_run_is_the_same_each_time() {
    let run = || Fleet::new(24, 24, 0).run(Comes::Back);
    assert_eq!(run(), run());
}
