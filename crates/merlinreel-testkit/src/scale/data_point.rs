//! The format of measured values, each of which is written as a line of JSON.

use serde::Serialize;

/// Unit of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Bytes of memory, or of an encoded message, file or list.
    Bytes,
    /// Bytes per second of simulated time.
    BytesPerSecond,
    /// Messages sent or received.
    Messages,
    /// Messages per second of simulated time.
    MessagesPerSecond,
    /// Seconds of processor time.
    CpuSeconds,
    /// Processor time divided by the simulated time in which it was spent; 1 is one core in full use.
    CpuShare,
    /// Seconds of simulated time.
    Seconds,
    /// Microseconds of real time or of processor time, as [`Source`] states.
    Microseconds,
    /// Number or ratio without a unit.
    Count,
}

/// How a value was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Counted by the simulation: the same in each run with the same seed.
    Counted,
    /// Read from the kernel's accounting of this process; depends on the machine.
    Kernel,
    /// Measured by this process's monotonic clock; depends on the machine.
    Clock,
}

/// One measured value of a role: `variable` had the value `size`, and `setting` describes all other conditions.
#[derive(Clone, Debug, Serialize)]
pub struct DataPoint {
    /// Version of the test kit that measured the value.
    pub version: &'static str,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Measured part of the program, such as `quotas`.
    pub role: &'static str,
    /// Name of the quantity that is varied over the sizes, such as `limiters`.
    pub variable: &'static str,
    /// Value of the variable.
    pub size: u64,
    /// Description of all other conditions, as text.
    pub setting: String,
    /// Name of the measured quantity, such as `cpu_share`.
    pub metric: &'static str,
    /// Unit of `value`, `least` and `most`.
    pub unit: Unit,
    /// How the value was obtained.
    pub source: Source,
    /// Median of the runs; the greater of the two middle values if the number of runs is even.
    pub value: f64,
    /// Minimum of the runs.
    pub least: f64,
    /// Maximum of the runs.
    pub most: f64,
    /// Number of runs; for some metrics, the number of values observed in a single run.
    pub runs: u32,
}
