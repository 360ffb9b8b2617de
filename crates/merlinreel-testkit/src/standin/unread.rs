//! What of a loopback connection's bytes the other side's process has not read yet, by the kernel's own table. Linux
//! only, as the test bed is.

use std::fs::read_to_string;
use std::io;
use std::net::{SocketAddr, TcpStream};

const TABLE: &str = "/proc/net/tcp";
const HEXADECIMAL: u32 = 16;

/// Where a line of the table has what, counted in fields.
const LOCAL: usize = 1;
const REMOTE: usize = 2;
const QUEUES: usize = 4;

/// A connection's bytes as the kernel had them at one look, which is not at one instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unread {
    /// Written at this end, not acknowledged by the other.
    pub unacknowledged: u64,
    /// Come to the other end, not read by its process.
    pub received: u64,
}

/// Looks up an IPv4 connection of this machine with itself; none where an end of it is not in the table, which may
/// miss one while others come and go.
pub fn look(stream: &TcpStream) -> io::Result<Option<Unread>> {
    let (local, peer) = (
        port_field(stream.local_addr()?),
        port_field(stream.peer_addr()?),
    );
    let table = read_to_string(TABLE)?;
    let ends = (queues(&table, &local, &peer), queues(&table, &peer, &local));
    let (Some((unacknowledged, _)), Some((_, received))) = ends else {
        return Ok(None);
    };
    Ok(Some(Unread {
        unacknowledged,
        received,
    }))
}

/// The bytes of one end: not acknowledged to it, and not read from it.
fn queues(table: &str, local: &str, remote: &str) -> Option<(u64, u64)> {
    let rows = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let mut rows = rows.filter(|fields| fields.len() > QUEUES);
    let row =
        rows.find(|fields| fields[LOCAL].ends_with(local) && fields[REMOTE].ends_with(remote))?;
    let (sending, received) = row[QUEUES].split_once(':')?;
    let bytes = |field| u64::from_str_radix(field, HEXADECIMAL).ok();
    Some((bytes(sending)?, bytes(received)?))
}

/// Both ends' ports name a connection of one loopback address.
fn port_field(address: SocketAddr) -> String {
    format!(":{:04X}", address.port())
}
