//! A cluster under test: several limiters, each with its own stub discovery and clients, shared stub servers, and links
//! from each limiter to each server and between the limiters.

mod setup;

use crate::link::{NetworkConditions, TcpLink, UdpLink};
use crate::{Client, EndpointState, Event, EventLog, LinkId, LogEntry, Program};
use crate::{Fault, FaultPlan, LimiterFault, LinkFault, ServerFault};
use crate::{LoadClient, RequestPattern, StubDiscovery, StubServer};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Deadline of all request classes, and of each request that a client sends.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Time after SIGTERM in which clients still open connections, as a load balancer notices the shutdown late.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(300);
/// SIGKILL follows SIGTERM after [`DEADLINE`] plus this time.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Pause between the repeated signals of a shutdown.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of connections in a burst. Exceeds a limiter's connection limit.
const BURST_CONNECTION_COUNT: usize = 160;
/// A burst stops at the first connection that is not established within this time, as the listen queue of a suspended
/// process may be full.
const BURST_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Clients per limiter in [`Cluster::run`]: one sequential, one pipelining, one that disconnects during requests.
const CLIENTS_PER_LIMITER: usize = 3;
/// Clients per limiter in [`Cluster::run_with_extra_clients`]: those of [`Cluster::run`], one that pauses within requests,
/// and one that uploads in small chunks.
const CLIENTS_PER_LIMITER_WITH_EXTRA: usize = 5;
/// Pause between the two halves of a request.
const MID_REQUEST_PAUSE: Duration = Duration::from_millis(60);
/// Number of one-byte chunks in each upload.
const UPLOAD_CHUNK_COUNT: usize = 4000;
/// Minimum delay of a slow link, and maximum jitter in addition to it.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(10);
/// Size of the pieces into which a slow link splits responses.
const SLOW_LINK_CHUNK_BYTES: usize = 64;
/// Number of requests that a pipelining client sends at once.
const PIPELINED_REQUEST_COUNT: usize = 4;
/// Pause of a client before each round of requests.
const CLIENT_INTERVAL: Duration = Duration::from_millis(15);
/// How long beyond [`DEADLINE`] a client waits for a response, to observe a late one.
const CLIENT_GRACE: Duration = Duration::from_secs(3);

/// A limiter: its process, and the parts of the cluster that belong to it alone.
#[derive(Debug)]
struct Limiter {
    /// `None` after the process was killed or terminated, until the next start.
    program: Option<Program>,
    /// The configuration of the current process, and of the next one.
    config: Value,
    discovery: StubDiscovery,
    /// The links to all servers, by server index.
    links: Vec<TcpLink>,
    /// Whether clients open new connections to the limiter, as decided by a simulated load balancer in front of it.
    accepts_connections: Arc<AtomicBool>,
    /// Connections of a burst; empty while there is none.
    burst: Vec<Client>,
    /// When the process is killed if a shutdown has not ended it; `None` while no shutdown is pending.
    kill_at: Option<Instant>,
}

impl Limiter {
    fn address(&self) -> SocketAddr {
        let address = self.config["listen"]
            .as_str()
            .and_then(|text| text.parse().ok());
        address.expect("`listen` is a socket address")
    }

    /// Sends a signal by name, such as `-TERM`, if there is a process.
    fn signal(&self, name: &str) {
        if let Some(program) = &self.program {
            program.signal(name);
        }
    }

    /// Reloads truncated JSON, then the current configuration. Does nothing without a process, or during a shutdown.
    fn reload(&self) {
        if let Some(program) = &self.program
            && self.kill_at.is_none()
        {
            program.reload("{\"settings\":");
            program.reload(&self.config.to_string());
        }
    }

    /// Opens the connections of a burst. Every other one sends part of a request, the rest send nothing.
    fn start_burst(&mut self) {
        let address = self.address();
        let connect = |n: usize| {
            let mut client = Client::connect_within(address, BURST_CONNECT_TIMEOUT).ok()?;
            client.send(if n.is_multiple_of(2) {
                "GET /look?key=7 HTTP/1.1\r\nHost:"
            } else {
                ""
            });
            Some(client)
        };
        self.burst = (0..BURST_CONNECTION_COUNT).map_while(connect).collect();
    }
}

/// Running limiters, stub servers, and the links between them. Limiters and servers are identified by their indices, from
/// 0.
#[derive(Debug)]
pub struct Cluster {
    log: EventLog,
    /// The stub servers, by index.
    pub servers: Vec<StubServer>,
    limiters: Vec<Limiter>,
    /// Links for peer messages between the limiters, kept as long as the cluster.
    _peer_links: Vec<UdpLink>,
}

