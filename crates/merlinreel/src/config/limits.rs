//! All sizes, counts and times that bound the limiter's sockets: filled once at start and handed down.

use merlinreel_policy::RequestClass;
use merlinreel_settings::Settings;
use std::time::Duration;
use thiserror::Error;

/// Too little to run on.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CapacityError {
    #[error(
        "limits.memory_mb: {given} is too little, {needed} are needed; give the limiter more memory"
    )]
    Memory { given: u32, needed: usize },
    #[error(
        "limits.sockets: {given} is too few, {needed} are needed; raise the limit on descriptors"
    )]
    Sockets { given: u32, needed: usize },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Client connections served at once; further ones are answered that it is busy, up to `clients_most`.
    pub clients: usize,
    pub clients_most: usize,
    /// Beyond these the idle ones of who came once give way.
    pub clients_kept: usize,
    /// Connections to servers, open or opening.
    pub servers: usize,
    /// Jobs held at once.
    pub jobs: usize,
    /// Event waiting for the driver, and how many it takes into one round.
    pub queue: usize,
    pub round: usize,
    /// Bytes of a client's body, of all clients' bodies in hand, of all whole answers that their clients have not taken
    /// yet, and of the head of a message. An answer of no more than a body has its place with its connection as it comes.
    pub body: usize,
    pub bodies: usize,
    pub answers: usize,
    pub head: usize,
    /// Bytes of a long answer that goes on as it comes: beyond, it is not made for a job.
    pub flowing: u64,
    /// Bytes of a list of servers, as discovery's answer brings it.
    pub endpoint_list_bytes: usize,
    /// Connections that wait on the clients' socket, at most; the kernel drops those beyond, whose clients come again after
    /// a second.
    pub backlog: u32,
    /// A socket that can't be bound at the start is tried for so long.
    pub bind: Duration,
    /// A connection to a server must be up within this.
    pub connect: Duration,
    /// One that is idle for this long is dropped; a server that ends one behind an answer does so within this.
    pub server_idle: Duration,
    pub server_settled: Duration,
    /// A client's connection closes after this without a request; or after that with one that is not whole, the
    /// first counted from the connection's beginning, and without a second one.
    pub client_idle: Duration,
    pub client_whole: Duration,
    /// A body that is on its way has longer: as long as it comes at this many bytes a second, and no pause is longer.
    pub client_body_rate: u32,
    pub client_body_pause: Duration,
    /// Where places are short, it gives way after this: idle between requests, without its first one, or with
    /// part of one.
    pub client_settled: Duration,
    pub client_silent: Duration,
    pub client_unended: Duration,
    /// A connection whose limiter's side has ended waits so long for the client's end.
    pub client_lingers: Duration,
    /// Bytes read ahead of a client's request in hand, at most. Beyond a head's they have a place among the bodies.
    pub client_ahead: usize,
    /// Attempts end so long before the client gives up, so that the answer is there in time.
    pub answer_margin: Duration,
    /// How long a watch of the server list may wait, and where an answer is wanted at once; how late it may be before another
    /// is made beside it, how many there are at once, and how soon a failed call is tried again.
    pub watch: Duration,
    pub watch_again: Duration,
    pub watch_slack: Duration,
    pub watch_calls: usize,
    pub watch_retry: Duration,
    /// A new process waits so long for discovery's first answer before it takes jobs.
    pub first_list: Duration,
    /// A probe unanswered for this long has failed.
    pub probe: Duration,
    /// After a stop is asked for: served as before so long, then answers tell that their connection closes; one that
    /// rested for a while is closed between requests, from a later moment on each that rests at all, and one whose
    /// first request is still to come after a while of its own. Late ones are taken for so long, and all ends once
    /// nothing came for a while.
    pub stop_tells: Duration,
    pub stop_rest: Duration,
    pub stop_closes: Duration,
    pub stop_first: Duration,
    pub stop_late: Duration,
    pub stop_quiet: Duration,
    /// So long after its end requests that were read ahead may still have their answers, which then are refusals.
    pub stop_over: Duration,
    /// Connections to the operators' door at once, and the time in which a call must be whole.
    pub ops_connections: usize,
    pub ops_call: Duration,
}

/// Descriptors that are neither clients' nor servers': standard streams, poller, listener, peer messages, server list.
const OWN: usize = 24;
/// What the program and the module take: 4 MB on busy days, and as much again for a day with more customers.
/// Guards against a start that is refused on a small machine, too.
const PROGRAM_MB: usize = 8;
/// Bytes that a connection may hold at worst, with its buffers: a client's has a body in the common share for
/// bodies, a server's one of its own; two fifths of the connections are servers'.
const CONNECTION_KB: usize = 64;

/// Part of the memory that a list of servers may take as it comes, and the least that it may: thousands of servers on
/// the smallest machine. Once read it takes about as much again in the tables that are kept of it.
const LIST_PART: usize = 5;
const LEAST_LIST: usize = 4 << 20;

