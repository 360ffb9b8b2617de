//! The endpoint list that the discovery agent publishes.
//!
//! [`decode`] checks a message of the agent and returns a [`DiscoveryUpdate`]; [`EndpointTable`] applies updates and assigns
//! each endpoint the index that the policy uses for it. Neither performs I/O, reads a clock or makes decisions.

#![warn(missing_docs)]

mod message;
mod table;

pub use message::{DiscoveredEndpoint, DiscoveryUpdate, Message, MessageError, decode};
pub use table::EndpointTable;
