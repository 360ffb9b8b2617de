//! Shared records: what each process tells of itself, as every other process has it. No I/O, no clock: times are the
//! holder's own monotonic ones, handed in.
//!
//! A process writes only its own records, one of each kind, numbered in the order of writing. Others take them over
//! from whoever has them, in that order, so that one number for each process says all that is held of it. A record's
//! age is measured at the holder: from when it last heard, over any way, of a beat that its owner made while this
//! record was its latest; what was heard carries how old it was. So no two clocks are compared, a copy grows no younger
//! by being passed on, and what nobody confirms any more is let go of after its time.

mod rows;
#[cfg(test)]
mod tests;
mod view;

#[cfg(test)]
pub use rows::Row;
pub use rows::{Kind, MOST_KINDS, MOST_RECORD, Stamp, Telling};
pub use view::{Held, View};

use crate::error::{Dropped, PublishError};
use crate::member::Member;
use rows::Owner;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long is remembered, beyond the last record, which incarnation and number of a process was seen. Guards against
/// a copy that comes back from a process that was away that long.
pub const FLOOR_MEMORY: Duration = Duration::from_secs(3600);
/// A beat heard of late is taken for no older than this.
const OLDEST: Duration = Duration::from_secs(6553);

/// All that one process holds.
#[derive(Debug)]
pub struct Records {
    own: Member,
    owners: BTreeMap<SocketAddrV4, Owner>,
    /// Processes of which anything is held at once.
    most_owners: usize,
    /// Where the next list of stamps begins, as one datagram may not hold all.
    turn: Option<SocketAddrV4>,
}

/// What a stamp that was heard asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lead {
    /// Both hold the same.
    Level,
    /// The other has more: it is to be asked from this number on, in this incarnation.
    Theirs { incarnation: u64, above: u64 },
    /// There is more here than the other has, which holds up to this number.
    Ours { incarnation: u64, above: u64 },
    /// Nothing is held of that process, and there is no room for another: it is not asked for.
    NoRoom,
}

impl Records {
    /// Holds this process's own records, and those of others up to `most_owners` processes in all.
    pub fn new(own: Member, most_owners: usize) -> Records {
        let mut records = Records {
            own,
            owners: BTreeMap::new(),
            most_owners,
            turn: None,
        };
        records
            .owners
            .insert(own.at, Owner::new(own.incarnation, Duration::ZERO));
        records
    }

    pub fn own(&self) -> Member {
        self.own
    }

    /// Another incarnation of this process, greater than what others hold of it; its records go on under it.
    pub fn renew(&mut self, incarnation: u64, now: Duration) {
        self.own.incarnation = incarnation;
        let mut owner = Owner::new(incarnation, now);
        if let Some(before) = self.owners.remove(&self.own.at) {
            owner.carry_over(before);
        }
        self.owners.insert(self.own.at, owner);
    }

    /// Writes one of this process's own records; an empty body takes it back. Returns its number, or none where it
    /// says what it said before.
    pub fn publish(
        &mut self,
        kind: Kind,
        body: Vec<u8>,
        life: Duration,
        now: Duration,
    ) -> Result<Option<u64>, PublishError> {
        if body.len() > MOST_RECORD {
            return Err(PublishError::TooLong {
                bytes: body.len(),
                most: MOST_RECORD,
            });
        }
        let own = self.own;
        let owner = self
            .owners
            .entry(own.at)
            .or_insert_with(|| Owner::new(own.incarnation, now));
        owner.write(kind, body, life)
    }

    /// A sign of life of this process, which others hear of.
    pub fn beat(&mut self, now: Duration) {
        if let Some(owner) = self.owners.get_mut(&self.own.at) {
            owner.beat(now);
        }
    }

    /// These and no others live, as the membership holds. Records of those that do outlast their time.
    pub fn note_alive(&mut self, members: impl Iterator<Item = Member>) {
        self.owners
            .values_mut()
            .for_each(|owner| owner.alive = false);
        for member in members {
            let owner = self.owners.get_mut(&member.at);
            if let Some(owner) = owner.filter(|owner| owner.incarnation == member.incarnation) {
                owner.alive = true;
            }
        }
    }

    /// Lets go of what is over.
    pub fn tidy(&mut self, now: Duration) {
        let own = self.own.at;
        self.owners
            .retain(|at, owner| *at == own || owner.tidy(now));
    }

