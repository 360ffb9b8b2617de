//! Remembers ids of requests for a while, up to a number of ids.

use std::collections::hash_map::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, Hash};
use std::time::Instant;

/// Ids that were inserted lately, kept as hashes, whose size does not depend on the ids. The oldest is forgotten if there are
/// too many.
#[derive(Debug)]
pub struct RecentIds {
    max_ids: usize,
    /// The hashes, each with the time until which it is kept.
    kept_until: HashMap<u64, Instant>,
    /// The same in the order of insertion, with some that were removed or inserted again.
    oldest_first: VecDeque<(Instant, u64)>,
    hasher: RandomState,
}

impl RecentIds {
    /// Creates an empty collection of at most `max_ids` ids.
    pub fn new(max_ids: usize) -> RecentIds {
        RecentIds {
            max_ids,
            kept_until: HashMap::new(),
            oldest_first: VecDeque::new(),
            hasher: RandomState::new(),
        }
    }

    /// Whether the id was inserted and is still kept at `now`.
    pub fn contains(&mut self, id: &impl Hash, now: Instant) -> bool {
        self.remove_expired(now);
        self.kept_until.contains_key(&self.hasher.hash_one(id))
    }

    /// Keeps the id until then. Returns whether an id was forgotten for it that would have been kept for longer.
    pub fn insert(&mut self, id: &impl Hash, now: Instant, kept_until: Instant) -> bool {
        self.remove_expired(now);
        let is_full = self.oldest_first.len() >= self.max_ids;
        if is_full {
            self.remove_oldest();
        }
        let hash = self.hasher.hash_one(id);
        self.kept_until.insert(hash, kept_until);
        self.oldest_first.push_back((kept_until, hash));
        is_full
    }

    /// Forgets the id.
    pub fn remove(&mut self, id: &impl Hash) {
        self.kept_until.remove(&self.hasher.hash_one(id));
    }

    fn remove_expired(&mut self, now: Instant) {
        while self
            .oldest_first
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((until, hash)) = self.oldest_first.pop_front() else {
            return;
        };
        // The id may have been inserted again since.
        if self.kept_until.get(&hash) == Some(&until) {
            self.kept_until.remove(&hash);
        }
    }
}

#[cfg(test)]
mod tests;
