//! Records, digests and updates as they are sent. The order and types of their fields define their encoding.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Type of a record, which defines how the body is decoded. Records of a kind that a process does not know are held and
/// passed on like others.
pub type Kind = u16;

/// Maximum number of kinds of records that one process may publish.
pub const MAX_KINDS: usize = 16;
/// Maximum length of one record's body.
pub const MAX_BODY_BYTES: usize = 900;
/// Maximum age of a heartbeat; a greater one is reduced to this. About the maximum that a digest can express.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(6553);

/// A record as its owner published it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Defines how the body is decoded.
    pub kind: Kind,
    /// Position in the order in which the owner wrote all of its records, from 1.
    pub version: u64,
    /// How long the record is valid after the last heartbeat that confirmed it, in seconds, unless its owner is known
    /// to be alive.
    pub ttl_s: u16,
    /// Content, which only processes that know the kind can decode; empty if the owner withdrew the record.
    pub body: Vec<u8>,
}

/// The version up to which an owner's records are held, and the owner's last known heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The owner's address.
    pub owner: SocketAddrV4,
    /// The owner's incarnation.
    pub incarnation: u64,
    /// The greatest version up to which all records are held.
    pub max_version: u64,
    /// The owner's heartbeat counter at its last known heartbeat; 0 if no heartbeat is known.
    pub heartbeat: u64,
    /// Age of that heartbeat in tenths of a second; 65535 if it is older.
    pub heartbeat_age_ds: u16,
}

impl Digest {
    /// Maximum length of the digest's encoding.
    pub fn max_encoded_bytes(&self) -> usize {
        const IP_BYTES: usize = 4;
        const MAX_U16_BYTES: usize = 3;
        let varint = |number: u64| {
            let bits = (u64::BITS - number.leading_zeros()) as usize;
            bits.div_ceil(7).max(1)
        };
        let counters = varint(self.incarnation) + varint(self.max_version) + varint(self.heartbeat);
        IP_BYTES + MAX_U16_BYTES + counters + MAX_U16_BYTES
    }

    /// Age of the heartbeat when the digest was made, as far as its sender knew.
    pub fn heartbeat_age(&self) -> Duration {
        Duration::from_millis(u64::from(self.heartbeat_age_ds) * 100).min(MAX_HEARTBEAT_AGE)
    }
}

/// Records of one owner, by ascending version: the latest of each kind, if its version is greater than `since_version`
/// and at most `digest.max_version`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsUpdate {
    /// Names the owner, and the version up to which a receiver holds all records after the update.
    pub digest: Digest,
    /// The version up to which a receiver must already hold all records; 0 if it need not hold any.
    pub since_version: u64,
    /// The records, which may be none.
    pub records: Vec<Record>,
}

impl RecordsUpdate {
    /// Whether the versions ascend within the update's range, and the number and length of the records are within the
    /// limits.
    pub fn is_valid(&self) -> bool {
        let max_version = self.digest.max_version;
        let is_ascending = self
            .records
            .windows(2)
            .all(|pair| pair[0].version < pair[1].version);
        let is_in_range = self
            .records
            .iter()
            .all(|record| record.version > self.since_version && record.version <= max_version);
        let is_small = self.records.len() <= MAX_KINDS
            && self
                .records
                .iter()
                .all(|record| record.body.len() <= MAX_BODY_BYTES);
        is_ascending && is_in_range && is_small && self.since_version <= max_version
    }
}
