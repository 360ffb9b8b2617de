//! Several limiters with stub servers, a stub discovery each, clients, and a link on each path between them.

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

/// The deadline of all request classes and of all clients' requests.
const DEADLINE: Duration = Duration::from_millis(1500);
/// How long after SIGTERM new connections still arrive: a load balancer learns of the shutdown late.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(300);
/// How long after SIGTERM and the deadline SIGKILL follows.
const KILL_DELAY: Duration = Duration::from_millis(700);
const SIGNAL_INTERVAL: Duration = Duration::from_millis(20);
/// Connections of a burst: more than a limiter accepts.
const BURST_CONNECTIONS: usize = 160;
/// A connection of a burst that is not established by then is the last one, as a suspended process's queue may be full.
const BURST_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const CLIENTS_PER_LIMITER: usize = 3;
/// Clients that stop in the middle of a request, and clients that upload in small chunks, are added to them.
const WIDE_CLIENTS_PER_LIMITER: usize = 5;
const HALT: Duration = Duration::from_millis(60);
const UPLOAD_CHUNKS: usize = 4000;
const SLOW_LINK_DELAY: Duration = Duration::from_millis(10);
const SLOW_LINK_CHUNK_BYTES: usize = 64;
const PIPELINED_REQUESTS: usize = 4;
const CLIENT_INTERVAL: Duration = Duration::from_millis(15);
const CLIENT_GRACE: Duration = Duration::from_secs(3);

/// A limiter's process and everything that belongs to it alone.
#[derive(Debug)]
struct Limiter {
    /// None while it is killed.
    program: Option<Program>,
    config: Value,
    discovery: StubDiscovery,
    /// By server, the link to it.
    links: Vec<TcpLink>,
    /// Whether the load balancer before the limiter sends it new connections.
    accepts_connections: Arc<AtomicBool>,
    /// Connections that never send a complete request.
    burst: Vec<Client>,
    /// When it is killed, once it was asked to stop.
    kill_at: Option<Instant>,
}

impl Limiter {
    fn address(&self) -> SocketAddr {
        let address = self.config["listen"]
            .as_str()
            .and_then(|text| text.parse().ok());
        address.expect("an address")
    }

    fn signal(&self, name: &str) {
        if let Some(program) = &self.program {
            program.signal(name);
        }
    }

    fn reload(&self) {
        if let Some(program) = &self.program
            && self.kill_at.is_none()
        {
            program.reload("{\"settings\":");
            program.reload(&self.config.to_string());
        }
    }

    /// Opens connections of which one in two sends half a request and the others nothing.
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
        self.burst = (0..BURST_CONNECTIONS).map_while(connect).collect();
    }
}

/// Limiters, stub servers, and the links between them. Limiters and servers are identified by their numbers from 0 on.
#[derive(Debug)]
pub struct Cluster {
    log: EventLog,
    /// The servers.
    pub servers: Vec<StubServer>,
    limiters: Vec<Limiter>,
    /// Between the limiters; they are kept as long as the cluster.
    _peer_links: Vec<UdpLink>,
}

impl Cluster {
    /// Sets the conditions from a limiter to a server, and back.
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

    /// Injects the plan's faults under the load of clients for a duration; everything that was observed.
    ///
    /// # Panics
    /// A client's thread panicked, or a limiter does not start again.
    pub fn run(&mut self, plan: &FaultPlan, duration: Duration) -> Vec<LogEntry> {
        self.run_with_clients(plan, duration, CLIENTS_PER_LIMITER)
    }

    /// The same, with further clients: some stop in the middle of a request, some upload in small chunks.
    ///
    /// # Panics
    /// A client's thread panicked, or a limiter does not start again.
    pub fn run_wide(&mut self, plan: &FaultPlan, duration: Duration) -> Vec<LogEntry> {
        self.run_with_clients(plan, duration, WIDE_CLIENTS_PER_LIMITER)
    }

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
            client.join().expect("a client");
        }
        self.log.entries()
    }

    fn start_client(&self, number: usize, stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
        let limiter = number % self.limiters.len();
        let pattern = match number / self.limiters.len() {
            0 => RequestPattern::Sequential,
            1 => RequestPattern::Pipelined(PIPELINED_REQUESTS),
            3 => RequestPattern::Halting(HALT),
            4 => RequestPattern::Chunked(UPLOAD_CHUNKS),
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

    /// Waits until then, and kills limiters whose shutdown is overdue meanwhile.
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
            // Nothing is signalled until the next start.
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
                // Requests go in one piece: a limiter can't know how long a link takes, and tells the time as it writes.
                let slow = NetworkConditions {
                    delay: SLOW_LINK_DELAY,
                    jitter: SLOW_LINK_DELAY,
                    ..open
                };
                let in_pieces = NetworkConditions {
                    chunk_bytes: Some(SLOW_LINK_CHUNK_BYTES),
                    ..slow
                };
                self.set_network_conditions(link, slow, in_pieces);
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

    fn kill(&mut self, limiter: usize) {
        self.log.record(Event::LimiterKilled { limiter });
        self.limiters[limiter].signal("-KILL");
        self.limiters[limiter].program = None;
        // Recorded once more, as requests that were sent while the process died are lost by the kill, too.
        self.log.record(Event::LimiterKilled { limiter });
    }

    fn start_limiter(&mut self, limiter: usize) {
        let started = &mut self.limiters[limiter];
        // The earlier process ends before the next one takes its address.
        started.program = None;
        // It knows the list that the process before had last, as discovery may be silent now.
        if let Some(announced) = started.discovery.last_announced() {
            started.config["known"] = announced;
        }
        started.program = Some(Program::start(&started.config));
        started.accepts_connections.store(true, Ordering::Relaxed);
    }

    /// Sends the signals of a shutdown; `wait_until` kills the process where it is overdue.
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
