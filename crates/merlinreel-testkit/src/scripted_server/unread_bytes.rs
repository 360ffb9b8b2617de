//! Bytes of a loopback connection that the other side's process has not read yet, by the kernel's table of sockets.
//! Linux only, like the test kit.

use std::fs::read_to_string;
use std::io;
use std::net::{SocketAddr, TcpStream};

const TABLE: &str = "/proc/net/tcp";
const HEXADECIMAL: u32 = 16;

/// Columns of the table.
const LOCAL_COLUMN: usize = 1;
const REMOTE_COLUMN: usize = 2;
const QUEUES_COLUMN: usize = 4;

/// A connection's bytes; the two ends are not read at the same instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadBytes {
    /// Written at this end and not acknowledged by the other.
    pub unacknowledged: u64,
    /// Received by the other end and not read by its process.
    pub received: u64,
}

/// The queues of one end of a connection, in bytes.
struct Queues {
    unacknowledged: u64,
    received: u64,
}

/// Looks up an IPv4 connection of this machine with itself. None where an end of it is not in the table, which may miss
/// one while others are opened and closed.
pub fn look_up(stream: &TcpStream) -> io::Result<Option<UnreadBytes>> {
    let local = port_suffix(stream.local_addr()?);
    let remote = port_suffix(stream.peer_addr()?);
    let table = read_to_string(TABLE)?;
    let ends = (
        queues(&table, &local, &remote),
        queues(&table, &remote, &local),
    );
    let (Some(near), Some(far)) = ends else {
        return Ok(None);
    };
    Ok(Some(UnreadBytes {
        unacknowledged: near.unacknowledged,
        received: far.received,
    }))
}

fn queues(table: &str, local: &str, remote: &str) -> Option<Queues> {
    let columns = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .filter(|columns| columns.len() > QUEUES_COLUMN)
        .find(|columns| {
            columns[LOCAL_COLUMN].ends_with(local) && columns[REMOTE_COLUMN].ends_with(remote)
        })?;
    let (unacknowledged, received) = columns[QUEUES_COLUMN].split_once(':')?;
    let bytes = |text| u64::from_str_radix(text, HEXADECIMAL).ok();
    Some(Queues {
        unacknowledged: bytes(unacknowledged)?,
        received: bytes(received)?,
    })
}

/// The ports of both ends identify a connection of one loopback address.
fn port_suffix(address: SocketAddr) -> String {
    format!(":{:04X}", address.port())
}
