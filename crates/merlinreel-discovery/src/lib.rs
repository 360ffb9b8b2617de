//! The list of servers as discovery tells it and as a limiter holds it: decoding of messages, and the table that gives
//! each server an index. No I/O and no clock; nothing is decided here.

mod message;
mod table;

pub use message::{DiscoveredEndpoint, DiscoveryUpdate, Message, MessageError, decode};
pub use table::EndpointTable;
