//! Measures a thread's processor time and the process's memory by the kernel's accounting.

use super::proc_file::resident_bytes;
use std::fs;

/// Processor time and memory used between a meter's start and a reading.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time of the thread that reads the meter, in seconds.
    pub cpu_seconds: f64,
    /// Growth of the process's resident memory, in bytes; 0 if it shrank.
    pub memory_bytes: u64,
}

/// The kernel's values at the start of a measurement. Must be read on the thread that started it.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    cpu_nanoseconds: u64,
    memory_bytes: u64,
}

impl Meter {
    /// Starts a measurement.
    pub fn start() -> Meter {
        Meter {
            cpu_nanoseconds: cpu_nanoseconds(),
            memory_bytes: resident_bytes(),
        }
    }

    /// Processor time and memory used since the start; the meter can be read again later.
    pub fn read(&self) -> Usage {
        let cpu = cpu_nanoseconds().saturating_sub(self.cpu_nanoseconds);
        Usage {
            cpu_seconds: cpu as f64 / 1e9,
            memory_bytes: resident_bytes().saturating_sub(self.memory_bytes),
        }
    }
}

/// Processor time of this thread since its start, the first value of the kernel's scheduling statistics; 0 if unreadable.
fn cpu_nanoseconds() -> u64 {
    let statistics = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    statistics
        .split_whitespace()
        .next()
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
