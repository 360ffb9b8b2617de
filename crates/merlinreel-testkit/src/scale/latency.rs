//! The time that a limiter adds to a request: a real process of the program before loopback servers, and clients on
//! kept connections whose send times are planned. The same requests are sent to the servers directly and through the
//! limiter; "added" is the difference of the two histograms' percentiles, not a percentile of differences.
//!
//! The load is open: latency counts from a request's planned time, so that a stall is seen in every request that was
//! due during it (no coordinated omission). The direct requests on the same machine show the share of the clients and
//! the servers: late wake-ups, parsing, the loopback.

mod error;
mod load;
mod loopback_servers;
mod percentiles;
mod request_plan;

pub use error::LatencyError;
pub use load::{ClientConnections, LoadResult, Sample};
pub use loopback_servers::{Hold, LoopbackServers};
pub use request_plan::{PlannedRequest, RequestPlan};

use super::{Emit, MeasureRequest, Report, ScaleError, Variable};
use crate::{EventLog, Program, StubDiscovery, config, instance};
use percentiles::RunPair;
use serde_json::{Value, json};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Requests per second.
pub const RATE_SIZES: &[u64] = &[50, 200, 1_000, 3_000];
/// Servers listed.
pub const SERVERS_SIZES: &[u64] = &[1, 20, 200, 1_000];
/// Bytes of a response's body.
pub const RESPONSE_SIZES: &[u64] = &[300, 4_096, 16_384, 65_536];

const ROLE: &str = "request_path";
/// The class of all requests: idempotent, with a deadline of four seconds.
const CLASS: &str = "look";
/// Bounds of the limiter that all sizes are within: its descriptors, and its memory in megabytes.
const LIMITER_SOCKETS: u32 = 4_096;
const LIMITER_MEMORY_MB: u32 = 512;
/// Rate and burst of the plan: far more units than any size uses.
const AMPLE_UNITS: f64 = 1_000_000.0;
/// Resident memory of servers, clients and the limiter: a base, and the connections and threads of servers.
const BASE_MB: u64 = 64;
const SERVERS_PER_MB: u64 = 4;
/// Requests to each server before anything is measured, so that connections are open.
const WARM_UP_REQUESTS_PER_SERVER: u64 = 4;
const RESPONSE_SIZE_RATE: u64 = 200;

/// The conditions of one size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencySetting {
    /// The rate of requests.
    pub requests_per_second: u64,
    /// Servers listed.
    pub servers: u64,
    /// Bytes of a response's body.
    pub response_bytes: u64,
    /// Connections kept by the clients, to the limiter or to the servers; requests use them in turn.
    pub client_connections: usize,
    /// The length of each run, once directly and once through the limiter.
    pub duration: Duration,
}

impl Default for LatencySetting {
    fn default() -> LatencySetting {
        LatencySetting {
            requests_per_second: 1_000,
            servers: 20,
            response_bytes: 300,
            client_connections: 32,
            duration: Duration::from_secs(5),
        }
    }
}

impl LatencySetting {
    /// Requests of a run.
    pub fn requests(&self) -> u64 {
        (self.requests_per_second as f64 * self.duration.as_secs_f64()).ceil() as u64
    }

    /// At least a second's requests, and some for each server.
    fn warm_up_requests(&self) -> u64 {
        self.requests_per_second
            .max(WARM_UP_REQUESTS_PER_SERVER * self.servers)
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

/// The setting as text of a data point.
impl fmt::Display for LatencySetting {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{} requests/s for {} s a run, {} servers on loopback that answer at once with {} bytes, {} kept client \
             connections, latency from the planned send time",
            self.requests_per_second,
            self.duration.as_secs_f64(),
            self.servers,
            self.response_bytes,
            self.client_connections
        )
    }
}

/// Varies the request rate.
///
/// # Errors
/// A size exceeds the memory bound, or a request is not answered as expected.
pub fn measure_rate(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| LatencySetting {
        requests_per_second: size,
        ..LatencySetting::default()
    };
    measure_sizes("requests_per_second", request, setting, emit)
}

