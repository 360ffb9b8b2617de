//! Scale of the list of servers: its bytes, reading it, what is held of it, changes of it, and the decision state over
//! its servers.
//!
//! The real code runs: `merlinreel_discovery` from a message's bytes to the table of servers, and the decision module.
//! Not measured: the sockets to the list's source, and what the program keeps of each server's connections.

mod deciding;
mod holder;
mod hollow;
mod reading;
mod report;
mod restart;
mod source;

use crate::scale::{Figure, MeasureRequest, ScaleError};
pub use holder::{ListHolder, RealHolder, measure_steps};
pub use hollow::{HollowLimiter, LIMITERS, Written};
use report::Report;
pub use restart::{LIMITERS_RESTARTING_SIZES, measure_limiters_restarting};
pub use source::{Form, ListSource};

/// Servers on the list.
pub const DEFAULT_SIZES: &[u64] = &[1_000, 5_000, 20_000, 60_000, 160_000];

/// What a server takes while it is measured, with its text in both forms, over all that is held at once.
const BYTES_PER_SERVER: u64 = 4_096;
const PROGRAM_MB: u64 = 64;

fn needed_mb(servers: u64) -> u64 {
    (servers * BYTES_PER_SERVER).div_ceil(1 << 20) + PROGRAM_MB
}

/// Varies the servers on the list of one limiter.
pub fn measure(
    request: &MeasureRequest,
    emit: &mut dyn FnMut(Figure) -> Result<(), ScaleError>,
) -> Result<(), ScaleError> {
    for &size in &request.sizes {
        request.check_memory(&format!("a list of {size} servers"), needed_mb(size))?;
    }
    // Memory first, as the allocator keeps what the other measurements free.
    for &size in &request.sizes {
        reading::memory(&mut report(request, emit, size))?;
    }
    for &size in &request.sizes {
        let mut report = report(request, emit, size);
        reading::bytes(&mut report)?;
        reading::processor_time(&mut report)?;
        reading::changes(&mut report)?;
        reading::replacement(&mut report)?;
        deciding::idle(&mut report)?;
        deciding::requests(&mut report)?;
    }
    measure_steps(request, &mut || Box::<RealHolder>::default(), emit)
}

fn report<'a, 'b>(
    request: &'a MeasureRequest,
    emit: &'a mut report::Emit<'b>,
    size: u64,
) -> Report<'a, 'b> {
    let setting =
        format!("1 limiter of {LIMITERS}, 16 servers a service, 11 zones, no client traffic");
    Report {
        request,
        emit,
        variable: "servers",
        size,
        setting,
    }
}
