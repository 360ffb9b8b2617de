//! Membership and shared records of all limiter processes of a fleet.
//!
//! Every process learns which other processes are alive, and keeps a copy of the records that each of them publishes
//! about itself. [`Node`] is the protocol without I/O and without a clock; [`runtime`] drives a node with a UDP socket.
//! Membership is SWIM as implemented by the `foca` crate. Records are exchanged by anti-entropy: digests are compared
//! with one other member about every second, and urgent records are pushed to a few members at once. `docs/mesh.md`
//! explains the design.

#![warn(missing_docs)]

mod authenticator;
mod capacity;
mod error;
mod keys;
mod member;
mod node;
mod records;
pub mod runtime;
mod send_budget;
mod wire;

pub use capacity::Capacity;
pub use error::{MeshError, PublishError};
pub use keys::{Key, Keys};
pub use member::Member;
pub use node::{Counters, Datagram, Event, Node, NodeConfig};
pub use records::{Kind, KindRecords, StoredRecord, Urgency, View};
