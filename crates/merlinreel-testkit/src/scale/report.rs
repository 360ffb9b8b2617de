//! Creates and emits the data points of one measured size.

use super::{DataPoint, MeasureRequest, Meter, ScaleError, Source, Unit};

/// Callback that receives each data point as soon as it is measured.
pub type Emit<'a> = &'a mut dyn FnMut(DataPoint) -> Result<(), ScaleError>;

/// The names, in data points, of a measured role and of the quantity that is varied.
#[derive(Clone, Copy, Debug)]
pub struct Variable {
    /// Measured part of the program, as in [`DataPoint::role`].
    pub role: &'static str,
    /// Name of the quantity, as in [`DataPoint::variable`].
    pub name: &'static str,
}

/// A role and the measured size, for error messages. Unlike a [`Report`], it can be copied into closures.
#[derive(Clone, Copy, Debug)]
pub struct MeasuredSize {
    /// Measured part of the program, as in [`DataPoint::role`].
    pub role: &'static str,
    /// Value of the variable.
    pub size: u64,
}

impl MeasuredSize {
    /// Creates the error of a measurement that failed at this size.
    pub fn failed(self, error: impl ToString) -> ScaleError {
        ScaleError::Failed {
            role: self.role,
            size: self.size,
            why: error.to_string(),
        }
    }
}

/// Emits the data points of one size, with the fields that they have in common.
pub struct Report<'a> {
    /// The requested measurement, with its seed and number of runs.
    pub request: &'a MeasureRequest,
    /// The quantity that is varied.
    pub variable: Variable,
    /// Value of the variable.
    pub size: u64,
    /// Description of all other conditions.
    setting: String,
    emit: Emit<'a>,
}

impl<'a> Report<'a> {
    /// Creates the report of a size; `setting` describes all other conditions.
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
    /// The role and size, for error messages.
    pub fn measured_size(&self) -> MeasuredSize {
        MeasuredSize {
            role: self.variable.role,
            size: self.size,
        }
    }

    /// Creates the error of a measurement that failed at this size.
    pub fn failed(&self, error: impl ToString) -> ScaleError {
        self.measured_size().failed(error)
    }

    /// Emits a value that was counted once, as it is the same in each run.
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

    /// Emits a value of the kernel's accounting from its values in each run; emits nothing if `runs` is empty.
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

    /// Emits a data point from its values in each run; emits nothing if `runs` is empty.
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

    /// Number of repetitions of the work in one measurement. Smaller sizes repeat it until it is about as much as at the
    /// largest size, as the kernel counts processor time in steps of some milliseconds.
    pub fn repeats(&self) -> u64 {
        (self.largest_size() / self.size).max(1)
    }

    /// Largest size of the request.
    pub fn largest_size(&self) -> u64 {
        self.request.sizes.last().copied().unwrap_or(self.size)
    }

    /// Emits the mean processor time of a call of `work`. In each run, `prepare` creates the inputs, and `work` is measured
    /// over all of them; its outputs are dropped after the measurement.
    ///
    /// # Errors
    /// `prepare` or `work` fails, or the data point can't be written.
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
