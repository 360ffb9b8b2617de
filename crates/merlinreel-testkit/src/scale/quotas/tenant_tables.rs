//! Measures the memory of one limiter's tables by the number of tenants: an account for each tenant that sent a request to
//! the limiter, and a count of each peer for each tenant that peers reported. Also measures the processor time of a peer's
//! restart, which visits every account.

use super::fleet_setting::UNDERLOADED_PLAN;
use super::{FleetSetting, START};
use crate::scale::simulated::{ActionObserver, InvalidSettings, Observed};
use crate::scale::{Emit, MeasureRequest, Meter, Report, ScaleError, Unit, Variable};
use merlinreel_policy::Limiter;
use merlinreel_policy::RequestIndex;
use merlinreel_policy::peer_batch::{BatchHeader, CounterRow, encode};
use merlinreel_policy::{EventBatch, PeerMessage, Request};
use std::time::Duration;

/// Default sizes of [`measure_tenants`]: tenants that sent a request to one limiter; the last is all tenants.
pub const TENANT_SIZES: &[u64] = &[1_000, 6_100, 30_000, 100_000, 380_000];
/// Default sizes of [`measure_reported_tenants`]: tenants whose counts one limiter aggregates; the first is an equal share
/// of all tenants.
pub const REPORTED_TENANT_SIZES: &[u64] = &[165, 1_000, 4_000, 16_000];
/// Limiters of the largest fleet; each limiter keeps state of every other one.
const LIMITERS: u32 = 2_300;
const TENANTS_ASKED: Variable = Variable {
    role: "quotas",
    name: "tenants_asked",
};
const TENANTS_REPORTED: Variable = Variable {
    role: "quotas",
    name: "tenants_reported",
};
/// Number of peers whose first message after a restart is processed in a measurement; enough for the resolution of the
/// kernel's accounting.
const RESTARTED_PEERS: u32 = 200;
/// Upper estimate of the memory of an account and its table entries.
const ACCOUNT_BYTES: u64 = 1_024;
/// Memory of one peer's count of one tenant in one window.
const REPORT_BYTES: u64 = 8;
/// Simulated time of the ticks without requests in one run.
const IDLE: Duration = Duration::from_secs(5);
/// Interval of the decision module's ticks.
const TICK: Duration = Duration::from_millis(100);
/// Tenants reported in one message, few enough to fit into a datagram.
const TENANTS_PER_MESSAGE: usize = 8;

/// Ignores all actions of the limiter.
#[derive(Default)]
struct IgnoreActions;

impl ActionObserver for IgnoreActions {}

/// One limiter of the largest fleet, which has index 0, and the accounts of its tenants.
pub struct TenantTables {
    limiter: Limiter,
    now: Duration,
    setting: FleetSetting,
}

/// Processor times, with a value for each run.
struct ProcessorTimes {
    /// Microseconds per restarted peer.
    peer_restart: Vec<f64>,
    /// Share of one core in use by ticks without requests.
    idle: Vec<f64>,
}

impl TenantTables {
    /// Creates a limiter without tenants.
    ///
    /// # Errors
    /// The program rejects the settings.
    pub fn new(seed: u64) -> Result<TenantTables, InvalidSettings> {
        let setting = FleetSetting {
            limiters: LIMITERS,
            ..FleetSetting::default()
        };
        let mut tables = TenantTables {
            limiter: setting.settings()?.limiter(seed),
            now: START,
            setting,
        };
        tables.run_batch(EventBatch::default());
        Ok(tables)
    }

    fn run_batch(&mut self, batch: EventBatch) {
        let mut observer = Observed(IgnoreActions);
        self.limiter.process(self.now, &batch, &mut observer);
    }

    /// Lets each tenant send a request, whose client then disconnects.
    pub fn request_once(&mut self, tenants: u64) {
        for tenant in 0..tenants {
            // Two request ids alternate, as each batch contains a request and the disconnect of the previous one.
            let request = Request {
                id: RequestIndex((tenant % 2) as u32),
                customer: customer_number(tenant),
                plan: UNDERLOADED_PLAN,
                class: 0,
                units: 1.0,
                remaining_time: Duration::from_secs(4),
                set_size: self.setting.set_size(),
                set_first: 0,
                is_retry: false,
            };
            self.run_batch(EventBatch {
                requests: vec![request],
                disconnects: vec![RequestIndex(((tenant + 1) % 2) as u32)],
                ..EventBatch::default()
            });
        }
        self.run_batch(EventBatch {
            disconnects: vec![RequestIndex(0), RequestIndex(1)],
            ..EventBatch::default()
        });
    }

