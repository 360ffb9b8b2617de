//! What one limiter's tables take for each tenant: an account for each that asked there, a number of each peer for each
//! whose peers reported; and what a peer's new life costs, which looks at every account.

use super::{FleetSetting, Point, START};
use crate::scale::{Emit, MeasureRequest, Meter, ScaleError, Unit};
use merlinreel_policy::Limiter;
use merlinreel_policy::peer_batch::{BatchHeader, CounterRow, encode};
use merlinreel_policy::{Actions, EventBatch, PeerMessage, Request};
use std::time::Duration;

/// Tenants that asked at one limiter; the last is all.
pub const TENANT_SIZES: &[u64] = &[1_000, 6_100, 30_000, 100_000, 380_000];
/// Tenants whose counts one limiter gathers; the first is an even share of all.
pub const REPORTED_TENANT_SIZES: &[u64] = &[165, 1_000, 4_000, 16_000];
/// The full size: each limiter keeps some numbers of each other one.
const LIMITERS: u32 = 2_300;
/// FleetConfig whose first message of a life is measured; enough that the kernel's clock tells.
const LIVES: u32 = 200;
/// Of an account and its place in the tables, generously.
const ACCOUNT_BYTES: u64 = 1_024;
/// FleetConfig' reports of one window, by limiter.
const REPORT_BYTES: u64 = 8;
const IDLE: Duration = Duration::from_secs(5);
const BEAT: Duration = Duration::from_millis(100);
/// Tenants in one message, surely few enough.
const TENANTS_A_MESSAGE: u64 = 8;

struct Unheeded;

impl Actions for Unheeded {
    fn start_attempt(&mut self, _: u32, _: u32, _: Option<Duration>) {}
    fn reject(&mut self, _: u32, _: Option<Duration>) {}
    fn fail(&mut self, _: u32) {}
    fn cancel_attempt(&mut self, _: u32, _: u32) {}
    fn start_health_check(&mut self, _: u32) {}
    fn send_peer_message(&mut self, _: u32, _: &[u8]) {}
    fn increment_counter(&mut self, _: u64, _: u64, _: f64, _: Duration) {}
    fn set_endpoint_subscription(&mut self, _: bool) {}
    fn poll_endpoints(&mut self) {}
    fn close_idle_connections(&mut self, _: u32) {}
    fn release_endpoint(&mut self, _: u32) {}
    fn schedule_wakeup(&mut self, _: Duration) {}
    fn log(&mut self, _: &str) {}
}

/// One limiter of the full fleet, fed by hand.
pub struct TenantTables {
    limiter: Limiter,
    now: Duration,
    setting: FleetSetting,
}

impl TenantTables {
    pub fn new(seed: u64) -> Result<TenantTables, String> {
        let setting = FleetSetting {
            limiters: LIMITERS,
            ..FleetSetting::default()
        };
        let mut tables = TenantTables {
            limiter: setting.terms()?.limiter(seed),
            now: START,
            setting,
        };
        tables.round(EventBatch::default());
        Ok(tables)
    }

    fn round(&mut self, round: EventBatch) {
        self.limiter.process(self.now, &round, &mut Unheeded);
    }

    /// Each of so many tenants asks once, and leaves.
    pub fn ask(&mut self, tenants: u64) {
        for tenant in 0..tenants {
            let job = Request {
                id: (tenant % 2) as u32,
                customer: tenant_number(tenant),
                plan: super::CALM,
                class: 0,
                units: 1.0,
                remaining_time: Duration::from_secs(4),
                set_size: self.setting.set_size(),
                set_first: 0,
                is_retry: false,
            };
            let left = vec![((tenant + 1) % 2) as u32];
            self.round(EventBatch {
                requests: vec![job],
                disconnects: left,
                ..EventBatch::default()
            });
        }
        self.round(EventBatch {
            disconnects: vec![0, 1],
            ..EventBatch::default()
        });
    }

    /// The last limiter reports a unit of each of so many tenants.
    pub fn report(&mut self, tenants: u64) {
        let tenants: Vec<u64> = (0..tenants).collect();
        for (number, tenants) in tenants.chunks(TENANTS_A_MESSAGE as usize).enumerate() {
            let rows: Vec<CounterRow> = tenants
                .iter()
                .map(|&tenant| self.report_of(tenant))
                .collect();
            let head = BatchHeader {
                incarnation: 1,
                sequence: number as u64 + 1,
            };
            let messages = encode(head, &rows).into_iter();
            let peer_messages = messages
                .map(|bytes| PeerMessage {
                    from: LIMITERS - 1,
                    bytes,
                })
                .collect();
            self.round(EventBatch {
                peer_messages,
                ..EventBatch::default()
            });
        }
    }

