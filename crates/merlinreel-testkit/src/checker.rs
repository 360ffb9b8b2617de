//! The five rules of the protocol, checked against an event log. What the rules leave open is not judged: a request may
//! have no response where its limiter was killed meanwhile, and a late one where its limiter was suspended.

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

/// The status of a response to a request that was not complete in time.
const REQUEST_TIMEOUT: u16 = 408;
/// A request that its client's kernel has taken within this was written at once.
const WRITTEN_AT_ONCE: Duration = Duration::from_millis(200);

/// What a customer may use: never more than the burst and what was refilled since.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBound {
    /// Units that may be used at once.
    pub burst: f64,
    /// Units that are refilled each second.
    pub units_per_second: f64,
}

/// How far a log may deviate from the rules: what the protocol grants and the share of the machine under the test.
#[derive(Clone, Copy, Debug)]
pub struct Tolerances {
    /// How long after the request's deadline a response may arrive.
    pub response_delay: Duration,
    /// How long after its client disconnected an attempt may begin.
    pub attempt_after_disconnect: Duration,
    /// How much more than the client's remaining time may be advertised to a server.
    pub advertised_time_excess: Duration,
    /// How long after a drain was announced an attempt may begin.
    pub drain_grace: Duration,
    /// How late a server may observe that a limiter closed a connection, or that a link carries traffic again.
    pub observation_delay: Duration,
    /// One request in this many may have no response: those sent while the limiter closed their connection.
    pub requests_per_unanswered: usize,
    /// The bound on each customer's use, where it is checked.
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

/// All violations of the rules in a log.
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
        checker.check_not_called_incomplete(id, request);
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
    /// Requests without a response though their limiter was running.
    unanswered: usize,
}

impl Checker<'_> {
    /// Each request has one response, in time.
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

    /// A request that its client had written at once is not called incomplete.
    fn check_not_called_incomplete(&mut self, id: &RequestId, request: &RequestHistory) {
        let was_called_incomplete = request
            .responses
            .iter()
            .any(|response| response.status == REQUEST_TIMEOUT);
        let was_written_at_once = request
            .written_at
            .is_some_and(|written| written < request.sent_at + WRITTEN_AT_ONCE);
        if was_called_incomplete && was_written_at_once {
            self.violations
                .push(Violation::CalledIncomplete(id.clone()));
        }
    }

    fn check_missing_response(&mut self, id: &RequestId, request: &RequestHistory, due: Duration) {
        // A client that disconnected, or still waited as the log ended, proves nothing.
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
            // A new connection may be closed unread where a burst occupies all connection slots.
            || (request.is_first_on_connection && self.timeline.had_burst(limiter, until_due));
        if !is_excused {
            self.unanswered += 1;
        }
    }

    /// A non-idempotent request has no second effect, and no request has two attempts at a time.
    fn check_effects(&mut self, id: &RequestId, request: &RequestHistory) {
        if request.may_have_duplicate_effect() {
            self.violations.push(Violation::DuplicateEffect(id.clone()));
        }
        // Whether the server may not yet have observed the end of an earlier attempt.
        let is_unobserved = |earlier: &Attempt, at: Duration| {
            let has_ended = earlier
                .ended_at
                .is_some_and(|ended| ended <= at + self.tolerances.observation_delay);
            let interval = Interval {
                start: earlier.received_at,
                end: at,
            };
            let link = request.link_to(earlier.server);
            has_ended || self.timeline.was_partitioned(link, interval)
        };
        if request.has_concurrent_attempts(is_unobserved) {
            self.violations
                .push(Violation::ConcurrentAttempts(id.clone()));
        }
    }

    /// An attempt begins only for a client that waits, with its remaining time, at a server that accepts requests.
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

    fn check_unanswered(&mut self, requests: usize) {
        if self.unanswered * self.tolerances.requests_per_unanswered > requests {
            self.violations.push(Violation::LostRequests {
                unanswered: self.unanswered,
                requests,
            });
        }
    }

    /// No customer uses more than a token bucket with the bound's burst and rate holds, over any span.
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
            let overage = greatest_overage(&times, quota);
            if overage >= 1.0 {
                self.violations.push(Violation::QuotaExceeded {
                    customer,
                    units: overage as u64,
                });
            }
        }
    }
}

/// The most units by which uses at these times, in ascending order, exceed the quota; 0 or less where they do not.
fn greatest_overage(times: &[Duration], quota: QuotaBound) -> f64 {
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
