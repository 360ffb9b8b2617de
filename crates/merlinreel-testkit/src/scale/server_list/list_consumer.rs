//! Counts the steps of applying a full list, entry by entry, with the program's table or another list consumer.

use super::SERVERS;
use super::list_source::{Format, ListSource};
use crate::scale::{Emit, MeasureRequest, Report, ScaleError, Unit};
use merlinreel_discovery::{DiscoveryUpdate, EndpointTable, decode};

/// Applies lists and counts its own steps.
pub trait ListConsumer {
    /// Applies an update. Returns the number of steps: entries passed on, and comparisons or lookups if they can be
    /// counted.
    fn apply(&mut self, update: DiscoveryUpdate) -> u64;
}

/// The program's table. Lookups in its maps can't be counted from outside, so its steps are the entries that it passes
/// to the decision module and the indices that it has assigned.
#[derive(Default)]
pub struct EndpointTableConsumer(EndpointTable);

impl ListConsumer for EndpointTableConsumer {
    fn apply(&mut self, update: DiscoveryUpdate) -> u64 {
        let list = self.0.apply(update, false);
        list.endpoints.len() as u64 + self.0.index_count() as u64
    }
}

/// Counts the steps per server while a consumer applies the same full list twice: first all servers are new, then all
/// are known.
///
/// # Errors
/// A message can't be encoded or decoded, or a data point can't be written.
pub fn measure_steps(
    request: &MeasureRequest,
    new_consumer: &mut dyn FnMut() -> Box<dyn ListConsumer>,
    emit: Emit,
) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        let setting = "1 list holder, a full list taken in twice".to_owned();
        let mut report = Report::new(request, SERVERS, size, setting, emit);
        let mut source = ListSource::new(size, request.seed, Format::Compact);
        let bytes = source.full_list().map_err(|error| report.failed(error))?;
        let mut consumer = new_consumer();
        let mut steps = 0;
        for _ in 0..2 {
            steps += consumer.apply(decode(&bytes).map_err(|error| report.failed(error))?);
        }
        report.counted(
            "list_steps_per_server",
            Unit::Count,
            steps as f64 / size as f64,
        )?;
    }
    Ok(())
}
