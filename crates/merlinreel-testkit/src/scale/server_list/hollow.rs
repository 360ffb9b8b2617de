//! A hollow limiter: the real table of servers and the real decision module, without sockets and on a test's clock.

use merlinreel_discovery::{EndpointTable, MessageError, decode};
use merlinreel_policy::Limiter;
use merlinreel_policy::{
    Actions, AttemptOutcome, AttemptResult, EndpointUpdate, EventBatch, LoadReport, Request,
};
use merlinreel_settings::{Settings, SettingsTree};
use serde_json::{Value, json};
use std::time::Duration;

/// The limiters of the full size, by which the decision module divides servers and credits.
pub const LIMITERS: u64 = 2_300;
/// The test's clock begins in 2027, as the program's runs on Unix time.
const START: Duration = Duration::from_secs(1_800_000_000);
/// After this the decision module chooses among credits anew.
const TURN: Duration = Duration::from_millis(500);
const ANSWER_TIME: Duration = Duration::from_millis(10);
const CUSTOMER: u64 = 5;

/// What the decision module wrote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Written {
    pub sent: u64,
    pub forgotten: u64,
    pub wakes: u64,
    pub others: u64,
}

#[derive(Default)]
struct CountingWriter {
    written: Written,
    sent_to: Option<u32>,
    forgotten: Vec<u32>,
    wake_after: Duration,
}

impl Actions for CountingWriter {
    fn start_attempt(&mut self, _: u32, server: u32, _: Option<Duration>) {
        self.written.sent += 1;
        self.sent_to = Some(server);
    }
    fn reject(&mut self, _: u32, _: Option<Duration>) {
        self.written.others += 1;
    }
    fn fail(&mut self, _: u32) {
        self.written.others += 1;
    }
    fn cancel_attempt(&mut self, _: u32, _: u32) {
        self.written.others += 1;
    }
    fn start_health_check(&mut self, _: u32) {
        self.written.others += 1;
    }
    fn send_peer_message(&mut self, _: u32, _: &[u8]) {
        self.written.others += 1;
    }
    fn increment_counter(&mut self, _: u64, _: u64, _: f64, _: Duration) {
        self.written.others += 1;
    }
    fn set_endpoint_subscription(&mut self, _: bool) {
        self.written.others += 1;
    }
    fn poll_endpoints(&mut self) {
        self.written.others += 1;
    }
    fn close_idle_connections(&mut self, _: u32) {
        self.written.others += 1;
    }
    fn release_endpoint(&mut self, server: u32) {
        self.written.forgotten += 1;
        self.forgotten.push(server);
    }
    fn schedule_wakeup(&mut self, after: Duration) {
        self.written.wakes += 1;
        self.wake_after = after;
    }
    fn log(&mut self, _: &str) {
        self.written.others += 1;
    }
}

/// One limiter of [`LIMITERS`].
pub struct HollowLimiter {
    pub table: EndpointTable,
    limiter: Limiter,
    writer: CountingWriter,
    now: Duration,
}

impl HollowLimiter {
    /// Its first round is made, so that what comes next lies between two beats.
    pub fn new(seed: u64) -> Result<HollowLimiter, String> {
        let terms = SettingsTree::from_json(&settings())
            .and_then(|tree| Settings::read(&tree))
            .map_err(|error| error.to_string())?;
        let mut hollow = HollowLimiter {
            table: EndpointTable::new(terms.sockets.zones.clone()),
            limiter: terms.limiter(seed),
            writer: CountingWriter::default(),
            now: START,
        };
        hollow.round(&EventBatch::default());
        Ok(hollow)
    }

    pub fn now_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    pub fn written(&self) -> Written {
        self.writer.written
    }

    /// Servers listed and not gone, as the decision module knows them.
    pub fn servers_known(&self) -> u64 {
        self.limiter.endpoint_counts(self.now).known as u64
    }

    fn round(&mut self, round: &EventBatch) {
        self.limiter.process(self.now, round, &mut self.writer);
        for server in std::mem::take(&mut self.writer.forgotten) {
            self.table.release(server);
        }
    }

    /// Brings a list to the decision module.
    pub fn follow(&mut self, list: EndpointUpdate) {
        self.round(&EventBatch {
            endpoint_updates: vec![list],
            ..EventBatch::default()
        });
    }

    /// A message of discovery, from its bytes to the decision module. Gives how many entries that module was told.
    pub fn receive(&mut self, bytes: Vec<u8>) -> Result<u64, MessageError> {
        let news = decode(&bytes)?;
        drop(bytes);
        let list = self.table.apply(news, false);
        let entries = list.endpoints.len() as u64;
        self.follow(list);
        Ok(entries)
    }

    /// Rounds at each wake that the decision module asks for, and nothing comes in.
    pub fn rest(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now + self.writer.wake_after <= until {
            self.now += self.writer.wake_after;
            self.round(&EventBatch::default());
        }
        self.now = until;
    }

    /// One round a second, which is as often as the decision module looks for what it may forget.
    pub fn rest_by_seconds(&mut self, span: Duration) {
        for _ in 0..span.as_secs() {
            self.now += Duration::from_secs(1);
            self.round(&EventBatch::default());
        }
    }

    /// One round, a turn of the credits later.
    pub fn next_turn(&mut self) {
        self.now += TURN;
        self.round(&EventBatch::default());
    }

    /// One request, answered at once where a server is chosen; else its client leaves.
    pub fn request(&mut self) {
        let job = Request {
            id: 0,
            customer: CUSTOMER,
            plan: 0,
            class: 0,
            units: 1.0,
            remaining_time: Duration::from_secs(2),
            set_size: 1,
            set_first: 0,
            is_retry: false,
        };
        self.writer.sent_to = None;
        self.round(&EventBatch {
            requests: vec![job],
            ..EventBatch::default()
        });
        match self.writer.sent_to {
            Some(server) => self.round(&EventBatch {
                attempt_results: vec![served(server)],
                ..EventBatch::default()
            }),
            None => self.round(&EventBatch {
                disconnects: vec![job.id],
                ..EventBatch::default()
            }),
        }
    }
}

fn served(server: u32) -> AttemptResult {
    AttemptResult {
        request: 0,
        attempt: 0,
        server,
        outcome: AttemptOutcome::Success,
        latency: ANSWER_TIME,
        request_completed: true,
        units: None,
        metered_usage: None,
        load: LoadReport::default(),
    }
}

fn settings() -> Value {
    json!({"balancers": LIMITERS, "rank": 0, "zone": 0, "dcs": ["zone-00"],
        "packages": [{"name": "team", "unitsPerS": 1e6, "mostAtOnce": 1e6, "price": 1.0}],
        "classes": [{"name": "look", "idempotency": "read_like", "promiseS": 0.5, "hardLimitS": 2.0,
            "worth": 1.0}],
        "familyInfo": {"inboxPerS": 40, "maxUnits": 8},
        "policyLimits": {"mayCancel": true, "peers": true, "retryAfter": true, "maxRetryAfterS": 1,
            "sendCap": 4, "mostHeld": 1000},
        "rules": {"drainGraceS": 1, "startCapacity": 0.2, "coldS": 10, "fallS": 1, "overloadFactor": 2.5}})
}
