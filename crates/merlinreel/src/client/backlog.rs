//! Since when connections may have waited on the socket to be accepted. While all places are taken they wait in the
//! kernel, which tells nobody when each came. It says how many wait; from that, looked at now and then, follows which of
//! them came after which look.

mod accept_queue;

use accept_queue::queue_length;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Looks at the queue are this long apart at least.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// They are so many times as long apart as one takes, so that a large table of sockets takes little of the processor.
const LOOK_COST_FACTOR: u32 = 100;

/// One look at the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Look {
    at: Instant,
    /// The number of the last connection that had come by then, counted from the first that was accepted.
    last_connection: u64,
}

/// What is known of the connections that wait on the socket.
#[derive(Debug)]
pub struct Backlog {
    /// None waits, and the next one is noticed at once.
    is_awaited: bool,
    /// Connections that were accepted.
    accepted: u64,
    /// The last look that all connections came after which are still to be accepted, and those behind it.
    looks: VecDeque<Look>,
    /// The next look is not made before; never where the system has not said how many wait.
    next_look_at: Option<Instant>,
}

impl Backlog {
    /// The queue of a socket that nobody could connect to before `since`.
    pub fn new(since: Instant) -> Backlog {
        Backlog {
            is_awaited: false,
            accepted: 0,
            looks: VecDeque::from([Look {
                at: since,
                last_connection: 0,
            }]),
            next_look_at: Some(since),
        }
    }

    /// Records that nothing waits, and that the next connection is noticed at once.
    pub fn record_awaited(&mut self) {
        self.is_awaited = true;
    }

    /// Records that connections are not awaited for now, and looks at the queue of the socket at that address, unless that was done a moment ago or the system does not say how many wait.
    pub fn look(&mut self, listening_at: SocketAddr, now: Instant) {
        if self.is_awaited {
            return self.stop_awaiting(now);
        }
        if self.next_look_at.is_none_or(|next| now < next) {
            return;
        }
        let length = queue_length(listening_at);
        let cost = now.elapsed();
        let interval = LOOK_INTERVAL.max(cost * LOOK_COST_FACTOR);
        self.next_look_at = length.map(|_| now + interval);
        if let Some(length) = length {
            self.record_look(now, length);
        }
    }

    /// Connections are not noticed at once any more; none had come before `at`.
    fn stop_awaiting(&mut self, at: Instant) {
        self.is_awaited = false;
        self.looks.clear();
        self.record_look(at, 0);
    }

    /// Records that so many connections waited at `at`.
    fn record_look(&mut self, at: Instant, waiting: u64) {
        self.looks.push_back(Look {
            at,
            last_connection: self.accepted + waiting,
        });
        self.forget_superseded_looks();
    }

    /// Forgets looks that are followed by a later one which also came before the next connection.
    fn forget_superseded_looks(&mut self) {
        while self
            .looks
            .get(1)
            .is_some_and(|second| second.last_connection <= self.accepted)
        {
            self.looks.pop_front();
        }
    }

    /// Counts a connection that is accepted now. Returns the earliest time at which it can have come; `noticed_since` is that
    /// of one that was noticed now.
    pub fn accept(&mut self, noticed_since: Instant) -> Instant {
        if self.is_awaited {
            self.stop_awaiting(noticed_since);
        }
        self.forget_superseded_looks();
        self.accepted += 1;
        self.looks.front().map_or(noticed_since, |look| look.at)
    }
}

#[cfg(test)]
mod tests;