impl Limits {
    pub fn new(sockets: u32, memory_mb: u32, terms: &Settings) -> Result<Limits, CapacityError> {
        // A fifth for clients' bodies, most of which are far smaller than they may be.
        let bodies = memory_mb as usize * 1024 / 5;
        // And a tenth for whole answers on their way to clients.
        let answers = bodies / 2;
        let memory = (memory_mb as usize * 1024).checked_sub(PROGRAM_MB * 1024 + bodies + answers);
        let by_memory = memory
            .map(|kb| kb / CONNECTION_KB)
            .filter(|&connections| connections >= 32);
        let needed = ((PROGRAM_MB * 1024 + 32 * CONNECTION_KB) * 10 / 7).div_ceil(1024);
        let by_memory = by_memory.ok_or(CapacityError::Memory {
            given: memory_mb,
            needed,
        })?;
        let by_sockets = (sockets as usize)
            .checked_sub(OWN)
            .filter(|&left| left >= 32);
        let by_sockets = by_sockets.ok_or(CapacityError::Sockets {
            given: sockets,
            needed: OWN + 32,
        })?;
        let room = by_sockets.min(by_memory);
        // A job holds its client's connection and at most one to a server; clients keep idle ones too.
        let servers = room * 2 / 5;
        let clients_most = room - servers;
        let idle = if terms.sockets.server_idle_timeout.is_zero() {
            Duration::from_secs(15)
        } else {
            terms.sockets.server_idle_timeout
        };
        let connect = terms.sockets.connect_timeout;
        Ok(Limits {
            // A quarter is kept for who comes and goes, and to tell newcomers that it is busy.
            clients: clients_most - clients_most / 4,
            clients_most,
            // Fronts hold up to a third of the descriptors: idle ones must end short of that.
            clients_kept: (sockets as usize / 4).min(clients_most - clients_most / 4),
            servers,
            jobs: if terms.request_limits.max_in_flight == 0 {
                clients_most
            } else {
                terms.request_limits.max_in_flight
            },
            // Each connection may have a job and its leaving there, each attempt its end.
            queue: 4 * room + 256,
            round: 512,
            body: 64 * 1024,
            bodies: bodies * 1024,
            answers: answers * 1024,
            // As much as servers usually take.
            head: 8 * 1024,
            // Answers of these days reach 32 MB; far more is a server's fault, and would hold a client for hours.
            flowing: 1 << 30,
            endpoint_list_bytes: (((memory_mb as usize) << 20) / LIST_PART).max(LEAST_LIST),
            // Well within the time in which a process is to be ready.
            bind: Duration::from_secs(3),
            // As many as most kernels allow; they hold no descriptors of the process.
            backlog: 4096,
            connect: if connect.is_zero() {
                Duration::from_millis(250)
            } else {
                connect
            },
            // What is written to a connection that the server just closed is lost: far from that moment.
            server_idle: idle.mul_f64(0.6),
            // Measured: those closed behind an answer were so within 23 ms, evenly spread.
            server_settled: Duration::from_millis(25),
            client_idle: Duration::from_secs(10),
            // Who sends nothing usable is owed an end within 3 s, which a busy machine must keep too.
            client_whole: Duration::from_millis(2200),
            // As slow as the operators' page has it. A pause behind the slowest head still ends within 3 s.
            client_body_rate: 64_000,
            client_body_pause: Duration::from_millis(700),
            client_settled: Duration::from_millis(10),
            client_silent: Duration::from_millis(30),
            client_unended: Duration::from_millis(100),
            // What crosses the end is there within a round attempt of some milliseconds; a client on a machine that is
            // busy may need more, and a stop must not wait long for one that never ends its side.
            client_lingers: Duration::from_millis(250),
            // Thousands of requests in one piece; small beside the memory for bodies, which hundreds share.
            client_ahead: 512 * 1024,
            answer_margin: Duration::from_millis(5),
            // The agent is near and asked at no cost: a call that has fallen silent must not hide changes for long.
            watch: Duration::from_secs(1),
            watch_again: Duration::from_millis(10),
            // What discovery tells at the end of an outage counts at once, and a drain's grace runs from then.
            watch_slack: (terms.endpoints.drain_grace / 2)
                .clamp(Duration::from_millis(100), Duration::from_millis(500)),
            // A few seconds' answers, of a discovery that is that slow; they are descriptors.
            watch_calls: 4,
            watch_retry: Duration::from_millis(100),
            // The agent is on this machine and answers at once; one that is silent has nothing to tell for long, and
            // fleets that are killed in an outage must be back soon.
            first_list: Duration::from_millis(250),
            probe: Duration::from_millis(250),
            // New connections come for up to 0.4 s.
            stop_tells: Duration::from_millis(400),
            stop_rest: Duration::from_millis(100),
            // A request that crosses its connection's end is sent again; from 0.7 s on it may count as lost.
            stop_closes: Duration::from_millis(620),
            stop_first: Duration::from_millis(400),
            stop_late: Duration::from_secs(1),
            stop_quiet: Duration::from_millis(200),
            stop_over: Duration::from_millis(100),
            // Callers who hold one and never call are owed nothing; enough for staff and their scrapers.
            ops_connections: 16,
            // Answers are owed within 1 s: a whole call comes within half of that from a caller who means it.
            ops_call: Duration::from_millis(500),
        })
    }
}

/// How long after the signal of a stop the last request has its answer, by the classes in force: well before the process
/// is killed, which is no sooner than the longest deadline, 3 s at most, and 0.7 s. A busy machine needs some of that.
pub fn stop_end(classes: &[RequestClass]) -> Duration {
    let longest = classes
        .iter()
        .map(|class| class.deadline)
        .max()
        .unwrap_or_default();
    longest.min(Duration::from_secs(3)) + Duration::from_millis(300)
}

#[cfg(test)]
mod tests;
