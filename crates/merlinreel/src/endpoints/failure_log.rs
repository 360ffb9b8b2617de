//! Which of the calls that brought no list are told of in the log: guards it against an outage's hundreds of lines, and
//! an operator against a trouble that hides behind another.

use super::DiscoveryError;
use std::mem::{Discriminant, discriminant};
use std::time::{Duration, Instant};

/// In an outage each kind of trouble is told once in this time.
const TELL_EVERY: Duration = Duration::from_secs(60);

/// What was told of an outage.
#[derive(Debug, Default)]
pub struct FailureLog(Vec<(Discriminant<DiscoveryError>, Instant)>);

impl FailureLog {
    /// Whether this one is to be told, which is noted.
    pub fn tells(&mut self, what: &DiscoveryError) -> bool {
        self.0.retain(|(_, told)| told.elapsed() < TELL_EVERY);
        let kind = discriminant(what);
        let new = self.0.iter().all(|(told, _)| *told != kind);
        if new {
            self.0.push((kind, Instant::now()));
        }
        new
    }
}
