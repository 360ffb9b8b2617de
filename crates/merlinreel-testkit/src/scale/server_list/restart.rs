//! Limiters that start without a list, and all ask its source for the whole.

use super::hollow::HollowLimiter;
use super::report::Report;
use super::source::{Form, ListSource};
use crate::scale::{Figure, MeasureRequest, Meter, ScaleError, Source, Unit};

/// One limiter, a rack, a zone, all.
pub const LIMITERS_RESTARTING_SIZES: &[u64] = &[1, 20, 209, 2_300];

/// Varies the limiters that restart at once before so many servers. Each is given a list of its own; the first, as many as
/// the runs asked for, also read it. All others do the same on their own machines.
pub fn measure_limiters_restarting(
    request: &MeasureRequest,
    servers: u64,
    emit: &mut dyn FnMut(Figure) -> Result<(), ScaleError>,
) -> Result<(), ScaleError> {
    request.check_memory(
        &format!("a list of {servers} servers"),
        super::needed_mb(servers),
    )?;
    for &size in &request.sizes {
        let setting = format!("{servers} servers, indented lists, no list held from before");
        let mut report = Report {
            request,
            emit: &mut *emit,
            variable: "limiters_restarting",
            size,
            setting,
        };
        let mut source = ListSource::new(servers, request.seed, Form::Indented);
        let bytes = source.full_list().map_err(|error| report.failed(error))?;
        let mut times = Vec::new();
        for _ in 0..size.min(u64::from(request.runs)) {
            let mut limiter =
                HollowLimiter::new(request.seed).map_err(|error| report.failed(error))?;
            let received = bytes.clone();
            let meter = Meter::start();
            limiter
                .receive(received)
                .map_err(|error| report.failed(error))?;
            times.push(meter.read().cpu_seconds);
        }
        source.answer_again(size - 1, bytes.len());
        report.counted("source_bytes", Unit::Bytes, source.bytes_sent)?;
        report.runs(
            "reading_cpu_per_limiter",
            Unit::CpuSeconds,
            Source::Kernel,
            times,
        )?;
    }
    Ok(())
}
