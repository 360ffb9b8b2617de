//! When the bytes of a client came, for requests that wait behind others on their connection.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bytes that came within this count as come with the first of them. It bounds the memory, and is far under what a
/// client's time is measured in.
const STEP: Duration = Duration::from_millis(5);

/// Positions in the stream of a connection, with the time by which the bytes up to there had come.
#[derive(Debug, Default)]
pub struct Arrivals {
    marks: VecDeque<(u64, Instant)>,
    came: u64,
    taken: u64,
}

impl Arrivals {
    /// So many more bytes came.
    pub fn came(&mut self, bytes: usize, now: Instant) {
        self.came += bytes as u64;
        match self.marks.back_mut() {
            Some((end, at)) if now.duration_since(*at) < STEP => *end = self.came,
            _ => self.marks.push_back((self.came, now)),
        }
    }

    /// So many more bytes are read; when the last of them had come.
    pub fn take(&mut self, bytes: usize) -> Option<Instant> {
        self.taken += bytes as u64;
        while self.marks.front().is_some_and(|(end, _)| *end < self.taken) {
            self.marks.pop_front();
        }
        let last = self.marks.front().map(|(_, at)| *at);
        if self.taken == self.came {
            self.marks.clear();
        }
        last
    }

    /// So many of the bytes taken last are to be taken again.
    pub fn give_back(&mut self, bytes: usize) {
        self.taken = self.taken.saturating_sub(bytes as u64);
    }
}

#[cfg(test)]
mod tests;
