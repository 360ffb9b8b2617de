//! The time that a limiter adds to a request: a real process of the program before loopback servers, and clients on
//! kept connections whose send times are planned. The same requests go to the servers directly and through the
//! limiter; "added" is the difference of the two histograms' percentiles, not a percentile of differences.
//!
//! The load is open: latency counts from a request's planned time, so that a stall is seen in every request that was
//! due during it (coordinated omission). A baseline on the same machine holds the clients' and the servers' own share:
//! late wake-ups, parsing, the loopback.

mod client;
mod error;
mod plan;
mod report;
mod server;

pub use client::{ClientConnections, LoadResult, Sample};
pub use error::LatencyError;
pub use plan::{PlannedRequest, RequestPlan};
pub use server::{Hold, LoopbackServers};

use super::{Figure, MeasureRequest, ScaleError};
use crate::{Agent, Program, Record, config, listed};
use report::Pair;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Requests a second.
pub const RATE_SIZES: &[u64] = &[50, 200, 1_000, 3_000];
/// Servers listed.
pub const SERVERS_SIZES: &[u64] = &[1, 20, 200, 1_000];
/// Bytes of an answer's body.
pub const ANSWER_SIZES: &[u64] = &[300, 4_096, 16_384, 65_536];

/// The class that all requests are of: read-like, at most four seconds.
const CATEGORY: &str = "look";
/// Bounds of the limiter that all sizes here lie within: descriptors, and memory for as many connections.
const LIMITER_SOCKETS: u32 = 4_096;
const LIMITER_MEMORY_MB: u32 = 512;
/// A plan that never refuses: far more units a second than any size asks for.
const AMPLE_UNITS: f64 = 1_000_000.0;
/// Resident memory of servers, clients and the limiter: a base, and that of a server's connections and threads.
const BASE_MB: u64 = 64;
const SERVERS_PER_MB: u64 = 4;
/// A list of servers asks for so many requests to each before anything is measured, so that connections are open.
const WARM_UP_ROUNDS: u64 = 4;

/// What one size is measured under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencySetting {
    pub requests_per_second: u64,
    pub servers: u64,
    pub answer_bytes: u64,
    /// Kept by the clients, to the limiter or to the servers; requests go to them in turn.
    pub client_connections: usize,
    /// For each run, once directly and once through the limiter.
    pub span: Duration,
}

impl Default for LatencySetting {
    fn default() -> LatencySetting {
        LatencySetting {
            requests_per_second: 1_000,
            servers: 20,
            answer_bytes: 300,
            client_connections: 32,
            span: Duration::from_secs(5),
        }
    }
}

impl LatencySetting {
    pub fn requests(&self) -> u64 {
        (self.requests_per_second as f64 * self.span.as_secs_f64()).ceil() as u64
    }

    /// At least a second's requests, and some for each server.
    fn warm_up_requests(&self) -> u64 {
        self.requests_per_second.max(WARM_UP_ROUNDS * self.servers)
    }

    fn plan(&self, requests: u64, seed: u64) -> RequestPlan {
        RequestPlan::new(
            self.requests_per_second,
            requests,
            self.client_connections,
            seed,
        )
    }
}

impl std::fmt::Display for LatencySetting {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            out,
            "{} requests/s for {} s a run, {} servers on loopback that answer at once with {} bytes, {} kept client \
             connections, latency from the planned send time",
            self.requests_per_second,
            self.span.as_secs_f64(),
            self.servers,
            self.answer_bytes,
            self.client_connections
        )
    }
}

/// Varies the request rate.
pub fn measure_rate(
    request: &MeasureRequest,
    emit: &mut dyn FnMut(Figure) -> Result<(), ScaleError>,
) -> Result<(), ScaleError> {
    let at = |size| LatencySetting {
        requests_per_second: size,
        ..LatencySetting::default()
    };
    measure_each("requests_per_second", request, at, emit)
}

