//! Data points of one measured size.

use super::{DataPoint, MeasureRequest, Meter, ScaleError, Source, Unit};

/// Receives data points as they are measured.
pub type Emit<'a> = &'a mut dyn FnMut(DataPoint) -> Result<(), ScaleError>;

/// What is varied of a role, by the names in its data points.
#[derive(Clone, Copy, Debug)]
pub struct Variable {
    /// The part of the program that is measured.
    pub role: &'static str,
    /// The variable's name.
    pub name: &'static str,
}

/// A role and a size of its variable, to name in errors.
#[derive(Clone, Copy, Debug)]
pub struct MeasuredSize {
    /// The role that is measured.
    pub role: &'static str,
    /// The size.
    pub size: u64,
}

impl MeasuredSize {
    /// The error of a measurement that failed at this size.
    pub fn failed(self, why: impl ToString) -> ScaleError {
        ScaleError::Failed {
            role: self.role,
            size: self.size,
            why: why.to_string(),
        }
    }
}

/// What all data points of one size have in common, and where they are emitted to.
pub struct Report<'a> {
    /// What was requested.
    pub request: &'a MeasureRequest,
    /// What is varied.
    pub variable: Variable,
    /// The variable's size.
    pub size: u64,
    /// All other conditions, as text.
    setting: String,
    emit: Emit<'a>,
}

impl<'a> Report<'a> {
    /// A report of a size; `setting` says all other conditions.
    pub fn new(
        request: &'a MeasureRequest,
        variable: Variable,
        size: u64,
        setting: String,
        emit: Emit<'a>,
    ) -> Report<'a> {
        Report {
            request,
            variable,
            size,
            setting,
            emit,
        }
    }
}

impl Report<'_> {
    /// The role and size, to name in errors.
    pub fn measured_size(&self) -> MeasuredSize {
        MeasuredSize {
            role: self.variable.role,
            size: self.size,
        }
    }

    /// The error of a measurement that failed at this size.
    pub fn failed(&self, why: impl ToString) -> ScaleError {
        self.measured_size().failed(why)
    }

    /// Emits a counted value.
    ///
    /// # Errors
    /// The data point can't be written.
    pub fn counted(
        &mut self,
        metric: &'static str,
        unit: Unit,
        value: f64,
    ) -> Result<(), ScaleError> {
        self.runs(metric, unit, Source::Counted, vec![value])
    }

    /// Emits a value of the kernel's accounting, by its runs; nothing where there were none.
    ///
    /// # Errors
    /// The data point can't be written.
    pub fn measured(
        &mut self,
        metric: &'static str,
        unit: Unit,
        runs: Vec<f64>,
    ) -> Result<(), ScaleError> {
        self.runs(metric, unit, Source::Kernel, runs)
    }

    /// Emits a value by its runs; nothing where there were none.
    ///
    /// # Errors
    /// The data point can't be written.
    pub fn runs(
        &mut self,
        metric: &'static str,
        unit: Unit,
        source: Source,
        mut runs: Vec<f64>,
    ) -> Result<(), ScaleError> {
        runs.sort_by(f64::total_cmp);
        let (Some(&least), Some(&most)) = (runs.first(), runs.last()) else {
            return Ok(());
        };
        (self.emit)(DataPoint {
            version: env!("CARGO_PKG_VERSION"),
            seed: self.request.seed,
            role: self.variable.role,
            variable: self.variable.name,
            size: self.size,
            setting: self.setting.clone(),
            metric,
            unit,
            source,
            value: runs[runs.len() / 2],
            least,
            most,
            runs: runs.len() as u32,
        })
    }

    /// How often work is repeated in one measurement, so that each size has about as much of it as the largest: the
    /// kernel counts processor time in steps of some milliseconds.
    pub fn repeats(&self) -> u64 {
        (self.largest_size() / self.size).max(1)
    }

    /// The largest size of the request.
    pub fn largest_size(&self) -> u64 {
        self.request.sizes.last().copied().unwrap_or(self.size)
    }

    /// Emits the processor time of each piece of `work`, over as many inputs as `prepare` makes, once per run. Outputs
    /// are dropped after the measurement.
    ///
    /// # Errors
    /// Preparation or work fails, or the data point can't be written.
    pub fn cpu_of_each<Input, Output>(
        &mut self,
        metric: &'static str,
        mut prepare: impl FnMut() -> Result<Vec<Input>, ScaleError>,
        mut work: impl FnMut(Input) -> Result<Output, ScaleError>,
    ) -> Result<(), ScaleError> {
        let mut runs = Vec::new();
        for _ in 0..self.request.runs {
            let inputs = prepare()?;
            let mut outputs = Vec::with_capacity(inputs.len());
            let meter = Meter::start();
            for input in inputs {
                outputs.push(work(input)?);
            }
            runs.push(meter.read().cpu_seconds / outputs.len().max(1) as f64);
        }
        self.measured(metric, Unit::CpuSeconds, runs)
    }
}
