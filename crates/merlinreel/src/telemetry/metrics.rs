//! The metrics of `/stats`: plain atomic counters, counted where each event happens and read without the event loop, so
//! that a busy batch never delays an answer. Each process counts from 0.
//!
//! Shape of `/stats`, one metric a line, in statsd's form (`|c` a count since start, `|g` a present value):
//!
//! ```text
//! limiter.requests.C.served:812|c      (also refused, failed, attempts; C a class of the settings in force)
//! limiter.attempts:900|c               (attempts completely written to servers)
//! limiter.rejected.quota:3|c           (also late_arrival, no_server_in_time, attempts_failed, too_many_in_flight, too_many_connections)
//! limiter.in_flight:14|g               (requests in flight)
//! limiter.servers_known:10|g           (servers listed and not removed)
//! limiter.servers_excluded:1|g         (of those, draining or ejected now)
//! limiter.reloads_ok:2|c
//! limiter.reloads_failed:1|c
//! limiter.hold_ups:3|c                 (the event loop ran over 20 ms late)
//! limiter.longest_hold_up_ms:180|g     (since start)
//! ```

use crate::sync::lock;
use hyper::StatusCode;
use merlinreel_policy::RejectReason;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a request ended, as its client reads the status of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// 200.
    Success,
    /// 429 or 503, whether the limiter or a server sent it.
    Rejected,
    /// Any other status.
    Failed,
}

impl ResponseOutcome {
    /// The outcome of a response of that status.
    pub fn from_status(status: StatusCode) -> ResponseOutcome {
        match status {
            StatusCode::OK => ResponseOutcome::Success,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                ResponseOutcome::Rejected
            }
            _ => ResponseOutcome::Failed,
        }
    }
}

/// How a reload of the configuration ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// The new configuration is in force.
    Applied,
    /// It was invalid, and the one before stays in force.
    Failed,
}

/// The counts of one class.
#[derive(Default)]
struct ClassCounts {
    success: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    attempts: AtomicU64,
}

/// The classes that have counts: those in force, and those of before, which keep theirs.
#[derive(Default)]
struct Classes {
    counts: BTreeMap<String, Arc<ClassCounts>>,
    /// Names in force; another name counts nothing.
    current: Vec<String>,
}

/// All metrics of the process.
#[derive(Default)]
pub struct Metrics {
    /// One lock for both of its parts, taken once a response.
    classes: Mutex<Classes>,
    attempts: AtomicU64,
    /// Servers listed and not removed.
    pub servers_known: AtomicU64,
    /// Of those, draining or ejected now.
    pub servers_excluded: AtomicU64,
    reloads_ok: AtomicU64,
    reloads_failed: AtomicU64,
    rejections: RejectionCounts,
    hold_ups: AtomicU64,
    longest_hold_up_ms: AtomicU64,
}

/// Why requests were rejected: by the policy, or before it was asked.
#[derive(Default)]
struct RejectionCounts {
    quota: AtomicU64,
    late_arrival: AtomicU64,
    no_server_in_time: AtomicU64,
    attempts_failed: AtomicU64,
    too_many_in_flight: AtomicU64,
    too_many_connections: AtomicU64,
}

impl RejectionCounts {
    fn of(&self, reason: RejectReason) -> &AtomicU64 {
        match reason {
            RejectReason::Quota => &self.quota,
            RejectReason::LateArrival => &self.late_arrival,
            RejectReason::NoServerInTime => &self.no_server_in_time,
            RejectReason::AttemptsFailed => &self.attempts_failed,
        }
    }

    fn named(&self) -> [(&'static str, &AtomicU64); 6] {
        [
            ("quota", &self.quota),
            ("late_arrival", &self.late_arrival),
            ("no_server_in_time", &self.no_server_in_time),
            ("attempts_failed", &self.attempts_failed),
            ("too_many_in_flight", &self.too_many_in_flight),
            ("too_many_connections", &self.too_many_connections),
        ]
    }
}

/// The class of a request is the first segment of its path.
pub fn class_of(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or("")
}

impl Metrics {
    /// All counts at 0, with these classes in force.
    pub fn new(classes: &[String]) -> Arc<Metrics> {
        let metrics = Arc::new(Metrics::default());
        metrics.set_classes(classes);
        metrics
    }