    fn report_of(&self, tenant: u64) -> CounterRow {
        let length = self.setting.burst(super::CALM) / self.setting.rate(super::CALM);
        let window = (self.now.as_secs_f64() / length) as u64;
        let (customer, plan) = (tenant_number(tenant), super::CALM);
        CounterRow {
            customer,
            plan,
            window,
            total: 1.0,
            demand: Some(1.0),
            remaining: None,
            age: None,
        }
    }

    /// The first message of that life of each of so many peers; each time a later one.
    pub fn hear_new_lives(&mut self, life: u64, peers: u32) {
        for from in 1..=peers {
            let bytes = encode(
                BatchHeader {
                    incarnation: life,
                    sequence: 1,
                },
                &[],
            )
            .concat();
            self.round(EventBatch {
                peer_messages: vec![PeerMessage { from, bytes }],
                ..EventBatch::default()
            });
        }
    }

    /// Microseconds that a peer's new life takes, and the share of a core that beats without requests take, by run.
    fn processor_times(&mut self, runs: u32) -> (Vec<f64>, Vec<f64>) {
        let (mut lives, mut idle) = (Vec::new(), Vec::new());
        for run in 0..runs {
            let meter = Meter::start();
            self.hear_new_lives(2 + u64::from(run), LIVES);
            lives.push(meter.read().cpu_seconds * 1e6 / f64::from(LIVES));
            let meter = Meter::start();
            self.idle(IDLE);
            idle.push(meter.read().cpu_seconds / IDLE.as_secs_f64());
        }
        (lives, idle)
    }

    /// Beats without requests.
    pub fn idle(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += BEAT;
            self.round(EventBatch::default());
        }
    }
}

/// As long in a message as a hashed name.
fn tenant_number(tenant: u64) -> u64 {
    tenant.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 2
}

/// Over the tenants that asked at one limiter of [`LIMITERS`]. The tables of all sizes are kept to the end: what is
/// freed and used again would not be seen as growth.
pub fn measure_tenants(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let (mut kept, mut tenants) = (Vec::new(), 0);
    for &size in &request.sizes {
        tenants += size;
        let needed_mb = 64 + tenants * ACCOUNT_BYTES / (1 << 20);
        request.check_memory(&format!("one limiter with {size} tenants"), needed_mb)?;
        let setting = format!(
            "one of {LIMITERS} limiters, each tenant asked once, {LIVES} peers of a new life"
        );
        let point = Point {
            request,
            variable: "tenants_asked",
            size,
            setting,
        };
        let mut tables = TenantTables::new(request.seed).map_err(|why| point.unsettled(why))?;
        let meter = Meter::start();
        tables.ask(size);
        let memory = meter.read().memory_bytes as f64;
        let (lives, idle) = tables.processor_times(request.runs);
        kept.push(tables);
        let figures = [
            point.of_kernel("memory", Unit::Bytes, vec![memory]),
            point.of_kernel("cpu_of_a_peer_s_new_life", Unit::Microseconds, lives),
            point.of_kernel("cpu_share_without_requests", Unit::CpuShare, idle),
        ];
        figures.into_iter().flatten().try_for_each(&mut *emit)?;
    }
    Ok(())
}

/// Over the tenants that a peer with the last number reported to one limiter of [`LIMITERS`]; kept to the end as in
/// [`measure_tenants`].
pub fn measure_reported_tenants(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let (mut kept, mut tenants) = (Vec::new(), 0);
    for &size in &request.sizes {
        tenants += size;
        let needed_mb =
            64 + tenants * (u64::from(LIMITERS) * REPORT_BYTES + ACCOUNT_BYTES) / (1 << 20);
        request.check_memory(
            &format!("one limiter with reports of {size} tenants"),
            needed_mb,
        )?;
        let setting =
            format!("one of {LIMITERS} limiters, one window, the last limiter reports each tenant");
        let point = Point {
            request,
            variable: "tenants_reported",
            size,
            setting,
        };
        let mut tables = TenantTables::new(request.seed).map_err(|why| point.unsettled(why))?;
        let meter = Meter::start();
        tables.report(size);
        let memory = meter.read().memory_bytes as f64;
        kept.push(tables);
        point
            .of_kernel("memory", Unit::Bytes, vec![memory])
            .into_iter()
            .try_for_each(&mut *emit)?;
    }
    Ok(())
}
