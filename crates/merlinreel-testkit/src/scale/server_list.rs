//! Measures what the list of servers costs a limiter: its size in bytes, the processor time of reading and changing it,
//! its memory, and the decisions over its servers.
//!
//! The program's own code runs: `merlinreel_discovery` from the bytes of a message to the table of servers, and the
//! decision module. The connections to discovery and the state of connections to servers are not measured.

mod decision_costs;
mod list_consumer;
mod list_source;
mod restart;
mod simulated_limiter;
mod update_costs;

pub use list_consumer::{EndpointTableConsumer, ListConsumer, measure_steps};
pub use list_source::{Format, ListSource};
pub use restart::{RESTARTING_LIMITER_SIZES, measure_limiters_restarting};
pub use simulated_limiter::{ActionCounts, LIMITERS, SimulatedLimiter};

use super::{Emit, MeasureRequest, Report, ScaleError, Variable};

/// Default numbers of servers in the list.
pub const DEFAULT_SIZES: &[u64] = &[1_000, 5_000, 20_000, 60_000, 160_000];

const SERVERS: Variable = Variable {
    role: "server_list",
    name: "servers",
};
const RESTARTING_LIMITERS: Variable = Variable {
    role: "server_list",
    name: "limiters_restarting",
};
/// Estimated memory per server during a measurement, with its text in both formats.
const BYTES_PER_SERVER: u64 = 4_096;
/// Estimated memory that does not depend on the number of servers.
const PROGRAM_MB: u64 = 64;

/// Estimated memory of a measurement with this many servers, in megabytes.
fn needed_mb(servers: u64) -> u64 {
    (servers * BYTES_PER_SERVER).div_ceil(1 << 20) + PROGRAM_MB
}

/// Varies the number of servers in the list of one limiter.
///
/// # Errors
/// A size exceeds the memory limit, or a measurement fails.
pub fn measure(request: &MeasureRequest, emit: Emit) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        request.check_memory(&format!("a list of {size} servers"), needed_mb(size))?;
    }
    // Memory is measured first, as the allocator keeps pages that the other measurements free.
    for &size in &request.sizes {
        update_costs::measure_memory(&mut report(request, emit, size))?;
    }
    for &size in &request.sizes {
        let mut report = report(request, emit, size);
        update_costs::count_bytes(&mut report)?;
        update_costs::measure_processor_time(&mut report)?;
        update_costs::measure_changes(&mut report)?;
        update_costs::measure_replacement(&mut report)?;
        decision_costs::measure_idle(&mut report)?;
        decision_costs::measure_requests(&mut report)?;
    }
    measure_steps(
        request,
        &mut || Box::<EndpointTableConsumer>::default(),
        emit,
    )
}

fn report<'a>(request: &'a MeasureRequest, emit: Emit<'a>, size: u64) -> Report<'a> {
    let setting =
        format!("1 limiter of {LIMITERS}, 16 servers a service, 11 zones, no client traffic");
    Report::new(request, SERVERS, size, setting, emit)
}
