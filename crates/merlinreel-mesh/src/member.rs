//! Who takes part in the mesh.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddrV4;

/// A process by the address at which others find it, and which of its lives this is: a process that starts again at
/// the same address is another incarnation, and the greater one is the later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub at: SocketAddrV4,
    /// Unix time of its start in milliseconds, or more where somebody had already seen a greater one.
    pub incarnation: u64,
}

impl Member {
    /// A process of which nothing but the address is known, as a seed's.
    pub const fn unknown(at: SocketAddrV4) -> Member {
        Member { at, incarnation: 0 }
    }
}

impl fmt::Display for Member {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}/{}", self.at, self.incarnation)
    }
}

impl foca::Identity for Member {
    type Addr = SocketAddrV4;

    /// A process that was taken for dead comes back as its next incarnation.
    fn renew(&self) -> Option<Member> {
        Some(Member {
            at: self.at,
            incarnation: self.incarnation + 1,
        })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.at
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        self.incarnation > other.incarnation
    }
}
