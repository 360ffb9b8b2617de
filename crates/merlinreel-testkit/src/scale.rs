//! Scale measurements: the real control code of many limiters in one process, over an in-memory network on a test's
//! clock, without client traffic. Each module measures one role; `bin/scale.rs` runs them and writes [`Figure`]s.
//!
//! Everything is drawn from a seed, so that counts (bytes, messages, rounds) are the same each run. Times and memory are
//! of the machine that ran it.

mod catalogue;
pub mod configuration;
mod error;
mod figure;
mod fit;
pub mod latency;
pub mod membership;
mod meter;
mod network;
pub mod quotas;
mod request;
pub mod server_list;
mod sheet;
pub mod tenants;

pub use catalogue::{Emit, Measurement, chosen, measurements};
pub use error::ScaleError;
pub use figure::{Figure, Source, Unit};
pub use fit::{PowerLaw, SlopeError, check_slope};
pub use meter::{Meter, Used};
pub use network::{Delivery, Network, Traffic, Ways};
pub use request::MeasureRequest;
pub use sheet::Sheet;
