//! Scale measurements: run the real control code of one or many limiters in one process on a simulated clock, with an
//! in-memory network in place of sockets. Only [`latency`] starts the program as a process and sends it requests in real
//! time. Each module measures one role, a part of the program; `bin/scale.rs` runs the measurements and writes
//! [`DataPoint`]s.
//!
//! All random values are drawn from a seed, so counts (bytes, messages, event batches) are the same in each run. Times
//! and memory depend on the machine.

mod catalogue;
pub mod configuration;
mod data_point;
mod error;
mod fit;
pub mod latency;
pub mod membership;
mod meter;
mod network;
pub(crate) mod proc_file;
pub mod quotas;
mod report;
mod request;
pub mod server_list;
mod simulated;
pub mod tenants;

pub use catalogue::{Measurement, Run, measurements, select};
pub use data_point::{DataPoint, Source, Unit};
pub use error::ScaleError;
pub use fit::{Point, PowerLaw, SlopeError, check_slope};
pub use meter::{Meter, Usage};
pub use network::{Datagram, LinkConditions, Network, Traffic};
pub use report::{Emit, MeasuredSize, Report, Variable};
pub use request::MeasureRequest;
pub use simulated::InvalidSettings;
