//! Setup of a cluster: addresses, links, configurations and processes.

use super::{Cluster, DEADLINE, Limiter};
use crate::link::{NetworkConditions, TcpLink, UdpLink};
use crate::{EventLog, Program, StubDiscovery, StubServer, StubServerConfig};
use crate::{config, free_address, instance};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// Factor on the servers' service time right after their start.
const INITIAL_SLOWDOWN: f64 = 2.0;
/// Time after which the servers run at full speed.
const SLOW_START_DURATION: Duration = Duration::from_secs(1);
/// Share of peer messages that are lost in each direction.
const PEER_LOSS_PERCENT: u32 = 20;
/// Share of peer messages that are duplicated in each direction.
const PEER_DUPLICATE_PERCENT: u32 = 5;
/// Share of peer messages that are reordered, only from the second to the first limiter of each pair.
const PEER_REORDER_PERCENT: u32 = 5;
/// Units per second, and burst in units, of the customers' plan. More than the clients use.
const PLAN_UNITS: u32 = 1000;

impl Cluster {
    /// Starts a cluster and waits until all limiters are ready.
    ///
    /// # Panics
    /// There is no free port, or a limiter does not become ready.
    pub fn start(seed: u64, limiters: usize, servers: usize) -> Cluster {
        let log = EventLog::default();
        let servers = start_servers(servers, &log);
        let links: Vec<Vec<TcpLink>> = (0..limiters)
            .map(|limiter| links_to(&servers, limiter, seed))
            .collect();
        let discoveries: Vec<StubDiscovery> = (0..limiters)
            .map(|limiter| StubDiscovery::start(limiter, addresses(&links[limiter]), &log))
            .collect();
        // One discovery writes indented JSON, which the program must also accept.
        discoveries[0].indent_responses();
        let peers = PeerNetwork::start(seed, limiters);
        let configs: Vec<Value> = (0..limiters)
            .map(|rank| limiter_config(rank, &links[rank], &discoveries[rank], &peers))
            .collect();
        let programs: Vec<Program> = configs.iter().map(Program::start).collect();
        let limiters = programs
            .into_iter()
            .zip(configs)
            .zip(discoveries)
            .zip(links)
            .map(|(((program, config), discovery), links)| Limiter {
                program: Some(program),
                config,
                discovery,
                links,
                accepts_connections: Arc::new(AtomicBool::new(true)),
                burst: Vec::new(),
                kill_at: None,
            })
            .collect();
        Cluster {
            log,
            servers,
            limiters,
            _peer_links: peers.links,
        }
    }
}

fn start_servers(count: usize, log: &EventLog) -> Vec<StubServer> {
    let config = StubServerConfig {
        initial_slowdown: INITIAL_SLOWDOWN,
        slow_start_duration: SLOW_START_DURATION,
        ..StubServerConfig::default()
    };
    (0..count)
        .map(|number| StubServer::start(number, config, log))
        .collect()
}

/// Starts a limiter's links to all servers.
fn links_to(servers: &[StubServer], limiter: usize, seed: u64) -> Vec<TcpLink> {
    servers
        .iter()
        .enumerate()
        .map(|(number, server)| {
            let link_seed = seed * 100 + (limiter * servers.len() + number) as u64;
            TcpLink::to(server.address, link_seed)
        })
        .collect()
}

fn addresses(links: &[TcpLink]) -> Vec<SocketAddr> {
    links.iter().map(|link| link.address).collect()
}

/// The limiters' addresses for peer messages, and the links between them.
struct PeerNetwork {
    /// For each limiter, the address at which it listens for peer messages.
    listen: Vec<SocketAddr>,
    /// For each limiter, the addresses of all limiters as it reaches them: its own, and those of links to the others.
    peers: Vec<Vec<SocketAddr>>,
    links: Vec<UdpLink>,
}

impl PeerNetwork {
    fn start(seed: u64, limiters: usize) -> PeerNetwork {
        let listen: Vec<SocketAddr> = (0..limiters).map(|_| free_address()).collect();
        let mut peers = vec![listen.clone(); limiters];
        let mut links = Vec::new();
        for first in 0..limiters {
            for second in first + 1..limiters {
                let link_seed = seed * 1000 + (first * limiters + second) as u64;
                let link = UdpLink::between(listen[first], listen[second], link_seed);
                peers[first][second] = link.address_for_first;
                peers[second][first] = link.address_for_second;
                let conditions = NetworkConditions {
                    loss_percent: PEER_LOSS_PERCENT,
                    duplicate_percent: PEER_DUPLICATE_PERCENT,
                    ..NetworkConditions::default()
                };
                link.forward.set(conditions);
                link.reverse.set(NetworkConditions {
                    reorder_percent: PEER_REORDER_PERCENT,
                    ..conditions
                });
                links.push(link);
            }
        }
        PeerNetwork {
            listen,
            peers,
            links,
        }
    }
}

/// The configuration of the limiter with this rank (its index in the cluster).
fn limiter_config(
    rank: usize,
    links: &[TcpLink],
    discovery: &StubDiscovery,
    peers: &PeerNetwork,
) -> Value {
    let instances: Vec<Value> = links
        .iter()
        .enumerate()
        .map(|(number, link)| instance(&format!("s-{number}"), link.address, "up"))
        .collect();
    let mut config = config(&instances);
    config["discovery"] = discovery.address.to_string().into();
    config["peer_listen"] = peers.listen[rank].to_string().into();
    config["peers"] = peers.peers[rank].iter().map(ToString::to_string).collect();
    let settings = &mut config["settings"];
    settings["balancers"] = peers.listen.len().into();
    settings["rank"] = rank.into();
    let classes = settings["classes"].as_array_mut();
    for class in classes.into_iter().flatten() {
        class["hardLimitS"] = DEADLINE.as_secs_f64().into();
        class["promiseS"] = (DEADLINE.as_secs_f64() / 2.0).into();
    }
    let plan = &mut settings["packages"][0];
    plan["unitsPerS"] = PLAN_UNITS.into();
    plan["mostAtOnce"] = PLAN_UNITS.into();
    config
}