    /// Has these classes in force from now on.
    pub fn set_classes(&self, names: &[String]) {
        let mut classes = lock(&self.classes);
        for name in names {
            classes.counts.entry(name.clone()).or_default();
        }
        classes.current = names.to_vec();
    }

    /// The counts of a class in force.
    fn class_counts(&self, class: &str) -> Option<Arc<ClassCounts>> {
        let classes = lock(&self.classes);
        classes
            .current
            .iter()
            .any(|name| name == class)
            .then(|| classes.counts.get(class).cloned())
            .flatten()
    }

    /// Counts a response to a request of that class.
    pub fn count_response(&self, class: &str, outcome: ResponseOutcome) {
        let Some(counts) = self.class_counts(class) else {
            return;
        };
        let count = match outcome {
            ResponseOutcome::Success => &counts.success,
            ResponseOutcome::Rejected => &counts.rejected,
            ResponseOutcome::Failed => &counts.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt whose last byte was written to its server.
    pub fn count_attempt(&self, class: &str) {
        self.attempts.fetch_add(1, Ordering::Relaxed);
        if let Some(counts) = self.class_counts(class) {
            counts.attempts.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a reload of the configuration.
    pub fn count_reload(&self, outcome: ReloadOutcome) {
        let count = match outcome {
            ReloadOutcome::Applied => &self.reloads_ok,
            ReloadOutcome::Failed => &self.reloads_failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that the policy rejected.
    pub fn count_rejection(&self, reason: RejectReason) {
        self.rejections.of(reason).fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that was rejected as the maximum was in flight.
    pub fn count_excess_request(&self) {
        self.rejections
            .too_many_in_flight
            .fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that was rejected as the maximum of connections was served.
    pub fn count_excess_connection(&self) {
        self.rejections
            .too_many_connections
            .fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a hold-up: the event loop ran this late.
    pub fn count_hold_up(&self, delay: Duration) {
        self.hold_ups.fetch_add(1, Ordering::Relaxed);
        self.longest_hold_up_ms
            .fetch_max(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// The text of `/stats`, with the number of requests in flight that the caller knows.
    pub fn render(&self, in_flight: usize) -> String {
        let mut text = String::new();
        let class_counts = lock(&self.classes).counts.clone();
        for (class, counts) in &class_counts {
            let metrics = [
                ("served", &counts.success),
                ("refused", &counts.rejected),
                ("failed", &counts.failed),
                ("attempts", &counts.attempts),
            ];
            for (name, count) in metrics {
                let _ = writeln!(
                    text,
                    "limiter.requests.{class}.{name}:{}|c",
                    count.load(Ordering::Relaxed)
                );
            }
        }
        for (reason, count) in self.rejections.named() {
            let count = count.load(Ordering::Relaxed);
            let _ = writeln!(text, "limiter.rejected.{reason}:{count}|c");
        }
        let _ = writeln!(text, "limiter.in_flight:{in_flight}|g");
        let metrics = [
            ("attempts", &self.attempts, "c"),
            ("servers_known", &self.servers_known, "g"),
            ("servers_excluded", &self.servers_excluded, "g"),
            ("reloads_ok", &self.reloads_ok, "c"),
            ("reloads_failed", &self.reloads_failed, "c"),
            ("hold_ups", &self.hold_ups, "c"),
            ("longest_hold_up_ms", &self.longest_hold_up_ms, "g"),
        ];
        for (name, metric, kind) in metrics {
            let _ = writeln!(
                text,
                "limiter.{name}:{}|{kind}",
                metric.load(Ordering::Relaxed)
            );
        }
        text
    }
}

#[cfg(test)]
mod tests;
