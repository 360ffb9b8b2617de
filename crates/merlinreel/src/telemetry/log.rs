//! The log: one macro writes lines to standard error at a limited rate. A line that can't be written is lost.

use crate::sync::lock;
use std::fmt::Arguments;
use std::io::{Write, stderr};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Number of lines that may be written in each period.
const MAX_LINES_PER_PERIOD: u32 = 50;
const PERIOD: Duration = Duration::from_secs(1);

/// Limits the rate of log lines, so that a fault that occurs at every request neither fills the disk nor uses up the CPU.
#[derive(Debug)]
pub struct LogRateLimiter {
    period_start: Option<Instant>,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Creates a rate limiter to which no line was submitted yet.
    pub const fn new() -> LogRateLimiter {
        LogRateLimiter {
            period_start: None,
            lines: 0,
            suppressed: 0,
        }
    }

    /// Admits a line and returns how many were suppressed since the last admitted one; `None` if this one is suppressed.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        if self
            .period_start
            .is_none_or(|start| now.duration_since(start) >= PERIOD)
        {
            self.period_start = Some(now);
            self.lines = 0;
        }
        if self.lines == MAX_LINES_PER_PERIOD {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl Default for LogRateLimiter {
    fn default() -> LogRateLimiter {
        LogRateLimiter::new()
    }
}

static RATE_LIMITER: Mutex<LogRateLimiter> = Mutex::new(LogRateLimiter::new());

/// Calls [`LogRateLimiter::admit`] on the rate limiter of the process; used by [`log!`](crate::log!).
pub fn admit() -> Option<u64> {
    lock(&RATE_LIMITER).admit(Instant::now())
}

/// Writes a line; used by [`log!`](crate::log!). Ignores errors such as a closed standard error or a full disk, at which
/// `eprintln!` would panic.
pub fn write(line: Arguments) {
    let _ = writeln!(stderr(), "merlinreel: {line}");
}

/// Writes a line to the log, with the arguments of `format!`, unless the rate of lines is too high.
#[macro_export]
macro_rules! log {
    ($($format:tt)*) => {
        match $crate::telemetry::log::admit() {
            Some(0) => $crate::telemetry::log::write(format_args!($($format)*)),
            Some(suppressed) => {
                $crate::telemetry::log::write(format_args!("{} ({suppressed} lines held back)", format_args!($($format)*)))
            }
            None => {}
        }
    };
}

#[cfg(test)]
mod tests;
