//! Arrival times of the bytes on a client connection. The time of a pipelined request counts from its arrival, not from
//! when the request before it is done.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bytes that arrive within this time of a mark's first bytes share its time, which bounds the number of marks.
const RESOLUTION: Duration = Duration::from_millis(5);

/// The time at which the bytes between the previous mark's position and this one's arrived, accurate to [`RESOLUTION`].
#[derive(Debug)]
struct Mark {
    position: u64,
    time: Instant,
}

/// The arrival times of the bytes that were received and not yet taken. Positions count from the connection's first byte.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    marks: VecDeque<Mark>,
    received: u64,
    taken: u64,
}

impl ArrivalTimes {
    /// Records that `bytes` more bytes had arrived by `now`.
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

    /// Takes the next `bytes` bytes, and returns when the last of them arrived. `None` if no arrival is recorded for it.
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

    /// Undoes the taking of the last `bytes` bytes, which will be taken again.
    pub fn put_back(&mut self, bytes: usize) {
        self.taken = self.taken.saturating_sub(bytes as u64);
    }
}

#[cfg(test)]
mod tests;