/// Varies the number of servers listed.
///
/// # Errors
/// A size exceeds the memory bound, or a request is not answered as expected.
pub fn measure_servers(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| LatencySetting {
        servers: size,
        ..LatencySetting::default()
    };
    measure_sizes("servers", request, setting, emit)
}

/// Varies the length of responses.
///
/// # Errors
/// A size exceeds the memory bound, or a request is not answered as expected.
pub fn measure_response_sizes(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| LatencySetting {
        response_bytes: size,
        requests_per_second: RESPONSE_SIZE_RATE,
        ..LatencySetting::default()
    };
    measure_sizes("answer_bytes", request, setting, emit)
}

fn measure_sizes(
    variable: &'static str,
    request: &MeasureRequest,
    setting_of: impl Fn(u64) -> LatencySetting,
    emit: Emit,
) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        let setting = setting_of(size);
        request.check_memory(
            "the servers and clients",
            BASE_MB + setting.servers / SERVERS_PER_MB,
        )?;
        measure_setting(variable, size, &setting, request, emit)?;
    }
    Ok(())
}

/// Measures one size. Each run sends the requests to the servers directly, then through a limiter that is kept for all
/// runs.
///
/// # Errors
/// A request is not answered as expected, or a data point can't be written.
pub fn measure_setting(
    variable: &'static str,
    size: u64,
    setting: &LatencySetting,
    request: &MeasureRequest,
    emit: Emit,
) -> Result<(), ScaleError> {
    let variable = Variable {
        role: ROLE,
        name: variable,
    };
    let mut report = Report::new(request, variable, size, setting.to_string(), emit);
    let pairs = run_pairs(setting, request).map_err(|error| report.failed(error))?;
    percentiles::report(&mut report, &pairs)
}

fn run_pairs(
    setting: &LatencySetting,
    request: &MeasureRequest,
) -> Result<Vec<RunPair>, LatencyError> {
    let response_bytes = setting.response_bytes as usize;
    let servers = LoopbackServers::start(setting.servers as usize, response_bytes)?;
    let limiter = Limiter::start(&servers);
    let mut pairs = Vec::new();
    for _ in 0..request.runs {
        pairs.push(RunPair {
            direct: run(setting, request.seed, &servers.addresses)?,
            through: run(setting, request.seed, &[limiter.address()])?,
        });
    }
    Ok(pairs)
}

/// Sends the planned requests after a warm-up, on new connections: the limiter closes those that are idle while requests
/// are sent to the servers directly.
fn run(
    setting: &LatencySetting,
    seed: u64,
    targets: &[SocketAddr],
) -> Result<LoadResult, LatencyError> {
    let mut clients = ClientConnections::open(targets, setting.client_connections)?;
    clients.send(&setting.plan(setting.warm_up_requests(), seed))?;
    clients.send(&setting.plan(setting.requests(), seed))
}

/// A process of the program, and the stub discovery that lists the servers to it.
#[derive(Debug)]
pub struct Limiter {
    program: Program,
    _discovery: StubDiscovery,
}

impl Limiter {
    /// Starts a limiter before the servers and waits until it is ready.
    ///
    /// # Panics
    /// It does not become ready in time.
    pub fn start(servers: &LoopbackServers) -> Limiter {
        let discovery = StubDiscovery::start(0, servers.addresses.clone(), &EventLog::default());
        Limiter {
            program: Program::start(&limiter_config(&servers.addresses, discovery.address)),
            _discovery: discovery,
        }
    }

    /// Where it serves clients.
    pub fn address(&self) -> SocketAddr {
        self.program.address
    }
}

fn limiter_config(servers: &[SocketAddr], discovery: SocketAddr) -> Value {
    let instances: Vec<Value> = servers
        .iter()
        .enumerate()
        .map(|(number, address)| instance(&format!("s-{number}"), *address, "up"))
        .collect();
    let mut config = config(&instances);
    config["discovery"] = discovery.to_string().into();
    config["limits"] = json!({"memory_mb": LIMITER_MEMORY_MB, "sockets": LIMITER_SOCKETS});
    let plan = &mut config["settings"]["packages"][0];
    plan["unitsPerS"] = AMPLE_UNITS.into();
    plan["mostAtOnce"] = AMPLE_UNITS.into();
    config
}
