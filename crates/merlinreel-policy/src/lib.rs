//! The interface of the decision module: plain data that goes in, and the
//! writer through which decisions come out. The module itself is `decide`.

use std::hash::Hasher;
use std::time::Duration;

pub mod decide;
pub mod peer_message;
mod remote_counts;
mod request;
mod ring;
mod state;
mod store;

/// A tariff: what each of its customers may use, over all limiters together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Units a second that refill a customer's store; 0 means no such quota.
    pub rate: f64,
    /// Units the store holds at most; it starts full.
    pub burst: f64,
    /// Attempts a customer may have out at once; 0 means no such quota.
    pub max_concurrent: u32,
    /// Units a second of the hard ceiling; 0 means none.
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
    pub ceiling_slack: f64,
    /// Factor on a job's gain.
    pub plan_weight: f64,
    /// Share of its gain that a job costs when sent on beyond the quota.
    pub overage_cost: f64,
    /// Share of its gain that a job earns when sent on beyond the quota.
    pub overage_value: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run again, at will.
    Idempotent,
    /// Carries a mark; servers of the group drop a repeat for the given time.
    IdempotencyKey(IdempotencyScope, Duration),
    /// Must never run twice.
    NonIdempotent,
}

#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Answers within this earn the full gain.
    pub latency_objective: Duration,
    /// The client gives up altogether after this, over all its tries.
    pub deadline: Duration,
    pub priority_weight: f64,
    /// Share of the gain for an answer after the target time.
    pub late_weight: f64,
    pub repeats: Idempotency,
}

/// The limiters that share the quotas, and this one's place among them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetConfig {
    pub limiters: u32,
    pub me: u32,
    /// Peer messages allowed at all.
    pub peer_messages: bool,
    /// Peer messages a limiter takes in a second.
    pub peer_inbox_rate: f64,
    /// A counter service is given.
    pub counter: bool,
    /// Guessed units are put right by the answer.
    pub settles: bool,
    /// The most units one job counts.
    pub max_units: f64,
}

/// What the rules say of servers that leave or have just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointConfig {
    pub zone: u32,
    pub drain_grace: Duration,
    /// A server comes up with this share of its capacity, or more.
    pub slow_start_fraction: f64,
    /// And is warm after this, at the latest.
    pub slow_start_duration: Duration,
    /// Sent more than this multiple of what it can do...
    pub overload_factor: f64,
    /// ...for this long, a cold server falls over.
    pub overload_window: Duration,
    /// The server list must be asked for.
    pub endpoint_polling: bool,
    /// An unasked limiter counts as told after this.
    pub poll_deadline: Duration,
    pub health_checks: bool,
}

/// What is allowed for one job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    pub max_attempts: u32,
    pub hedging: bool,
    pub cancellation: bool,
    pub retry_after: bool,
    pub max_retry_after: Duration,
    pub max_in_flight: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    #[default]
    Ready,
    Draining,
    Removed,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    pub server: u32,
    /// The same at every limiter, and evenly spread over servers (see `mark`).
    pub ring_hash: u64,
    pub zone: u32,
    pub cell: u32,
    pub state: EndpointState,
    pub weight: f64,
    /// When it last started, if that was not long ago.
    pub started_at: Option<Duration>,
}

/// A server's mark, from the name that all limiters know it by: the names' FNV hash, mixed so that all bits count.
pub fn ring_hash(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    (hash ^ hash >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// One piece of news of the server list.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// A complete list: who is not on it is gone.
    pub complete: bool,
    /// Held since before this limiter's start; may be stale.
    pub cached: bool,
    /// A call for the server list failed; the list before it stands.
    pub unavailable: bool,
    pub endpoints: Vec<Endpoint>,
}

#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub id: u32,
    pub customer: u64,
    pub plan: usize,
    pub class: usize,
    pub units: f64,
    /// Time before the client gives up this try.
    pub remaining_time: Duration,
    /// Limiters through which this customer comes: how many, and the first.
    pub set_size: u32,
    pub set_first: u32,
    /// The client marked this as a try after the first.
    pub is_retry: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Success,
    /// The server returned an error.
    Error,
    /// The server turned it away unseen.
    Rejected,
    DeadlineExceeded,
    /// The server's machine refused the connection: its process is gone.
    ConnectionRefused,
    /// No connection came up, and nothing was heard of why: the server is gone, cut off, or this limiter is.
    Unreachable,
    ConnectionLost,
    Cancelled,
    /// Never left the limiter.
    NotSent,
}

impl AttemptOutcome {
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected
                | AttemptOutcome::ConnectionRefused
                | AttemptOutcome::Unreachable
                | AttemptOutcome::NotSent
        )
    }
}

/// What a server says of its load; what it does not say is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub in_flight: Option<f64>,
    pub queued: Option<f64>,
    pub utilization: Option<f64>,
    pub service_time_ms: Option<f64>,
    pub requests_per_second: Option<f64>,
    pub errors_per_second: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    pub request: u32,
    pub attempt: u32,
    pub server: u32,
    pub outcome: AttemptOutcome,
    pub latency: Duration,
    /// The job has its final answer.
    pub request_completed: bool,
    /// What the job really counted.
    pub units: Option<f64>,
    /// The customer's use by the meter, as a share of its quota.
    pub metered_usage: Option<f64>,
    pub load: LoadReport,
}

#[derive(Clone, Copy, Debug)]
pub struct HealthCheckResult {
    pub server: u32,
    pub answered: bool,
    pub latency: Duration,
    pub load: LoadReport,
}

#[derive(Clone, Debug)]
pub struct PeerMessage {
    pub from: u32,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Copy, Debug)]
pub struct CounterReply {
    pub customer: u64,
    pub window: u64,
    /// The total after the call, when one came.
    pub total: Option<f64>,
    /// The amount is known not to have been added.
    pub not_added: bool,
}

/// All that came in for one limiter since its last round, a list per subject.
#[derive(Clone, Debug, Default)]
pub struct EventBatch {
    pub endpoint_updates: Vec<EndpointUpdate>,
    pub peer_messages: Vec<PeerMessage>,
    pub counter_replies: Vec<CounterReply>,
    pub attempt_results: Vec<AttemptResult>,
    pub health_checks: Vec<HealthCheckResult>,
    pub requests: Vec<Request>,
    /// Jobs whose streamed answer has started.
    pub streaming: Vec<u32>,
    /// Jobs whose client has left.
    pub disconnects: Vec<u32>,
}

/// Where decisions are written, in the order in which they are to be done.
pub trait Actions {
    /// An attempt of the job to the server. Where it must reach it `within` some time, it is not made later than that.
    fn start_attempt(&mut self, request: u32, server: u32, within: Option<Duration>);
    fn reject(&mut self, request: u32, retry_after: Option<Duration>);
    fn fail(&mut self, request: u32);
    fn cancel_attempt(&mut self, request: u32, attempt: u32);
    fn start_health_check(&mut self, server: u32);
    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]);
    /// Adds to the number kept for the customer's window, forgotten after `keep`.
    fn increment_counter(&mut self, customer: u64, window: u64, amount: f64, keep: Duration);
    fn set_endpoint_subscription(&mut self, on: bool);
    fn poll_endpoints(&mut self);
    fn close_idle_connections(&mut self, server: u32);
    /// Nothing is kept of this server any more: its index may be another's from now on.
    fn release_endpoint(&mut self, server: u32);
    /// Calls the module again after this, even if nothing came in.
    fn schedule_wakeup(&mut self, after: Duration);
    fn log(&mut self, text: &str);
}
