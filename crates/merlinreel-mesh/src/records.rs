//! The records of all owners, without I/O and without a clock: times are this process's monotonic ones, passed in.
//!
//! A process writes only its own records, one of each kind, with ascending versions. Other processes take them over
//! from any holder in that order, so that one version for each owner says all that is held of it. A record's age is
//! measured at the holder: since the last heartbeat that its owner made while the record was its latest, heard of
//! from any member, together with how old the heartbeat was then. So no two clocks are compared, a copy grows no younger
//! by being passed on, and a record that nobody confirms any more expires after its TTL.

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

/// How fast a record is to reach the other members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Members fetch it when they compare digests.
    Routine,
    /// It is pushed to a few members at once, which pass it on.
    Urgent,
}

/// The records that this process holds.
#[derive(Debug)]
pub struct RecordStore {
    own: Member,
    owners: BTreeMap<SocketAddrV4, OwnerRecords>,
    max_owners: usize,
    /// The owner at which the next list of digests begins, as one datagram may not hold all.
    next_digest: Option<SocketAddrV4>,
}

/// What a digest of another member shows, compared with what is held here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Both hold the same.
    InSync,
    /// The other member holds more: records of this incarnation since this version are to be requested.
    Behind {
        /// The owner's incarnation.
        incarnation: u64,
        /// The version held here.
        since_version: u64,
    },
    /// This process holds more: records of this incarnation since this version are to be sent.
    Ahead {
        /// The owner's incarnation.
        incarnation: u64,
        /// The version that the other member holds.
        since_version: u64,
    },
    /// Nothing is held of that owner, and the maximum number of owners is held.
    AtCapacity,
}

impl RecordStore {
    /// Holds this process's own records, and those of others up to `max_owners` owners in all.
    pub fn new(own: Member, max_owners: usize) -> RecordStore {
        let own_records = OwnerRecords::new(own.incarnation, Duration::ZERO);
        RecordStore {
            own,
            owners: BTreeMap::from([(own.address, own_records)]),
            max_owners,
            next_digest: None,
        }
    }

    /// This process.
    pub fn own(&self) -> Member {
        self.own
    }

    /// Continues as another incarnation, greater than what others hold of this process, with the same records.
    pub fn renew_incarnation(&mut self, incarnation: u64, now: Duration) {
        self.own.incarnation = incarnation;
        let mut records = OwnerRecords::new(incarnation, now);
        if let Some(previous) = self.owners.remove(&self.own.address) {
            records.carry_over(previous);
        }
        self.owners.insert(self.own.address, records);
    }

    /// Writes one of this process's own records; an empty body withdraws it. Returns its version, or none if it equals
    /// the present record.
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

    /// Makes a heartbeat of this process, which others hear of in digests.
    pub fn increment_heartbeat(&mut self, now: Duration) {
        if let Some(records) = self.owners.get_mut(&self.own.address) {
            records.increment_heartbeat(now);
        }
    }

    /// Sets which members the membership protocol considers alive. Their records do not expire.
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

    /// Removes expired records, and owners that need not be remembered any longer.
    pub fn remove_expired(&mut self, now: Duration) {
        let own = self.own.address;
        self.owners
            .retain(|address, held| *address == own || held.remove_expired(now));
    }

    /// Digests of as many owners as fit into `max_bytes`: this process first, then the others, beginning where the last
    /// list ended.
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
        let mut left = max_bytes;
        for (&owner, held) in first.into_iter().chain(others) {
            let digest = held.digest(owner, now);
            let Some(rest) = left.checked_sub(digest.max_encoded_bytes()) else {
                self.next_digest = Some(owner);
                break;
            };
            left = rest;
            digests.push(digest);
        }
        digests
    }

    /// Applies the heartbeat in a digest, and compares what its sender holds with what is held here.
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

    /// Compares a digest of this process. Nobody holds more of it than itself, except of a later incarnation that it
    /// does not remember: then it continues as the one after that.
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

    /// What is held of an owner since a version, by ascending version, as much as fits into `max_bytes`.
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

    /// Whether records of that owner are held, or may be.
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
        // As old as the sender's heartbeat: a copy must not grow younger by being passed on.
        let alive_at = now.saturating_sub(digest.heartbeat_age());
        let held = self
            .owners
            .entry(digest.owner)
            .or_insert_with(|| OwnerRecords::new(digest.incarnation, alive_at));
        if digest.incarnation > held.incarnation {
            // Records of the owner's previous incarnation are void.
            *held = OwnerRecords::new(digest.incarnation, alive_at);
        }
        Ok(held.apply_update(update, now))
    }

    /// The records that are valid at `now`.
    pub fn view(&self, now: Duration) -> View<'_> {
        View::new(&self.owners, now)
    }
}
