//! State of one server as this limiter observes it; the decisions are made in the other modules.

use crate::model::endpoint::Endpoint;
use crate::rolling_window::RollingWindow;
use std::time::Duration;

/// Concurrency limit of a server at this limiter.
#[derive(Debug, Default)]
pub struct ConcurrencyLimit {
    /// Maximum number of attempts in flight, before the multiplier of all limits; below 1 where limiters are many.
    pub attempts: f64,
    /// Attempts that count against the limit; overdue attempts no longer do.
    pub in_flight: u32,
    /// Time, by the limiter's clock, before which high latency does not reduce the limit again; 0 before the first
    /// reduction.
    pub next_reduction_at: Duration,
}

/// Health of a server according to the results of its attempts.
#[derive(Debug, Default)]
pub struct ServerHealth {
    /// Moving average of the fraction of attempts that end with an error or a lost connection, 0 to 1.
    pub error_rate: f64,
    /// Failures (see [`Server::record_failure`]) since the last successful response.
    pub consecutive_failures: u32,
    /// Connections lost since the last successful response.
    pub lost_connections: u32,
    /// Time, by the limiter's clock, before which the server is sent nothing; 0 if it never failed or rejected an
    /// attempt.
    pub ejected_until: Duration,
    /// When the server last ended an attempt or started a response, or was sent an attempt with none in flight; by the
    /// limiter's clock. While attempts are in flight, nothing has been received from the server since then.
    pub unanswered_since: Duration,
    /// Failures since the last successful response indicate a restart: the next successful response begins a slow start
    /// (see [`Server::record_success`]).
    pub restart_suspected: bool,
    /// Time, by the limiter's clock, of the first failure to open a connection since the last successful response or
    /// refused connection; `None` without such a failure.
    pub unreachable_since: Option<Duration>,
}

/// A server's endpoint, and what this limiter has observed of it.
#[derive(Default)]
pub struct Server {
    /// The endpoint as discovery last described it.
    pub endpoint: Endpoint,
    /// Takes new requests: discovery reports it as ready.
    pub eligible: bool,
    /// Not in this limiter's subset: is sent only requests that may already have run.
    pub outside_subset: bool,
    /// Concurrency limit of the server at this limiter, and the attempts that count against it.
    pub limit: ConcurrencyLimit,
    /// Moving average of the time of its successful responses, in seconds; 0 before the first.
    pub latency_seconds: f64,
    /// Moving average of the latency ratio: the latency of an attempt over the slow threshold of its class.
    pub latency_ratio: f64,
    /// Errors, failures and ejection of the server.
    pub health: ServerHealth,
    /// When its slow start began, by the limiter's clock; `None` where no recent start is known, and after the slow
    /// start.
    pub slow_start_since: Option<Duration>,
    /// Attempts sent to it in the last overload window.
    pub recent_attempts: RollingWindow,
    /// Expiry checks since it was removed; 0 while it is not removed.
    pub removed_checks: u32,
}

impl Server {
    /// A ready server that has not been sent an attempt yet, with `attempts` as its initial concurrency limit and
    /// `recent_window` as the window over which attempts are counted.
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

    /// Whether the server is sent nothing now, after failures or a rejection.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.health.ejected_until
    }

    /// Whether the server takes new requests and is in this limiter's subset.
    pub fn is_subset_member(&self) -> bool {
        self.eligible && !self.outside_subset
    }

    /// Stops counting one attempt against the concurrency limit, because it ended or is overdue.
    pub fn release_attempt(&mut self) {
        self.limit.in_flight = self.limit.in_flight.saturating_sub(1);
    }
}
