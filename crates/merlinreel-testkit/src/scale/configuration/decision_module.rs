//! Measures the decision module's part of a change of settings: the memory of its classes, and the processor time of
//! reconfiguring it. The decision module does not limit the number of classes itself.

use super::file::repeat;
use super::{Entries, FIXED_ENTRIES, RELOADS, check_memory, read, share_of_change_interval};
use crate::scale::{Emit, MeasureRequest, Meter, Report, ScaleError, Unit};
use merlinreel_policy::Limiter;
use merlinreel_policy::{Idempotency, RequestClass, RequestLimits};
use merlinreel_settings::Settings;
use std::time::Duration;

/// Number of classes in the settings while the number of reloads varies.
const RELOADED_CLASSES: u64 = 1_000;
/// The processor time of a reload is averaged over this many last reloads.
const LAST_RELOADS: u64 = 100;
/// Up to this many classes, the processor time of reconfiguring is measured in several runs. It grows with the square
/// of their number, so with more classes it is measured only once.
const MAX_CLASSES_FOR_SEVERAL_RUNS: u64 = 20_000;
/// Comparisons of classes in one run. Reconfiguring is repeated to reach this number, as the kernel counts processor
/// time in steps of some milliseconds.
const COMPARISONS_PER_RUN: u64 = 100_000_000;
/// Limits the repetitions for few classes.
const MAX_REPETITIONS: u64 = 1_000;

/// Varies the number of reloads of the settings, each with one changed class.
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure_reloads(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    // Kept until the end: the next size would reuse freed memory, and its own use of memory would not show.
    let mut limiters = Vec::new();
    for &size in &request.sizes {
        let setting = format!("{RELOADED_CLASSES} classes, one changed each reload");
        let mut report = Report::new(request, RELOADS, size, setting, emit);
        check_memory(
            request,
            &format!("a limiter with {size} reloads"),
            RELOADED_CLASSES + size,
        )?;
        let mut classes = distinct_classes(RELOADED_CLASSES);
        let mut limiter = limiter_with(&report, &classes)?;
        let total_meter = Meter::start();
        let mut last_reloads_meter = total_meter;
        for reload in 0..size {
            if reload == size.saturating_sub(LAST_RELOADS) {
                last_reloads_meter = Meter::start();
            }
            let index = reload as usize * 7 % classes.len();
            classes[index] = distinct_class(RELOADED_CLASSES + reload);
            reconfigure(&mut limiter, &classes);
        }
        let last_cpu = last_reloads_meter.read().cpu_seconds / size.min(LAST_RELOADS) as f64;
        let usage = total_meter.read();
        report_classes_kept(&mut report, &limiter)?;
        let memory = usage.memory_bytes as f64;
        report.measured("growth_memory", Unit::Bytes, vec![memory])?;
        report.measured("last_retune_cpu", Unit::CpuSeconds, vec![last_cpu])?;
        report.measured("all_retunes_cpu", Unit::CpuSeconds, vec![usage.cpu_seconds])?;
        limiters.push(limiter);
    }
    Ok(())
}

/// Reports the memory of a limiter's classes, the number of classes kept after a change, and the processor time of
/// reconfiguring.
pub fn measure(report: &mut Report) -> Result<Limiter, ScaleError> {
    let size = report.size;
    check_memory(
        report.request,
        &format!("a limiter with {size} classes"),
        size,
    )?;
    let mut classes = distinct_classes(size);
    let meter = Meter::start();
    let mut limiter = limiter_with(report, &classes)?;
    let memory = meter.read().memory_bytes as f64;
    report.measured("module_memory", Unit::Bytes, vec![memory])?;
    classes[0] = distinct_class(size);
    reconfigure(&mut limiter, &classes);
    report_classes_kept(report, &limiter)?;
    let repetitions = (COMPARISONS_PER_RUN / (size * size)).clamp(1, MAX_REPETITIONS);
    let runs = if size > MAX_CLASSES_FOR_SEVERAL_RUNS {
        1
    } else {
        report.request.runs
    };
    let times: Vec<f64> = (0..runs)
        .map(|_| repeat(repetitions, || reconfigure(&mut limiter, &classes)).cpu_seconds)
        .collect();
    let share = share_of_change_interval(&times);
    report.measured("retune_cpu", Unit::CpuSeconds, times)?;
    report.measured("retune_share", Unit::CpuShare, share)?;
    Ok(limiter)
}

fn report_classes_kept(report: &mut Report, limiter: &Limiter) -> Result<(), ScaleError> {
    report.counted("classes_kept", Unit::Count, limiter.class_count() as f64)
}

fn reconfigure(limiter: &mut Limiter, classes: &[RequestClass]) {
    let limits = RequestLimits {
        max_attempts: 2,
        hedging: false,
        cancellation: true,
        retry_after: true,
        max_retry_after: Duration::from_secs(1),
        max_in_flight: 1_000,
    };
    limiter.reconfigure(classes, limits);
}

fn distinct_classes(count: u64) -> Vec<RequestClass> {
    (0..count).map(distinct_class).collect()
}

/// A class that differs from all others only in its deadline.
fn distinct_class(number: u64) -> RequestClass {
    RequestClass {
        latency_objective: Duration::from_millis(500),
        deadline: Duration::from_secs(1) + Duration::from_micros(number),
        priority_weight: 1.0,
        late_weight: 0.5,
        idempotency: Idempotency::Idempotent,
    }
}

fn limiter_with(report: &Report, classes: &[RequestClass]) -> Result<Limiter, ScaleError> {
    let seed = report.request.seed;
    let settings = read(&Entries::new(FIXED_ENTRIES, FIXED_ENTRIES, seed).text())
        .map_err(|error| report.failed(error))?;
    Ok(Settings {
        classes: classes.to_vec(),
        ..settings
    }
    .limiter(seed))
}
