//! The records of all owners, without I/O and without a clock: callers pass this process's monotonic time.
//!
//! A process writes only its own records, one of each kind, with ascending versions. Other processes copy them from any
//! holder in the order of versions, so that a single version for each owner tells which of its records are held.
//!
//! A holder measures the age of a record from the last heartbeat at which the record was still its owner's latest. Any
//! member can report the heartbeat, and reports with it how old the heartbeat is. Therefore clocks of different
//! processes are never compared, a copy does not become younger when it is passed on, and a record that no member
//! confirms any more expires after its TTL.

mod owner;
mod record;
#[cfg(test)]
mod tests;
mod view;

#[cfg(test)]
pub use record::Record;
pub use record::{Digest, Kind, RecordsUpdate};
pub use view::{KindRecords, StoredRecord, View};

use crate::error::{DropReason, PublishError};
use crate::member::Member;
use owner::OwnerRecords;
use record::MAX_BODY_BYTES;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::ops::Bound;
use std::time::Duration;

/// How fast a record must reach the other members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Members request the record when they compare digests.
    Routine,
    /// The record is pushed to a few members at once, which push it on.
    Urgent,
}

/// The records that this process holds.
#[derive(Debug)]
pub struct RecordStore {
    own: Member,
    owners: BTreeMap<SocketAddrV4, OwnerRecords>,
    max_owners: usize,
    /// The owner at which the next list of digests continues because not all fitted into the last one. `None` if the
    /// next list begins with the first owner.
    next_digest: Option<SocketAddrV4>,
}

/// The result of comparing a digest from another member with the records held here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// No records need to be requested or sent.
    InSync,
    /// The other member holds newer records, which must be requested.
    Behind {
        /// The owner's incarnation.
        incarnation: u64,
        /// The version held here; 0 if no record of that incarnation is held.
        since_version: u64,
    },
    /// This process holds newer records, which must be sent to the other member.
    Ahead {
        /// The owner's incarnation.
        incarnation: u64,
        /// The version that the other member holds; 0 if it holds no record of that incarnation.
        since_version: u64,
    },
    /// The owner is new, and the maximum number of owners is held.
    AtCapacity,
}

impl RecordStore {
    /// A store of the records of this process and others, `max_owners` owners in all. No record is held at first.
    pub fn new(own: Member, max_owners: usize) -> RecordStore {
        let own_records = OwnerRecords::new(own.incarnation, Duration::ZERO);
        RecordStore {
            own,
            owners: BTreeMap::from([(own.address, own_records)]),
            max_owners,
            next_digest: None,
        }
    }

    /// This process in its current incarnation.
    pub fn own(&self) -> Member {
        self.own
    }

    /// Continues with the same records under another incarnation of this process, greater than any that others hold.
    pub fn renew_incarnation(&mut self, incarnation: u64, now: Duration) {
        self.own.incarnation = incarnation;
        let mut records = OwnerRecords::new(incarnation, now);
        if let Some(previous) = self.owners.remove(&self.own.address) {
            records.carry_over(previous);
        }
        self.owners.insert(self.own.address, records);
    }

    /// Writes one of this process's own records; an empty body withdraws it. Returns its version, or `None` if nothing
    /// changes.
    ///
    /// # Errors
    ///
    /// If the body is too long, or the maximum number of kinds is reached.
    pub fn publish(
        &mut self,
        kind: Kind,
        body: Vec<u8>,
        ttl: Duration,
        now: Duration,
    ) -> Result<Option<u64>, PublishError> {
        if body.len() > MAX_BODY_BYTES {
            return Err(PublishError::TooLong {
                bytes: body.len(),
                max: MAX_BODY_BYTES,
            });
        }
        let own = self.own;
        let records = self
            .owners
            .entry(own.address)
            .or_insert_with(|| OwnerRecords::new(own.incarnation, now));
        records.write(kind, body, ttl)
    }

    /// Increments this process's heartbeat, which digests report to other members.
    pub fn increment_heartbeat(&mut self, now: Duration) {
        if let Some(records) = self.owners.get_mut(&self.own.address) {
            records.increment_heartbeat(now);
        }
    }

    /// Sets which members the membership protocol considers alive. Their records don't expire.
    pub fn set_alive(&mut self, members: impl Iterator<Item = Member>) {
        for held in self.owners.values_mut() {
            held.alive = false;
        }
        for member in members {
            if let Some(held) = self.owners.get_mut(&member.address)
                && held.incarnation == member.incarnation
            {
                held.alive = true;
            }
        }
    }

    /// Removes other owners' expired records, and owners that need not be remembered any longer.
    pub fn remove_expired(&mut self, now: Duration) {
        let own = self.own.address;
        self.owners
            .retain(|address, held| *address == own || held.remove_expired(now));
    }

