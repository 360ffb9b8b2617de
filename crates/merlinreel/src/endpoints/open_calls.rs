//! Calls to discovery that are out: how much of each answer has come, and which of them gives way where there are too many.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// How much of an answer's body has come, and when the last of it did.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<Mutex<Option<(usize, Instant)>>>);

impl Progress {
    /// So many bytes have come by now.
    pub fn reached(&self, bytes: usize) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some((bytes, Instant::now()));
    }

    /// Bytes that have come, none where the last of them did so `within` before or earlier.
    fn of_late(&self, within: Duration) -> usize {
        let reached = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reached
            .filter(|(_, at)| at.elapsed() < within)
            .map_or(0, |(bytes, _)| bytes)
    }
}

/// The calls that are out, the oldest in front.
#[derive(Debug, Default)]
pub struct OpenCalls(VecDeque<(AbortHandle, Progress)>);

impl OpenCalls {
    /// Takes another call in; ends one where there are then more than `most`.
    pub fn add(
        &mut self,
        call: AbortHandle,
        progress: Progress,
        most: usize,
        stalls_after: Duration,
    ) {
        self.0.push_back((call, progress));
        self.0.retain(|(call, _)| !call.is_finished());
        if self.0.len() > most
            && let Some((call, _)) = self.0.remove(self.gives_way(stalls_after))
        {
            call.abort();
        }
    }

    /// The oldest, unless its answer is further on than all others and still comes: then the next. Guards a long list,
    /// or one from a slow agent, against being given up for calls that begin from its first byte again.
    fn gives_way(&self, stalls_after: Duration) -> usize {
        let bytes = |place: usize| self.0[place].1.of_late(stalls_after);
        let furthest = (0..self.0.len()).map(bytes).max().unwrap_or(0);
        usize::from(furthest > 0 && bytes(0) == furthest)
    }

    /// Forgets all, as one of them was answered.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
