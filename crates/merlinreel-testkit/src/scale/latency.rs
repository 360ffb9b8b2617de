//! Measures the latency that a limiter adds to a request. A process of the program runs in front of loopback servers,
//! and clients send requests on persistent connections at planned times. The same plan is sent to the servers directly
//! and through the limiter; "added" is the difference of the two histograms' percentiles, not a percentile of the
//! differences of single requests.
//!
//! The load is open-loop: latency counts from the planned send time, so that a stall counts for every request that was
//! due during it (no coordinated omission). The direct requests show how much of the latency is due to the clients and
//! servers on the same machine: late wake-ups, parsing, the loopback interface.

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

/// Default request rates, in requests per second.
pub const RATE_SIZES: &[u64] = &[50, 200, 1_000, 3_000];
/// Default numbers of listed servers.
pub const SERVERS_SIZES: &[u64] = &[1, 20, 200, 1_000];
/// Default lengths of response bodies, in bytes.
pub const RESPONSE_SIZES: &[u64] = &[300, 4_096, 16_384, 65_536];

const ROLE: &str = "request_path";
/// The class of all requests: idempotent, with a deadline of four seconds.
const CLASS: &str = "look";
/// The limiter's configured socket limit, which no default size reaches.
const MAX_LIMITER_SOCKETS: u32 = 4_096;
/// The limiter's configured memory limit, which no default size reaches.
const MAX_LIMITER_MEMORY_MB: u32 = 512;
/// The quota plan's rate in units per second and its burst in units: far more than any size uses.
const AMPLE_UNITS: f64 = 1_000_000.0;
/// Estimated resident memory of the servers, the clients and the limiter, apart from what grows with the servers.
const BASE_MB: u64 = 64;
/// The connections and threads of this many servers are estimated at one megabyte.
const SERVERS_PER_MB: u64 = 4;
/// Warm-up requests for each server, so that connections are open when the measurement starts.
const WARM_UP_REQUESTS_PER_SERVER: u64 = 4;
/// Request rate while the length of responses varies.
const RESPONSE_SIZES_REQUESTS_PER_SECOND: u64 = 200;

/// The conditions of a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencySetting {
    /// Request rate of the direct load and of the load through the limiter.
    pub requests_per_second: u64,
    /// Number of servers, all of which discovery lists to the limiter.
    pub servers: u64,
    /// Length of each response body.
    pub response_bytes: u64,
    /// Persistent client connections, to the limiter or to the servers; requests use them in turn.
    pub client_connections: usize,
    /// Planned duration of one load. A run sends one load directly and one through the limiter.
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
    /// Number of requests in one load, without the warm-up.
    pub fn requests(&self) -> u64 {
        (self.requests_per_second as f64 * self.duration.as_secs_f64()).ceil() as u64
    }

    /// The requests of one second or [`WARM_UP_REQUESTS_PER_SERVER`] for each server, whichever is more.
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

/// The text of a data point's `setting`.
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
/// A size exceeds the memory limit, a request does not get the expected response, or a data point can't be written.
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
/// A size exceeds the memory limit, a request does not get the expected response, or a data point can't be written.
pub fn measure_servers(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| LatencySetting {
        servers: size,
        ..LatencySetting::default()
    };
    measure_sizes("servers", request, setting, emit)
}

/// Varies the length of response bodies.
///
/// # Errors
/// A size exceeds the memory limit, a request does not get the expected response, or a data point can't be written.
pub fn measure_response_sizes(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let setting = |size| LatencySetting {
        response_bytes: size,
        requests_per_second: RESPONSE_SIZES_REQUESTS_PER_SECOND,
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
            "a process with the servers and clients",
            BASE_MB + setting.servers / SERVERS_PER_MB,
        )?;
        measure_setting(variable, size, &setting, request, emit)?;
    }
    Ok(())
}

/// Measures one size of a variable. Each run sends the plan to the servers directly, then through the limiter; one
/// limiter process serves all runs.
///
/// # Errors
/// A request does not get the expected response, or a data point can't be written.
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
            direct: run_load(setting, request.seed, &servers.addresses)?,
            through: run_load(setting, request.seed, &[limiter.address()])?,
        });
    }
    Ok(pairs)
}

/// Opens client connections, and sends the warm-up and then the planned requests on them. Each load has connections of
/// its own, as the limiter would close them as idle while the direct load runs.
fn run_load(
    setting: &LatencySetting,
    seed: u64,
    targets: &[SocketAddr],
) -> Result<LoadResult, LatencyError> {
    let mut clients = ClientConnections::open(targets, setting.client_connections)?;
    clients.send(&setting.plan(setting.warm_up_requests(), seed))?;
    clients.send(&setting.plan(setting.requests(), seed))
}

/// A limiter process, and the stub discovery agent that lists the servers to it.
#[derive(Debug)]
pub struct Limiter {
    program: Program,
    _discovery: StubDiscovery,
}

impl Limiter {
    /// Starts a limiter in front of the servers and waits until it is ready.
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

    /// The address at which the limiter accepts clients.
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
    config["limits"] = json!({"memory_mb": MAX_LIMITER_MEMORY_MB, "sockets": MAX_LIMITER_SOCKETS});
    let plan = &mut config["settings"]["packages"][0];
    plan["unitsPerS"] = AMPLE_UNITS.into();
    plan["mostAtOnce"] = AMPLE_UNITS.into();
    config
}
