//! What the tests share: a writer that notes decisions, and plain starting points.

use super::*;
use crate::peer_message::Head;

#[derive(Default)]
pub struct Notes {
    pub lines: Vec<String>,
    pub peer_messages: Vec<(u32, Vec<u8>)>,
}

impl Notes {
    fn add(&mut self, line: String) {
        self.lines.push(line);
    }
}

impl Writer for Notes {
    fn send(&mut self, job: u32, server: u32, within: Option<Duration>) {
        let within = within.map_or(String::new(), |within| {
            format!(" within {:.2}", secs(within))
        });
        self.add(format!("send {job} to {server}{within}"));
    }
    fn refuse(&mut self, job: u32, retry_after: Option<Duration>) {
        self.add(format!("refuse {job} {:.1}", retry_after.map_or(0.0, secs)));
    }
    fn fail(&mut self, job: u32) {
        self.add(format!("fail {job}"));
    }
    fn revoke(&mut self, job: u32, attempt: u32) {
        self.add(format!("revoke {job}.{attempt}"));
    }
    fn probe(&mut self, server: u32) {
        self.add(format!("probe {server}"));
    }
    fn tell(&mut self, limiter: u32, peer_message: &[u8]) {
        self.peer_messages.push((limiter, peer_message.to_vec()));
    }
    fn count(&mut self, customer: u64, window: u64, amount: f64, _: Duration) {
        self.add(format!("count {customer}.{window} {amount}"));
    }
    fn follow_discovery(&mut self, on: bool) {
        self.add(format!("follow {on}"));
    }
    fn ask_discovery(&mut self) {
        self.add("ask".to_owned());
    }
    fn close_idle(&mut self, server: u32) {
        self.add(format!("close {server}"));
    }
    fn forget(&mut self, server: u32) {
        self.add(format!("forget {server}"));
    }
    fn wake(&mut self, _: Duration) {}
    fn note(&mut self, text: &str) {
        self.add(text.to_owned());
    }
}

pub fn at(seconds: f64) -> Duration {
    span(seconds)
}

/// Two units a second and a store of eight, so windows last four seconds.
pub fn plan() -> Plan {
    Plan {
        rate: 2.0,
        burst: 8.0,
        price: 1.0,
        ..Plan::default()
    }
}

pub fn peers() -> Peers {
    Peers {
        limiters: 3,
        me: 0,
        peer_messages: true,
        inbox_per_s: 40.0,
        counter: false,
        settles: false,
        most_units: 1.0,
    }
}

/// Too many to tell each other in time.
pub fn many() -> Peers {
    Peers {
        limiters: 90,
        ..peers()
    }
}

pub fn server_rules() -> ServerRules {
    ServerRules {
        zone: 0,
        drain_grace: at(1.0),
        start_share: 0.2,
        warm_after: at(10.0),
        fall_factor: 2.0,
        fall_time: at(1.0),
        discovery_on_request: false,
        ask_within: at(10.0),
        probes: true,
    }
}

pub fn limiter(repeats: Repeats, peers: Peers) -> Limiter {
    let class = Class {
        target_time: at(0.5),
        deadline: at(2.0),
        gain: 1.0,
        late_gain: 0.0,
        repeats,
    };
    let jobs = JobRules {
        most_attempts: 4,
        second_copies: false,
        may_revoke: true,
        retry_after: true,
        longest_retry_after: at(1.0),
        most_held: 1000,
    };
    Limiter::new(7, vec![plan()], vec![class], peers, server_rules(), jobs)
}

pub fn entry(server: u32) -> ServerEntry {
    let entry = ServerEntry {
        server,
        mark: mark(&server.to_string()),
        weight: 1.0,
        ..ServerEntry::default()
    };
    ServerEntry {
        zone: server % 2,
        ..entry
    }
}

/// Servers 0 and 1 in zones 0 and 1, up and warm, two credits each.
pub fn with_servers(mut limiter: Limiter) -> Limiter {
    limiter.servers = (0..2)
        .map(|i| Some(Server::new(entry(i), &server_rules(), 2)))
        .collect();
    limiter
}

/// A customer of limiters 0 and 1, its store full at 1 s.
pub fn account(limiter: &mut Limiter) -> &mut Account {
    let i = limiter.account(at(1.0), 5, 0);
    let account = &mut limiter.accounts[i];
    (account.set_size, account.set_first) = (2, 0);
    account
}

pub fn job() -> Job {
    Job {
        job: 0,
        customer: 5,
        plan: 0,
        class: 0,
        units: 1.0,
        time_left: at(2.0),
        set_size: 2,
        set_first: 0,
        again: false,
    }
}

/// Job 0, charged, with one attempt out at server 0 since 1 s.
pub fn on_attempt(repeats: Repeats) -> Limiter {
    let mut limiter = with_servers(limiter(repeats, peers()));
    account(&mut limiter).add_own(0, 1.0);
    let attempt = Attempt {
        server: 0,
        sent: at(1.0),
        out: true,
        revoked: false,
        overdue: false,
    };
    limiter.jobs.push(Some(OpenJob {
        job: job(),
        account: 0,
        arrived: at(1.0),
        target: at(1.5),
        give_up: at(3.0),
        attempts: vec![attempt],
        window: Some(0),
        stands_for: 1.0,
        done: false,
        queued: false,
        ran: None,
    }));
    if let Some(server) = limiter.servers[0].as_mut() {
        (server.out, server.owing_since) = (1, at(1.0));
    }
    limiter
}

pub fn attempt_end(ending: Ending, finished: bool) -> AttemptEnd {
    AttemptEnd {
        job: 0,
        attempt: 0,
        server: 0,
        ending,
        took: at(0.1),
        finished,
        units: None,
        metered: None,
        load: Load::default(),
    }
}

pub fn row(total: f64, left: Option<f64>) -> Row {
    Row {
        customer: 5,
        plan: 0,
        window: 0,
        total,
        asked: None,
        left,
        age: None,
    }
}

pub fn peer_message(life: u64, number: u64, rows: &[Row]) -> PeerMessage {
    let bytes = peer_message::write(Head { life, number }, rows).remove(0);
    PeerMessage { from: 1, bytes }
}