/// Varies the number of servers listed.
pub fn measure_servers(
    request: &MeasureRequest,
    emit: &mut dyn FnMut(Figure) -> Result<(), ScaleError>,
) -> Result<(), ScaleError> {
    let at = |size| LatencySetting {
        servers: size,
        ..LatencySetting::default()
    };
    measure_each("servers", request, at, emit)
}

/// Varies the length of answers.
pub fn measure_answers(
    request: &MeasureRequest,
    emit: &mut dyn FnMut(Figure) -> Result<(), ScaleError>,
) -> Result<(), ScaleError> {
    let at = |size| LatencySetting {
        answer_bytes: size,
        requests_per_second: 200,
        ..LatencySetting::default()
    };
    measure_each("answer_bytes", request, at, emit)
}

fn measure_each(
    variable: &'static str,
    request: &MeasureRequest,
    setting_at: impl Fn(u64) -> LatencySetting,
    emit: &mut dyn FnMut(Figure) -> Result<(), ScaleError>,
) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        let setting = setting_at(size);
        request.check_memory(
            "the servers and clients",
            BASE_MB + setting.servers / SERVERS_PER_MB,
        )?;
        let figures = measure_setting(variable, size, &setting, request.seed, request.runs)
            .map_err(|error| ScaleError::Unsettled {
                role: report::ROLE,
                size,
                why: error.to_string(),
            })?;
        figures.into_iter().try_for_each(&mut *emit)?;
    }
    Ok(())
}

/// The figures of one size. Each run asks the servers directly, then through a limiter that stays for all runs.
pub fn measure_setting(
    variable: &'static str,
    size: u64,
    setting: &LatencySetting,
    seed: u64,
    runs: u32,
) -> Result<Vec<Figure>, LatencyError> {
    let servers = LoopbackServers::start(setting.servers as usize, setting.answer_bytes as usize)?;
    let limiter = Limiter::start(&servers);
    let mut pairs = Vec::new();
    for _ in 0..runs {
        let direct = drive_warm(setting, seed, &servers.addresses)?;
        let through = drive_warm(setting, seed, &[limiter.address()])?;
        pairs.push(Pair { direct, through });
    }
    Ok(report::figures(
        &pairs,
        &report::form(variable, size, seed, setting),
    ))
}

/// On connections of its own, as the limiter closes those that are idle while the servers are asked directly; what is
/// measured comes after a warm-up on them.
fn drive_warm(
    setting: &LatencySetting,
    seed: u64,
    targets: &[SocketAddr],
) -> Result<LoadResult, LatencyError> {
    let mut clients = ClientConnections::open(targets, setting.client_connections)?;
    clients.drive(&setting.plan(setting.warm_up_requests(), seed))?;
    clients.drive(&setting.plan(setting.requests(), seed))
}

/// A process of the program, and the discovery agent that lists the servers to it.
#[derive(Debug)]
pub struct Limiter {
    program: Program,
    _agent: Agent,
}

impl Limiter {
    /// Waits until it is ready.
    pub fn start(servers: &LoopbackServers) -> Limiter {
        let agent = Agent::start(0, servers.addresses.clone(), &Record::default());
        Limiter {
            program: Program::start(&limiter_config(&servers.addresses, agent.address)),
            _agent: agent,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.program.address
    }
}

fn limiter_config(servers: &[SocketAddr], discovery: SocketAddr) -> Value {
    let known: Vec<Value> = servers
        .iter()
        .enumerate()
        .map(|(i, at)| listed(&format!("s-{i}"), *at, "up"))
        .collect();
    let mut config = config(&known);
    config["discovery"] = discovery.to_string().into();
    config["limits"] = json!({"memory_mb": LIMITER_MEMORY_MB, "sockets": LIMITER_SOCKETS});
    let plan = &mut config["settings"]["packages"][0];
    plan["unitsPerS"] = AMPLE_UNITS.into();
    plan["mostAtOnce"] = AMPLE_UNITS.into();
    config
}
