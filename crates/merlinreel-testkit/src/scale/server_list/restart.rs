//! Measures limiters that restart without a stored list, so that all of them poll discovery for the full list.

use super::RESTARTING_LIMITERS;
use super::list_source::{Format, ListSource};
use super::simulated_limiter::SimulatedLimiter;
use crate::scale::{Emit, MeasureRequest, Meter, Report, ScaleError, Unit};

/// Default numbers of limiters that restart at once: one, a rack, a zone, all.
pub const RESTARTING_LIMITER_SIZES: &[u64] = &[1, 20, 209, 2_300];

/// Varies how many limiters restart at once, with this many servers in the list. Counts the bytes of one full list per
/// limiter. The processor time of reading it is measured at one limiter per run; each of the others would spend it on a
/// machine of its own.
///
/// # Errors
/// The list exceeds the memory limit, or a measurement fails.
pub fn measure_limiters_restarting(
    request: &MeasureRequest,
    servers: u64,
    emit: Emit,
) -> Result<(), ScaleError> {
    request.check_memory(
        &format!("a list of {servers} servers"),
        super::needed_mb(servers),
    )?;
    for &size in &request.sizes {
        let setting = format!("{servers} servers, indented lists, no list held from before");
        let mut report = Report::new(request, RESTARTING_LIMITERS, size, setting, emit);
        let mut source = ListSource::new(servers, request.seed, Format::Indented);
        let bytes = source.full_list().map_err(|error| report.failed(error))?;
        let mut times = Vec::new();
        for _ in 0..size.min(u64::from(request.runs)) {
            let mut limiter =
                SimulatedLimiter::new(request.seed).map_err(|error| report.failed(error))?;
            let received = bytes.clone();
            let meter = Meter::start();
            limiter
                .receive(received)
                .map_err(|error| report.failed(error))?;
            times.push(meter.read().cpu_seconds);
        }
        source.count_more_responses(size - 1, bytes.len());
        report.counted("source_bytes", Unit::Bytes, source.bytes_sent as f64)?;
        report.measured("reading_cpu_per_limiter", Unit::CpuSeconds, times)?;
    }
    Ok(())
}
