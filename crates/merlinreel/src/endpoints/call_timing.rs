//! How long a call to discovery may take, and the pause before the next one.

use super::discovery_connection::DiscoveryError;
use crate::config::limits::EndpointWatchLimits;
use std::time::Duration;

/// What a call requests from discovery.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// The complete list; discovery responds at once.
    FullList,
    /// The changes since a version; discovery responds almost at once, even if there are none.
    ImmediateWatch,
    /// The changes since a version; discovery responds when there are some, or at the end of the wait.
    Watch,
}

impl CallKind {
    /// The kind of the next call. `version` is that of the known list, `None` if there is none; `awaits_first_list` is
    /// set until the first response; `consecutive_failures` counts calls that failed or stayed without a response. At
    /// startup and after a failure the current state is requested at once instead of on its next change.
    pub fn next(
        version: Option<u64>,
        awaits_first_list: bool,
        consecutive_failures: u32,
    ) -> CallKind {
        match version {
            None => CallKind::FullList,
            Some(_) if awaits_first_list || consecutive_failures > 0 => CallKind::ImmediateWatch,
            Some(_) => CallKind::Watch,
        }
    }
}

/// The time limits of one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallTiming {
    /// How long discovery may wait for a change before it responds; zero in a call for the complete list.
    pub wait: Duration,
    /// If no response has arrived after this time, the call counts as silent: it stays open and another one starts.
    pub silent_after: Duration,
}

impl CallTiming {
    /// The time limits of a call of the given kind.
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

/// The pause between a failed call and the next one. There is none after a silent call, which has taken long enough,
/// and a longer one after a list that is too long, so that it is not fetched as fast as it can be sent.
pub fn pause_after(error: &DiscoveryError, limits: &EndpointWatchLimits) -> Duration {
    match error {
        DiscoveryError::NoResponse(_) => Duration::ZERO,
        DiscoveryError::TooLong { .. } => limits.watch_timeout,
        _ => limits.retry_delay,
    }
}
