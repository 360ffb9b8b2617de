//! Since when connections may have waited on the socket to be accepted. While all places are taken they wait in the
//! kernel, which tells nobody when they came; so the time counts from when the queue was known to be empty last.

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::os::fd::AsFd;
use std::time::Instant;

/// What is known of the connections that wait on the socket.
#[derive(Debug)]
pub struct Backlog {
    /// None waits, and the next one is noticed at once.
    is_awaited: bool,
    /// None of those that wait came before.
    empty_at: Instant,
}

impl Backlog {
    /// The queue of a socket that nobody could connect to before `since`.
    pub fn new(since: Instant) -> Backlog {
        Backlog {
            is_awaited: false,
            empty_at: since,
        }
    }

    /// Records that nothing waits, and that the next connection is noticed at once.
    pub fn record_awaited(&mut self) {
        self.is_awaited = true;
    }

    /// Asks the kernel whether anything waits. Nothing is learned where it can't say.
    pub fn look(&mut self, listener: &impl AsFd) {
        let now = Instant::now();
        let mut listener = [PollFd::new(listener.as_fd(), PollFlags::POLLIN)];
        if poll(&mut listener, PollTimeout::ZERO) == Ok(0) {
            self.empty_at = now;
        }
    }

    /// The earliest time at which a connection that is accepted now can have come; `noticed_since` is that of one that
    /// was noticed now.
    pub fn connected_since(&mut self, noticed_since: Instant) -> Instant {
        if std::mem::take(&mut self.is_awaited) {
            self.empty_at = noticed_since;
        }
        self.empty_at
    }
}

#[cfg(test)]
mod tests;
