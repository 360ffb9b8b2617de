//! Identity of a member of the mesh.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddrV4;

/// Identity of a process: the address at which others reach it, and its incarnation. A process that restarts at the
/// same address has a greater incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Address at which the other members reach it.
    pub address: SocketAddrV4,
    /// Unix time of its start in milliseconds; greater if it had to exceed an incarnation that other members already
    /// knew or had declared dead; 0 if it is not known.
    pub incarnation: u64,
}

impl Member {
    /// A member of which only the address is known, such as a seed; its incarnation is 0.
    pub const fn unknown(address: SocketAddrV4) -> Member {
        Member {
            address,
            incarnation: 0,
        }
    }
}

impl fmt::Display for Member {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}/{}", self.address, self.incarnation)
    }
}

impl foca::Identity for Member {
    type Addr = SocketAddrV4;

    /// The identity under which a member that was declared dead rejoins: its next incarnation.
    fn renew(&self) -> Option<Member> {
        Some(Member {
            address: self.address,
            incarnation: self.incarnation + 1,
        })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.address
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        self.incarnation > other.incarnation
    }
}
