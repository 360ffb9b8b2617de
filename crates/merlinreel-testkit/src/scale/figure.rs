//! One measured figure, as a line of JSON.

use serde::Serialize;

/// What a value counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    Bytes,
    BytesPerSecond,
    Messages,
    MessagesPerSecond,
    /// Processor time.
    CpuSeconds,
    /// Processor time as a share of one core over the time measured on the test's clock.
    CpuShare,
    /// On the test's clock.
    Seconds,
    Microseconds,
    Count,
}

/// Where a value comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Counted: the same each run with the same seed.
    Counted,
    /// The kernel's figure for this process, on this machine.
    Kernel,
    /// This process's monotonic clock, on this machine.
    Clock,
}

/// A value measured for a role while one variable has a size and all others stand as `setting` says.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    pub version: &'static str,
    pub seed: u64,
    pub role: &'static str,
    /// What is varied.
    pub variable: &'static str,
    pub size: u64,
    pub setting: String,
    pub metric: &'static str,
    pub unit: Unit,
    pub source: Source,
    /// The median of the runs, or the only one.
    pub value: f64,
    pub least: f64,
    pub most: f64,
    pub runs: u32,
}

impl Figure {
    pub const VERSION: &'static str = env!("CARGO_PKG_VERSION");

    /// The figure of some runs; none where there were no runs.
    pub fn of_runs(mut runs: Vec<f64>, form: Figure) -> Option<Figure> {
        runs.sort_by(f64::total_cmp);
        let (least, most) = (*runs.first()?, *runs.last()?);
        let value = runs[runs.len() / 2];
        Some(Figure {
            value,
            least,
            most,
            runs: runs.len() as u32,
            ..form
        })
    }
}
