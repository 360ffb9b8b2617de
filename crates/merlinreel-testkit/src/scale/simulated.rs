//! Shared parts of the simulated limiters of several measurements, which run the real decision module without sockets and
//! on a simulated clock.

use merlinreel_policy::{
    Actions, AttemptOutcome, AttemptResult, LoadReport, RejectReason, RequestIndex, ServerIndex,
};
use merlinreel_settings::{Settings, SettingsTree};
use serde_json::Value;
use std::time::Duration;
use thiserror::Error;

/// The program rejects the settings. The reason is that of the settings reader, which names the key at fault.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{reason}")]
pub struct InvalidSettings {
    reason: String,
}

impl InvalidSettings {
    /// Creates the error from the reason for which the settings were rejected.
    pub fn new(reason: impl ToString) -> InvalidSettings {
        InvalidSettings {
            reason: reason.to_string(),
        }
    }
}

/// Reads settings from a JSON value, as the program does.
pub fn read_settings(value: &Value) -> Result<Settings, InvalidSettings> {
    SettingsTree::from_json(value)
        .and_then(|tree| Settings::read(&tree))
        .map_err(InvalidSettings::new)
}

/// The result of a successful first attempt of request 0 that also completes the request.
pub fn successful_attempt(server: ServerIndex, latency: Duration) -> AttemptResult {
    AttemptResult {
        request: RequestIndex(0),
        attempt: 0,
        server,
        outcome: AttemptOutcome::Success,
        latency,
        request_completed: true,
        units: None,
        metered_usage: None,
        load: LoadReport::default(),
    }
}

/// Observes the decision module's actions. The default implementations ignore them.
pub trait ActionObserver {
    /// The limiter starts an attempt at a server.
    fn attempt_started(&mut self, _server: ServerIndex) {}
    /// The limiter rejects a request.
    fn request_rejected(&mut self, _request: RequestIndex) {}
    /// The limiter sends a message to the limiter with this index.
    fn peer_message_sent(&mut self, _limiter: u32, _message: &[u8]) {}
    /// The limiter no longer uses a server's index, which may be reused.
    fn endpoint_released(&mut self, _server: ServerIndex) {}
    /// The limiter asks to be called again after this time.
    fn wakeup_scheduled(&mut self, _after: Duration) {}
    /// Any other action.
    fn other_action(&mut self) {}
}

/// Implements the decision module's actions by passing them to an observer.
#[derive(Default)]
pub struct Observed<Observer>(pub Observer);

impl<Observer: ActionObserver> Actions for Observed<Observer> {
    fn start_attempt(&mut self, _: RequestIndex, server: ServerIndex, _: Option<Duration>) {
        self.0.attempt_started(server);
    }
    fn reject(&mut self, request: RequestIndex, _: RejectReason, _: Option<Duration>) {
        self.0.request_rejected(request);
    }
    fn fail(&mut self, _: RequestIndex) {
        self.0.other_action();
    }
    fn cancel_attempt(&mut self, _: RequestIndex, _: u32) {
        self.0.other_action();
    }
    fn start_health_check(&mut self, _: ServerIndex) {
        self.0.other_action();
    }
    fn send_peer_message(&mut self, limiter: u32, message: &[u8]) {
        self.0.peer_message_sent(limiter, message);
    }
    fn increment_counter(&mut self, _: u64, _: u64, _: f64, _: Duration) {
        self.0.other_action();
    }
    fn set_endpoint_subscription(&mut self, _: bool) {
        self.0.other_action();
    }
    fn poll_endpoints(&mut self) {
        self.0.other_action();
    }
    fn close_idle_connections(&mut self, _: ServerIndex) {
        self.0.other_action();
    }
    fn release_endpoint(&mut self, server: ServerIndex) {
        self.0.endpoint_released(server);
    }
    fn schedule_wakeup(&mut self, after: Duration) {
        self.0.wakeup_scheduled(after);
    }
    fn log(&mut self, _: &str) {
        self.0.other_action();
    }
}
