//! Figures of one role at one size.

use crate::scale::{Emit, MeasureRequest, ScaleError, Sheet, Source, Unit};

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
    fn sheet(&self) -> Sheet {
        let Report {
            role,
            variable,
            size,
            ..
        } = *self;
        Sheet {
            seed: self.request.seed,
            role,
            variable,
            size,
            setting: self.setting.clone(),
        }
    }

    /// A counted value.
    pub fn counted(
        &mut self,
        metric: &'static str,
        unit: Unit,
        value: f64,
    ) -> Result<(), ScaleError> {
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
        let sheet = self.sheet();
        sheet
            .of_runs(metric, unit, source, runs)
            .map_or(Ok(()), &mut *self.emit)
    }
}
