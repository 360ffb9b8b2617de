//! When each byte of a client's connection arrived, for requests that wait behind others on it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bytes that arrive within this of one another count as arrived with the first of them, which bounds the memory.
const RESOLUTION: Duration = Duration::from_millis(5);

/// The time by which all bytes up to a position in the stream had arrived.
#[derive(Debug)]
struct Mark {
    position: u64,
    time: Instant,
}

/// The arrival times of the bytes that were received and not taken yet.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    marks: VecDeque<Mark>,
    received: u64,
    taken: u64,
}

impl ArrivalTimes {
    /// Records that so many more bytes arrived.
    pub fn record(&mut self, bytes: usize, now: Instant) {
        self.received += bytes as u64;
        match self.marks.back_mut() {
            Some(last) if now.duration_since(last.time) < RESOLUTION => {
                last.position = self.received;
            }
            _ => self.marks.push_back(Mark {
                position: self.received,
                time: now,
            }),
        }
    }

    /// Takes the next bytes, and returns when the last of them had arrived.
    pub fn take(&mut self, bytes: usize) -> Option<Instant> {
        self.taken += bytes as u64;
        while self
            .marks
            .front()
            .is_some_and(|mark| mark.position < self.taken)
        {
            self.marks.pop_front();
        }
        let last = self.marks.front().map(|mark| mark.time);
        if self.taken == self.received {
            self.marks.clear();
        }
        last
    }

    /// Puts back so many of the bytes that were taken last: they will be taken again.
    pub fn put_back(&mut self, bytes: usize) {
        self.taken = self.taken.saturating_sub(bytes as u64);
    }
}

#[cfg(test)]
mod tests;
