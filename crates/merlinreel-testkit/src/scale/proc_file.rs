//! Values of the kernel's files under `/proc`. Linux only, like the test kit.

use std::fs;

const STATUS: &str = "/proc/self/status";

/// The value of a line such as `VmRSS:   1024 kB`, in kilobytes; none where the file or the line is missing.
pub fn kilobytes(path: &str, label: &str) -> Option<u64> {
    let text = fs::read_to_string(path).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix(label))?;
    value.split_whitespace().next()?.parse().ok()
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    kilobytes(STATUS, "VmRSS:").unwrap_or(0) * 1024
}

/// The greatest resident memory of this process since the last [`reset_peak`], in bytes.
pub fn peak_bytes() -> u64 {
    kilobytes(STATUS, "VmHWM:").unwrap_or(0) * 1024
}

/// Resets the kernel's record of this process's greatest resident memory.
pub fn reset_peak() {
    // Where it fails, the peak is that of the process since its start, which is never less.
    let _ = fs::write("/proc/self/clear_refs", "5");
}