    /// Stamps of as many processes as fit into `most` bytes, own first, the others in turn.
    pub fn stamps(&mut self, now: Duration, most: usize) -> Vec<Stamp> {
        let own = self.own.at;
        let mut stamps = Vec::new();
        let mut left = most;
        let from = self.turn.take();
        let after = from.map_or(
            (std::ops::Bound::Unbounded, std::ops::Bound::Unbounded),
            |at| (std::ops::Bound::Included(at), std::ops::Bound::Unbounded),
        );
        let later = self.owners.range::<SocketAddrV4, _>(after);
        let earlier = from.into_iter().flat_map(|at| self.owners.range(..at));
        let others = later.chain(earlier).filter(|(at, _)| **at != own);
        let first = self.owners.get_key_value(&own);
        for (&at, owner) in first.into_iter().chain(others) {
            let stamp = owner.stamp(at, now);
            let Some(rest) = left.checked_sub(stamp.wire_bytes()) else {
                self.turn = Some(at);
                break;
            };
            left = rest;
            stamps.push(stamp);
        }
        stamps
    }

    /// Takes a stamp in and says who is ahead.
    pub fn hear(&mut self, stamp: &Stamp, now: Duration) -> Lead {
        if stamp.at == self.own.at {
            // Of this process nobody knows better, but for a life of it that is later than this one.
            let own = self.owners.get(&stamp.at).map_or(0, |owner| owner.top);
            return match stamp.incarnation.cmp(&self.own.incarnation) {
                std::cmp::Ordering::Greater => {
                    self.renew(stamp.incarnation + 1, now);
                    Lead::Ours {
                        incarnation: self.own.incarnation,
                        above: 0,
                    }
                }
                std::cmp::Ordering::Equal if stamp.top >= own => Lead::Level,
                std::cmp::Ordering::Equal => Lead::Ours {
                    incarnation: self.own.incarnation,
                    above: stamp.top,
                },
                std::cmp::Ordering::Less => Lead::Ours {
                    incarnation: self.own.incarnation,
                    above: 0,
                },
            };
        }
        if !self.has_room_for(stamp.at) {
            return Lead::NoRoom;
        }
        let Some(owner) = self.owners.get_mut(&stamp.at) else {
            return Lead::Theirs {
                incarnation: stamp.incarnation,
                above: 0,
            };
        };
        if stamp.incarnation != owner.incarnation {
            return if stamp.incarnation > owner.incarnation {
                Lead::Theirs {
                    incarnation: stamp.incarnation,
                    above: 0,
                }
            } else {
                Lead::Ours {
                    incarnation: owner.incarnation,
                    above: 0,
                }
            };
        }
        owner.hear(stamp, now);
        match stamp.top.cmp(&owner.top) {
            std::cmp::Ordering::Greater => Lead::Theirs {
                incarnation: owner.incarnation,
                above: owner.top,
            },
            std::cmp::Ordering::Equal => Lead::Level,
            std::cmp::Ordering::Less => Lead::Ours {
                incarnation: owner.incarnation,
                above: stamp.top,
            },
        }
    }

    /// What is held of a process above a number, as much as fits into `most` bytes, in the order of writing.
    pub fn tell(
        &self,
        at: SocketAddrV4,
        above: u64,
        now: Duration,
        most: usize,
    ) -> Option<Telling> {
        self.owners.get(&at)?.tell(at, above, now, most)
    }

    /// Whether records of that process are held, or may be.
    fn has_room_for(&self, at: SocketAddrV4) -> bool {
        self.owners.len() < self.most_owners || self.owners.contains_key(&at)
    }

    /// Takes over what another told; whether anything was new. Where there is no room for another process, what is held
    /// stays as it is.
    pub fn take(&mut self, telling: Telling, now: Duration) -> Result<bool, Dropped> {
        let stamp = telling.stamp;
        if stamp.at == self.own.at {
            self.hear(&stamp, now);
            return Ok(false);
        }
        let floor = self
            .owners
            .get(&stamp.at)
            .map_or(0, |owner| owner.incarnation);
        if stamp.incarnation < floor || !telling.is_sound() {
            return Ok(false);
        }
        if !self.has_room_for(stamp.at) {
            return Err(Dropped::OwnersFull);
        }
        // As old as the teller's last word of it: guards against copies that grow younger by being passed on.
        let as_of = now.saturating_sub(stamp.age());
        let owner = self
            .owners
            .entry(stamp.at)
            .or_insert_with(|| Owner::new(stamp.incarnation, as_of));
        if stamp.incarnation > owner.incarnation {
            // Another life of that process: what it told before is over.
            *owner = Owner::new(stamp.incarnation, as_of);
        }
        Ok(owner.take(telling, now))
    }

    /// What is held, with its age.
    pub fn view(&self, now: Duration) -> View<'_> {
        View::new(&self.owners, now)
    }
}
