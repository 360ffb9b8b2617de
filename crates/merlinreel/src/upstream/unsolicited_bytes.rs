//! Detection of bytes that servers send without a request: a second response after the first one, or garbage.
//!
//! If a connection is reused immediately, such bytes may arrive after the next request is written, and nothing on the
//! wire distinguishes them from its response. Once any server has sent some, connections are reused only after they
//! have been idle for long enough that such bytes would have arrived.

use std::error::Error;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether any server has sent unsolicited bytes since this process started; never reset.
#[derive(Debug, Default)]
pub struct UnsolicitedBytes {
    seen: AtomicBool,
}

impl UnsolicitedBytes {
    /// Records that a server sent unsolicited bytes.
    pub fn record(&self) {
        self.seen.store(true, Ordering::Relaxed);
    }

    /// Whether any server has sent unsolicited bytes.
    pub fn seen(&self) -> bool {
        self.seen.load(Ordering::Relaxed)
    }
}

/// Whether a connection failed because bytes arrived that belong to no response. The HTTP library then reports neither
/// a parse error nor a socket error, but an error without a source that is none of the kinds below.
pub fn is_unsolicited(error: &hyper::Error) -> bool {
    let has_other_cause = error.is_parse()
        || error.is_incomplete_message()
        || error.is_closed()
        || error.is_canceled();
    error.source().is_none() && !has_other_cause
}
