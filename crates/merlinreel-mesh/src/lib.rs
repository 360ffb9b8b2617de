//! The ground that the limiters' processes share: who takes part, and what each tells of itself.
//!
//! [`Node`] decides, without I/O; [`shell`] owns the socket. Membership is SWIM by the `foca` crate; records, signatures
//! and budgets are in modules of their own. `docs/mesh.md` says why.

mod budget;
mod capacity;
mod error;
mod member;
mod node;
mod records;
mod seal;
pub mod shell;
mod wire;

pub use capacity::Capacity;
pub use error::{Dropped, MeshError, PublishError};
pub use member::Member;
pub use node::{Counts, Event, Node, Outgoing, Part};
pub use records::{FLOOR_MEMORY, Held, Kind, MOST_KINDS, MOST_RECORD, View};
pub use seal::{Keys, LEAST_KEY, MOST_BYTES};
