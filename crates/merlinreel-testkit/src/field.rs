//! Several limiters at work: workers, an agent each, clients, and a link on each way.

use crate::link::{TcpLink, UdpLink, Weather};
use crate::{
    Agent, Asking, Client, Deed, Entry, Manner, Program, Record, Script, Standing, What, Worker,
};
use crate::{WorkerKind, config, free_address, listed};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Limiters, workers, an agent each, and a link on each way between them.
#[derive(Debug)]
pub struct Field {
    record: Record,
    pub workers: Vec<Worker>,
    agents: Vec<Agent>,
    /// From each limiter to each worker.
    ways: Vec<Vec<TcpLink>>,
    /// Between the limiters, a fifth lost; they live as long as the field.
    _messages: Vec<UdpLink>,
    configs: Vec<Value>,
    programs: Vec<Option<Program>>,
    /// Whether the front sends new connections to a limiter, by its number.
    admits: Vec<Arc<AtomicBool>>,
    crowds: Vec<Vec<Client>>,
    /// When limiters that were asked to stop are killed, by their numbers.
    kills: Vec<Option<Instant>>,
}

/// The deadline of all classes, and the time that clients give a request.
const DEADLINE: Duration = Duration::from_millis(1500);
/// New connections still come for so long after SIGTERM, and SIGKILL follows the longest deadline and so much.
const FRONT_LAGS: Duration = Duration::from_millis(300);
const KILL_AFTER: Duration = Duration::from_millis(700);
/// More than a limiter has places for.
const CROWD: usize = 160;
/// One of a crowd that has to wait longer goes, and is the last to come: the process may stand still, its queue full.
const CROWD_WAITS: Duration = Duration::from_millis(100);

impl Field {
    /// Starts so many of each, and waits until all serve.
    pub fn start(seed: u64, limiters: usize, workers: usize) -> Field {
        let record = Record::default();
        let kind = WorkerKind {
            cold: 2.0,
            warm_after: Duration::from_secs(1),
            ..WorkerKind::default()
        };
        let workers: Vec<Worker> = (0..workers)
            .map(|number| Worker::start(number, kind, &record))
            .collect();
        let way = |i: usize, j: usize| {
            TcpLink::to(
                workers[j].address,
                seed * 100 + (i * workers.len() + j) as u64,
            )
        };
        let ways: Vec<Vec<TcpLink>> = (0..limiters)
            .map(|i| (0..workers.len()).map(|j| way(i, j)).collect())
            .collect();
        let addresses = |i: usize| {
            ways[i]
                .iter()
                .map(|way| way.address)
                .collect::<Vec<SocketAddr>>()
        };
        let agents: Vec<Agent> = (0..limiters)
            .map(|i| Agent::start(i, addresses(i), &record))
            .collect();
        agents[0].indent();
        let places: Vec<SocketAddr> = (0..limiters).map(|_| free_address()).collect();
        let mut peer_messages = Vec::new();
        let mut peers: Vec<Vec<SocketAddr>> = vec![places.clone(); limiters];
        for i in 0..limiters {
            for j in i + 1..limiters {
                let link = UdpLink::between(
                    places[i],
                    places[j],
                    seed * 1000 + (i * limiters + j) as u64,
                );
                (peers[i][j], peers[j][i]) = (link.for_one, link.for_other);
                link.there.set(Weather {
                    lose: 20,
                    repeat: 5,
                    ..Weather::default()
                });
                link.back.set(Weather {
                    lose: 20,
                    repeat: 5,
                    reorder: 5,
                    ..Weather::default()
                });
                peer_messages.push(link);
            }
        }
        let configs: Vec<Value> = (0..limiters)
            .map(|i| {
                let known: Vec<Value> = addresses(i)
                    .iter()
                    .enumerate()
                    .map(|(j, at)| listed(&format!("s-{j}"), *at, "up"))
                    .collect();
                let mut config = config(&known);
                config["discovery"] = agents[i].address.to_string().into();
                config["peer_listen"] = places[i].to_string().into();
                config["peers"] = peers[i].iter().map(ToString::to_string).collect();
                (config["settings"]["balancers"], config["settings"]["rank"]) =
                    (limiters.into(), i.into());
                for class in config["settings"]["classes"]
                    .as_array_mut()
                    .into_iter()
                    .flatten()
                {
                    class["hardLimitS"] = DEADLINE.as_secs_f64().into();
                    class["promiseS"] = (DEADLINE.as_secs_f64() / 2.0).into();
                }
                let plan = &mut config["settings"]["packages"][0];
                (plan["unitsPerS"], plan["mostAtOnce"]) = (1000.into(), 1000.into());
                config
            })
            .collect();
        let programs = configs
            .iter()
            .map(|config| Some(Program::start(config)))
            .collect();
        Field {
            record,
            workers,
            agents,
            ways,
            _messages: peer_messages,
            configs,
            programs,
            admits: (0..limiters)
                .map(|_| Arc::new(AtomicBool::new(true)))
                .collect(),
            crowds: (0..limiters).map(|_| Vec::new()).collect(),
            kills: vec![None; limiters],
        }
    }

    fn address(&self, i: usize) -> SocketAddr {
        let address = self.configs[i]["listen"]
            .as_str()
            .and_then(|text| text.parse().ok());
        address.expect("an address")
    }

    /// Signals in series; what follows from them in time is done by `wait`.
    fn terminate(&mut self, i: usize, times: u32) {
        self.record.tell(What::Terminated { limiter: i });
        let asked = Instant::now();
        self.kills[i] = Some(asked + DEADLINE + KILL_AFTER);
        let admits = self.admits[i].clone();
        thread::spawn(move || {
            thread::sleep(FRONT_LAGS);
            admits.store(false, Ordering::Relaxed);
        });
        for time in 0..times {
            if time > 0 {
                thread::sleep(Duration::from_millis(20));
                self.signal(i, "-HUP");
            }
            self.signal(i, "-TERM");
        }
    }

