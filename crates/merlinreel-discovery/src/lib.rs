//! The server list that the discovery agent publishes.
//!
//! [`decode`] checks a message of the agent and gives a [`DiscoveryUpdate`]; [`EndpointTable`] applies updates and gives
//! each endpoint the index by which the policy knows it. Neither does I/O, reads a clock or makes decisions.

#![warn(missing_docs)]

mod message;
mod table;

pub use message::{DiscoveredEndpoint, DiscoveryUpdate, Message, MessageError, decode};
pub use table::EndpointTable;
