//! A simulated limiter: the program's table of servers and decision module, on a simulated clock.

use crate::scale::simulated::{
    ActionObserver, InvalidSettings, Observed, read_settings, successful_attempt,
};
use merlinreel_discovery::{EndpointTable, MessageError, decode};
use merlinreel_policy::Limiter;
use merlinreel_policy::{EndpointUpdate, EventBatch, Request};
use merlinreel_policy::{RequestIndex, ServerIndex};
use serde_json::{Value, json};
use std::time::Duration;

/// Number of limiters in the fleet, which share the servers and their concurrency limits.
pub const LIMITERS: u64 = 2_300;
/// Start of the simulated clock, as Unix time in 2027: the program's clock also runs on Unix time.
const START: Duration = Duration::from_secs(1_800_000_000);
/// Time after which the decision module changes the distribution of concurrency limits among the limiters.
const SELECTION_INTERVAL: Duration = Duration::from_millis(500);
/// Latency of each attempt, as reported to the limiter.
const RESPONSE_TIME: Duration = Duration::from_millis(10);
/// Number of the customer of all requests.
const CUSTOMER: u64 = 5;

/// Numbers of the decision module's actions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ActionCounts {
    /// Attempts that were started.
    pub attempts: u64,
    /// Servers whose indices were released.
    pub releases: u64,
    /// Wakeups that were scheduled.
    pub wakeups: u64,
    /// All other actions.
    pub others: u64,
}

#[derive(Default)]
struct CountingObserver {
    counts: ActionCounts,
    /// Server of the attempt that was started for the current request; `None` if none was started.
    attempt_server: Option<ServerIndex>,
    /// Servers that were released in the current event batch.
    released: Vec<ServerIndex>,
    /// Time until the next wakeup, from the event batch that scheduled it.
    wakeup_after: Duration,
}

impl ActionObserver for CountingObserver {
    fn attempt_started(&mut self, server: ServerIndex) {
        self.counts.attempts += 1;
        self.attempt_server = Some(server);
    }
    fn request_rejected(&mut self, _: RequestIndex) {
        self.counts.others += 1;
    }
    fn peer_message_sent(&mut self, _: u32, _: &[u8]) {
        self.counts.others += 1;
    }
    fn endpoint_released(&mut self, server: ServerIndex) {
        self.counts.releases += 1;
        self.released.push(server);
    }
    fn wakeup_scheduled(&mut self, after: Duration) {
        self.counts.wakeups += 1;
        self.wakeup_after = after;
    }
    fn other_action(&mut self) {
        self.counts.others += 1;
    }
}

/// The first limiter in a fleet of [`LIMITERS`].
pub struct SimulatedLimiter {
    /// Names, addresses and indices of the servers.
    pub table: EndpointTable,
    limiter: Limiter,
    observer: Observed<CountingObserver>,
    now: Duration,
}

impl SimulatedLimiter {
    /// Creates a limiter and runs its first event batch, so that batches at the same time are between two ticks.
    ///
    /// # Errors
    /// The program rejects the settings.
    pub fn new(seed: u64) -> Result<SimulatedLimiter, InvalidSettings> {
        let settings = read_settings(&settings())?;
        let mut simulated = SimulatedLimiter {
            table: EndpointTable::new(settings.sockets.zones.clone()),
            limiter: settings.limiter(seed),
            observer: Observed::default(),
            now: START,
        };
        simulated.run_batch(&EventBatch::default());
        Ok(simulated)
    }

    /// Simulated Unix time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    /// Numbers of actions so far.
    pub fn actions(&self) -> ActionCounts {
        self.observer.0.counts
    }

    /// Number of servers that the decision module knows and that are not removed.
    pub fn servers_known(&self) -> u64 {
        self.limiter.endpoint_counts(self.now).known as u64
    }

    /// Runs an event batch, and frees the indices of servers that the decision module releases.
    fn run_batch(&mut self, batch: &EventBatch) {
        self.limiter.process(self.now, batch, &mut self.observer);
        for server in std::mem::take(&mut self.observer.0.released) {
            self.table.release(server);
        }
    }

    /// Passes an update to the decision module.
    pub fn apply(&mut self, update: EndpointUpdate) {
        self.run_batch(&EventBatch {
            endpoint_updates: vec![update],
            ..EventBatch::default()
        });
    }

    /// Decodes a discovery message and passes it to the decision module. Returns the number of entries passed.
    ///
    /// # Errors
    /// The message is malformed.
    pub fn receive(&mut self, bytes: Vec<u8>) -> Result<u64, MessageError> {
        let update = decode(&bytes)?;
        drop(bytes);
        let list = self.table.apply(update, false);
        let entries = list.endpoints.len() as u64;
        self.apply(list);
        Ok(entries)
    }

    /// Advances the clock by a duration, with an empty event batch at each wakeup that the decision module schedules.
    pub fn idle(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now + self.observer.0.wakeup_after <= end {
            self.now += self.observer.0.wakeup_after;
            self.run_batch(&EventBatch::default());
        }
        self.now = end;
    }

    /// Advances the clock by the whole seconds of a duration, with an empty event batch after each second, which is as
    /// often as the decision module releases servers.
    pub fn idle_by_seconds(&mut self, duration: Duration) {
        for _ in 0..duration.as_secs() {
            self.now += Duration::from_secs(1);
            self.run_batch(&EventBatch::default());
        }
    }

    /// Advances the clock to the next distribution of concurrency limits, and runs an empty event batch.
    pub fn advance_selection_interval(&mut self) {
        self.now += SELECTION_INTERVAL;
        self.run_batch(&EventBatch::default());
    }

    /// Passes a request. If a server is selected, the attempt succeeds at once; otherwise the client disconnects.
    pub fn request(&mut self) {
        let request = Request {
            id: RequestIndex(0),
            customer: CUSTOMER,
            plan: 0,
            class: 0,
            units: 1.0,
            remaining_time: Duration::from_secs(2),
            set_size: 1,
            set_first: 0,
            is_retry: false,
        };
        self.observer.0.attempt_server = None;
        self.run_batch(&EventBatch {
            requests: vec![request],
            ..EventBatch::default()
        });
        let completion = match self.observer.0.attempt_server {
            Some(server) => EventBatch {
                attempt_results: vec![successful_attempt(server, RESPONSE_TIME)],
                ..EventBatch::default()
            },
            None => EventBatch {
                disconnects: vec![request.id],
                ..EventBatch::default()
            },
        };
        self.run_batch(&completion);
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
