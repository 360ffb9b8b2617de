//! The metrics of `/stats`: atomic counters that are incremented where each event happens and read without the event loop,
//! so that a busy event loop never delays a response of `/stats`. Each process counts from 0.
//!
//! Format of `/stats`, one metric per line, as in statsd (`|c` is a count since start, `|g` a current value):
//!
//! ```text
//! limiter.requests.C.served:812|c      (also refused, failed, attempts; C a class of the active settings)
//! limiter.attempts:900|c               (attempts completely written to servers)
//! limiter.rejected.quota:3|c           (also too_many_customers, late_arrival, no_server_in_time, attempts_failed, too_many_in_flight, too_many_connections)
//! limiter.in_flight:14|g               (requests in flight)
//! limiter.servers_known:10|g           (servers listed and not removed)
//! limiter.servers_excluded:1|g         (of those, draining or ejected now)
//! limiter.reloads_ok:2|c
//! limiter.reloads_failed:1|c
//! limiter.hold_ups:3|c                 (event loop stalls: it ran over 20 ms late)
//! limiter.longest_hold_up_ms:180|g     (the longest stall since start)
//! ```

use crate::sync::lock;
use hyper::StatusCode;
use merlinreel_policy::RejectReason;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Outcome of a request, by the status of the response to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// 200.
    Success,
    /// 429 or 503, from the limiter itself: of servers' responses clients receive only those with status 200.
    Rejected,
    /// Any other status, or a streaming response that was not completed.
    Failed,
}

impl ResponseOutcome {
    /// Classifies a response by its status.
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

/// Outcome of a reload of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// The new configuration is in use.
    Applied,
    /// The new configuration was unreadable or invalid, and the previous one stays in use.
    Failed,
}

/// Counts of responses, by outcome, and of attempts for one class.
#[derive(Default)]
struct ClassCounts {
    success: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    attempts: AtomicU64,
}

/// The classes that have counts: the active ones, and earlier ones, which keep their counts.
#[derive(Default)]
struct Classes {
    counts: BTreeMap<String, Arc<ClassCounts>>,
    /// Names of the active classes; requests of other classes are not counted.
    current: Vec<String>,
}

/// All metrics of the process.
#[derive(Default)]
pub struct Metrics {
    /// One lock for the counts and the names of the active classes, taken once per response or attempt.
    classes: Mutex<Classes>,
    attempts: AtomicU64,
    /// Servers listed and not removed.
    pub servers_known: AtomicU64,
    /// Servers among `servers_known` that are draining or ejected.
    pub servers_excluded: AtomicU64,
    reloads_ok: AtomicU64,
    reloads_failed: AtomicU64,
    rejections: RejectionCounts,
    stalls: AtomicU64,
    longest_stall_ms: AtomicU64,
}

/// Counts of rejected requests by reason. The last two are rejections made before the policy is asked.
#[derive(Default)]
struct RejectionCounts {
    quota: AtomicU64,
    too_many_customers: AtomicU64,
    late_arrival: AtomicU64,
    no_server_in_time: AtomicU64,
    attempts_failed: AtomicU64,
    too_many_in_flight: AtomicU64,
    too_many_connections: AtomicU64,
}

impl RejectionCounts {
    fn for_reason(&self, reason: RejectReason) -> &AtomicU64 {
        match reason {
            RejectReason::Quota => &self.quota,
            RejectReason::TooManyCustomers => &self.too_many_customers,
            RejectReason::LateArrival => &self.late_arrival,
            RejectReason::NoServerInTime => &self.no_server_in_time,
            RejectReason::AttemptsFailed => &self.attempts_failed,
        }
    }

    fn by_name(&self) -> [(&'static str, &AtomicU64); 7] {
        [
            ("quota", &self.quota),
            ("too_many_customers", &self.too_many_customers),
            ("late_arrival", &self.late_arrival),
            ("no_server_in_time", &self.no_server_in_time),
            ("attempts_failed", &self.attempts_failed),
            ("too_many_in_flight", &self.too_many_in_flight),
            ("too_many_connections", &self.too_many_connections),
        ]
    }
}

/// The class of a request: the first segment of its path, empty if there is none.
pub fn class_of(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or("")
}

impl Metrics {
    /// Creates metrics with all counts at 0 and these classes active.
    pub fn new(classes: &[String]) -> Arc<Metrics> {
        let metrics = Arc::new(Metrics::default());
        metrics.set_classes(classes);
        metrics
    }

    /// Sets the names of the active classes. Counts of other classes are kept.
    pub fn set_classes(&self, names: &[String]) {
        let mut classes = lock(&self.classes);
        for name in names {
            classes.counts.entry(name.clone()).or_default();
        }
        classes.current = names.to_vec();
    }

    /// The counts of a class; `None` if it is not active.
    fn class_counts(&self, class: &str) -> Option<Arc<ClassCounts>> {
        let classes = lock(&self.classes);
        classes
            .current
            .iter()
            .any(|name| name == class)
            .then(|| classes.counts.get(class).cloned())
            .flatten()
    }

    /// Counts a response to a request of `class`, if the class is active.
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

    /// Counts an attempt whose last byte was written to its server, in total and for `class` if it is active.
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
        self.rejections
            .for_reason(reason)
            .fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that was rejected because the maximum number of requests was in flight.
    pub fn count_excess_request(&self) {
        self.rejections
            .too_many_in_flight
            .fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that was rejected because the maximum number of connections had a request in flight.
    pub fn count_excess_connection(&self) {
        self.rejections
            .too_many_connections
            .fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an event loop stall, and records its delay if it is the longest one.
    pub fn count_stall(&self, delay: Duration) {
        self.stalls.fetch_add(1, Ordering::Relaxed);
        self.longest_stall_ms
            .fetch_max(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// The text of `/stats`; `in_flight` is the current number of requests in flight.
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
        for (reason, count) in self.rejections.by_name() {
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
            ("hold_ups", &self.stalls, "c"),
            ("longest_hold_up_ms", &self.longest_stall_ms, "g"),
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
