//! Bytes that servers send without a request: a second response behind the first one, or noise.
//!
//! On a connection that is reused at once such bytes may arrive after the next request is written, and nothing on the
//! wire distinguishes them from its response. Once any server has sent some, connections are reused only after they have been idle
//! for long enough to show them.

use std::error::Error;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether any server has sent unsolicited bytes since the start.
#[derive(Debug, Default)]
pub struct UnsolicitedBytes {
    seen: AtomicBool,
}

impl UnsolicitedBytes {
    /// Records that a server sent some.
    pub fn record(&self) {
        self.seen.store(true, Ordering::Relaxed);
    }

    /// Whether any were recorded.
    pub fn seen(&self) -> bool {
        self.seen.load(Ordering::Relaxed)
    }
}

/// Whether a connection's error says that more than the response arrived: the HTTP library then reports neither a parse
/// error nor an error of the socket.
pub fn is_unsolicited(error: &hyper::Error) -> bool {
    let has_other_cause = error.is_parse()
        || error.is_incomplete_message()
        || error.is_closed()
        || error.is_canceled();
    error.source().is_none() && !has_other_cause
}
