//! Read access to the records held, by kind.

use super::owner::OwnerRecords;
use super::record::Kind;
use crate::member::Member;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// The records that are valid at one moment.
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
    /// Its place in the order in which its owner wrote its records.
    pub version: u64,
    /// Its content.
    pub body: T,
}

/// The records of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindRecords<T> {
    /// Those that could be decoded, by their owners' addresses.
    pub records: Vec<StoredRecord<T>>,
    /// How many could not be decoded.
    pub unreadable: usize,
}

impl<'a> View<'a> {
    pub(super) fn new(owners: &'a BTreeMap<SocketAddrV4, OwnerRecords>, now: Duration) -> View<'a> {
        View { owners, now }
    }

    /// The records of a kind as bytes, by their owners' addresses. Withdrawn records are left out.
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

    /// The records of a kind decoded as JSON. Records of a much newer, much older or faulty process that can't be decoded
    /// are only counted; fields that `T` does not have are ignored.
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
