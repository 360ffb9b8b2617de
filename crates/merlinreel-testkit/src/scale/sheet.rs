//! What the figures of one measured size have in common.

use super::{Figure, ScaleError, Source, Unit};

/// The role, the variable and its size, and how all else stands.
#[derive(Clone, Debug)]
pub struct Sheet {
    pub seed: u64,
    pub role: &'static str,
    pub variable: &'static str,
    pub size: u64,
    pub setting: String,
}

impl Sheet {
    /// A count, which is the same each run.
    pub fn counted(&self, metric: &'static str, unit: Unit, value: f64) -> Figure {
        Figure {
            value,
            least: value,
            most: value,
            ..self.form(metric, unit, Source::Counted)
        }
    }

    /// A figure of some runs; none where there were no runs.
    pub fn of_runs(
        &self,
        metric: &'static str,
        unit: Unit,
        source: Source,
        runs: Vec<f64>,
    ) -> Option<Figure> {
        Figure::of_runs(runs, self.form(metric, unit, source))
    }

    /// A figure of the kernel's, measured once or more.
    pub fn measured(&self, metric: &'static str, unit: Unit, runs: Vec<f64>) -> Option<Figure> {
        self.of_runs(metric, unit, Source::Kernel, runs)
    }

    /// A measurement that did not end at this size.
    pub fn unsettled(&self, why: impl ToString) -> ScaleError {
        ScaleError::Unsettled {
            role: self.role,
            size: self.size,
            why: why.to_string(),
        }
    }

    /// A figure without its value.
    pub fn form(&self, metric: &'static str, unit: Unit, source: Source) -> Figure {
        Figure {
            version: Figure::VERSION,
            seed: self.seed,
            role: self.role,
            variable: self.variable,
            size: self.size,
            setting: self.setting.clone(),
            metric,
            unit,
            source,
            value: 0.0,
            least: 0.0,
            most: 0.0,
            runs: 1,
        }
    }
}
