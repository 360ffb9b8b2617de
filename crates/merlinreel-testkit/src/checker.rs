//! Checks an event log against the five rules of the protocol. Cases that the rules leave open are not violations: a
//! request may remain unanswered if its limiter was killed meanwhile, and be answered late if its limiter was suspended.

mod fault_timeline;
mod request_history;
#[cfg(test)]
mod tests;
mod violation;

pub use violation::{AdvertisedTime, Violation};

use crate::event_log::{LogEntry, RequestId};
use fault_timeline::{FaultTimeline, Interval};
use request_history::{Attempt, RequestHistory};
use std::collections::BTreeMap;
use std::time::Duration;

/// HTTP status of the response to a request that was not received completely in time.
const REQUEST_TIMEOUT_STATUS: u16 = 408;
/// A request counts as written promptly if its client finished writing it within less than this time.
const MAX_PROMPT_WRITE_TIME: Duration = Duration::from_millis(200);

/// The token bucket that bounds a customer's use: full at first, and refilled at a constant rate up to the burst.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBound {
    /// Capacity of the bucket: units that may be used at once.
    pub burst: f64,
    /// Refill rate of the bucket.
    pub units_per_second: f64,
}

/// Tolerated deviations from the rules: what the protocol grants, plus delays of the machine that runs the test.
#[derive(Clone, Copy, Debug)]
pub struct Tolerances {
    /// How long after the request's deadline a response may arrive.
    pub response_delay: Duration,
    /// How long after its client disconnected an attempt may still arrive at a server.
    pub attempt_after_disconnect: Duration,
    /// How far the time advertised to a server may exceed the client's remaining time.
    pub advertised_time_excess: Duration,
    /// How long after a drain was announced an attempt may still arrive at the draining server.
    pub drain_grace: Duration,
    /// How late a server may observe that a limiter closed a connection, or that a link was healed.
    pub observation_delay: Duration,
    /// One request in this many may remain unanswered, as a limiter may close a connection while a request is being sent on
    /// it.
    pub requests_per_unanswered: usize,
    /// The bound on each customer's use; `None` skips the check.
    pub quota: Option<QuotaBound>,
}

impl Default for Tolerances {
    fn default() -> Tolerances {
        Tolerances {
            response_delay: Duration::from_secs(1),
            attempt_after_disconnect: Duration::from_millis(400),
            advertised_time_excess: Duration::from_millis(350),
            drain_grace: Duration::from_secs(2),
            observation_delay: Duration::from_millis(300),
            requests_per_unanswered: 200,
            quota: None,
        }
    }
}

/// Returns all violations of the rules in a log; empty if there is none.
pub fn find_violations(entries: &[LogEntry], tolerances: &Tolerances) -> Vec<Violation> {
    let requests = request_history::from_log(entries);
    let mut checker = Checker {
        tolerances,
        timeline: FaultTimeline::from_log(entries),
        violations: Vec::new(),
        unanswered: 0,
    };
    for (id, request) in &requests {
        checker.check_response(id, request);
        checker.check_not_rejected_as_incomplete(id, request);
        checker.check_effects(id, request);
        for attempt in &request.attempts {
            checker.check_attempt(id, request, attempt);
        }
    }
    checker.check_unanswered(requests.len());
    if let Some(quota) = tolerances.quota {
        checker.check_quotas(&requests, quota);
    }
    checker.violations
}

struct Checker<'a> {
    tolerances: &'a Tolerances,
    timeline: FaultTimeline,
    violations: Vec<Violation>,
    /// Number of unanswered requests that no fault of their limiter excuses.
    unanswered: usize,
}