impl Cluster {
    /// Sets the network conditions of a link: `forward` from the limiter to the server, `reverse` back.
    pub fn set_network_conditions(
        &self,
        link: LinkId,
        forward: NetworkConditions,
        reverse: NetworkConditions,
    ) {
        let link = &self.limiters[link.limiter].links[link.server];
        link.forward.set(forward);
        link.reverse.set(reverse);
    }

    /// Injects the plan's faults while clients send requests for `duration`. Returns all events observed since the cluster's
    /// start.
    ///
    /// # Panics
    /// A client's thread panicked, or a limiter does not start again.
    pub fn run(&mut self, plan: &FaultPlan, duration: Duration) -> Vec<LogEntry> {
        self.run_with_clients(plan, duration, CLIENTS_PER_LIMITER)
    }

    /// Like [`Cluster::run`], with two more clients per limiter: one pauses in the middle of each request, the other uploads
    /// in small chunks.
    ///
    /// # Panics
    /// A client's thread panicked, or a limiter does not start again.
    pub fn run_with_extra_clients(
        &mut self,
        plan: &FaultPlan,
        duration: Duration,
    ) -> Vec<LogEntry> {
        self.run_with_clients(plan, duration, CLIENTS_PER_LIMITER_WITH_EXTRA)
    }

