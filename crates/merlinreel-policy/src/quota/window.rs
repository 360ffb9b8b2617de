//! The windows in which a quota's usage is counted. They are numbered from the zero of the limiter's clock, which all
//! limiters share.

use crate::model::plan::Plan;
use crate::time;
use std::ops::{Index, IndexMut};
use std::time::Duration;

const MIN_WINDOW_SECONDS: f64 = 0.1;
/// Window length for a plan without a rate.
const WINDOW_SECONDS_WITHOUT_RATE: f64 = 1.0;

/// Length of a plan's windows: the time in which an empty token bucket of the plan fills.
pub fn window_seconds(plan: &Plan) -> f64 {
    if plan.rate > 0.0 {
        (plan.burst / plan.rate).max(MIN_WINDOW_SECONDS)
    } else {
        WINDOW_SECONDS_WITHOUT_RATE
    }
}

/// Number of a window; window 0 starts at the zero of the limiter's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// The window of a plan that contains `now`.
    pub fn at(now: Duration, plan: &Plan) -> WindowNumber {
        WindowNumber((time::seconds(now) / window_seconds(plan)) as u64)
    }

    /// Start of the window, in seconds since the zero of the limiter's clock.
    pub fn start_seconds(self, plan: &Plan) -> f64 {
        self.0 as f64 * window_seconds(plan)
    }

    /// End of the window, in seconds since the zero of the limiter's clock.
    pub fn end_seconds(self, plan: &Plan) -> f64 {
        (self.0 + 1) as f64 * window_seconds(plan)
    }

    /// The window before this one; window 0 for window 0 itself.
    pub fn previous(self) -> WindowNumber {
        WindowNumber(self.0.saturating_sub(1))
    }
}

/// One of the two windows for which usage is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowAge {
    /// The latest window that has begun.
    Current,
    /// The window before it, which late reports still change.
    Previous,
}

impl WindowAge {
    /// Both windows, the newer one first.
    pub const NEWEST_FIRST: [WindowAge; 2] = [WindowAge::Current, WindowAge::Previous];
    /// Both windows, the older one first.
    pub const OLDEST_FIRST: [WindowAge; 2] = [WindowAge::Previous, WindowAge::Current];
}

/// One value for the current window and one for the window before it.
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

/// How the current window changed as time advanced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowChange {
    /// The current window stays.
    Same,
    /// The window directly after it has begun.
    Next,
    /// A later window has begun, so that neither of the two kept windows is current or previous any more.
    Later,
}

impl<T: Default> CurrentAndPrevious<T> {
    /// Moves the values by a window change; a window that is new gets the default value.
    pub fn advance(&mut self, change: WindowChange) {
        match change {
            WindowChange::Same => {}
            WindowChange::Next => self.previous = std::mem::take(&mut self.current),
            WindowChange::Later => *self = CurrentAndPrevious::default(),
        }
    }
}
