//! Measures what the settings cost a limiter: reading the file at startup and at each change, and the request classes
//! that the decision module keeps after they were changed.

mod decision_module;
mod entries;
mod file;

pub use decision_module::measure_reloads;
pub use entries::{Entries, read};

use super::{Emit, MeasureRequest, Report, ScaleError, Variable};
use std::time::Duration;

/// Default numbers of routes, each of which is a request class. The settings allow 4,096; above that, reading fails.
/// 110,000 is the number of a deployment of full size.
pub const DEFAULT_SIZES: &[u64] = &[100, 1_000, 4_000, 4_096, 4_097, 10_000, 110_000];
/// Default numbers of plans.
pub const PLAN_SIZES: &[u64] = DEFAULT_SIZES;
/// Default numbers of reloads, each with one changed class.
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
/// Time between two changes of the settings: 24,000 changes per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(3_600);
/// Number of plans while the classes vary, and of classes while the plans vary.
const FIXED_ENTRIES: u64 = 4;
/// Upper estimate of the memory of a class or plan: as text, as JSON, in the settings tree and in the decision module.
const KB_PER_ENTRY: u64 = 6;

/// Varies the number of routes. Each is a request class with limits of its own.
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    // Kept until the end: the next size would reuse freed memory, and its own use of memory would not show.
    let mut limiters = Vec::new();
    for &size in &request.sizes {
        let setting = "decision module alone, all classes differ".to_owned();
        let mut report = Report::new(request, ROUTES, size, setting, emit);
        limiters.push(decision_module::measure(&mut report)?);
    }
    let mut files = Vec::new();
    for &size in &request.sizes {
        let entries = Entries::new(size, FIXED_ENTRIES, request.seed);
        let setting = format!("{FIXED_ENTRIES} plans, all classes differ, a change each 3.6 s");
        let mut report = Report::new(request, ROUTES, size, setting, emit);
        files.push(file::measure(&mut report, &entries)?);
    }
    Ok(())
}

/// Varies the number of plans.
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure_plans(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let mut files = Vec::new();
    for &size in &request.sizes {
        let entries = Entries::new(FIXED_ENTRIES, size, request.seed);
        let setting = format!("{FIXED_ENTRIES} classes, a change each 3.6 s");
        let mut report = Report::new(request, PLANS, size, setting, emit);
        files.push(file::measure(&mut report, &entries)?);
    }
    Ok(())
}

fn check_memory(request: &MeasureRequest, what: &str, entries: u64) -> Result<(), ScaleError> {
    request.check_memory(what, entries * KB_PER_ENTRY / 1024 + 64)
}

/// Processor times per change as shares of a core, with a change each [`CHANGE_INTERVAL`].
fn share_of_change_interval(cpu_seconds: &[f64]) -> Vec<f64> {
    cpu_seconds
        .iter()
        .map(|cpu| cpu / CHANGE_INTERVAL.as_secs_f64())
        .collect()
}
