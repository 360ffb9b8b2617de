//! The sizes, seed and limits of a measurement, validated before it begins.

use super::ScaleError;
use super::proc_file;

/// Assumed memory of the machine if it is unknown.
const DEFAULT_MEMORY_KB: u64 = 2 << 20;

/// The sizes to measure at, the seed and the limits.
#[derive(Clone, Debug)]
pub struct MeasureRequest {
    /// Sizes in ascending order, each at least 1.
    pub sizes: Vec<u64>,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Number of runs in which processor times and latencies are measured at each size.
    pub runs: u32,
    /// Maximum estimated memory of one size, in megabytes.
    pub memory_mb: u64,
}

impl MeasureRequest {
    /// Creates a valid request. If `memory_mb` is `None`, the limit is half of the machine's memory.
    ///
    /// # Errors
    /// There are no sizes, a size is 0, the sizes are not in strictly ascending order, or `runs` or `memory_mb` is 0.
    pub fn new(
        sizes: Vec<u64>,
        seed: u64,
        runs: u32,
        memory_mb: Option<u64>,
    ) -> Result<MeasureRequest, ScaleError> {
        let invalid = |option, value: String, problem, expected| {
            Err(ScaleError::Argument {
                option,
                value,
                problem,
                expected,
            })
        };
        let value = format!("{sizes:?}");
        if sizes.is_empty() || sizes.contains(&0) {
            return invalid(
                "sizes",
                value,
                "sizes must be at least 1, and at least one is needed",
                "sizes such as 50,150,500",
            );
        }
        if !sizes.is_sorted_by(|a, b| a < b) {
            return invalid(
                "sizes",
                value,
                "sizes must be in ascending order, each of them once",
                "sizes such as 50,150,500",
            );
        }
        if runs == 0 {
            return invalid(
                "runs",
                "0".to_owned(),
                "at least one run is needed",
                "1 or more",
            );
        }
        let memory_mb = memory_mb.unwrap_or_else(half_of_machine_memory_mb);
        if memory_mb == 0 {
            return invalid(
                "memory-mb",
                "0".to_owned(),
                "no size fits into 0 MB",
                "a number of megabytes, 64 or more",
            );
        }
        Ok(MeasureRequest {
            sizes,
            seed,
            runs,
            memory_mb,
        })
    }

    /// Checks the estimated memory of a size against the limit; `what` describes the size for the error message.
    ///
    /// # Errors
    /// The estimate exceeds the limit.
    pub fn check_memory(&self, what: &str, needed_mb: u64) -> Result<(), ScaleError> {
        if needed_mb <= self.memory_mb {
            return Ok(());
        }
        Err(ScaleError::Memory {
            what: what.to_owned(),
            needed_mb,
            max_mb: self.memory_mb,
        })
    }
}

fn half_of_machine_memory_mb() -> u64 {
    let kilobytes = proc_file::kilobytes("/proc/meminfo", "MemTotal:");
    kilobytes.unwrap_or(DEFAULT_MEMORY_KB) / 1024 / 2
}

#[cfg(test)]
mod tests;
