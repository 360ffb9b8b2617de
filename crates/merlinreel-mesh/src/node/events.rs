//! Events that a node reports to its process.

use crate::member::Member;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

/// How often, at most, it is reported that the capacity for other members is exhausted.
const AT_CAPACITY_INTERVAL: Duration = Duration::from_secs(60);

/// What a node reports as soon as it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member joined or came back.
    MemberUp(Member),
    /// A member left, died, or has been unresponsive for long.
    MemberDown(Member),
    /// New records of the owner at that address are held.
    RecordsUpdated(SocketAddrV4),
    /// The capacity for other members is exhausted; the value says how often it was since the start. Reported once a
    /// minute at most.
    AtCapacity(u64),
}

/// Events that the process has not yet taken.
#[derive(Debug, Default)]
pub struct EventQueue {
    events: VecDeque<Event>,
    at_capacity_reported_at: Option<Duration>,
}

impl EventQueue {
    /// Appends an event.
    pub fn push(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Appends an [`Event::AtCapacity`] unless one was appended a short time ago.
    pub fn push_at_capacity(&mut self, occurrences: u64, now: Duration) {
        let is_due = self
            .at_capacity_reported_at
            .is_none_or(|reported_at| now >= reported_at + AT_CAPACITY_INTERVAL);
        if is_due {
            self.at_capacity_reported_at = Some(now);
            self.push(Event::AtCapacity(occurrences));
        }
    }

    /// Takes the oldest event.
    pub fn pop(&mut self) -> Option<Event> {
        self.events.pop_front()
    }
}
