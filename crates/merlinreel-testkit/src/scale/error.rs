//! What is wrong with a measurement that was asked for; told before any of it begins.

use thiserror::Error;

/// Why a scale run does not begin, or did not end.
#[derive(Debug, Error)]
pub enum ScaleError {
    #[error("--{option} {given}: {why}; give {expected}")]
    Argument {
        option: &'static str,
        given: String,
        why: &'static str,
        expected: &'static str,
    },
    #[error(
        "{what} needs about {needed_mb} MB, {given_mb} MB are allowed; raise --memory-mb, or ask for a smaller size"
    )]
    Memory {
        what: String,
        needed_mb: u64,
        given_mb: u64,
    },
    #[error("{path}: {why}; see that the folder is there and can be written to")]
    Output { path: String, why: std::io::Error },
    #[error("{role} at size {size}: {why}")]
    Unsettled {
        role: &'static str,
        size: u64,
        why: String,
    },
}
