//! Test fixtures: actions that record decisions as text, and default configurations, limiters and events.

use crate::actions::Actions;
use crate::events::{EndpointUpdate, PeerMessage};
use crate::limiter::Limiter;
use crate::model::attempt::{AttemptOutcome, AttemptResult, LoadReport};
use crate::model::endpoint::{Endpoint, EndpointConfig, ring_hash};
use crate::model::fleet::FleetConfig;
use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::limiter_config::LimiterConfig;
use crate::model::plan::Plan;
use crate::model::reject_reason::RejectReason;
use crate::model::request::{Request, RequestLimits};
use crate::model::request_class::{Idempotency, RequestClass};
use crate::peer_batch::{self, BatchHeader, CounterRow};
use crate::quota::account::Account;
use crate::quota::account_parts::LimiterSet;
use crate::quota::aggregation::DEMAND_WINDOW;
use crate::quota::peer_reports;
use crate::quota::table::AccountIndex;
use crate::quota::window::WindowNumber;
use crate::request_table::{PendingAttempt, PendingRequest};
use crate::server::concurrency_limit::initial_limit;
use crate::server::endpoint_updates;
use crate::server::server_state::Server;
use crate::time;
use std::time::Duration;

/// Records each decision as a line of text, and the peer messages with their recipients.
#[derive(Default)]
pub struct RecordedActions {
    pub lines: Vec<String>,
    pub reject_reasons: Vec<RejectReason>,
    pub peer_messages: Vec<(u32, Vec<u8>)>,
}

impl RecordedActions {
    fn add(&mut self, line: String) {
        self.lines.push(line);
    }

    /// Indices of the limiters that were sent a message, one for each message.
    pub fn receivers(&self) -> Vec<u32> {
        self.peer_messages.iter().map(|(to, _)| *to).collect()
    }

    /// The decoded rows of the message at this position; empty if it cannot be decoded.
    pub fn rows(&self, message: usize) -> Vec<CounterRow> {
        peer_batch::decode(&self.peer_messages[message].1)
            .map(|(_, rows)| rows)
            .unwrap_or_default()
    }
}

impl Actions for RecordedActions {
    fn start_attempt(
        &mut self,
        request: RequestIndex,
        server: ServerIndex,
        within: Option<Duration>,
    ) {
        let within = within.map_or(String::new(), |within| {
            format!(" within {:.2}", time::seconds(within))
        });
        self.add(format!("attempt {request} at {server}{within}"));
    }
    fn reject(
        &mut self,
        request: RequestIndex,
        reason: RejectReason,
        retry_after: Option<Duration>,
    ) {
        self.reject_reasons.push(reason);
        self.add(format!(
            "reject {request} {:.1}",
            retry_after.map_or(0.0, time::seconds)
        ));
    }
    fn fail(&mut self, request: RequestIndex) {
        self.add(format!("fail {request}"));
    }
    fn cancel_attempt(&mut self, request: RequestIndex, attempt: u32) {
        self.add(format!("cancel {request}.{attempt}"));
    }
    fn start_health_check(&mut self, server: ServerIndex) {
        self.add(format!("check {server}"));
    }
    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]) {
        self.peer_messages.push((limiter, peer_message.to_vec()));
    }
    fn increment_counter(&mut self, customer: u64, window: u64, amount: f64, _: Duration) {
        self.add(format!("count {customer}.{window} {amount}"));
    }
    fn set_endpoint_subscription(&mut self, on: bool) {
        self.add(format!("subscribe {on}"));
    }
    fn poll_endpoints(&mut self) {
        self.add("poll".to_owned());
    }
    fn close_idle_connections(&mut self, server: ServerIndex) {
        self.add(format!("close {server}"));
    }
    fn release_endpoint(&mut self, server: ServerIndex) {
        self.add(format!("release {server}"));
    }
    fn schedule_wakeup(&mut self, _: Duration) {}
    fn log(&mut self, text: &str) {
        self.add(text.to_owned());
    }
}

pub fn at(seconds: f64) -> Duration {
    time::from_seconds(seconds)
}

/// A plan of two units per second and a bucket of eight units, so that windows last four seconds.
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
        own_index: 0,
        peer_messages: true,
        peer_inbox_rate: 40.0,
        counter: false,
        settles_units: false,
        max_units: 1.0,
    }
}

/// A fleet with too many limiters to report to each other in time.
pub fn large_fleet() -> FleetConfig {
    FleetConfig {
        limiters: 90,
        ..fleet()
    }
}

pub fn fleet_with_counter() -> FleetConfig {
    FleetConfig {
        counter: true,
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

pub fn request_class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: at(0.5),
        deadline: at(2.0),
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency,
    }
}

pub fn request_limits() -> RequestLimits {
    RequestLimits {
        max_attempts: 4,
        hedging: false,
        cancellation: true,
        retry_after: true,
        max_retry_after: at(1.0),
        max_in_flight: 1000,
    }
}

pub fn limiter(idempotency: Idempotency, fleet: FleetConfig) -> Limiter {
    let config = LimiterConfig {
        plans: vec![plan()],
        classes: vec![request_class(idempotency)],
        fleet,
        endpoints: endpoint_config(),
        request_limits: request_limits(),
    };
    Limiter::new(7, config)
}

