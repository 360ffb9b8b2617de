//! Figures of one size, and the processor time of work that is too short to be measured once.

use crate::scale::{Figure, MeasureRequest, Meter, ScaleError, Sheet, Source, Unit};
use std::fs;

const ROLE: &str = "server_list";

/// Where figures go.
pub type Emit<'a> = dyn FnMut(Figure) -> Result<(), ScaleError> + 'a;

/// One size of a variable, all else as `setting` says.
pub(super) struct Report<'a, 'b> {
    pub request: &'a MeasureRequest,
    pub emit: &'a mut Emit<'b>,
    pub variable: &'static str,
    pub size: u64,
    pub setting: String,
}

impl Report<'_, '_> {
    fn sheet(&self) -> Sheet {
        let Report { variable, size, .. } = *self;
        Sheet {
            seed: self.request.seed,
            role: ROLE,
            variable,
            size,
            setting: self.setting.clone(),
        }
    }

    pub fn counted(
        &mut self,
        metric: &'static str,
        unit: Unit,
        value: u64,
    ) -> Result<(), ScaleError> {
        self.runs(metric, unit, Source::Counted, vec![value as f64])
    }

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

    /// How often work is repeated in one measurement, so that each size has about as much of it as the largest: the
    /// kernel counts processor time in steps of some milliseconds.
    pub fn repeats(&self) -> u64 {
        (self.largest() / self.size).max(1)
    }

    pub fn largest(&self) -> u64 {
        self.request.sizes.last().copied().unwrap_or(self.size)
    }

    /// Processor time of each piece of `work`, over as many as `prepare` makes; measured as often as was asked for. What
    /// the work brings is dropped after the reading.
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
        self.runs(metric, Unit::CpuSeconds, Source::Kernel, runs)
    }

    pub fn failed(&self, why: impl ToString) -> ScaleError {
        unsettled(self.size, why)
    }
}

/// A measurement that did not end at this size.
pub(super) fn unsettled(size: u64, why: impl ToString) -> ScaleError {
    ScaleError::Unsettled {
        role: ROLE,
        size,
        why: why.to_string(),
    }
}

/// From now on the kernel's peak of this process's resident memory counts anew.
pub(super) fn reset_peak() {
    // Without it the peak is of the whole process, which is never less.
    let _ = fs::write("/proc/self/clear_refs", "5");
}

/// The kernel's peak of this process's resident memory, in bytes.
pub(super) fn peak_bytes() -> u64 {
    status_bytes("VmHWM:")
}

pub(super) fn resident_bytes() -> u64 {
    status_bytes("VmRSS:")
}

fn status_bytes(field: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