    /// Runs the plan with this many clients per limiter, see [`Cluster::run`].
    fn run_with_clients(
        &mut self,
        plan: &FaultPlan,
        duration: Duration,
        clients_per_limiter: usize,
    ) -> Vec<LogEntry> {
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..self.limiters.len() * clients_per_limiter)
            .map(|number| self.start_client(number, &stop))
            .collect();
        let start = Instant::now();
        for planned in &plan.faults {
            self.wait_until(start + planned.at);
            self.inject_fault(planned.fault);
        }
        self.wait_until(start + duration);
        stop.store(true, Ordering::Relaxed);
        for client in clients {
            client.join().expect("a client thread that did not panic");
        }
        self.log.entries()
    }

    /// Starts a client in a thread of its own. `number` counts the clients of all limiters and selects the limiter and the
    /// pattern.
    fn start_client(&self, number: usize, stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
        let limiter = number % self.limiters.len();
        let pattern = match number / self.limiters.len() {
            0 => RequestPattern::Sequential,
            1 => RequestPattern::Pipelined(PIPELINED_REQUEST_COUNT),
            3 => RequestPattern::PausingMidRequest(MID_REQUEST_PAUSE),
            4 => RequestPattern::Chunked(UPLOAD_CHUNK_COUNT),
            _ => RequestPattern::Abandoning(Duration::from_millis(3 * number as u64)),
        };
        let client = LoadClient {
            limiter,
            address: self.limiters[limiter].address(),
            customer: number as u32,
            pattern,
            interval: CLIENT_INTERVAL,
            timeout: DEADLINE,
            grace: CLIENT_GRACE,
        };
        let log = self.log.clone();
        let stop = stop.clone();
        let accepts_connections = self.limiters[limiter].accepts_connections.clone();
        thread::spawn(move || client.run(&log, &stop, &accepts_connections))
    }

    /// Sleeps until `until`. Meanwhile kills each limiter whose shutdown takes too long.
    fn wait_until(&mut self, until: Instant) {
        loop {
            let next = (0..self.limiters.len())
                .filter_map(|limiter| Some((self.limiters[limiter].kill_at?, limiter)))
                .min();
            let Some((kill_at, limiter)) = next.filter(|(kill_at, _)| *kill_at <= until) else {
                break;
            };
            thread::sleep(kill_at.saturating_duration_since(Instant::now()));
            let terminated = &mut self.limiters[limiter];
            terminated.kill_at = None;
            if terminated
                .program
                .as_mut()
                .is_some_and(Program::kill_if_running)
            {
                self.log.record(Event::LimiterKilled { limiter });
            }
            // Without a process, later signals do nothing until the next start.
            terminated.program = None;
        }
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }

    fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Limiter { limiter, fault } => self.inject_limiter_fault(limiter, fault),
            Fault::Server { server, fault } => self.inject_server_fault(server, fault),
            Fault::Link { link, fault } => self.inject_link_fault(link, fault),
        }
    }

    fn inject_limiter_fault(&mut self, limiter: usize, fault: LimiterFault) {
        match fault {
            LimiterFault::Kill => self.kill(limiter),
            LimiterFault::Start => self.start_limiter(limiter),
            LimiterFault::Suspend => {
                self.log.record(Event::LimiterSuspended { limiter });
                self.limiters[limiter].signal("-STOP");
            }
            LimiterFault::Continue => {
                self.limiters[limiter].signal("-CONT");
                self.log.record(Event::LimiterContinued { limiter });
            }
            LimiterFault::Terminate { signals } => self.terminate(limiter, signals),
            LimiterFault::Reload => self.limiters[limiter].reload(),
            LimiterFault::StartConnectionBurst => {
                self.log.record(Event::BurstStarted { limiter });
                self.limiters[limiter].start_burst();
            }
            LimiterFault::EndConnectionBurst => {
                self.limiters[limiter].burst.clear();
                self.log.record(Event::BurstEnded { limiter });
            }
            LimiterFault::SilenceDiscovery => self.limiters[limiter].discovery.set_silent(true),
            LimiterFault::RestoreDiscovery => self.limiters[limiter].discovery.set_silent(false),
        }
    }

    fn inject_server_fault(&self, server: usize, fault: ServerFault) {
        match fault {
            ServerFault::Drain => {
                self.servers[server].drain();
                for limiter in &self.limiters {
                    limiter.discovery.set_state(server, EndpointState::Draining);
                }
            }
            ServerFault::Pause => self.servers[server].set_paused(true),
            ServerFault::Resume => self.servers[server].set_paused(false),
        }
    }

    fn inject_link_fault(&self, link: LinkId, fault: LinkFault) {
        let open = NetworkConditions::default();
        let partitioned = NetworkConditions {
            partitioned: true,
            ..open
        };
        match fault {
            LinkFault::Partition => {
                self.log.record(Event::LinkPartitioned(link));
                self.set_network_conditions(link, partitioned, partitioned);
            }
            LinkFault::PartitionResponses => {
                self.log.record(Event::LinkPartitioned(link));
                self.set_network_conditions(link, open, partitioned);
            }
            LinkFault::Slow => {
                // Requests are not split: the limiter advertises the remaining time as it writes and can't know how long the
                // link takes to carry the request.
                let slow = NetworkConditions {
                    delay: SLOW_LINK_DELAY,
                    jitter: SLOW_LINK_DELAY,
                    ..open
                };
                let slow_and_split = NetworkConditions {
                    chunk_bytes: Some(SLOW_LINK_CHUNK_BYTES),
                    ..slow
                };
                self.set_network_conditions(link, slow, slow_and_split);
            }
            LinkFault::Heal => {
                self.set_network_conditions(link, open, open);
                self.log.record(Event::LinkHealed(link));
            }
            LinkFault::CloseConnections => {
                self.limiters[link.limiter].links[link.server].close_all();
            }
        }
    }

    /// Sends SIGKILL and waits until the process has exited.
    fn kill(&mut self, limiter: usize) {
        self.log.record(Event::LimiterKilled { limiter });
        self.limiters[limiter].signal("-KILL");
        self.limiters[limiter].program = None;
        // Recorded again after the process has exited: requests sent while it was exiting are lost to this kill too.
        self.log.record(Event::LimiterKilled { limiter });
    }

    /// Starts the limiter's next process, and waits until it is ready.
    fn start_limiter(&mut self, limiter: usize) {
        let started = &mut self.limiters[limiter];
        // The earlier process has to exit before the new one binds the same address.
        started.program = None;
        // The new process starts from the last list that the limiter received, as discovery may be silent now.
        if let Some(announced) = started.discovery.last_announced() {
            started.config["known"] = announced;
        }
        started.program = Some(Program::start(&started.config));
        started.accepts_connections.store(true, Ordering::Relaxed);
    }

    /// Sends the signals of a shutdown. `wait_until` kills the process if it does not exit in time.
    fn terminate(&mut self, limiter: usize, signals: u32) {
        self.log.record(Event::LimiterTerminated { limiter });
        let terminated = &mut self.limiters[limiter];
        terminated.kill_at = Some(Instant::now() + DEADLINE + KILL_DELAY);
        let accepts_connections = terminated.accepts_connections.clone();
        thread::spawn(move || {
            thread::sleep(LOAD_BALANCER_DELAY);
            accepts_connections.store(false, Ordering::Relaxed);
        });
        for sent in 0..signals {
            if sent > 0 {
                thread::sleep(SIGNAL_INTERVAL);
                terminated.signal("-HUP");
            }
            terminated.signal("-TERM");
        }
    }
}
