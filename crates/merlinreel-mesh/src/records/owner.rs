//! The records and the heartbeat held of one owner.

use super::record::{Digest, Kind, MAX_KINDS, Record, RecordsUpdate};
use crate::error::PublishError;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long an owner's incarnation and version are remembered after its last known heartbeat, even if all of its
/// records have expired. It prevents an old copy from a process that was unreachable or stalled in the meantime from
/// being accepted as new.
pub const VERSION_RETENTION: Duration = Duration::from_secs(3600);
/// Maximum length of an update's encoding without its digest and its records.
const MAX_UPDATE_OVERHEAD_BYTES: usize = 16;
/// Maximum length of a record's encoding without its body: 3 bytes for the kind, 10 for the version, 2 for the TTL and
/// 2 for the body's length.
const MAX_RECORD_OVERHEAD_BYTES: usize = 17;

/// The records of one incarnation of an owner.
#[derive(Debug)]
pub struct OwnerRecords {
    /// The owner's incarnation.
    pub incarnation: u64,
    /// The greatest version up to which all records are held.
    pub max_version: u64,
    /// The owner's heartbeat counter at its last known heartbeat; 0 if no heartbeat is known.
    heartbeat: u64,
    /// When that heartbeat was made, by the holder's monotonic clock.
    heartbeat_at: Duration,
    /// When the records held, all up to `max_version`, were last known to be the owner's latest, by the holder's
    /// monotonic clock.
    pub confirmed_at: Duration,
    /// Whether the membership protocol considers this incarnation alive.
    pub alive: bool,
    /// The latest record of each kind, withdrawn ones included.
    pub records: BTreeMap<Kind, Record>,
}

impl OwnerRecords {
    /// Holds no records yet, of an owner last known to be alive at `alive_at`.
    pub fn new(incarnation: u64, alive_at: Duration) -> OwnerRecords {
        OwnerRecords {
            incarnation,
            max_version: 0,
            heartbeat: 0,
            heartbeat_at: alive_at,
            confirmed_at: alive_at,
            alive: false,
            records: BTreeMap::new(),
        }
    }

    /// Copies the records of this owner's previous incarnation, under new versions. Withdrawn ones are left out.
    pub fn carry_over(&mut self, previous: OwnerRecords) {
        let published = previous
            .records
            .into_values()
            .filter(|record| !record.body.is_empty());
        for mut record in published {
            self.max_version += 1;
            record.version = self.max_version;
            self.records.insert(record.kind, record);
        }
    }

    /// Writes a record, or withdraws it if `body` is empty. Returns its version, or `None` if nothing changes.
    ///
    /// # Errors
    ///
    /// [`PublishError::TooManyKinds`] if the kind is new and the maximum number of kinds is reached.
    pub fn write(
        &mut self,
        kind: Kind,
        body: Vec<u8>,
        ttl: Duration,
    ) -> Result<Option<u64>, PublishError> {
        let ttl_s = u16::try_from(ttl.as_secs()).unwrap_or(u16::MAX).max(1);
        match self.records.get(&kind) {
            Some(record) if record.body == body && record.ttl_s == ttl_s => return Ok(None),
            None if body.is_empty() => return Ok(None),
            None if self.records.len() >= MAX_KINDS => {
                return Err(PublishError::TooManyKinds(MAX_KINDS));
            }
            _ => {}
        }
        self.max_version += 1;
        let record = Record {
            kind,
            version: self.max_version,
            ttl_s,
            body,
        };
        self.records.insert(kind, record);
        Ok(Some(self.max_version))
    }

    /// Whether a record is still valid: its owner is alive, or the last heartbeat that confirmed the record is no older
    /// than the record's TTL. In a large fleet a heartbeat takes minutes to reach every member, while the membership
    /// protocol takes seconds: if only heartbeats counted, records of live owners would expire between them.
    pub fn is_valid(&self, record: &Record, now: Duration) -> bool {
        self.alive || self.age(now) <= Duration::from_secs(record.ttl_s.into())
    }

