//! One process's records as held, and the forms in which they go from process to process.

use super::{FLOOR_MEMORY, OLDEST};
use crate::error::PublishError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// What a record is about. Numbers that a process does not know are held and passed on like others.
pub type Kind = u16;
/// Kinds that one process may tell at once.
pub const MOST_KINDS: usize = 16;
/// Bytes of one record's body.
pub const MOST_RECORD: usize = 900;

/// A record on its way: the number that its owner gave it, how long it is good without a word from its owner, in
/// seconds, and its content, which only those who know its kind can read; empty where it was taken back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub kind: Kind,
    pub number: u64,
    pub life_s: u16,
    pub body: Vec<u8>,
}

/// How far a process's records are held, and which of its beats was heard how long ago, in tenths of a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    pub at: SocketAddrV4,
    pub incarnation: u64,
    pub top: u64,
    pub beat: u64,
    pub age_ds: u16,
}

impl Stamp {
    /// Bytes that it takes on the wire at most.
    pub fn wire_bytes(&self) -> usize {
        let varint = |n: u64| (64 - n.leading_zeros() as usize).div_ceil(7).max(1);
        4 + 3 + varint(self.incarnation) + varint(self.top) + varint(self.beat) + 3
    }

    /// How long ago that beat was made, as far as the sender knows.
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ds) * 100).min(OLDEST)
    }
}

/// Some of a process's records, in the order of writing; `stamp.top` is the number up to which nothing is left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Telling {
    pub stamp: Stamp,
    /// The number that the receiver must hold already, so that nothing is left out.
    pub above: u64,
    pub rows: Vec<Row>,
}

impl Telling {
    /// Whether its numbers make sense: rising, between both ends, within the sizes.
    pub fn is_sound(&self) -> bool {
        let numbers = self.rows.iter().map(|row| row.number);
        let rising = numbers
            .clone()
            .zip(numbers.skip(1))
            .all(|(one, next)| one < next);
        let within = self
            .rows
            .iter()
            .all(|row| row.number > self.above && row.number <= self.stamp.top);
        let small = self.rows.iter().all(|row| row.body.len() <= MOST_RECORD)
            && self.rows.len() <= MOST_KINDS;
        rising && within && small && self.above <= self.stamp.top
    }
}

/// All that is held of one process.
#[derive(Debug)]
pub struct Owner {
    pub incarnation: u64,
    pub top: u64,
    beat: u64,
    /// When that beat was made, by the holder's clock.
    beat_at: Duration,
    /// When all that is held up to `top` was last known to be its latest.
    pub confirmed: Duration,
    /// The membership holds that this incarnation lives.
    pub alive: bool,
    pub rows: BTreeMap<Kind, Row>,
}

impl Owner {
    /// Nothing yet, of a process last known to live at `as_of`.
    pub fn new(incarnation: u64, as_of: Duration) -> Owner {
        Owner {
            incarnation,
            top: 0,
            beat: 0,
            beat_at: as_of,
            confirmed: as_of,
            alive: false,
            rows: BTreeMap::new(),
        }
    }

    /// The rows of this process's life before go on, numbered anew.
    pub fn carry_over(&mut self, before: Owner) {
        for mut row in before.rows.into_values().filter(|row| !row.body.is_empty()) {
            self.top += 1;
            row.number = self.top;
            self.rows.insert(row.kind, row);
        }
    }

    pub fn write(
        &mut self,
        kind: Kind,
        body: Vec<u8>,
        life: Duration,
    ) -> Result<Option<u64>, PublishError> {
        let life_s = u16::try_from(life.as_secs()).unwrap_or(u16::MAX).max(1);
        match self.rows.get(&kind) {
            Some(row) if row.body == body && row.life_s == life_s => return Ok(None),
            None if body.is_empty() => return Ok(None),
            None if self.rows.len() >= MOST_KINDS => return Err(PublishError::TooMany(MOST_KINDS)),
            _ => {}
        }
        self.top += 1;
        self.rows.insert(
            kind,
            Row {
                kind,
                number: self.top,
                life_s,
                body,
            },
        );
        Ok(Some(self.top))
    }

    /// Whether a row is still good: its owner lives, or its last known beat is no older than the row's life. In a large
    /// fleet beats come round in minutes, the membership's word in seconds; a row's age is told by beats alone.
    pub fn is_good(&self, row: &Row, now: Duration) -> bool {
        self.alive || now.saturating_sub(self.confirmed) <= Duration::from_secs(row.life_s.into())
    }

    pub fn beat(&mut self, now: Duration) {
        self.beat += 1;
        (self.beat_at, self.confirmed) = (now, now);
    }

    pub fn stamp(&self, at: SocketAddrV4, now: Duration) -> Stamp {
        let tenths = now.saturating_sub(self.beat_at).as_millis().div_ceil(100);
        Stamp {
            at,
            incarnation: self.incarnation,
            top: self.top,
            beat: self.beat,
            age_ds: u16::try_from(tenths).unwrap_or(u16::MAX),
        }
    }

    /// A stamp of this incarnation. A beat that is new here is as old as the other says at least. One that was made
    /// when more was written than is held here says nothing of what is: it is left to later, so that a beat and a
    /// number that stand together in a stamp always fit.
    pub fn hear(&mut self, stamp: &Stamp, now: Duration) {
        if stamp.top > self.top {
            return;
        }
        if stamp.beat > self.beat {
            self.beat = stamp.beat;
            // Never before what an earlier beat was taken for.
            self.beat_at = now.saturating_sub(stamp.age()).max(self.beat_at.min(now));
        }
        if stamp.beat >= self.beat {
            self.confirmed = self.confirmed.max(self.beat_at);
        }
    }

    pub fn tell(
        &self,
        at: SocketAddrV4,
        above: u64,
        now: Duration,
        most: usize,
    ) -> Option<Telling> {
        let mut rows: Vec<&Row> = self
            .rows
            .values()
            .filter(|row| row.number > above)
            .collect();
        rows.sort_unstable_by_key(|row| row.number);
        let mut stamp = self.stamp(at, now);
        let (mut left, mut told) = (most.checked_sub(stamp.wire_bytes() + 16)?, Vec::new());
        for row in rows {
            // A row's head takes 2 + 3 + 10 bytes at most, its length 2.
            let Some(rest) = left.checked_sub(17 + row.body.len()) else {
                // The rest another time: no more than this is held then, and no beat was made at that number.
                (stamp.top, stamp.beat) = (told.last().map(|row: &Row| row.number)?, 0);
                break;
            };
            left = rest;
            told.push(row.clone());
        }
        Some(Telling {
            stamp,
            above,
            rows: told,
        })
    }

    pub fn take(&mut self, telling: Telling, now: Duration) -> bool {
        let new = telling.above <= self.top && telling.stamp.top > self.top;
        if new {
            for row in telling.rows {
                if self
                    .rows
                    .get(&row.kind)
                    .is_none_or(|held| held.number < row.number)
                {
                    self.rows.insert(row.kind, row);
                }
            }
            self.top = telling.stamp.top;
            // A sound process tells of no more kinds; one that is not must not fill the memory.
            while self.rows.len() > MOST_KINDS {
                self.rows.pop_last();
            }
        }
        self.hear(&telling.stamp, now);
        new
    }

    /// Lets go of rows whose time is over; whether the process must still be remembered.
    pub fn tidy(&mut self, now: Duration) -> bool {
        let mut rows = std::mem::take(&mut self.rows);
        rows.retain(|_, row| self.is_good(row, now));
        self.rows = rows;
        !self.rows.is_empty() || now.saturating_sub(self.beat_at) < FLOOR_MEMORY
    }
}