    /// Waits until then, and kills whoever is due meanwhile.
    fn wait(&mut self, until: Instant) {
        loop {
            let due = (0..self.kills.len())
                .filter_map(|i| Some((self.kills[i]?, i)))
                .min();
            let Some((at, i)) = due.filter(|(at, _)| *at <= until) else {
                break;
            };
            thread::sleep(at.saturating_duration_since(Instant::now()));
            self.kills[i] = None;
            if self.programs[i]
                .as_mut()
                .is_some_and(Program::kill_if_running)
            {
                self.record.tell(What::Killed { limiter: i });
            }
            // Nobody is there to be signalled until its next start.
            self.programs[i] = None;
        }
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }

    /// Clients of which one in two sends half a request and the others nothing.
    fn crowd(&mut self, i: usize) {
        self.record.tell(What::Crowded { limiter: i });
        let address = self.address(i);
        let come = |n: usize| {
            let mut client = Client::connect_within(address, CROWD_WAITS).ok()?;
            client.send(if n.is_multiple_of(2) {
                "GET /look?key=7 HTTP/1.1\r\nHost:"
            } else {
                ""
            });
            Some(client)
        };
        self.crowds[i] = (0..CROWD).map_while(come).collect();
    }

    fn signal(&self, i: usize, name: &str) {
        self.programs[i]
            .iter()
            .for_each(|program| program.signal(name));
    }

    /// The weather from a limiter to a worker, and back.
    pub fn weather(&self, i: usize, j: usize, there: Weather, back: Weather) {
        self.ways[i][j].there.set(there);
        self.ways[i][j].back.set(back);
    }

    fn befall(&mut self, deed: Deed) {
        let (fair, cut) = (
            Weather::default(),
            Weather {
                cut: true,
                ..Weather::default()
            },
        );
        match deed {
            Deed::Kill(i) => {
                self.record.tell(What::Killed { limiter: i });
                self.signal(i, "-KILL");
                self.programs[i] = None;
                // What was on its way as it died is its death's doing, too.
                self.record.tell(What::Killed { limiter: i });
            }
            Deed::Start(i) => {
                self.programs[i] = None;
                self.programs[i] = Some(Program::start(&self.configs[i]));
                self.admits[i].store(true, Ordering::Relaxed);
            }
            Deed::Stop(i) => {
                self.record.tell(What::Stopped { limiter: i });
                self.signal(i, "-STOP");
            }
            Deed::Wake(i) => {
                self.signal(i, "-CONT");
                self.record.tell(What::Woken { limiter: i });
            }
            Deed::Drain(j) => {
                self.workers[j].drain();
                self.agents
                    .iter()
                    .for_each(|agent| agent.set(j, Standing::Draining));
            }
            Deed::Pause(j) => self.workers[j].pause(true),
            Deed::Resume(j) => self.workers[j].pause(false),
            Deed::Cut(i, j) | Deed::CutBack(i, j) => {
                self.record.tell(What::Cut {
                    limiter: i,
                    worker: j,
                });
                let there = if matches!(deed, Deed::Cut(..)) {
                    cut
                } else {
                    fair
                };
                self.weather(i, j, there, cut);
            }
            Deed::Heal(i, j) => {
                self.weather(i, j, fair, fair);
                self.record.tell(What::Healed {
                    limiter: i,
                    worker: j,
                });
            }
            Deed::Break(i, j) => self.ways[i][j].break_all(),
            Deed::Terminate(i, times) => self.terminate(i, times),
            Deed::Reload(i) => {
                if let Some(program) = &self.programs[i]
                    && self.kills[i].is_none()
                {
                    program.turn("{\"settings\":");
                    program.turn(&self.configs[i].to_string());
                }
            }
            Deed::Crowd(i) => self.crowd(i),
            Deed::Disperse(i) => {
                self.crowds[i].clear();
                self.record.tell(What::Dispersed { limiter: i });
            }
            Deed::Silence(i) => self.agents[i].silence(true),
            Deed::Speak(i) => self.agents[i].silence(false),
        }
    }

    /// Plays a script under clients that keep asking, and returns what was seen.
    pub fn play(&mut self, script: &Script, span: Duration) -> Vec<Entry> {
        let stop = Arc::new(AtomicBool::new(false));
        let limiters = self.configs.len();
        let clients: Vec<_> = (0..limiters * 3)
            .map(|n| {
                let (record, stop) = (self.record.clone(), stop.clone());
                let (limiter, admits) = (n % limiters, self.admits[n % limiters].clone());
                let manner = match n / limiters {
                    0 => Manner::OneByOne,
                    1 => Manner::Pipelined(4),
                    _ => Manner::Leaves(Duration::from_millis(3 * n as u64)),
                };
                let asking = Asking {
                    limiter,
                    address: self.address(limiter),
                    customer: n as u32,
                    manner,
                    beat: Duration::from_millis(15),
                    patience: DEADLINE,
                    longer: Duration::from_secs(3),
                };
                thread::spawn(move || asking.keep_on(&record, &stop, &admits))
            })
            .collect();
        let begun = Instant::now();
        for (at, deed) in &script.deeds {
            self.wait(begun + *at);
            self.befall(*deed);
        }
        self.wait(begun + span);
        stop.store(true, Ordering::Relaxed);
        clients
            .into_iter()
            .for_each(|client| client.join().expect("a client"));
        self.record.entries()
    }
}
