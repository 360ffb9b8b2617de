//! Scale measurements: the real control code of many limiters in one process, over an in-memory network on a simulated
//! clock, without client traffic. Each module measures one role; `bin/scale.rs` runs them and writes [`DataPoint`]s.
//!
//! Everything is drawn from a seed, so that counts (bytes, messages, event batches) are the same each run. Times and
//! memory depend on the machine.

mod catalogue;
pub mod configuration;
mod data_point;
mod error;
mod fit;
pub mod latency;
pub mod membership;
mod meter;
mod network;
mod proc_file;
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
