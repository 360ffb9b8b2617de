//! The open calls to discovery: how much of each response has arrived, and which call is aborted if there are too many.

use crate::sync::lock;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// The part of a response's body that has arrived.
#[derive(Clone, Copy, Debug)]
struct Received {
    bytes: usize,
    /// When its last bytes arrived.
    at: Instant,
}

/// How much of a response's body has arrived; `None` before its first bytes. Shared between a call's task and
/// [`OpenCalls`].
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<Mutex<Option<Received>>>);

impl Progress {
    /// Records the total number of bytes that have arrived by now.
    pub fn record(&self, bytes: usize) {
        *lock(&self.0) = Some(Received {
            bytes,
            at: Instant::now(),
        });
    }

    /// The number of bytes that have arrived; 0 if none has arrived for `stalled_after`.
    fn bytes_unless_stalled(&self, stalled_after: Duration) -> usize {
        let received = *lock(&self.0);
        received
            .filter(|received| received.at.elapsed() < stalled_after)
            .map_or(0, |received| received.bytes)
    }
}

#[derive(Debug)]
struct OpenCall {
    task: AbortHandle,
    progress: Progress,
}

/// The open calls, oldest first.
#[derive(Debug, Default)]
pub struct OpenCalls(VecDeque<OpenCall>);

impl OpenCalls {
    /// Adds a call, and aborts one if more than `max_open` are then open. A response of which no byte has arrived for
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
            && let Some(call) = self.0.remove(self.position_to_abort(stalled_after))
        {
            call.task.abort();
        }
    }

    /// Position of the call to abort: the oldest one, or the second oldest if the oldest has received the most bytes
    /// and has not stalled. A long list, or one from a slow agent, is thus not abandoned for calls that start again at
    /// its first byte.
    fn position_to_abort(&self, stalled_after: Duration) -> usize {
        let bytes = |position: usize| {
            self.0[position]
                .progress
                .bytes_unless_stalled(stalled_after)
        };
        let most = (0..self.0.len()).map(bytes).max().unwrap_or(0);
        usize::from(most > 0 && bytes(0) == most)
    }

    /// Removes all calls; the caller has aborted them after the response to one.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
