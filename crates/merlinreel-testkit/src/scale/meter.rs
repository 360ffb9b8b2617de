//! Processor time and memory of this process, by the kernel's accounting.

use super::proc_file::resident_bytes;
use std::fs;

/// What was used between a meter's start and a reading.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time of the thread that measures, in seconds.
    pub cpu_seconds: f64,
    /// Growth of the process's resident memory, in bytes; 0 where it shrank.
    pub memory_bytes: u64,
}

/// Measures the thread that it was started on.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    cpu_nanoseconds: u64,
    memory_bytes: u64,
}

impl Meter {
    /// Starts to measure.
    pub fn start() -> Meter {
        Meter {
            cpu_nanoseconds: cpu_nanoseconds(),
            memory_bytes: resident_bytes(),
        }
    }

    /// What was used since the start.
    pub fn read(&self) -> Usage {
        let cpu = cpu_nanoseconds().saturating_sub(self.cpu_nanoseconds);
        Usage {
            cpu_seconds: cpu as f64 / 1e9,
            memory_bytes: resident_bytes().saturating_sub(self.memory_bytes),
        }
    }
}

/// The first value of the kernel's scheduling statistics of this thread.
fn cpu_nanoseconds() -> u64 {
    let statistics = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    statistics
        .split_whitespace()
        .next()
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
