//! The figures on the operators' door: plain atomic counters, counted where each event happens and read
//! without the driver, so that a busy round never makes an answer late. Each process counts from 0.
//!
//! Shape of `/stats`, one figure a line, in statsd's form (`|c` a count since start, `|g` a present value):
//!
//! ```text
//! limiter.requests.C.served:812|c      (also refused, failed, attempts; C a class of the settings in force)
//! limiter.attempts:900|c               (attempts written whole to servers)
//! limiter.in_flight:14|g               (jobs in hand)
//! limiter.servers_known:10|g           (servers listed and not gone)
//! limiter.servers_excluded:1|g         (of those, draining or resting now)
//! limiter.reloads_ok:2|c
//! limiter.reloads_failed:1|c
//! ```

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// What became of a job, as its client reads the answer's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Refused,
    Failed,
}

impl Outcome {
    /// 200 is served; 429 and 503 are refused, whoever worded them; anything else failed.
    pub fn of(status: u16) -> Outcome {
        match status {
            200 => Outcome::Served,
            429 | 503 => Outcome::Refused,
            _ => Outcome::Failed,
        }
    }
}

/// One class's counts: served, refused, failed, attempts.
#[derive(Default)]
struct Counts([AtomicU64; 4]);

/// The classes that have counts: those in force, and those of before, which keep theirs.
#[derive(Default)]
struct Classes {
    counts: BTreeMap<String, Arc<Counts>>,
    /// Names in force; another name counts nothing.
    current: Vec<String>,
}

#[derive(Default)]
pub struct Metrics {
    /// One lock for both, taken once an answer.
    classes: Mutex<Classes>,
    attempts: AtomicU64,
    pub servers_known: AtomicU64,
    pub servers_excluded: AtomicU64,
    reloads_ok: AtomicU64,
    reloads_failed: AtomicU64,
}

/// The class of a job is the first part of its path.
pub fn class_of(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or("")
}

impl Metrics {
    pub fn new(classes: &[String]) -> Arc<Metrics> {
        let metrics = Arc::new(Metrics::default());
        metrics.classes_now(classes);
        metrics
    }

    /// The classes in force from now on.
    pub fn classes_now(&self, names: &[String]) {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        for name in names {
            classes.counts.entry(name.clone()).or_default();
        }
        classes.current = names.to_vec();
    }

    fn counts(&self, class: &str) -> Option<Arc<Counts>> {
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        classes
            .current
            .iter()
            .any(|name| name == class)
            .then(|| classes.counts.get(class).cloned())
            .flatten()
    }

    pub fn answered(&self, class: &str, outcome: Outcome) {
        let place = match outcome {
            Outcome::Served => 0,
            Outcome::Refused => 1,
            Outcome::Failed => 2,
        };
        self.counts(class)
            .map(|counts| counts.0[place].fetch_add(1, Ordering::Relaxed));
    }

    /// An attempt's last byte was written to its server.
    pub fn attempted(&self, class: &str) {
        self.attempts.fetch_add(1, Ordering::Relaxed);
        self.counts(class)
            .map(|counts| counts.0[3].fetch_add(1, Ordering::Relaxed));
    }

    pub fn reloaded(&self, ok: bool) {
        let count = if ok {
            &self.reloads_ok
        } else {
            &self.reloads_failed
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// All figures, one a line, with the jobs `in_flight` that the door holds.
    pub fn text(&self, in_flight: usize) -> String {
        let mut text = String::new();
        let classes = self
            .classes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .counts
            .clone();
        for (name, counts) in &classes {
            for (what, count) in ["served", "refused", "failed", "attempts"]
                .iter()
                .zip(&counts.0)
            {
                let _ = writeln!(
                    text,
                    "limiter.requests.{name}.{what}:{}|c",
                    count.load(Ordering::Relaxed)
                );
            }
        }
        let _ = writeln!(text, "limiter.in_flight:{in_flight}|g");
        let metrics = [
            ("attempts", &self.attempts, "c"),
            ("servers_known", &self.servers_known, "g"),
            ("servers_excluded", &self.servers_excluded, "g"),
            ("reloads_ok", &self.reloads_ok, "c"),
            ("reloads_failed", &self.reloads_failed, "c"),
        ];
        for (name, figure, kind) in metrics {
            let _ = writeln!(
                text,
                "limiter.{name}:{}|{kind}",
                figure.load(Ordering::Relaxed)
            );
        }
        text
    }
}

#[cfg(test)]
mod tests;