impl Checker<'_> {
    /// Checks that a request has exactly one response, and in time.
    fn check_response(&mut self, id: &RequestId, request: &RequestHistory) {
        if request.responses.len() > 1 {
            self.violations
                .push(Violation::DuplicateResponse(id.clone()));
        }
        let due = request.sent_at + request.timeout + self.tolerances.response_delay;
        let Some(response) = request.responses.first() else {
            return self.check_missing_response(id, request, due);
        };
        let until_response = Interval {
            start: request.sent_at,
            end: response.at,
        };
        let suspended = self.timeline.suspended_for(request.limiter, until_response);
        if response.at > due + suspended {
            self.violations.push(Violation::LateResponse(id.clone()));
        }
    }

    /// Checks that a request which its client wrote promptly is not rejected as incomplete.
    fn check_not_rejected_as_incomplete(&mut self, id: &RequestId, request: &RequestHistory) {
        let was_rejected_as_incomplete = request
            .responses
            .iter()
            .any(|response| response.status == REQUEST_TIMEOUT_STATUS);
        let was_written_promptly = request
            .written_at
            .is_some_and(|written| written < request.sent_at + MAX_PROMPT_WRITE_TIME);
        if was_rejected_as_incomplete && was_written_promptly {
            self.violations
                .push(Violation::RejectedAsIncomplete(id.clone()));
        }
    }

    fn check_missing_response(&mut self, id: &RequestId, request: &RequestHistory, due: Duration) {
        // A missing response says nothing if the client disconnected, or was still waiting at the end of the log.
        if request.disconnected_at.is_some() || !request.client_gave_up {
            return;
        }
        let until_due = Interval {
            start: request.sent_at,
            end: due,
        };
        let limiter = request.limiter;
        if self
            .timeline
            .was_killed_late_in_shutdown(limiter, until_due)
        {
            self.violations.push(Violation::LostAtKill(id.clone()));
            return;
        }
        let is_excused = self.timeline.was_killed(limiter, until_due)
            || self.timeline.suspended_for(limiter, until_due) > Duration::ZERO
            // While a burst occupies all connection slots, a new connection may be closed before its request is read.
            || (request.is_first_on_connection && self.timeline.had_burst(limiter, until_due));
        if !is_excused {
            self.unanswered += 1;
        }
    }

    /// Checks that a non-idempotent request can't have had two effects, and that a request has one attempt at a time.
    fn check_effects(&mut self, id: &RequestId, request: &RequestHistory) {
        if request.may_have_duplicate_effect() {
            self.violations.push(Violation::DuplicateEffect(id.clone()));
        }
        // The earlier attempt may have ended before `at` if its server observed the end within the tolerated delay, or if
        // a partition kept the server from observing it.
        let may_have_ended = |earlier: &Attempt, at: Duration| {
            let ended_within_tolerance = earlier
                .ended_at
                .is_some_and(|ended| ended <= at + self.tolerances.observation_delay);
            let interval = Interval {
                start: earlier.received_at,
                end: at,
            };
            let link = request.link_to(earlier.server);
            ended_within_tolerance || self.timeline.was_partitioned(link, interval)
        };
        if request.has_concurrent_attempts(may_have_ended) {
            self.violations
                .push(Violation::ConcurrentAttempts(id.clone()));
        }
    }

    /// Checks that an attempt is made only while its client waits, advertises no more than the client's remaining time, and
    /// does not go to a draining server.
    fn check_attempt(&mut self, id: &RequestId, request: &RequestHistory, attempt: &Attempt) {
        let link = request.link_to(attempt.server);
        let until_attempt = Interval {
            start: request.sent_at,
            end: attempt.received_at,
        };
        let is_undisturbed = self
            .timeline
            .suspended_for(request.limiter, until_attempt)
            .is_zero()
            && !self.timeline.was_partitioned(link, until_attempt);
        let is_late = request.disconnected_at.is_some_and(|disconnected| {
            attempt.received_at > disconnected + self.tolerances.attempt_after_disconnect
        });
        if is_undisturbed && is_late {
            self.violations
                .push(Violation::AttemptAfterDisconnect(id.clone()));
        }
        let remaining = (request.sent_at + request.timeout).saturating_sub(attempt.received_at);
        let excessive = attempt
            .advertised_time
            .filter(|&advertised| advertised > remaining + self.tolerances.advertised_time_excess);
        if let Some(advertised) = excessive
            && is_undisturbed
        {
            self.violations
                .push(Violation::ExcessiveAdvertisedTime(AdvertisedTime {
                    id: id.clone(),
                    limiter: request.limiter,
                    sent_at: request.sent_at,
                    written_at: request.written_at,
                    received_at: attempt.received_at,
                    advertised,
                    remaining,
                }));
        }
        if let Some(announced) = self.timeline.drain_announced_at(link) {
            let since_announced = Interval {
                start: announced,
                end: attempt.received_at,
            };
            let suspended = self
                .timeline
                .suspended_for(request.limiter, since_announced);
            if attempt.received_at > announced + self.tolerances.drain_grace + suspended {
                self.violations.push(Violation::AttemptAfterDrain {
                    id: id.clone(),
                    server: attempt.server,
                });
            }
        }
    }

    /// Checks that no more requests are unanswered than tolerated, out of `requests` in all.
    fn check_unanswered(&mut self, requests: usize) {
        if self.unanswered * self.tolerances.requests_per_unanswered > requests {
            self.violations.push(Violation::LostRequests {
                unanswered: self.unanswered,
                requests,
            });
        }
    }

    /// Checks that no customer's requests exceed the token bucket. Each request that reaches a server counts as one unit at
    /// the time of its first attempt.
    fn check_quotas(&mut self, requests: &BTreeMap<RequestId, RequestHistory>, quota: QuotaBound) {
        let mut uses: BTreeMap<u32, Vec<Duration>> = BTreeMap::new();
        for request in requests.values() {
            let first_attempt = request.attempts.first();
            uses.entry(request.customer)
                .or_default()
                .extend(first_attempt.map(|attempt| attempt.received_at));
        }
        for (customer, mut times) in uses {
            times.sort_unstable();
            let overage = max_overage(&times, quota);
            if overage >= 1.0 {
                self.violations.push(Violation::QuotaExceeded {
                    customer,
                    units: overage as u64,
                });
            }
        }
    }
}

/// Returns the greatest number of units by which one-unit uses at these times exceed the quota; 0 if they never do. The
/// times must be in ascending order.
fn max_overage(times: &[Duration], quota: QuotaBound) -> f64 {
    // Use in excess makes the number of tokens negative.
    let mut tokens = quota.burst;
    let mut last = Duration::ZERO;
    let mut overage = 0.0f64;
    for &at in times {
        let refill = quota.units_per_second * at.saturating_sub(last).as_secs_f64();
        tokens = (tokens + refill).min(quota.burst) - 1.0;
        last = at;
        overage = overage.max(-tokens);
    }
    overage
}
