//! Errors of the scale command and its measurements.

use thiserror::Error;

/// Why a scale measurement or a fit can't start, or failed.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// An option has an invalid value.
    #[error("--{option} {value}: {problem}; expected {expected}")]
    Argument {
        /// Name of the option without dashes.
        option: &'static str,
        /// Value of the option as given.
        value: String,
        /// Why the value is invalid.
        problem: &'static str,
        /// Description or example of a valid value.
        expected: &'static str,
    },
    /// The estimated memory of a size exceeds the limit.
    #[error(
        "{what} needs about {needed_mb} MB, the limit is {max_mb} MB; raise --memory-mb or choose a smaller size"
    )]
    Memory {
        /// Description of what was to be measured, such as `2300 limiters`.
        what: String,
        /// Estimated memory in megabytes.
        needed_mb: u64,
        /// Limit in megabytes.
        max_mb: u64,
    },
    /// A file, or standard output, can't be read or written, or has a line that is not JSON.
    #[error(
        "{path}: {error}; check the path and its permissions, and that a file to fit has a data point on each line"
    )]
    File {
        /// Path of the file, or `standard output`.
        path: String,
        /// The I/O or JSON error.
        error: std::io::Error,
    },
    /// A measurement failed at a size.
    #[error("{role} at size {size}: {why}")]
    Failed {
        /// Role that was measured.
        role: &'static str,
        /// Size at which it failed.
        size: u64,
        /// Description of the underlying error.
        why: String,
    },
}
