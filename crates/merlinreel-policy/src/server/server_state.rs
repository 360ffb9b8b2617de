//! What is known of one server. Nothing is decided here.

use crate::model::endpoint::Endpoint;
use crate::rolling_window::RollingWindow;
use std::time::Duration;

/// How many attempts this limiter may have in flight at a server.
#[derive(Debug, Default)]
pub struct ConcurrencyLimit {
    /// Attempts at most; with many limiters a part of one.
    pub attempts: f64,
    /// Attempts in flight.
    pub in_flight: u32,
    /// The limit is not reduced again before this.
    pub next_reduction_at: Duration,
}

/// What attempts say about a server's health.
#[derive(Debug, Default)]
pub struct ServerHealth {
    /// Share of attempts that end with an error.
    pub error_rate: f64,
    /// Failures since its last response.
    pub consecutive_failures: u32,
    /// Connections lost since its last response.
    pub lost_connections: u32,
    /// It is sent nothing before this.
    pub ejected_until: Duration,
    /// Since when it has had an attempt and answered none.
    pub unanswered_since: Duration,
    /// It is likely to have started again when it responds next.
    pub connection_failed: bool,
    /// Since when no connection to it could be opened, with no response since and no refusal.
    pub unreachable_since: Option<Duration>,
}

/// One server as this limiter knows it.
#[derive(Default)]
pub struct Server {
    /// The endpoint as discovery describes it.
    pub endpoint: Endpoint,
    /// It takes new requests.
    pub eligible: bool,
    /// It is not one of the servers that this limiter sends to as a rule.
    pub outside_subset: bool,
    /// How many attempts it may have in flight.
    pub limit: ConcurrencyLimit,
    /// Mean time of its responses, in seconds; 0 before the first.
    pub latency_seconds: f64,
    /// Mean time of its responses over the time that is long for the class.
    pub latency_ratio: f64,
    /// What attempts say about its health.
    pub health: ServerHealth,
    /// When it started, while it is starting.
    pub slow_start_since: Option<Duration>,
    /// Attempts sent to it lately.
    pub recent_attempts: RollingWindow,
    /// Checks for expiry since it was removed.
    pub removed_checks: u32,
}

impl Server {
    /// A server of which only the endpoint is known.
    pub fn new(endpoint: Endpoint, attempts: f64, recent_window: Duration) -> Server {
        Server {
            endpoint,
            eligible: true,
            limit: ConcurrencyLimit {
                attempts,
                ..ConcurrencyLimit::default()
            },
            recent_attempts: RollingWindow::new(recent_window),
            ..Server::default()
        }
    }

    /// Whether it is sent nothing now because of failures.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.health.ejected_until
    }

    /// Whether this limiter sends to it as a rule.
    pub fn is_subset_member(&self) -> bool {
        self.eligible && !self.outside_subset
    }

    /// An attempt no longer counts against its concurrency limit.
    pub fn release_attempt(&mut self) {
        self.limit.in_flight = self.limit.in_flight.saturating_sub(1);
    }
}
