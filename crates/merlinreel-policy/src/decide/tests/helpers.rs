//! What the tests share: a writer that notes decisions, and plain starting points.

use super::*;
use crate::peer_batch::BatchHeader;

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

impl Actions for Notes {
    fn start_attempt(&mut self, request: u32, server: u32, within: Option<Duration>) {
        let within = within.map_or(String::new(), |within| {
            format!(" within {:.2}", secs(within))
        });
        self.add(format!("send {request} to {server}{within}"));
    }
    fn reject(&mut self, request: u32, retry_after: Option<Duration>) {
        self.add(format!(
            "refuse {request} {:.1}",
            retry_after.map_or(0.0, secs)
        ));
    }
    fn fail(&mut self, request: u32) {
        self.add(format!("fail {request}"));
    }
    fn cancel_attempt(&mut self, request: u32, attempt: u32) {
        self.add(format!("revoke {request}.{attempt}"));
    }
    fn start_health_check(&mut self, server: u32) {
        self.add(format!("probe {server}"));
    }
    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]) {
        self.peer_messages.push((limiter, peer_message.to_vec()));
    }
    fn increment_counter(&mut self, customer: u64, window: u64, amount: f64, _: Duration) {
        self.add(format!("count {customer}.{window} {amount}"));
    }
    fn set_endpoint_subscription(&mut self, on: bool) {
        self.add(format!("follow {on}"));
    }
    fn poll_endpoints(&mut self) {
        self.add("ask".to_owned());
    }
    fn close_idle_connections(&mut self, server: u32) {
        self.add(format!("close {server}"));
    }
    fn release_endpoint(&mut self, server: u32) {
        self.add(format!("forget {server}"));
    }
    fn schedule_wakeup(&mut self, _: Duration) {}
    fn log(&mut self, text: &str) {
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
        plan_weight: 1.0,
        ..Plan::default()
    }
}

pub fn fleet() -> FleetConfig {
    FleetConfig {
        limiters: 3,
        me: 0,
        peer_messages: true,
        peer_inbox_rate: 40.0,
        counter: false,
        settles: false,
        max_units: 1.0,
    }
}

/// Too many to tell each other in time.
pub fn many() -> FleetConfig {
    FleetConfig {
        limiters: 90,
        ..fleet()
    }
}

pub fn endpoint_config() -> EndpointConfig {
    EndpointConfig {
        zone: 0,
        drain_grace: at(1.0),
        slow_start_fraction: 0.2,
        slow_start_duration: at(10.0),
        overload_factor: 2.0,
        overload_window: at(1.0),
        endpoint_polling: false,
        poll_deadline: at(10.0),
        health_checks: true,
    }
}

pub fn limiter(repeats: Idempotency, fleet: FleetConfig) -> Limiter {
    let class = RequestClass {
        latency_objective: at(0.5),
        deadline: at(2.0),
        priority_weight: 1.0,
        late_weight: 0.0,
        repeats,
    };
    let requests = RequestLimits {
        max_attempts: 4,
        hedging: false,
        cancellation: true,
        retry_after: true,
        max_retry_after: at(1.0),
        max_in_flight: 1000,
    };
    Limiter::new(
        7,
        vec![plan()],
        vec![class],
        fleet,
        endpoint_config(),
        requests,
    )
}

pub fn entry(server: u32) -> Endpoint {
    let entry = Endpoint {
        server,
        ring_hash: ring_hash(&server.to_string()),
        weight: 1.0,
        ..Endpoint::default()
    };
    Endpoint {
        zone: server % 2,
        ..entry
    }
}

/// Servers 0 and 1 in zones 0 and 1, up and warm, two credits each.
pub fn with_servers(mut limiter: Limiter) -> Limiter {
    limiter.servers = (0..2)
        .map(|i| Some(Server::new(entry(i), &endpoint_config(), 2)))
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

pub fn request() -> Request {
    Request {
        id: 0,
        customer: 5,
        plan: 0,
        class: 0,
        units: 1.0,
        remaining_time: at(2.0),
        set_size: 2,
        set_first: 0,
        is_retry: false,
    }
}

/// Request 0, charged, with one attempt out at server 0 since 1 s.
pub fn on_attempt(repeats: Idempotency) -> Limiter {
    let mut limiter = with_servers(limiter(repeats, fleet()));
    account(&mut limiter).add_own(0, 1.0);
    let attempt = Attempt {
        server: 0,
        sent: at(1.0),
        out: true,
        revoked: false,
        overdue: false,
    };
    limiter.requests.push(Some(PendingRequest {
        request: request(),
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

pub fn attempt_end(outcome: AttemptOutcome, request_completed: bool) -> AttemptResult {
    AttemptResult {
        request: 0,
        attempt: 0,
        server: 0,
        outcome,
        latency: at(0.1),
        request_completed,
        units: None,
        metered_usage: None,
        load: LoadReport::default(),
    }
}

pub fn row(total: f64, left: Option<f64>) -> CounterRow {
    CounterRow {
        customer: 5,
        plan: 0,
        window: 0,
        total,
        demand: None,
        remaining: left,
        age: None,
    }
}

pub fn peer_message(life: u64, number: u64, rows: &[CounterRow]) -> PeerMessage {
    let bytes = peer_batch::encode(
        BatchHeader {
            incarnation: life,
            sequence: number,
        },
        rows,
    )
    .remove(0);
    PeerMessage { from: 1, bytes }
}
