//! The log: lines on standard error through one macro, so many a second and no more. A line that can't be written is lost.

use std::fmt::Arguments;
use std::io::{Write, stderr};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Lines that may be written in a row, and in each second on from there.
const LINES: u32 = 50;
const PERIOD: Duration = Duration::from_secs(1);

/// Guards the disk and the CPU against a trouble that repeats with every job.
#[derive(Debug)]
pub struct LogRateLimiter {
    since: Option<Instant>,
    lines: u32,
    held_back: u64,
}

impl LogRateLimiter {
    pub const fn new() -> LogRateLimiter {
        LogRateLimiter {
            since: None,
            lines: 0,
            held_back: 0,
        }
    }

    /// Whether a line may be written now, and how many were held back before it.
    pub fn admits(&mut self, now: Instant) -> Option<u64> {
        if self
            .since
            .is_none_or(|since| now.duration_since(since) >= PERIOD)
        {
            (self.since, self.lines) = (Some(now), 0);
        }
        if self.lines == LINES {
            self.held_back += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.held_back))
    }
}

impl Default for LogRateLimiter {
    fn default() -> LogRateLimiter {
        LogRateLimiter::new()
    }
}

static GAUGE: Mutex<LogRateLimiter> = Mutex::new(LogRateLimiter::new());

/// Whether the process may write a line now; used by the macro.
pub fn admits() -> Option<u64> {
    let mut gauge = GAUGE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    gauge.admits(Instant::now())
}

/// Writes a line; used by the macro. Guards the limiter against its log: a reader that has gone, or a full disk, must end
/// nothing, as `eprintln!` would.
pub fn write(line: Arguments) {
    let _ = writeln!(stderr(), "merlinreel: {line}");
}

#[macro_export]
macro_rules! log {
    ($($what:tt)*) => {
        match $crate::telemetry::log::admits() {
            Some(0) => $crate::telemetry::log::write(format_args!($($what)*)),
            Some(more) => {
                $crate::telemetry::log::write(format_args!("{} ({more} lines held back)", format_args!($($what)*)))
            }
            None => {}
        }
    };
}

#[cfg(test)]
mod tests;
