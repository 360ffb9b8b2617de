//! Records, digests and updates in the form in which they are sent. The order and types of their fields are their
//! encoding.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;

/// What a record is about. Records of a kind that a process does not know are held and passed on like others.
pub type Kind = u16;

/// Kinds of records that one process may publish.
pub const MAX_KINDS: usize = 16;
/// Bytes of one record's body at most.
pub const MAX_BODY_BYTES: usize = 900;
/// The greatest age that is accepted for a heartbeat, about the greatest that a digest can express.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(6553);

/// A record as its owner published it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What it is about.
    pub kind: Kind,
    /// Its place in the order in which its owner wrote its records.
    pub version: u64,
    /// How long it is valid without a sign of its owner, in seconds.
    pub ttl_s: u16,
    /// Its content, which only processes that know its kind can decode; empty if its owner withdrew it.
    pub body: Vec<u8>,
}

/// Which versions of an owner's records are held, and which of its heartbeats was last heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The owner's address.
    pub owner: SocketAddrV4,
    /// The owner's incarnation.
    pub incarnation: u64,
    /// The greatest version up to which all records are held.
    pub max_version: u64,
    /// The owner's heartbeat counter.
    pub heartbeat: u64,
    /// How long ago that heartbeat was made, in tenths of a second.
    pub heartbeat_age_ds: u16,
}

impl Digest {
    /// Bytes of its encoding at most.
    pub fn max_encoded_bytes(&self) -> usize {
        const ADDRESS: usize = 4;
        const U16: usize = 3;
        let varint = |number: u64| {
            let bits = (u64::BITS - number.leading_zeros()) as usize;
            bits.div_ceil(7).max(1)
        };
        let counters = varint(self.incarnation) + varint(self.max_version) + varint(self.heartbeat);
        ADDRESS + U16 + counters + U16
    }

    /// How long ago the heartbeat was made, as far as the sender knows.
    pub fn heartbeat_age(&self) -> Duration {
        Duration::from_millis(u64::from(self.heartbeat_age_ds) * 100).min(MAX_HEARTBEAT_AGE)
    }
}

/// Some of an owner's records, by ascending version. No record between `since_version` and `digest.max_version` is left
/// out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsUpdate {
    /// The owner, and the version that a receiver holds after the update.
    pub digest: Digest,
    /// The version that a receiver must hold already.
    pub since_version: u64,
    /// The records.
    pub records: Vec<Record>,
}

impl RecordsUpdate {
    /// Whether its versions ascend between both ends, and its records are within the limits.
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