    /// The time since the records were last known to be their owner's latest.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed_at)
    }

    /// Increments the heartbeat. Only the owner does this.
    pub fn increment_heartbeat(&mut self, now: Duration) {
        self.heartbeat += 1;
        self.heartbeat_at = now;
        self.confirmed_at = now;
    }

    /// Returns the digest of these records, whose owner has the address `owner`.
    pub fn digest(&self, owner: SocketAddrV4, now: Duration) -> Digest {
        let age = now.saturating_sub(self.heartbeat_at);
        let tenths = age.as_millis().div_ceil(100);
        Digest {
            owner,
            incarnation: self.incarnation,
            max_version: self.max_version,
            heartbeat: self.heartbeat,
            heartbeat_age_ds: u16::try_from(tenths).unwrap_or(u16::MAX),
        }
    }

    /// Applies the heartbeat in a digest of this incarnation. A heartbeat that was made when the owner had already
    /// written records that are not held here does not confirm the records held. It is ignored until those records are
    /// held, so that the heartbeat and the version in one digest always belong together.
    pub fn apply_heartbeat(&mut self, digest: &Digest, now: Duration) {
        if digest.max_version > self.max_version {
            return;
        }
        if digest.heartbeat > self.heartbeat {
            self.heartbeat = digest.heartbeat;
            let made_at = now.saturating_sub(digest.heartbeat_age());
            // A heartbeat can't have been made before the one that preceded it.
            self.heartbeat_at = made_at.max(self.heartbeat_at.min(now));
        }
        if digest.heartbeat >= self.heartbeat {
            self.confirmed_at = self.confirmed_at.max(self.heartbeat_at);
        }
    }

    /// Returns the records with a greater version than `since_version`, by ascending version, as many as fit into
    /// `max_bytes`. `None` if not even the first one fits.
    pub fn updates_since(
        &self,
        owner: SocketAddrV4,
        since_version: u64,
        now: Duration,
        max_bytes: usize,
    ) -> Option<RecordsUpdate> {
        let mut newer: Vec<&Record> = self
            .records
            .values()
            .filter(|record| record.version > since_version)
            .collect();
        newer.sort_unstable_by_key(|record| record.version);
        let mut digest = self.digest(owner, now);
        let mut available_bytes =
            max_bytes.checked_sub(digest.max_encoded_bytes() + MAX_UPDATE_OVERHEAD_BYTES)?;
        let mut records: Vec<Record> = Vec::new();
        for record in newer {
            let Some(remaining_bytes) =
                available_bytes.checked_sub(MAX_RECORD_OVERHEAD_BYTES + record.body.len())
            else {
                // The receiver holds only the records up to this version after the update, and which heartbeat belongs
                // to it is not known.
                digest.max_version = records.last()?.version;
                digest.heartbeat = 0;
                break;
            };
            available_bytes = remaining_bytes;
            records.push(record.clone());
        }
        Some(RecordsUpdate {
            digest,
            since_version,
            records,
        })
    }

    /// Applies an update of this incarnation; returns whether it contained anything new.
    pub fn apply_update(&mut self, update: RecordsUpdate, now: Duration) -> bool {
        let max_version = update.digest.max_version;
        let is_new = update.since_version <= self.max_version && max_version > self.max_version;
        if is_new {
            for record in update.records {
                let held = self.records.get(&record.kind);
                if held.is_none_or(|held| held.version < record.version) {
                    self.records.insert(record.kind, record);
                }
            }
            self.max_version = max_version;
            // A faulty owner that keeps sending new kinds must not exhaust the memory.
            while self.records.len() > MAX_KINDS {
                self.records.pop_last();
            }
        }
        self.apply_heartbeat(&update.digest, now);
        is_new
    }

    /// Removes the records that are no longer valid. Returns whether the owner must still be remembered.
    pub fn remove_expired(&mut self, now: Duration) -> bool {
        let mut records = std::mem::take(&mut self.records);
        records.retain(|_, record| self.is_valid(record, now));
        self.records = records;
        !self.records.is_empty() || now.saturating_sub(self.heartbeat_at) < VERSION_RETENTION
    }
}
