//! The interface of the decision module: plain data that goes in, and the
//! writer through which decisions come out. The module itself is `decide`.

use std::hash::Hasher;
use std::time::Duration;

pub mod decide;
mod job;
pub mod peer_message;
mod remote_counts;
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
    pub most_open: u32,
    /// Units a second of the hard ceiling; 0 means none.
    pub ceiling_rate: f64,
    pub ceiling_depth: f64,
    pub ceiling_slack: f64,
    /// Factor on a job's gain.
    pub price: f64,
    /// Share of its gain that a job costs when sent on beyond the quota.
    pub beyond_cost: f64,
    /// Share of its gain that a job earns when sent on beyond the quota.
    pub beyond_gain: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// May run again, at will.
    Replayable,
    /// Carries a mark; servers of the group drop a repeat for the given time.
    Keyed(Group, Duration),
    /// Must never run twice.
    SingleUse,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers within this earn the full gain.
    pub target_time: Duration,
    /// The client gives up altogether after this, over all its tries.
    pub deadline: Duration,
    pub gain: f64,
    /// Share of the gain for an answer after the target time.
    pub late_gain: f64,
    pub repeats: Repeats,
}

/// The limiters that share the quotas, and this one's place among them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peers {
    pub limiters: u32,
    pub me: u32,
    /// Peer messages allowed at all.
    pub peer_messages: bool,
    /// Peer messages a limiter takes in a second.
    pub inbox_per_s: f64,
    /// A counter service is given.
    pub counter: bool,
    /// Guessed units are put right by the answer.
    pub settles: bool,
    /// The most units one job counts.
    pub most_units: f64,
}

/// What the rules say of servers that leave or have just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerRules {
    pub zone: u32,
    pub drain_grace: Duration,
    /// A server comes up with this share of its capacity, or more.
    pub start_share: f64,
    /// And is warm after this, at the latest.
    pub warm_after: Duration,
    /// Sent more than this multiple of what it can do...
    pub fall_factor: f64,
    /// ...for this long, a cold server falls over.
    pub fall_time: Duration,
    /// The server list must be asked for.
    pub discovery_on_request: bool,
    /// An unasked limiter counts as told after this.
    pub ask_within: Duration,
    pub probes: bool,
}

/// What is allowed for one job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobRules {
    pub most_attempts: u32,
    pub second_copies: bool,
    pub may_revoke: bool,
    pub retry_after: bool,
    pub longest_retry_after: Duration,
    pub most_held: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Up,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct ServerEntry {
    pub server: u32,
    /// The same at every limiter, and evenly spread over servers (see `mark`).
    pub mark: u64,
    pub zone: u32,
    pub cell: u32,
    pub standing: Standing,
    pub weight: f64,
    /// When it last started, if that was not long ago.
    pub up_since: Option<Duration>,
}

/// A server's mark, from the name that all limiters know it by: the names' FNV hash, mixed so that all bits count.
pub fn mark(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    (hash ^ hash >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// One piece of news of the server list.
#[derive(Clone, Debug)]
pub struct ServerList {
    /// A complete list: who is not on it is gone.
    pub whole: bool,
    /// Held since before this limiter's start; may be stale.
    pub restored: bool,
    /// A call for the server list failed; the list before it stands.
    pub unavailable: bool,
    pub entries: Vec<ServerEntry>,
}

#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub job: u32,
    pub customer: u64,
    pub plan: usize,
    pub class: usize,
    pub units: f64,
    /// Time before the client gives up this try.
    pub time_left: Duration,
    /// Limiters through which this customer comes: how many, and the first.
    pub set_size: u32,
    pub set_first: u32,
    /// The client marked this as a try after the first.
    pub again: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Served,
    /// The server returned an error.
    Error,
    /// The server turned it away unseen.
    TurnedAway,
    Expired,
    /// The server's machine refused the connection: its process is gone.
    NoConnection,
    /// No connection came up, and nothing was heard of why: the server is gone, cut off, or this limiter is.
    Unreachable,
    Dropped,
    Revoked,
    /// Never left the limiter.
    Unsent,
}

impl Ending {
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Ending::TurnedAway | Ending::NoConnection | Ending::Unreachable | Ending::Unsent
        )
    }
}

/// What a server says of its load; what it does not say is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub in_hand: Option<f64>,
    pub waiting: Option<f64>,
    pub busy: Option<f64>,
    pub service_ms: Option<f64>,
    pub served_per_s: Option<f64>,
    pub errors_per_s: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    pub job: u32,
    pub attempt: u32,
    pub server: u32,
    pub ending: Ending,
    pub took: Duration,
    /// The job has its final answer.
    pub finished: bool,
    /// What the job really counted.
    pub units: Option<f64>,
    /// The customer's use by the meter, as a share of its quota.
    pub metered: Option<f64>,
    pub load: Load,
}

#[derive(Clone, Copy, Debug)]
pub struct ProbeAnswer {
    pub server: u32,
    pub answered: bool,
    pub took: Duration,
    pub load: Load,
}

#[derive(Clone, Debug)]
pub struct PeerMessage {
    pub from: u32,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Copy, Debug)]
pub struct CountAnswer {
    pub customer: u64,
    pub window: u64,
    /// The total after the call, when one came.
    pub total: Option<f64>,
    /// The amount is known not to have been added.
    pub not_added: bool,
}

/// All that came in for one limiter since its last round, a list per subject.
#[derive(Clone, Debug, Default)]
pub struct Round {
    pub server_list: Vec<ServerList>,
    pub peer_messages: Vec<PeerMessage>,
    pub counts: Vec<CountAnswer>,
    pub attempt_ends: Vec<AttemptEnd>,
    pub probes: Vec<ProbeAnswer>,
    pub jobs: Vec<Job>,
    /// Jobs whose streamed answer has started.
    pub streaming: Vec<u32>,
    /// Jobs whose client has left.
    pub left: Vec<u32>,
}

/// Where decisions are written, in the order in which they are to be done.
pub trait Writer {
    /// An attempt of the job to the server. Where it must reach it `within` some time, it is not made later than that.
    fn send(&mut self, job: u32, server: u32, within: Option<Duration>);
    fn refuse(&mut self, job: u32, retry_after: Option<Duration>);
    fn fail(&mut self, job: u32);
    fn revoke(&mut self, job: u32, attempt: u32);
    fn probe(&mut self, server: u32);
    fn tell(&mut self, limiter: u32, peer_message: &[u8]);
    /// Adds to the number kept for the customer's window, forgotten after `keep`.
    fn count(&mut self, customer: u64, window: u64, amount: f64, keep: Duration);
    fn follow_discovery(&mut self, on: bool);
    fn ask_discovery(&mut self);
    fn close_idle(&mut self, server: u32);
    /// Nothing is kept of this server any more: its index may be another's from now on.
    fn forget(&mut self, server: u32);
    /// Calls the module again after this, even if nothing came in.
    fn wake(&mut self, after: Duration);
    fn note(&mut self, text: &str);
}
