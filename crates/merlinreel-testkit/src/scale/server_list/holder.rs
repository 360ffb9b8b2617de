//! Steps of taking a full list in, entry by entry, of the real table or another one that counts its own.

use super::report::Report;
use super::source::{Form, ListSource};
use crate::scale::{Figure, MeasureRequest, ScaleError, Source, Unit};
use merlinreel_discovery::{DiscoveryUpdate, EndpointTable, decode};

/// Takes lists in, and counts what it does for them.
pub trait ListHolder {
    /// Steps that it took: entries handed on, and comparisons or look-ups where they can be counted.
    fn take(&mut self, news: DiscoveryUpdate) -> u64;
}

/// The program's table. Look-ups inside its maps can't be counted from outside: the steps are the entries that it hands
/// to the decision module and the indices that it gave.
#[derive(Default)]
pub struct RealHolder(EndpointTable);

impl ListHolder for RealHolder {
    fn take(&mut self, news: DiscoveryUpdate) -> u64 {
        let list = self.0.apply(news, false);
        list.endpoints.len() as u64 + self.0.indices() as u64
    }
}

/// Steps a server as a holder takes the same full list in twice: all servers new, and all known.
pub fn measure_steps(
    request: &MeasureRequest,
    holder: &mut dyn FnMut() -> Box<dyn ListHolder>,
    emit: &mut dyn FnMut(Figure) -> Result<(), ScaleError>,
) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        let setting = "1 list holder, a full list taken in twice".to_owned();
        let mut report = Report {
            request,
            emit: &mut *emit,
            variable: "servers",
            size,
            setting,
        };
        let mut source = ListSource::new(size, request.seed, Form::Compact);
        let bytes = source.full_list().map_err(|error| report.failed(error))?;
        let mut holder = holder();
        let mut steps = 0;
        for _ in 0..2 {
            steps += holder.take(decode(&bytes).map_err(|error| report.failed(error))?);
        }
        report.runs(
            "list_steps_per_server",
            Unit::Count,
            Source::Counted,
            vec![steps as f64 / size as f64],
        )?;
    }
    Ok(())
}
