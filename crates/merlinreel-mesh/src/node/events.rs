//! Events that a node reports to its process.

use crate::member::Member;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Minimum time between two reports that the capacity for other processes is exhausted.
const MIN_AT_CAPACITY_REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// A change that a node reports to its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member joined, rejoined or has a new incarnation.
    MemberUp(Member),
    /// A member left, or was declared dead because it did not respond.
    MemberDown(Member),
    /// New records of the owner at this address were received and stored.
    RecordsUpdated(SocketAddrV4),
    /// The capacity for other processes is exhausted; the value counts the occurrences since the start. Reported at
    /// most once a minute.
    AtCapacity(u64),
}

/// Queue of the events that the process has not yet taken.
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

    /// Appends an [`Event::AtCapacity`] unless one was appended within the last minute.
    pub fn push_at_capacity(&mut self, occurrences: u64, now: Duration) {
        let is_due = self
            .at_capacity_reported_at
            .is_none_or(|reported_at| now >= reported_at + MIN_AT_CAPACITY_REPORT_INTERVAL);
        if is_due {
            self.at_capacity_reported_at = Some(now);
            self.push(Event::AtCapacity(occurrences));
        }
    }

    /// Takes the oldest event; `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<Event> {
        self.events.pop_front()
    }
}
