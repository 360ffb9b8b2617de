//! A customer and its true store: what a single limiter that saw all requests would hold. Units let in while the true
//! store is empty are beyond the quota.

use std::time::Duration;

/// What became of a customer's requests, counted since the start or the last reset.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Use {
    pub asked: u64,
    pub admitted: u64,
    pub beyond: u64,
}

/// A customer of one unit a request.
#[derive(Clone, Debug)]
pub struct Customer {
    pub number: u64,
    pub plan: usize,
    pub set_first: u32,
    pub set_size: u32,
    rate: f64,
    burst: f64,
    left: f64,
    at: Duration,
    pub used: Use,
    pub last_beyond: Option<Duration>,
}

impl Customer {
    /// Its store is full.
    pub fn new(number: u64, plan: usize, set: (u32, u32), rate: f64, burst: f64) -> Customer {
        let (set_first, set_size) = set;
        Customer {
            number,
            plan,
            set_first,
            set_size,
            rate,
            burst,
            left: burst,
            at: Duration::ZERO,
            used: Use::default(),
            last_beyond: None,
        }
    }

    /// A request of one unit, let in or refused.
    pub fn count(&mut self, now: Duration, admitted: bool) {
        let refill = self.rate * now.saturating_sub(self.at).as_secs_f64();
        (self.left, self.at) = ((self.left + refill).min(self.burst), now);
        self.used.asked += 1;
        if !admitted {
            return;
        }
        self.used.admitted += 1;
        if self.left >= 1.0 {
            self.left -= 1.0;
        } else {
            self.used.beyond += 1;
            self.last_beyond = Some(now);
        }
    }

    /// The limiters of its set.
    pub fn set(&self, limiters: u32) -> impl Iterator<Item = u32> + use<> {
        let first = self.set_first;
        (0..self.set_size).map(move |place| (first + place) % limiters)
    }
}

#[cfg(test)]
mod tests;
