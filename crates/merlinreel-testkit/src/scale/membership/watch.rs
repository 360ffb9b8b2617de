//! When a record was first held by whom.

use super::fleet::WATCHED_KIND;
use merlinreel_mesh::Node;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A record on its way through the fleet.
#[derive(Clone, Debug)]
pub struct RecordWatch {
    owner: SocketAddrV4,
    number: u64,
    published: Duration,
    /// By limiter, on the fleet's clock.
    held_at: Vec<Option<Duration>>,
    holders: usize,
}

impl RecordWatch {
    pub fn new(
        owner: SocketAddrV4,
        number: u64,
        published: Duration,
        limiters: usize,
    ) -> RecordWatch {
        RecordWatch {
            owner,
            number,
            published,
            held_at: vec![None; limiters],
            holders: 0,
        }
    }

    /// Notes a limiter as holder from now on.
    pub fn note(&mut self, limiter: u32, now: Duration) {
        let held_at = &mut self.held_at[limiter as usize];
        if held_at.is_none() {
            *held_at = Some(now);
            self.holders += 1;
        }
    }

    /// Looks whether a limiter holds the record, or a later one in its place, after it was told something of `of`.
    pub fn look(&mut self, of: SocketAddrV4, limiter: u32, node: &Node, now: Duration) {
        if of != self.owner || self.held_at[limiter as usize].is_some() {
            return;
        }
        let held = node
            .view(now)
            .raw(WATCHED_KIND)
            .find(|held| held.owner.address == of);
        if held.is_some_and(|held| number_in(held.body) >= Some(self.number)) {
            self.note(limiter, now);
        }
    }

    pub fn is_held_by_all(&self) -> bool {
        self.holders == self.held_at.len()
    }

    /// Share of the limiters that held it so long after it was published.
    pub fn share_after(&self, span: Duration) -> f64 {
        let by = self.published + span;
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
        Some(last.saturating_sub(self.published))
    }
}

/// A body that says its number.
pub fn body_of(number: u64) -> Vec<u8> {
    number.to_string().into_bytes()
}

fn number_in(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body).ok()?.parse().ok()
}
