//! Scheduled calls of a fleet's limiters in order of simulated time. Datagrams are scheduled by the network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Why a limiter is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The limiter scheduled a wakeup while it had this incarnation.
    Wakeup(u32),
    /// A random customer of the limiter sends a request; another such event follows after a random interval.
    Request,
    /// This customer sends a request to the limiter, and again after each interval.
    Repeat {
        /// Index of the customer in the fleet.
        customer: usize,
        /// Time between two requests.
        interval: Duration,
    },
}

/// A scheduled call of a limiter; events are ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Event {
    /// Simulated time of the call.
    pub at: Duration,
    /// Keeps events with equal times in the order in which they were scheduled.
    sequence: u64,
    /// Index of the limiter.
    pub limiter: u32,
    /// Why the limiter is called.
    pub cause: Cause,
}

/// Queue of events, the earliest first.
#[derive(Default)]
pub struct EventQueue {
    events: BinaryHeap<Reverse<Event>>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules a call of a limiter at a simulated time.
    pub fn push(&mut self, at: Duration, limiter: u32, cause: Cause) {
        self.last_sequence += 1;
        self.events.push(Reverse(Event {
            at,
            sequence: self.last_sequence,
            limiter,
            cause,
        }));
    }

    /// Simulated time of the next event; `None` if the queue is empty.
    pub fn next_at(&self) -> Option<Duration> {
        self.events.peek().map(|event| event.0.at)
    }

    /// Removes and returns the next event if it is due by `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<Event> {
        self.next_at().filter(|at| *at <= now)?;
        self.events.pop().map(|event| event.0)
    }
}
