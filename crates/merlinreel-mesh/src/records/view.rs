//! Read access to the records held, by kind.

use super::owner::OwnerRecords;
use super::record::Kind;
use crate::member::Member;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// The records that are valid at one time, by this process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    owners: &'a BTreeMap<SocketAddrV4, OwnerRecords>,
    now: Duration,
}

/// A record with its owner and age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredRecord<T> {
    /// The process that published it.
    pub owner: Member,
    /// Time since the record was last known to be its owner's latest, by this process's clock.
    pub age: Duration,
    /// Position in the order in which the owner wrote all of its records, from 1.
    pub version: u64,
    /// Content of the record: the bytes as published, or the decoded value.
    pub body: T,
}

/// The decoded records of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindRecords<T> {
    /// The records that could be decoded, sorted by their owners' addresses.
    pub records: Vec<StoredRecord<T>>,
    /// Number of records that could not be decoded.
    pub unreadable: usize,
}

impl<'a> View<'a> {
    pub(super) fn new(owners: &'a BTreeMap<SocketAddrV4, OwnerRecords>, now: Duration) -> View<'a> {
        View { owners, now }
    }

    /// The valid records of a kind as bytes, sorted by their owners' addresses. Withdrawn records are left out.
    pub fn raw(&self, kind: Kind) -> impl Iterator<Item = StoredRecord<&'a [u8]>> + use<'a> {
        let now = self.now;
        self.owners.iter().filter_map(move |(&address, held)| {
            let record = held.records.get(&kind)?;
            if record.body.is_empty() || !held.is_valid(record, now) {
                return None;
            }
            Some(StoredRecord {
                owner: Member {
                    address,
                    incarnation: held.incarnation,
                },
                age: held.age(now),
                version: record.version,
                body: record.body.as_slice(),
            })
        })
    }

    /// The valid records of a kind, decoded as JSON. Records that can't be decoded, of a much newer, much older or
    /// faulty process, are only counted; fields that `T` does not have are ignored.
    pub fn decode<T: DeserializeOwned>(&self, kind: Kind) -> KindRecords<T> {
        let mut decoded = KindRecords {
            records: Vec::new(),
            unreadable: 0,
        };
        for record in self.raw(kind) {
            match serde_json::from_slice(record.body) {
                Ok(body) => decoded.records.push(StoredRecord {
                    owner: record.owner,
                    age: record.age,
                    version: record.version,
                    body,
                }),
                Err(_) => decoded.unreadable += 1,
            }
        }
        decoded
    }
}
