//! What a scale run was asked for, checked before any of it begins.

use super::ScaleError;
use std::fs;

/// The sizes to measure at, and the bounds of the run.
#[derive(Clone, Debug)]
pub struct MeasureRequest {
    /// In ascending order.
    pub sizes: Vec<u64>,
    pub seed: u64,
    /// How often times and memory are measured at each size.
    pub runs: u32,
    pub memory_mb: u64,
}

impl MeasureRequest {
    /// Sizes are given in ascending order, each once; with no memory bound, half of the machine's is taken.
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
                "nothing fits",
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

    /// Refuses a size whose estimated need is over the bound.
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
    let figures = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = figures
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(2 << 20) / 1024 / 2
}

#[cfg(test)]
mod tests;
