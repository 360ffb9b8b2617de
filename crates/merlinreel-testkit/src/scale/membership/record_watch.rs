//! When each limiter first held a record.

use merlinreel_mesh::{Kind, Node};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Records that are published to be watched.
pub const WATCHED_KIND: Kind = 7;

/// The propagation of a record through the fleet.
#[derive(Clone, Debug)]
pub struct RecordWatch {
    owner: SocketAddrV4,
    number: u64,
    published_at: Duration,
    /// By limiter, on the fleet's clock.
    held_at: Vec<Option<Duration>>,
    holders: usize,
}

impl RecordWatch {
    /// A watch of a record that no limiter is known to hold.
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

    /// Adds a limiter as holder from now on.
    pub fn add_holder(&mut self, limiter: u32, now: Duration) {
        let held_at = &mut self.held_at[limiter as usize];
        if held_at.is_none() {
            *held_at = Some(now);
            self.holders += 1;
        }
    }

    /// Checks whether a limiter holds the record, or a later one in its place, after records of `owner` changed there.
    pub fn check(&mut self, owner: SocketAddrV4, limiter: u32, node: &Node, now: Duration) {
        if owner != self.owner || self.held_at[limiter as usize].is_some() {
            return;
        }
        let held = node
            .view(now)
            .raw(WATCHED_KIND)
            .find(|held| held.owner.address == owner);
        if held.is_some_and(|held| number_in(held.body) >= Some(self.number)) {
            self.add_holder(limiter, now);
        }
    }

    /// Whether all limiters hold it.
    pub fn is_held_by_all(&self) -> bool {
        self.holders == self.held_at.len()
    }

    /// Share of the limiters that held it this long after it was published.
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

    /// How long it took until the last limiter held it, if all do.
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

/// A record's body with a number.
pub fn body_with(number: u64) -> Vec<u8> {
    number.to_string().into_bytes()
}

fn number_in(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body).ok()?.parse().ok()
}
