//! Why a scale run does not begin, or fails.

use thiserror::Error;

/// Why a scale run does not begin, or fails.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// An option has an invalid value.
    #[error("--{option} {given}: {why}; give {expected}")]
    Argument {
        /// The option's name without dashes.
        option: &'static str,
        /// Its value.
        given: String,
        /// Why it is invalid.
        why: &'static str,
        /// What is valid.
        expected: &'static str,
    },
    /// A size would exceed the memory bound.
    #[error(
        "{what} needs about {needed_mb} MB, {given_mb} MB are allowed; raise --memory-mb, or ask for a smaller size"
    )]
    Memory {
        /// What would be measured.
        what: String,
        /// The estimated need in megabytes.
        needed_mb: u64,
        /// The bound in megabytes.
        given_mb: u64,
    },
    /// A file can't be read or written.
    #[error("{path}: {why}; check that the folder exists and can be written to")]
    Output {
        /// The file's path.
        path: String,
        /// Why it fails.
        why: std::io::Error,
    },
    /// A measurement failed at a size.
    #[error("{role} at size {size}: {why}")]
    Failed {
        /// The role that was measured.
        role: &'static str,
        /// The size.
        size: u64,
        /// Why it failed.
        why: String,
    },
}
