//! One measured value, written as a line of JSON.

use serde::Serialize;

/// What a value counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Bytes.
    Bytes,
    /// Bytes per second of the simulated clock.
    BytesPerSecond,
    /// Messages.
    Messages,
    /// Messages per second of the simulated clock.
    MessagesPerSecond,
    /// Seconds of processor time.
    CpuSeconds,
    /// Processor time as a share of one core, over the measured time of the simulated clock.
    CpuShare,
    /// Seconds of the simulated clock.
    Seconds,
    /// Microseconds.
    Microseconds,
    /// A number without a unit.
    Count,
}

/// Where a value comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Counted: the same each run with the same seed.
    Counted,
    /// The kernel's accounting of this process, on this machine.
    Kernel,
    /// This process's monotonic clock, on this machine.
    Clock,
}

/// A value measured for a role while one variable has a size and all others are as `setting` says.
#[derive(Clone, Debug, Serialize)]
pub struct DataPoint {
    /// The version of the package that measured it.
    pub version: &'static str,
    /// The seed that everything was drawn from.
    pub seed: u64,
    /// The part of the program that was measured.
    pub role: &'static str,
    /// What is varied.
    pub variable: &'static str,
    /// The variable's value.
    pub size: u64,
    /// All other conditions, as text.
    pub setting: String,
    /// The name of the value.
    pub metric: &'static str,
    /// Its unit.
    pub unit: Unit,
    /// Where it comes from.
    pub source: Source,
    /// The median of the runs, or the only one.
    pub value: f64,
    /// The least value of the runs.
    pub least: f64,
    /// The greatest value of the runs.
    pub most: f64,
    /// The number of runs.
    pub runs: u32,
}
