//! Processor time and memory of this process, as the kernel tells them.

use std::fs;

/// What was used between a meter's start and its reading.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Used {
    /// Processor time of the thread that measures, in seconds.
    pub cpu_seconds: f64,
    /// Growth of the process's resident memory, in bytes; nothing where it shrank.
    pub memory_bytes: u64,
}

/// Measures the thread that it was started on.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    cpu_nanoseconds: u64,
    memory_bytes: u64,
}

impl Meter {
    pub fn start() -> Meter {
        Meter {
            cpu_nanoseconds: cpu_nanoseconds(),
            memory_bytes: resident_bytes(),
        }
    }

    pub fn read(&self) -> Used {
        let cpu = cpu_nanoseconds().saturating_sub(self.cpu_nanoseconds);
        Used {
            cpu_seconds: cpu as f64 / 1e9,
            memory_bytes: resident_bytes().saturating_sub(self.memory_bytes),
        }
    }
}

/// The first field of the kernel's scheduling figures of this thread.
fn cpu_nanoseconds() -> u64 {
    let figures = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    figures
        .split_whitespace()
        .next()
        .and_then(|field| field.parse().ok())
        .unwrap_or(0)
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
