//! The windows in which a quota's use is counted. All limiters number them alike, from the zero of their clocks.

use crate::model::plan::Plan;
use crate::time;
use std::ops::{Index, IndexMut};
use std::time::Duration;

const LEAST_WINDOW_SECONDS: f64 = 0.1;
/// Length of the windows of a plan without a rate.
const WINDOW_SECONDS_WITHOUT_RATE: f64 = 1.0;

/// The length of a plan's windows: the time in which its token bucket fills.
pub fn window_seconds(plan: &Plan) -> f64 {
    if plan.rate > 0.0 {
        (plan.burst / plan.rate).max(LEAST_WINDOW_SECONDS)
    } else {
        WINDOW_SECONDS_WITHOUT_RATE
    }
}

/// The number of a window since the clock's zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// The window of a plan at this time.
    pub fn at(now: Duration, plan: &Plan) -> WindowNumber {
        WindowNumber((time::seconds(now) / window_seconds(plan)) as u64)
    }

    /// When it starts, in seconds since the clock's zero.
    pub fn start_seconds(self, plan: &Plan) -> f64 {
        self.0 as f64 * window_seconds(plan)
    }

    /// When it ends, in seconds since the clock's zero.
    pub fn end_seconds(self, plan: &Plan) -> f64 {
        (self.0 + 1) as f64 * window_seconds(plan)
    }

    /// The window before it; the first one has none and is its own.
    pub fn previous(self) -> WindowNumber {
        WindowNumber(self.0.saturating_sub(1))
    }
}

/// One of the two windows that are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowAge {
    /// The window of the present time.
    Current,
    /// The one before it, which late reports still reach.
    Previous,
}

impl WindowAge {
    /// Both windows, the newer one first.
    pub const NEWEST_FIRST: [WindowAge; 2] = [WindowAge::Current, WindowAge::Previous];
    /// Both windows, the older one first.
    pub const OLDEST_FIRST: [WindowAge; 2] = [WindowAge::Previous, WindowAge::Current];
}

/// A value of the current window and of the one before it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CurrentAndPrevious<T> {
    /// The value of the current window.
    pub current: T,
    /// The value of the window before it.
    pub previous: T,
}

impl<T> Index<WindowAge> for CurrentAndPrevious<T> {
    type Output = T;

    fn index(&self, age: WindowAge) -> &T {
        match age {
            WindowAge::Current => &self.current,
            WindowAge::Previous => &self.previous,
        }
    }
}

impl<T> IndexMut<WindowAge> for CurrentAndPrevious<T> {
    fn index_mut(&mut self, age: WindowAge) -> &mut T {
        match age {
            WindowAge::Current => &mut self.current,
            WindowAge::Previous => &mut self.previous,
        }
    }
}

/// How the current window changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowChange {
    /// It is the same one.
    Same,
    /// The next one has begun.
    Next,
    /// A later one has begun: both windows that were kept are over.
    Later,
}

impl<T: Default> CurrentAndPrevious<T> {
    /// Begins a new window with a default value.
    pub fn advance(&mut self, change: WindowChange) {
        match change {
            WindowChange::Same => {}
            WindowChange::Next => self.previous = std::mem::take(&mut self.current),
            WindowChange::Later => *self = CurrentAndPrevious::default(),
        }
    }
}
