//! A customer's quota as a token bucket, with usage counted per window at this limiter and at the others.
//!
//! [`super::admission`] decides by these counts whether a request is admitted.

use super::window::{CurrentAndPrevious, WindowAge, WindowChange, WindowNumber, window_seconds};
use crate::model::plan::Plan;
use crate::time;
use std::time::Duration;

/// Source of a total of units admitted at other limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageSource {
    /// The counter service, for the units of all other limiters together.
    Counter,
    /// The limiter with this index, for its own units.
    Peer(u32),
}

/// Units that other limiters admitted, from both kinds of sources.
#[derive(Debug, Default)]
pub struct UsageElsewhere {
    /// Units that each limiter reported, by its index; limiters beyond the end reported none.
    by_limiter: CurrentAndPrevious<Vec<f64>>,
    /// Sum of `by_limiter`, stored because it is read often.
    reported: CurrentAndPrevious<f64>,
    /// Units of all other limiters according to the counter service.
    pub counter: CurrentAndPrevious<f64>,
}

impl UsageElsewhere {
    /// Units that other limiters admitted: the larger of the counter service's figure and the sum of their reports.
    pub fn units(&self, age: WindowAge) -> f64 {
        self.counter[age].max(self.reported[age])
    }

    /// Units that one limiter reported; 0 if it reported none.
    pub fn reported_by(&self, limiter: u32, age: WindowAge) -> f64 {
        self.by_limiter[age]
            .get(limiter as usize)
            .copied()
            .unwrap_or(0.0)
    }

    /// Number of limiters that reported units in either window.
    pub fn reporting_limiters(&self) -> usize {
        let CurrentAndPrevious { current, previous } = &self.by_limiter;
        let reports =
            |units: &[f64], limiter: usize| units.get(limiter).is_some_and(|&units| units > 0.0);
        (0..current.len().max(previous.len()))
            .filter(|&limiter| reports(current, limiter) || reports(previous, limiter))
            .count()
    }

    /// Replaces a source's total for a window.
    pub fn set(&mut self, age: WindowAge, source: UsageSource, total: f64) {
        let limiter = match source {
            UsageSource::Counter => {
                self.counter[age] = total;
                return;
            }
            UsageSource::Peer(limiter) => limiter as usize,
        };
        let by_limiter = &mut self.by_limiter[age];
        if limiter >= by_limiter.len() {
            by_limiter.resize(limiter + 1, 0.0);
        }
        self.reported[age] += total - by_limiter[limiter];
        by_limiter[limiter] = total;
    }

    fn advance(&mut self, change: WindowChange) {
        self.reported.advance(change);
        self.counter.advance(change);
        if change == WindowChange::Same {
            return;
        }
        // Reuses the allocations of the two lists.
        let CurrentAndPrevious { current, previous } = &mut self.by_limiter;
        std::mem::swap(current, previous);
        current.clear();
        if change == WindowChange::Later {
            previous.clear();
        }
    }
}

/// A token bucket with a plan's rate and burst, shared by all limiters of the customer.
///
/// A window begins with the units left at the end of the one before and is refilled at a constant rate: if each window
/// began with a full bucket, all limiters could admit a burst at once when the window changes.
#[derive(Debug, Default)]
pub struct TokenBucket {
    /// The current window.
    pub window: WindowNumber,
    /// Units in the bucket at the start of the current window, less later charges to windows before it.
    pub carried_over: f64,
    /// Units subtracted from the bucket in the current window in addition to usage: refill beyond its capacity, and the
    /// difference where an estimate replaces its own count. Usage beyond the debt limit is added back, so this may be
    /// negative.
    pub correction: f64,
    /// Units that this limiter admitted and charged.
    pub own: CurrentAndPrevious<f64>,
    /// Units that other limiters admitted.
    pub elsewhere: UsageElsewhere,
}

impl TokenBucket {
    /// A bucket that is full at `now`.
    pub fn new(now: Duration, plan: &Plan) -> TokenBucket {
        let window = WindowNumber::at(now, plan);
        let refill_seconds = time::seconds(now) - window.start_seconds(plan);
        TokenBucket {
            window,
            carried_over: plan.burst - plan.rate * refill_seconds,
            ..TokenBucket::default()
        }
    }

