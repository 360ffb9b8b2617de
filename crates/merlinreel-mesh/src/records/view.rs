//! What is held, as those read it who need it: by kind, with each record's owner and age.

use super::rows::{Kind, Owner};
use crate::member::Member;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// All that is held at one moment. What is older than its time is not in it.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    owners: &'a BTreeMap<SocketAddrV4, Owner>,
    now: Duration,
}

/// One record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held<T> {
    pub owner: Member,
    /// Since its owner was last known to hold by it, by this process's clock.
    pub age: Duration,
    pub number: u64,
    pub body: T,
}

impl<'a> View<'a> {
    pub(super) fn new(owners: &'a BTreeMap<SocketAddrV4, Owner>, now: Duration) -> View<'a> {
        View { owners, now }
    }

    /// All records of a kind as bytes, by their owners' addresses.
    pub fn raw(&self, kind: Kind) -> impl Iterator<Item = Held<&'a [u8]>> + use<'a> {
        let now = self.now;
        self.owners.iter().filter_map(move |(&at, owner)| {
            let row = owner.rows.get(&kind).filter(|row| !row.body.is_empty())?;
            let age = now.saturating_sub(owner.confirmed);
            owner.is_good(row, now).then_some(Held {
                owner: Member {
                    at,
                    incarnation: owner.incarnation,
                },
                age,
                number: row.number,
                body: row.body.as_slice(),
            })
        })
    }

    /// All records of a kind that can be read as `T`, JSON in which unknown fields have no meaning, and how many
    /// can't: those of a process that is far newer, far older or wrong do no harm.
    pub fn read<T: DeserializeOwned>(&self, kind: Kind) -> (Vec<Held<T>>, usize) {
        let (mut read, mut unread) = (Vec::new(), 0);
        for Held {
            owner,
            age,
            number,
            body,
        } in self.raw(kind)
        {
            match serde_json::from_slice(body) {
                Ok(body) => read.push(Held {
                    owner,
                    age,
                    number,
                    body,
                }),
                Err(_) => unread += 1,
            }
        }
        (read, unread)
    }
}
