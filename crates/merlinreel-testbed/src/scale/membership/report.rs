//! Figures of one role at one size.

use crate::scale::{Figure, MeasureRequest, ScaleError, Source, Unit};

/// Takes figures.
pub type Emit<'a> = &'a mut dyn FnMut(Figure) -> Result<(), ScaleError>;

/// What all figures of one size have in common.
pub struct Report<'a> {
    pub request: &'a MeasureRequest,
    pub role: &'static str,
    pub variable: &'static str,
    pub size: u64,
    pub setting: String,
    pub emit: Emit<'a>,
}

impl Report<'_> {
    /// A counted value.
    pub fn counted(&mut self, metric: &'static str, unit: Unit, value: f64) -> Result<(), ScaleError> {
        self.runs(metric, unit, Source::Counted, vec![value])
    }

    /// A value of several runs; nothing where there were none.
    pub fn runs(
        &mut self,
        metric: &'static str,
        unit: Unit,
        source: Source,
        runs: Vec<f64>,
    ) -> Result<(), ScaleError> {
        let form = Figure {
            version: Figure::VERSION,
            seed: self.request.seed,
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
            runs: 0,
        };
        Figure::of_runs(runs, form).map_or(Ok(()), &mut *self.emit)
    }
}
