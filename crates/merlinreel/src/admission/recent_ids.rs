//! Remembers ids of requests for a while, up to a number of ids.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, Hash};
use std::time::Instant;

/// Ids that were inserted lately, kept as hashes, whose size does not depend on the ids. The oldest is forgotten if there are
/// too many.
#[derive(Debug)]
pub struct RecentIds {
    max_ids: usize,
    hashes: HashSet<u64>,
    /// The hashes in the order of their insertion, each with the time until which it is kept.
    kept_until: VecDeque<(Instant, u64)>,
    hasher: RandomState,
}

impl RecentIds {
    /// Creates an empty collection of at most `max_ids` ids.
    pub fn new(max_ids: usize) -> RecentIds {
        RecentIds {
            max_ids,
            hashes: HashSet::new(),
            kept_until: VecDeque::new(),
            hasher: RandomState::new(),
        }
    }

    /// Whether the id was inserted and is still kept at `now`.
    pub fn contains(&mut self, id: &impl Hash, now: Instant) -> bool {
        self.remove_expired(now);
        self.hashes.contains(&self.hasher.hash_one(id))
    }

    /// Keeps the id until then. Returns whether an id was forgotten for it that would have been kept for longer.
    pub fn insert(&mut self, id: &impl Hash, now: Instant, kept_until: Instant) -> bool {
        self.remove_expired(now);
        let is_full = self.kept_until.len() >= self.max_ids;
        if is_full {
            self.remove_oldest();
        }
        let hash = self.hasher.hash_one(id);
        if self.hashes.insert(hash) {
            self.kept_until.push_back((kept_until, hash));
        }
        is_full
    }

    fn remove_expired(&mut self, now: Instant) {
        while self
            .kept_until
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, hash)) = self.kept_until.pop_front() {
            self.hashes.remove(&hash);
        }
    }
}

#[cfg(test)]
mod tests;
