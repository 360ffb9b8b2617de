//! The decision module's part of a change of settings, which has no bound of its own: memory of the classes, and
//! reconfiguring.

use super::file::repeat;
use super::{Entries, FEW, RELOADS, check_memory, read, share_of_change_interval};
use crate::scale::{Emit, MeasureRequest, Meter, Report, ScaleError, Unit};
use merlinreel_policy::Limiter;
use merlinreel_policy::{Idempotency, RequestClass, RequestLimits};
use merlinreel_settings::Settings;
use std::time::Duration;

const RELOADED_CLASSES: u64 = 1_000;
/// The processor time of a reload is the mean of this many last ones.
const LAST_RELOADS: u64 = 100;
/// Above this many entries, times that grow with their square are measured once.
const MAX_REPEATED_ENTRIES: u64 = 20_000;
/// Classes compared in one measurement, over as many repetitions as the size needs: the kernel counts processor time in
/// steps of some milliseconds.
const COMPARISONS_MEASURED: u64 = 100_000_000;
const MAX_REPETITIONS: u64 = 1_000;

/// Varies how often the settings were reloaded, each time with one class changed.
///
/// # Errors
/// A size exceeds the memory bound, or a measurement fails.
pub fn measure_reloads(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    let mut kept = Vec::new();
    for &size in &request.sizes {
        let setting = format!("{RELOADED_CLASSES} classes, one changed each reload");
        let mut report = Report::new(request, RELOADS, size, setting, emit);
        check_memory(request, &format!("{size} reloads"), RELOADED_CLASSES + size)?;
        let mut classes = distinct_classes(RELOADED_CLASSES);
        let mut limiter = limiter_with(&report, &classes)?;
        let all = Meter::start();
        let mut last = all;
        for reload in 0..size {
            if reload == size.saturating_sub(LAST_RELOADS) {
                last = Meter::start();
            }
            let place = reload as usize * 7 % classes.len();
            classes[place] = distinct_class(RELOADED_CLASSES + reload);
            reconfigure(&mut limiter, &classes);
        }
        let last_cpu = last.read().cpu_seconds / size.min(LAST_RELOADS) as f64;
        let usage = all.read();
        report_classes_kept(&mut report, &limiter)?;
        let memory = usage.memory_bytes as f64;
        report.measured("growth_memory", Unit::Bytes, vec![memory])?;
        report.measured("last_retune_cpu", Unit::CpuSeconds, vec![last_cpu])?;
        report.measured("all_retunes_cpu", Unit::CpuSeconds, vec![usage.cpu_seconds])?;
        kept.push(limiter);
    }
    Ok(())
}

/// Reports the memory of a limiter's classes and the cost of reconfiguring them.
pub fn measure(report: &mut Report) -> Result<Limiter, ScaleError> {
    let size = report.size;
    check_memory(report.request, &format!("{size} classes"), size)?;
    let mut classes = distinct_classes(size);
    let meter = Meter::start();
    let mut limiter = limiter_with(report, &classes)?;
    let memory = meter.read().memory_bytes as f64;
    report.measured("module_memory", Unit::Bytes, vec![memory])?;
    classes[0] = distinct_class(size);
    reconfigure(&mut limiter, &classes);
    report_classes_kept(report, &limiter)?;
    let repetitions = (COMPARISONS_MEASURED / (size * size)).clamp(1, MAX_REPETITIONS);
    let runs = if size > MAX_REPEATED_ENTRIES {
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

/// A class that differs from the others in its deadline alone.
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
    let settings =
        read(&Entries::new(FEW, FEW, seed).text()).map_err(|error| report.failed(error))?;
    Ok(Settings {
        classes: classes.to_vec(),
        ..settings
    }
    .limiter(seed))
}
