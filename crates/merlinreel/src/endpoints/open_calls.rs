//! Open calls to discovery: how much of each response has arrived, and which call is ended where there are too many.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// What has arrived of a response's body.
#[derive(Clone, Copy, Debug)]
struct Received {
    bytes: usize,
    /// When the last of them arrived.
    at: Instant,
}

/// How much of a response's body has arrived; shared between a call and [`OpenCalls`].
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<Mutex<Option<Received>>>);

impl Progress {
    /// Records that this many bytes have arrived by now.
    pub fn record(&self, bytes: usize) {
        *self.lock() = Some(Received {
            bytes,
            at: Instant::now(),
        });
    }

    /// Bytes that have arrived; none where the last of them did so longer than `stalled_after` ago.
    fn bytes_unless_stalled(&self, stalled_after: Duration) -> usize {
        let received = *self.lock();
        received
            .filter(|received| received.at.elapsed() < stalled_after)
            .map_or(0, |received| received.bytes)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Received>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct OpenCall {
    task: AbortHandle,
    progress: Progress,
}

/// The open calls, the oldest first.
#[derive(Debug, Default)]
pub struct OpenCalls(VecDeque<OpenCall>);

impl OpenCalls {
    /// Adds a call, and ends one where there are then more than `max_open`. A response of which nothing has arrived for
    /// `stalled_after` counts as stalled.
    pub fn add(
        &mut self,
        task: AbortHandle,
        progress: Progress,
        max_open: usize,
        stalled_after: Duration,
    ) {
        self.0.push_back(OpenCall { task, progress });
        self.0.retain(|call| !call.task.is_finished());
        if self.0.len() > max_open
            && let Some(call) = self.0.remove(self.position_to_end(stalled_after))
        {
            call.task.abort();
        }
    }

    /// The oldest call, or the second oldest where the oldest one has received most and still receives: a long list, or one
    /// from a slow agent, is not given up for calls that start from its first byte again.
    fn position_to_end(&self, stalled_after: Duration) -> usize {
        let bytes = |position: usize| {
            self.0[position]
                .progress
                .bytes_unless_stalled(stalled_after)
        };
        let most = (0..self.0.len()).map(bytes).max().unwrap_or(0);
        usize::from(most > 0 && bytes(0) == most)
    }

    /// Forgets all calls, as one of them was answered.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
