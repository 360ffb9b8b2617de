//! Tracks when each limiter first held a record.

use merlinreel_mesh::{Kind, Node};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Kind of the records that are watched.
pub const WATCHED_KIND: Kind = 7;

/// The propagation of a record through the fleet.
#[derive(Clone, Debug)]
pub struct RecordWatch {
    owner: SocketAddrV4,
    /// The record's number, which is also its body, as decimal digits. Records published later have higher numbers.
    number: u64,
    /// Simulated time of the publication.
    published_at: Duration,
    /// By limiter, the simulated time at which it first held the record; `None` if it has not held it yet.
    held_at: Vec<Option<Duration>>,
    holders: usize,
}

impl RecordWatch {
    /// Creates a watch for a record that no limiter is known to hold yet.
    pub fn new(
        owner: SocketAddrV4,
        number: u64,
        published_at: Duration,
        limiters: usize,
    ) -> RecordWatch {
        RecordWatch {
            owner,
            number,
            published_at,
            held_at: vec![None; limiters],
            holders: 0,
        }
    }

    /// Notes that a limiter holds the record from now on; has no effect if it held the record before.
    pub fn add_holder(&mut self, limiter: u32, now: Duration) {
        let held_at = &mut self.held_at[limiter as usize];
        if held_at.is_none() {
            *held_at = Some(now);
            self.holders += 1;
        }
    }

    /// Checks whether a limiter holds the record or a later one in its place. Must be called after records of `owner`
    /// changed at that limiter.
    pub fn check(&mut self, owner: SocketAddrV4, limiter: u32, node: &Node, now: Duration) {
        if owner != self.owner || self.held_at[limiter as usize].is_some() {
            return;
        }
        let held = node
            .view(now)
            .raw(WATCHED_KIND)
            .find(|held| held.owner.address == owner);
        if held.is_some_and(|held| number_in_body(held.body) >= Some(self.number)) {
            self.add_holder(limiter, now);
        }
    }

    /// Whether each limiter has held the record, or a later one.
    pub fn is_held_by_all(&self) -> bool {
        self.holders == self.held_at.len()
    }

    /// Share of the limiters that first held the record within this time after its publication.
    pub fn share_after(&self, after: Duration) -> f64 {
        let by = self.published_at + after;
        let holders = self
            .held_at
            .iter()
            .flatten()
            .filter(|at| **at <= by)
            .count();
        holders as f64 / self.held_at.len() as f64
    }

    /// Time from the publication until the last limiter held the record; `None` if some limiter has not held it yet.
    pub fn time_to_all(&self) -> Option<Duration> {
        let last = self
            .held_at
            .iter()
            .copied()
            .collect::<Option<Vec<Duration>>>()?
            .into_iter()
            .max()?;
        Some(last.saturating_sub(self.published_at))
    }
}

/// The body of the record with this number.
pub fn body_with_number(number: u64) -> Vec<u8> {
    number.to_string().into_bytes()
}

fn number_in_body(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body).ok()?.parse().ok()
}
