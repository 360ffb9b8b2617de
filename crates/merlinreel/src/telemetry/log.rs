//! The log: lines on standard error through one macro, at a limited rate. A line that can't be written is lost.

use crate::sync::lock;
use std::fmt::Arguments;
use std::io::{Write, stderr};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Lines that may be written in each period.
const LINES_PER_PERIOD: u32 = 50;
const PERIOD: Duration = Duration::from_secs(1);

/// Limits the rate of lines, so that a fault that repeats with every request fills neither the disk nor the CPU.
#[derive(Debug)]
pub struct LogRateLimiter {
    period_start: Option<Instant>,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// A limiter that has seen no line.
    pub const fn new() -> LogRateLimiter {
        LogRateLimiter {
            period_start: None,
            lines: 0,
            suppressed: 0,
        }
    }

    /// Admits a line, and returns how many were suppressed before it; `None` where this one is suppressed.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        if self
            .period_start
            .is_none_or(|start| now.duration_since(start) >= PERIOD)
        {
            self.period_start = Some(now);
            self.lines = 0;
        }
        if self.lines == LINES_PER_PERIOD {
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

/// Admits a line of the process, as [`LogRateLimiter::admit`]; used by the macro.
pub fn admit() -> Option<u64> {
    lock(&RATE_LIMITER).admit(Instant::now())
}

/// Writes a line; used by the macro. A closed standard error or a full disk is ignored, where `eprintln!` would panic.
pub fn write(line: Arguments) {
    let _ = writeln!(stderr(), "merlinreel: {line}");
}

/// Writes a line to the log, as `format!` words it, unless the rate of lines is too high.
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
