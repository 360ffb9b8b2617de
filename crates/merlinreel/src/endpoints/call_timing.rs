//! When discovery is called, and for how long a call may last.

use super::discovery_connection::DiscoveryError;
use crate::config::limits::EndpointWatchLimits;
use std::time::Duration;

/// What a call asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// The complete list, at once.
    FullList,
    /// What has changed since a version, at once.
    ImmediateWatch,
    /// What has changed since a version, as soon as something has.
    Watch,
}

impl CallKind {
    /// The next call, where the process knows the list of `version`, has had its first list or not, and where `failed`
    /// consecutive calls failed or were silent. After a failure what is known is wanted at once, as at the start.
    pub fn next(version: Option<u64>, awaits_first_list: bool, failed: u32) -> CallKind {
        match version {
            None => CallKind::FullList,
            Some(_) if awaits_first_list || failed > 0 => CallKind::ImmediateWatch,
            Some(_) => CallKind::Watch,
        }
    }
}

/// The times of one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallTiming {
    /// How long discovery may wait for a change before it responds.
    pub wait: Duration,
    /// After this the call counts as silent, and another one is made beside it.
    pub silent_after: Duration,
}

impl CallTiming {
    /// The times of a call of this kind.
    pub fn new(kind: CallKind, limits: &EndpointWatchLimits) -> CallTiming {
        let wait = match kind {
            CallKind::FullList => Duration::ZERO,
            CallKind::ImmediateWatch => limits.immediate_timeout,
            CallKind::Watch => limits.watch_timeout,
        };
        CallTiming {
            wait,
            silent_after: wait + limits.response_grace,
        }
    }
}

/// How long to wait before the next call. A silent one has taken its time already, and a list that is too long is not
/// fetched as often as it can be sent.
pub fn pause_after(error: &DiscoveryError, limits: &EndpointWatchLimits) -> Duration {
    match error {
        DiscoveryError::NoAnswer(_) => Duration::ZERO,
        DiscoveryError::TooLong { .. } => limits.watch_timeout,
        _ => limits.retry_delay,
    }
}