    /// Returns the digests of as many owners as fit into `max_bytes`: this process first, then the others, beginning
    /// where the last list ended.
    pub fn digests(&mut self, now: Duration, max_bytes: usize) -> Vec<Digest> {
        let own = self.own.address;
        let start = self.next_digest.take();
        let from_start = start.map_or(Bound::Unbounded, Bound::Included);
        let later = self
            .owners
            .range::<SocketAddrV4, _>((from_start, Bound::Unbounded));
        let earlier = start
            .into_iter()
            .flat_map(|start| self.owners.range(..start));
        let others = later.chain(earlier).filter(|(owner, _)| **owner != own);
        let first = self.owners.get_key_value(&own);
        let mut digests = Vec::new();
        let mut available_bytes = max_bytes;
        for (&owner, held) in first.into_iter().chain(others) {
            let digest = held.digest(owner, now);
            let Some(remaining_bytes) = available_bytes.checked_sub(digest.max_encoded_bytes())
            else {
                self.next_digest = Some(owner);
                break;
            };
            available_bytes = remaining_bytes;
            digests.push(digest);
        }
        digests
    }

    /// Applies the heartbeat in a digest, and compares the version that its sender holds with the one held here.
    pub fn apply_digest(&mut self, digest: &Digest, now: Duration) -> Comparison {
        if digest.owner == self.own.address {
            return self.compare_own(digest, now);
        }
        if !self.has_capacity_for(digest.owner) {
            return Comparison::AtCapacity;
        }
        let Some(held) = self.owners.get_mut(&digest.owner) else {
            return Comparison::Behind {
                incarnation: digest.incarnation,
                since_version: 0,
            };
        };
        match digest.incarnation.cmp(&held.incarnation) {
            Ordering::Greater => {
                return Comparison::Behind {
                    incarnation: digest.incarnation,
                    since_version: 0,
                };
            }
            Ordering::Less => {
                return Comparison::Ahead {
                    incarnation: held.incarnation,
                    since_version: 0,
                };
            }
            Ordering::Equal => {}
        }
        held.apply_heartbeat(digest, now);
        match digest.max_version.cmp(&held.max_version) {
            Ordering::Greater => Comparison::Behind {
                incarnation: held.incarnation,
                since_version: held.max_version,
            },
            Ordering::Equal => Comparison::InSync,
            Ordering::Less => Comparison::Ahead {
                incarnation: held.incarnation,
                since_version: digest.max_version,
            },
        }
    }

    /// Compares a digest of this process's own records. No other member holds newer ones, except those of a later
    /// incarnation that this process does not remember: it then continues under the incarnation after that one.
    fn compare_own(&mut self, digest: &Digest, now: Duration) -> Comparison {
        let held = self.owners.get(&self.own.address);
        let own_version = held.map_or(0, |held| held.max_version);
        let since_version = match digest.incarnation.cmp(&self.own.incarnation) {
            Ordering::Greater => {
                self.renew_incarnation(digest.incarnation + 1, now);
                0
            }
            Ordering::Equal if digest.max_version >= own_version => return Comparison::InSync,
            Ordering::Equal => digest.max_version,
            Ordering::Less => 0,
        };
        Comparison::Ahead {
            incarnation: self.own.incarnation,
            since_version,
        }
    }

    /// Returns the records of an owner with a greater version than `since_version`, by ascending version, as many as
    /// fit into `max_bytes`. `None` if the owner is unknown or not even the first record fits.
    pub fn updates_since(
        &self,
        owner: SocketAddrV4,
        since_version: u64,
        now: Duration,
        max_bytes: usize,
    ) -> Option<RecordsUpdate> {
        self.owners
            .get(&owner)?
            .updates_since(owner, since_version, now, max_bytes)
    }

    /// Whether records of this owner are held, or there is capacity for another owner.
    fn has_capacity_for(&self, owner: SocketAddrV4) -> bool {
        self.owners.len() < self.max_owners || self.owners.contains_key(&owner)
    }

    /// Applies an update from another member; returns whether it contained anything new.
    ///
    /// # Errors
    ///
    /// [`DropReason::OwnersAtCapacity`] if the owner is new and the maximum number of owners is held.
    pub fn apply_update(
        &mut self,
        update: RecordsUpdate,
        now: Duration,
    ) -> Result<bool, DropReason> {
        let digest = update.digest;
        if digest.owner == self.own.address {
            self.apply_digest(&digest, now);
            return Ok(false);
        }
        let held = self.owners.get(&digest.owner);
        let held_incarnation = held.map_or(0, |held| held.incarnation);
        if digest.incarnation < held_incarnation || !update.is_valid() {
            return Ok(false);
        }
        if !self.has_capacity_for(digest.owner) {
            return Err(DropReason::OwnersAtCapacity);
        }
        // The time of the heartbeat that the sender holds: a copy must not become younger when it is passed on.
        let alive_at = now.saturating_sub(digest.heartbeat_age());
        let held = self
            .owners
            .entry(digest.owner)
            .or_insert_with(|| OwnerRecords::new(digest.incarnation, alive_at));
        if digest.incarnation > held.incarnation {
            // Records of the owner's previous incarnation are no longer valid.
            *held = OwnerRecords::new(digest.incarnation, alive_at);
        }
        Ok(held.apply_update(update, now))
    }

    /// The records that are valid at `now`.
    pub fn view(&self, now: Duration) -> View<'_> {
        View::new(&self.owners, now)
    }
}
