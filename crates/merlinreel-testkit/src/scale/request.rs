//! The request of a scale run, validated before any of it begins.

use super::ScaleError;
use super::proc_file;

/// Assumed where the machine's memory is unknown, in kilobytes.
const DEFAULT_MEMORY_KB: u64 = 2 << 20;

/// The sizes to measure at, and the bounds of the run.
#[derive(Clone, Debug)]
pub struct MeasureRequest {
    /// In ascending order.
    pub sizes: Vec<u64>,
    /// What everything is drawn from.
    pub seed: u64,
    /// How often times are measured at each size.
    pub runs: u32,
    /// The most memory that one size may take, in megabytes.
    pub memory_mb: u64,
}

impl MeasureRequest {
    /// A valid request. Without a memory bound, it is half of the machine's memory.
    ///
    /// # Errors
    /// Sizes are not in ascending order, one is 0 or given twice, or there are no sizes, runs or memory.
    pub fn new(
        sizes: Vec<u64>,
        seed: u64,
        runs: u32,
        memory_mb: Option<u64>,
    ) -> Result<MeasureRequest, ScaleError> {
        let argument = |option, given: String, why, expected| {
            Err(ScaleError::Argument {
                option,
                given,
                why,
                expected,
            })
        };
        let given = format!("{sizes:?}");
        if sizes.is_empty() || sizes.contains(&0) {
            return argument(
                "sizes",
                given,
                "a size must be 1 at least",
                "sizes such as 50,150,500",
            );
        }
        if !sizes.is_sorted_by(|a, b| a < b) {
            return argument(
                "sizes",
                given,
                "they are not in ascending order",
                "sizes such as 50,150,500",
            );
        }
        if runs == 0 {
            return argument(
                "runs",
                "0".to_owned(),
                "nothing would be measured",
                "1 or more",
            );
        }
        let memory_mb = memory_mb.unwrap_or_else(half_of_the_machine_mb);
        if memory_mb == 0 {
            return argument(
                "memory-mb",
                "0".to_owned(),
                "no size fits",
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

    /// Checks the estimated need of a size.
    ///
    /// # Errors
    /// The need is over the bound.
    pub fn check_memory(&self, what: &str, needed_mb: u64) -> Result<(), ScaleError> {
        if needed_mb <= self.memory_mb {
            return Ok(());
        }
        Err(ScaleError::Memory {
            what: what.to_owned(),
            needed_mb,
            given_mb: self.memory_mb,
        })
    }
}

fn half_of_the_machine_mb() -> u64 {
    let kilobytes = proc_file::kilobytes("/proc/meminfo", "MemTotal:");
    kilobytes.unwrap_or(DEFAULT_MEMORY_KB) / 1024 / 2
}

#[cfg(test)]
mod tests;
