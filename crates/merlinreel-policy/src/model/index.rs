//! Indices by which events and actions name requests and servers. The caller chooses them; small ones keep tables small.

use std::fmt::{Display, Formatter, Result};

/// A position in a table.
pub trait Index: Copy {
    /// The index of a position.
    fn from_position(position: usize) -> Self;

    /// Its position.
    fn position(self) -> usize;
}

/// Names a request from its arrival to its end; free again after that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestIndex(pub u32);

/// Names a server until it is released; free again after that.
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