    /// Units left in the bucket; negative where more was admitted than the quota allows.
    pub fn remaining(&self, now: Duration, plan: &Plan) -> f64 {
        let refill_seconds = time::seconds(now) - self.window.start_seconds(plan);
        self.carried_over - self.correction + plan.rate * refill_seconds
            - self.own.current
            - self.elsewhere.units(WindowAge::Current)
    }

    /// Begins the window that contains `now`, if it is later than the current one, and discards units above the
    /// bucket's capacity.
    pub fn advance(&mut self, now: Duration, plan: &Plan) -> WindowChange {
        let change = self.begin_window(WindowNumber::at(now, plan), plan);
        let excess = self.remaining(now, plan) - plan.burst;
        if excess > 0.0 {
            self.correction += excess;
        }
        change
    }

    fn begin_window(&mut self, window: WindowNumber, plan: &Plan) -> WindowChange {
        if window <= self.window {
            return WindowChange::Same;
        }
        let end = time::from_seconds(self.window.end_seconds(plan));
        let skipped = (window.0 - self.window.0 - 1) as f64;
        let refilled = self.remaining(end, plan) + skipped * plan.rate * window_seconds(plan);
        self.carried_over = refilled.min(plan.burst);
        let change = if skipped == 0.0 {
            WindowChange::Next
        } else {
            WindowChange::Later
        };
        self.own.advance(change);
        self.elsewhere.advance(change);
        self.correction = 0.0;
        self.window = window;
        change
    }

    /// Whether a window is the current or the previous one; `None` if it is older or has not begun.
    pub fn age(&self, window: WindowNumber) -> Option<WindowAge> {
        WindowAge::NEWEST_FIRST
            .into_iter()
            .find(|&age| self.number(age) == Some(window))
    }

    fn number(&self, age: WindowAge) -> Option<WindowNumber> {
        match age {
            WindowAge::Current => Some(self.window),
            WindowAge::Previous => self.window.0.checked_sub(1).map(WindowNumber),
        }
    }

    /// Number of a window in peer messages and counter calls. Wraps around for the window before number 0.
    pub fn wire_number(&self, age: WindowAge) -> WindowNumber {
        match age {
            WindowAge::Current => self.window,
            WindowAge::Previous => WindowNumber(self.window.0.wrapping_sub(1)),
        }
    }

    /// Subtracts units of the previous window from those that the current window began with.
    fn deduct(&mut self, age: WindowAge, units: f64) {
        if age == WindowAge::Previous {
            self.carried_over -= units;
        }
    }

    /// Charges units that this limiter admitted to a window; negative units are a refund. Returns the window's age, or
    /// `None` if the window is no longer kept: its units are then subtracted from those carried over.
    pub fn charge(&mut self, window: WindowNumber, units: f64) -> Option<WindowAge> {
        let Some(age) = self.age(window) else {
            self.carried_over -= units;
            return None;
        };
        self.own[age] += units;
        self.deduct(age, units);
        Some(age)
    }

    /// Replaces a source's total for a window. An increase takes the bucket no further than `debt_limit` below zero:
    /// units admitted beyond that are not subtracted.
    pub fn set_usage_elsewhere(
        &mut self,
        now: Duration,
        plan: &Plan,
        source: UsageSource,
        age: WindowAge,
        total: f64,
        debt_limit: f64,
    ) {
        let before = self.elsewhere.units(age);
        self.elsewhere.set(age, source, total);
        let units = self.elsewhere.units(age) - before;
        self.deduct(age, units);
        let remaining = self.remaining(now, plan);
        if units > 0.0 && remaining < -debt_limit {
            self.correction -= (-debt_limit - remaining).min(units);
        }
    }

    /// Resets the totals of a limiter that has restarted, as it counts from zero again. Its usage in the current window
    /// is subtracted from the units carried over instead; its usage in the previous window already was.
    pub fn forget_totals_of(&mut self, limiter: u32) {
        self.carried_over -= self.elsewhere.reported_by(limiter, WindowAge::Current);
        for age in WindowAge::NEWEST_FIRST {
            self.elsewhere.set(age, UsageSource::Peer(limiter), 0.0);
        }
    }
}