pub fn endpoint(server: u32) -> Endpoint {
    Endpoint {
        server: ServerIndex(server),
        ring_hash: ring_hash(&server.to_string()),
        weight: 1.0,
        zone: server % 2,
        ..Endpoint::default()
    }
}

/// A new server in the state in which one limiter of a fleet of `limiters` starts to use it.
pub fn server(index: u32, limiters: u32) -> Server {
    Server::new(
        endpoint(index),
        initial_limit(limiters),
        endpoint_config().overload_window,
    )
}

/// Servers 0 and 1 in zones 0 and 1, ready, with full capacity and a concurrency limit of two attempts each.
pub fn with_servers(mut limiter: Limiter) -> Limiter {
    limiter.servers.servers = (0..2).map(|index| server(index, 2)).collect();
    limiter
}

pub fn server_mut(limiter: &mut Limiter, index: u32) -> &mut Server {
    limiter
        .servers
        .servers
        .get_mut(ServerIndex(index))
        .expect("a known server")
}

pub fn pending_mut(limiter: &mut Limiter, request: u32) -> &mut PendingRequest {
    limiter
        .requests
        .pending
        .get_mut(RequestIndex(request))
        .expect("a pending request")
}

/// The account of a customer, which is created at 1 s if there is none.
pub fn account_of(limiter: &mut Limiter, customer: u64) -> &mut Account {
    let plans = &limiter.config.plans;
    let found = limiter.quotas.find_or_create(at(1.0), customer, 0, plans);
    let index = found.expect("room for an account");
    &mut limiter.quotas[index]
}

/// The account of customer 5, whose limiter set is limiters 0 and 1; a new one has a full bucket at 1 s.
pub fn account(limiter: &mut Limiter) -> &mut Account {
    let account = account_of(limiter, 5);
    account.limiters = LimiterSet { size: 2, first: 0 };
    account
}

/// An account that is not in any limiter's table.
pub fn lone_account(now: f64) -> Account {
    Account::new(5, 0, &plan(), at(now), DEMAND_WINDOW)
}

pub fn first_account(limiter: &mut Limiter) -> &mut Account {
    &mut limiter.quotas[AccountIndex(0)]
}

pub fn request() -> Request {
    Request {
        id: RequestIndex(0),
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

/// Request 0 with a charge to window 0, and one attempt in flight at server 0 since 1 s.
pub fn pending_request() -> PendingRequest {
    let attempt = PendingAttempt::new(ServerIndex(0), at(1.0));
    PendingRequest {
        attempts: vec![attempt],
        queued: false,
        ..PendingRequest::new(
            &request(),
            AccountIndex(0),
            at(1.0),
            at(1.5),
            Some(WindowNumber(0)),
        )
    }
}

/// A limiter with two servers and the pending request 0, whose units are charged.
pub fn with_attempt(idempotency: Idempotency) -> Limiter {
    let mut limiter = with_servers(limiter(idempotency, fleet()));
    account(&mut limiter).charge(WindowNumber(0), 1.0);
    *limiter.requests.pending.slot(RequestIndex(0)) = Some(pending_request());
    let server = server_mut(&mut limiter, 0);
    server.limit.in_flight = 1;
    server.health.unanswered_since = at(1.0);
    limiter
}

pub fn attempt_result(outcome: AttemptOutcome, request_completed: bool) -> AttemptResult {
    AttemptResult {
        request: RequestIndex(0),
        attempt: 0,
        server: ServerIndex(0),
        outcome,
        latency: at(0.1),
        request_completed,
        units: None,
        metered_usage: None,
        load: LoadReport::default(),
    }
}

pub fn row(total: f64, remaining: Option<f64>) -> CounterRow {
    CounterRow {
        customer: 5,
        plan: 0,
        window: 0,
        total,
        demand: None,
        remaining,
        age: None,
    }
}

/// A message from limiter 1.
pub fn peer_message(incarnation: u64, sequence: u64, rows: &[CounterRow]) -> PeerMessage {
    let header = BatchHeader {
        incarnation,
        sequence,
    };
    let bytes = peer_batch::encode(header, rows).remove(0);
    PeerMessage { from: 1, bytes }
}

pub fn apply_peer_message(limiter: &mut Limiter, now: Duration, message: &PeerMessage) {
    peer_reports::apply(
        now,
        message,
        &limiter.config.fleet,
        &limiter.config.plans,
        &mut limiter.quotas,
        &mut limiter.peers,
    );
}

pub fn endpoint_update(complete: bool, endpoints: Vec<Endpoint>) -> EndpointUpdate {
    EndpointUpdate {
        complete,
        cached: false,
        unavailable: false,
        endpoints,
    }
}

pub fn apply_endpoint_update(limiter: &mut Limiter, now: Duration, update: &EndpointUpdate) {
    endpoint_updates::apply(
        now,
        update,
        &limiter.config.endpoints,
        limiter.config.fleet.limiters,
        &mut limiter.servers,
        &mut limiter.subscription,
    );
}
