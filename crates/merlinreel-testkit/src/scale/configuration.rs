//! What a limiter spends on its settings: reading the file at a start and at each change, and what remains of classes
//! that were changed.

mod decision_module;
mod entries;
mod file;

pub use decision_module::measure_reloads;
pub use entries::{Entries, read};

use super::{Emit, MeasureRequest, Report, ScaleError, Variable};
use std::time::Duration;

/// Routes, each a class of the settings; two beside the most that the settings allow, and the full size.
pub const DEFAULT_SIZES: &[u64] = &[100, 1_000, 4_000, 4_096, 4_097, 10_000, 110_000];
/// Plans of the settings.
pub const PLAN_SIZES: &[u64] = DEFAULT_SIZES;
/// Reloads, each with one changed class.
pub const RELOAD_SIZES: &[u64] = &[100, 300, 1_000, 3_000];

const ROUTES: Variable = Variable {
    role: "configuration",
    name: "routes",
};
const PLANS: Variable = Variable {
    role: "configuration",
    name: "plans",
};
const RELOADS: Variable = Variable {
    role: "configuration",
    name: "reloads",
};
/// 24,000 changes per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(3_600);
/// Classes or plans while the other is varied.
const FEW: u64 = 4;
/// An upper estimate of an entry as text, as JSON, by its paths and in the decision module.
const ENTRY_KB: u64 = 6;

/// Varies the routes, each with limits of its own.
///
/// # Errors
/// A size exceeds the memory bound, or a measurement fails.
pub fn measure(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    // Kept until the end: memory that one size freed would hide what the next one takes.
    let mut limiters = Vec::new();
    for &size in &request.sizes {
        let setting = "decision module alone, all classes differ".to_owned();
        let mut report = Report::new(request, ROUTES, size, setting, emit);
        limiters.push(decision_module::measure(&mut report)?);
    }
    let mut files = Vec::new();
    for &size in &request.sizes {
        let entries = Entries::new(size, FEW, request.seed);
        let setting = format!("{FEW} plans, all classes differ, a change each 3.6 s");
        let mut report = Report::new(request, ROUTES, size, setting, emit);
        files.push(file::measure(&mut report, &entries)?);
    }
    Ok(())
}

/// Varies the plans.
///
/// # Errors
/// A size exceeds the memory bound, or a measurement fails.
pub fn measure_plans(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let mut files = Vec::new();
    for &size in &request.sizes {
        let entries = Entries::new(FEW, size, request.seed);
        let setting = format!("{FEW} classes, a change each 3.6 s");
        let mut report = Report::new(request, PLANS, size, setting, emit);
        files.push(file::measure(&mut report, &entries)?);
    }
    Ok(())
}

fn check_memory(request: &MeasureRequest, what: &str, entries: u64) -> Result<(), ScaleError> {
    request.check_memory(what, entries * ENTRY_KB / 1024 + 64)
}

/// Processor time at each change as a share of a core.
fn share_of_change_interval(cpu_seconds: &[f64]) -> Vec<f64> {
    cpu_seconds
        .iter()
        .map(|cpu| cpu / CHANGE_INTERVAL.as_secs_f64())
        .collect()
}
