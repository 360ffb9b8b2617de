//! Limits how often failed calls are logged, for each kind of failure on its own: an outage does not fill the log, and
//! one kind of failure does not hide another.

use super::discovery_connection::DiscoveryError;
use std::mem::{Discriminant, discriminant};
use std::time::{Duration, Instant};

/// During an outage each kind of failure is logged at most once in this time.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct LoggedFailure {
    kind: Discriminant<DiscoveryError>,
    at: Instant,
}

/// The kinds of failure logged within the last [`LOG_INTERVAL`] of the current outage.
#[derive(Debug, Default)]
pub struct FailureLog(Vec<LoggedFailure>);

impl FailureLog {
    /// Whether to log this failure. If so, it is recorded as logged now.
    pub fn should_log(&mut self, error: &DiscoveryError) -> bool {
        self.0.retain(|logged| logged.at.elapsed() < LOG_INTERVAL);
        let kind = discriminant(error);
        let is_new = self.0.iter().all(|logged| logged.kind != kind);
        if is_new {
            self.0.push(LoggedFailure {
                kind,
                at: Instant::now(),
            });
        }
        is_new
    }
}
