//! A customer and its reference token bucket, which a single limiter that received all requests would have. Units
//! admitted while the reference bucket is empty are overage.

use std::time::Duration;

/// What became of a customer's units, counted since the start or the last reset.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Units requested.
    pub requested: u64,
    /// Units admitted.
    pub admitted: u64,
    /// Admitted units that the quota did not cover.
    pub overage: u64,
}

/// The limiters that a customer's requests reach: consecutive numbers, modulo the number of limiters.
#[derive(Clone, Copy, Debug)]
pub struct LimiterSet {
    /// The first limiter.
    pub first: u32,
    /// The number of limiters.
    pub size: u32,
}

impl LimiterSet {
    /// The limiters in order.
    pub fn limiters(self, limiters: u32) -> impl Iterator<Item = u32> {
        (0..self.size).map(move |place| (self.first + place) % limiters)
    }
}

/// A customer whose requests take one unit each.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its number in requests.
    pub number: u64,
    /// The index of its plan.
    pub plan: usize,
    /// The limiters that its requests reach.
    pub set: LimiterSet,
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
    /// Its units so far.
    pub usage: Usage,
    /// When it last used a unit of overage.
    pub last_overage_at: Option<Duration>,
}

impl Customer {
    /// A customer with a full bucket, of a plan with this rate in units per second and burst in units.
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