    /// Receives reports from the last limiter of one admitted unit of each tenant.
    pub fn receive_reports(&mut self, tenants: u64) {
        let tenants: Vec<u64> = (0..tenants).collect();
        for (message_index, tenants) in tenants.chunks(TENANTS_PER_MESSAGE).enumerate() {
            let rows: Vec<CounterRow> = tenants
                .iter()
                .map(|&tenant| self.report_row(tenant))
                .collect();
            let header = BatchHeader {
                incarnation: 1,
                sequence: message_index as u64 + 1,
            };
            let peer_messages = encode(header, &rows)
                .into_iter()
                .map(|bytes| PeerMessage {
                    from: LIMITERS - 1,
                    bytes,
                })
                .collect();
            self.run_batch(EventBatch {
                peer_messages,
                ..EventBatch::default()
            });
        }
    }

    fn report_row(&self, tenant: u64) -> CounterRow {
        let plan = UNDERLOADED_PLAN;
        let window_seconds = self.setting.burst(plan) / self.setting.rate(plan);
        CounterRow {
            customer: customer_number(tenant),
            plan,
            window: (self.now.as_secs_f64() / window_seconds) as u64,
            total: 1.0,
            demand: Some(1.0),
            remaining: None,
            age: None,
        }
    }

    /// Receives the first message of a new incarnation from each of the first `peers` peers.
    pub fn receive_restarts(&mut self, incarnation: u64, peers: u32) {
        for from in 1..=peers {
            let header = BatchHeader {
                incarnation,
                sequence: 1,
            };
            let bytes = encode(header, &[]).concat();
            self.run_batch(EventBatch {
                peer_messages: vec![PeerMessage { from, bytes }],
                ..EventBatch::default()
            });
        }
    }

    fn processor_times(&mut self, runs: u32) -> ProcessorTimes {
        let mut times = ProcessorTimes {
            peer_restart: Vec::new(),
            idle: Vec::new(),
        };
        for run in 0..runs {
            let meter = Meter::start();
            self.receive_restarts(2 + u64::from(run), RESTARTED_PEERS);
            let microseconds = meter.read().cpu_seconds * 1e6;
            times
                .peer_restart
                .push(microseconds / f64::from(RESTARTED_PEERS));
            let meter = Meter::start();
            self.idle(IDLE);
            times
                .idle
                .push(meter.read().cpu_seconds / IDLE.as_secs_f64());
        }
        times
    }

    /// Runs ticks without requests for a duration of simulated time.
    pub fn idle(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            self.run_batch(EventBatch::default());
        }
    }
}

/// Customer number of a tenant. Takes as many bytes in a message as the hash of a customer's name.
fn customer_number(tenant: u64) -> u64 {
    tenant.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 2
}

/// Varies the number of tenants that sent a request to one limiter. The tables of all sizes are kept until the end, as
/// memory that is freed and reused would not be measured as growth.
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure_tenants(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let mut kept_tables = Vec::new();
    let mut tenants = 0;
    for &size in &request.sizes {
        tenants += size;
        let needed_mb = 64 + tenants * ACCOUNT_BYTES / (1 << 20);
        request.check_memory(&format!("one limiter with {size} tenants"), needed_mb)?;
        let setting = format!(
            "one of {LIMITERS} limiters, each tenant asked once, {RESTARTED_PEERS} peers of a new life"
        );
        let mut report = Report::new(request, TENANTS_ASKED, size, setting, emit);
        let mut tables = TenantTables::new(request.seed).map_err(|error| report.failed(error))?;
        let meter = Meter::start();
        tables.request_once(size);
        let memory = meter.read().memory_bytes as f64;
        let times = tables.processor_times(request.runs);
        kept_tables.push(tables);
        report.measured("memory", Unit::Bytes, vec![memory])?;
        report.measured(
            "cpu_of_a_peer_s_new_life",
            Unit::Microseconds,
            times.peer_restart,
        )?;
        report.measured("cpu_share_without_requests", Unit::CpuShare, times.idle)?;
    }
    Ok(())
}

/// Varies the number of tenants that the last peer reported to one limiter. The tables of all sizes are kept until the
/// end, as in [`measure_tenants`].
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure_reported_tenants(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let mut kept_tables = Vec::new();
    let mut tenants = 0;
    for &size in &request.sizes {
        tenants += size;
        let tenant_bytes = u64::from(LIMITERS) * REPORT_BYTES + ACCOUNT_BYTES;
        let needed_mb = 64 + tenants * tenant_bytes / (1 << 20);
        request.check_memory(
            &format!("one limiter with reports of {size} tenants"),
            needed_mb,
        )?;
        let setting =
            format!("one of {LIMITERS} limiters, one window, the last limiter reports each tenant");
        let mut report = Report::new(request, TENANTS_REPORTED, size, setting, emit);
        let mut tables = TenantTables::new(request.seed).map_err(|error| report.failed(error))?;
        let meter = Meter::start();
        tables.receive_reports(size);
        let memory = meter.read().memory_bytes as f64;
        kept_tables.push(tables);
        report.measured("memory", Unit::Bytes, vec![memory])?;
    }
    Ok(())
}
