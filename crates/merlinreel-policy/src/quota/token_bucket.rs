//! A customer's quota as a token bucket whose use is counted by windows, here and at the other limiters.
//!
//! It only counts; who is admitted is decided in [`super::admission`].

use super::window::{CurrentAndPrevious, WindowAge, WindowChange, WindowNumber, window_seconds};
use crate::model::plan::Plan;
use crate::time;
use std::time::Duration;

/// Who reports use at other limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageSource {
    /// The counter service: the units of all other limiters.
    Counter,
    /// A limiter: its own units.
    Peer(u32),
}

/// What other limiters admitted.
#[derive(Debug, Default)]
pub struct UsageElsewhere {
    /// Units that each limiter reported.
    by_limiter: CurrentAndPrevious<Vec<f64>>,
    /// The sum of these, kept beside them as it is read often.
    reported: CurrentAndPrevious<f64>,
    /// Units of all other limiters as the counter has them.
    pub counter: CurrentAndPrevious<f64>,
}

impl UsageElsewhere {
    /// Units that other limiters admitted: as the counter has it, or as they report where that is more.
    pub fn units(&self, age: WindowAge) -> f64 {
        self.counter[age].max(self.reported[age])
    }

    /// Units that one limiter reported.
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

    /// Replaces a source's total of a window.
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
        // The lists are used again rather than allocated for each window.
        let CurrentAndPrevious { current, previous } = &mut self.by_limiter;
        std::mem::swap(current, previous);
        current.clear();
        if change == WindowChange::Later {
            previous.clear();
        }
    }
}

/// A token bucket of a plan's rate and burst, shared by all limiters of the customer.
///
/// A window begins with what the bucket held then, and refill comes evenly over it: a quota that was full again with each
/// window would let all limiters admit a burst at once when the window changes.
#[derive(Debug, Default)]
pub struct TokenBucket {
    /// The current window.
    pub window: WindowNumber,
    /// Units that the bucket held when the window began.
    pub carried_over: f64,
    /// Refill of this window that found the bucket full.
    pub overflowed: f64,
    /// Units that this limiter admitted.
    pub own: CurrentAndPrevious<f64>,
    /// Units that other limiters admitted.
    pub elsewhere: UsageElsewhere,
}

impl TokenBucket {
    /// A bucket that is full now.
    pub fn new(now: Duration, plan: &Plan) -> TokenBucket {
        let window = WindowNumber::at(now, plan);
        let refill_seconds = time::seconds(now) - window.start_seconds(plan);
        TokenBucket {
            window,
            carried_over: plan.burst - plan.rate * refill_seconds,
            ..TokenBucket::default()
        }
    }

    /// Units that are left; less than nothing where more was admitted than the quota allows.
    pub fn remaining(&self, now: Duration, plan: &Plan) -> f64 {
        let refill_seconds = time::seconds(now) - self.window.start_seconds(plan);
        self.carried_over - self.overflowed + plan.rate * refill_seconds
            - self.own.current
            - self.elsewhere.units(WindowAge::Current)
    }

    /// Moves on to the window of this time, and drops what the bucket cannot hold.
    pub fn advance(&mut self, now: Duration, plan: &Plan) -> WindowChange {
        let change = self.begin_window(WindowNumber::at(now, plan), plan);
        let excess = self.remaining(now, plan) - plan.burst;
        if excess > 0.0 {
            self.overflowed += excess;
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
        self.overflowed = 0.0;
        self.window = window;
        change
    }

    /// Which of the two windows this is; `None` for an older one and for one that has not begun.
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

    /// The number of one of the two windows as other limiters and the counter know it.
    pub fn wire_number(&self, age: WindowAge) -> WindowNumber {
        match age {
            WindowAge::Current => self.window,
            WindowAge::Previous => WindowNumber(self.window.0.wrapping_sub(1)),
        }
    }

    /// Units used before the current window began reduce what it began with.
    fn deduct(&mut self, age: WindowAge, units: f64) {
        if age == WindowAge::Previous {
            self.carried_over -= units;
        }
    }

    /// Charges units that this limiter admitted, or gives them back where they are negative. Says which window counts
    /// them, if one still does.
    pub fn charge(&mut self, window: WindowNumber, units: f64) -> Option<WindowAge> {
        let Some(age) = self.age(window) else {
            self.carried_over -= units;
            return None;
        };
        self.own[age] += units;
        self.deduct(age, units);
        Some(age)
    }

    /// Takes over another source's total of a window. Units that were admitted when the bucket was already more than
    /// `debt_limit` below empty took nothing from it.
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
            self.overflowed -= (-debt_limit - remaining).min(units);
        }
    }

    /// Counts all use of a limiter that has started again as carried over, as its totals begin from zero.
    pub fn forget_totals_of(&mut self, limiter: u32) {
        self.carried_over -= self.elsewhere.reported_by(limiter, WindowAge::Current);
        for age in WindowAge::NEWEST_FIRST {
            self.elsewhere.set(age, UsageSource::Peer(limiter), 0.0);
        }
    }
}
