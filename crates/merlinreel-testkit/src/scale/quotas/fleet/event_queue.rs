//! What happens when in a fleet, beside the datagrams of its network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Why a limiter is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The limiter of this incarnation scheduled it.
    Wakeup(u32),
    /// A random customer of the limiter sends a request, and the next one does later.
    Request,
    /// This customer sends a request there, and again after the interval.
    Repeat {
        /// The customer's index.
        customer: usize,
        /// The time between two requests.
        interval: Duration,
    },
}

/// A call of a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Event {
    /// The time of the call.
    pub at: Duration,
    /// Keeps events of one moment in order.
    number: u64,
    /// The limiter.
    pub limiter: u32,
    /// Why it is called.
    pub cause: Cause,
}

/// Events in the order of time.
#[derive(Default)]
pub struct EventQueue {
    events: BinaryHeap<Reverse<Event>>,
    last_number: u64,
}

impl EventQueue {
    /// Schedules a call.
    pub fn push(&mut self, at: Duration, limiter: u32, cause: Cause) {
        self.last_number += 1;
        self.events.push(Reverse(Event {
            at,
            number: self.last_number,
            limiter,
            cause,
        }));
    }

    /// The time of the next event.
    pub fn next_at(&self) -> Option<Duration> {
        self.events.peek().map(|event| event.0.at)
    }

    /// Removes the next event that is due by `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<Event> {
        self.next_at().filter(|at| *at <= now)?;
        self.events.pop().map(|event| event.0)
    }
}
