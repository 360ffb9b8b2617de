//! A customer and its reference token bucket: the bucket of a single limiter that received all of the customer's requests.
//! Units admitted while the reference bucket is empty are overage.

use std::time::Duration;

/// A customer's requested and admitted units since the start or the last reset.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Units requested.
    pub requested: u64,
    /// Units admitted.
    pub admitted: u64,
    /// Admitted units that the reference bucket did not cover.
    pub overage: u64,
}

/// The limiters that receive a customer's requests: consecutive indices, where the fleet's first index follows its last.
#[derive(Clone, Copy, Debug)]
pub struct LimiterSet {
    /// Index of the first limiter.
    pub first: u32,
    /// Number of limiters in the set.
    pub size: u32,
}

impl LimiterSet {
    /// Indices of the set's limiters in order, in a fleet of `fleet_size` limiters.
    pub fn limiters(self, fleet_size: u32) -> impl Iterator<Item = u32> {
        (0..self.size).map(move |offset| (self.first + offset) % fleet_size)
    }
}

/// A customer whose requests each require one unit.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Number that identifies the customer in requests and peer messages.
    pub number: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// The limiters that receive the customer's requests.
    pub set: LimiterSet,
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
    /// Units requested and admitted since the start or the last reset.
    pub usage: Usage,
    /// Simulated time at which the last unit of overage was admitted; `None` if there was none since the start.
    pub last_overage_at: Option<Duration>,
}

impl Customer {
    /// Creates a customer whose reference bucket is full, with the rate of its plan in units per second and the burst in
    /// units.
    pub fn new(number: u64, plan: usize, set: LimiterSet, rate: f64, burst: f64) -> Customer {
        Customer {
            number,
            plan,
            set,
            rate,
            burst,
            tokens: burst,
            refilled_at: Duration::ZERO,
            usage: Usage::default(),
            last_overage_at: None,
        }
    }

    /// Counts a request of one unit that was admitted or rejected.
    pub fn count(&mut self, now: Duration, is_admitted: bool) {
        let refill = self.rate * now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + refill).min(self.burst);
        self.refilled_at = now;
        self.usage.requested += 1;
        if !is_admitted {
            return;
        }
        self.usage.admitted += 1;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
        } else {
            self.usage.overage += 1;
            self.last_overage_at = Some(now);
        }
    }
}

#[cfg(test)]
mod tests;
