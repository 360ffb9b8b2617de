//! What everybody saw, in order.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// `X-Txn`, as its client wrote it.
pub type RequestId = String;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// A client wrote a request whole to a limiter, by that limiter's number.
    Asked {
        id: RequestId,
        class: &'static str,
        customer: u32,
        limiter: usize,
        patience: Duration,
    },
    /// It read a whole answer; `again` if that told when to come back.
    Answered {
        id: RequestId,
        status: u16,
        again: bool,
    },
    /// The connection ended, or the client's time and more was over, with no whole answer.
    Unanswered {
        id: RequestId,
        /// It was the first on its connection.
        fresh: bool,
    },
    /// Its client closed the connection with the request in hand.
    Gone {
        id: RequestId,
    },
    /// An attempt's last byte was there at a worker.
    Came {
        id: RequestId,
        worker: usize,
        attempt: u64,
        /// How long the limiter says that it will wait.
        told: Option<Duration>,
    },
    /// It was turned away: it never runs.
    TurnedAway {
        attempt: u64,
    },
    /// It has run, and its answer was written as far as the worker can tell.
    Ran {
        attempt: u64,
    },
    /// The limiter ended the connection before that.
    Left {
        attempt: u64,
    },
    /// An agent wrote to a limiter that this worker drains or is gone.
    Told {
        limiter: usize,
        worker: usize,
    },
    /// The way between them carries nothing from here on, or all again: an end on one side is not seen on the other.
    Cut {
        limiter: usize,
        worker: usize,
    },
    Healed {
        limiter: usize,
        worker: usize,
    },
    /// A fault on a limiter's process: it holds from here on, or until the next of its kind.
    Killed {
        limiter: usize,
    },
    /// It was asked to stop, and is killed later where it has not ended by then.
    Terminated {
        limiter: usize,
    },
    /// Clients that never ask fill its places, from here on or until the next of its kind.
    Crowded {
        limiter: usize,
    },
    Dispersed {
        limiter: usize,
    },
    Stopped {
        limiter: usize,
    },
    Woken {
        limiter: usize,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Since the record began.
    pub at: Duration,
    pub what: What,
}

/// Shared by all who tell.
#[derive(Clone, Debug)]
pub struct Record {
    began: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Default for Record {
    fn default() -> Record {
        Record {
            began: Instant::now(),
            entries: Arc::default(),
        }
    }
}

impl Record {
    /// Notes what was seen now.
    pub fn tell(&self, what: What) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        // Under the lock: in the order of time.
        entries.push(Entry {
            at: self.began.elapsed(),
            what,
        });
    }

    pub fn entries(&self) -> Vec<Entry> {
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
