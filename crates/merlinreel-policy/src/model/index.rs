//! Indices by which events and actions identify requests and servers. The caller chooses them; low ones keep the tables
//! small.

use std::fmt::{Display, Formatter, Result};

/// A typed position in a table.
pub trait Index: Copy {
    /// The index for a position, which must be below 2^32.
    fn from_position(position: usize) -> Self;

    /// The position in the table, from 0.
    fn position(self) -> usize;
}

/// Identifies a request from its arrival to its end. The caller may then reuse it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestIndex(pub u32);

/// Identifies a server until [`crate::Actions::release_endpoint`]. The caller may then reuse it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerIndex(pub u32);

impl Index for RequestIndex {
    fn from_position(position: usize) -> RequestIndex {
        RequestIndex(position as u32)
    }

    fn position(self) -> usize {
        self.0 as usize
    }
}

impl Index for ServerIndex {
    fn from_position(position: usize) -> ServerIndex {
        ServerIndex(position as u32)
    }

    fn position(self) -> usize {
        self.0 as usize
    }
}

impl Display for RequestIndex {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        self.0.fmt(formatter)
    }
}

impl Display for ServerIndex {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        self.0.fmt(formatter)
    }
}
