//! Bytes that servers send without being asked: a second answer behind the first, or noise.
//!
//! On a connection that is used again at once such bytes may come after the next request is written, and nothing on
//! the wire tells them from its answer. Once one server has sent any, connections are used again only after they have
//! rested for long enough to show them.

use std::error::Error;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether any server has sent something unasked since the start.
#[derive(Debug, Default)]
pub struct UnaskedBytes {
    seen: AtomicBool,
}

impl UnaskedBytes {
    pub fn note(&self) {
        self.seen.store(true, Ordering::Relaxed);
    }

    pub fn seen(&self) -> bool {
        self.seen.load(Ordering::Relaxed)
    }
}

/// Whether a connection's error says that more came than the answer: the HTTP library then names neither a fault of
/// what it parsed nor an error of the socket.
pub fn is_unasked(error: &hyper::Error) -> bool {
    let names_another = error.is_parse()
        || error.is_incomplete_message()
        || error.is_closed()
        || error.is_canceled();
    error.source().is_none() && !names_another
}
