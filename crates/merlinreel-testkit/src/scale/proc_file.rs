//! Reads values from the kernel's files under `/proc`, which exist on Linux only, like the test kit.

use std::fs;

const STATUS: &str = "/proc/self/status";

/// The value of a line such as `VmRSS:   1024 kB`, in kilobytes; `None` if the file or the line is missing or malformed.
pub fn kilobytes(path: &str, label: &str) -> Option<u64> {
    let text = fs::read_to_string(path).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix(label))?;
    value.split_whitespace().next()?.parse().ok()
}

/// Resident memory of this process, in bytes; 0 if unreadable.
pub fn resident_bytes() -> u64 {
    kilobytes(STATUS, "VmRSS:").unwrap_or(0) * 1024
}

/// Peak resident memory of this process since the last [`reset_peak`], in bytes; 0 if unreadable.
pub fn peak_bytes() -> u64 {
    kilobytes(STATUS, "VmHWM:").unwrap_or(0) * 1024
}

/// Resets the kernel's record of this process's peak resident memory.
pub fn reset_peak() {
    // If this fails, the peak is that since the start of the process, which is never less.
    let _ = fs::write("/proc/self/clear_refs", "5");
}
