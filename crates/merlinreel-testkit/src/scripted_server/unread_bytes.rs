//! Looks up unread data of a loopback connection in the kernel's socket table. Linux only, like the test kit.

use std::fs::read_to_string;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// The kernel's table of IPv4 TCP sockets.
const TABLE: &str = "/proc/net/tcp";
/// Base of the numbers in the table.
const HEXADECIMAL: u32 = 16;

/// Column of the local address and port, from 0.
const LOCAL_COLUMN: usize = 1;
/// Column of the remote address and port.
const REMOTE_COLUMN: usize = 2;
/// Column of the lengths of the send queue and the receive queue.
const QUEUES_COLUMN: usize = 4;

/// Bytes of a connection that were sent from this end to the other. The kernel's entries of the two ends are not read at the
/// same instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadBytes {
    /// Bytes written at this end and not acknowledged by the other.
    pub unacknowledged: u64,
    /// Bytes in the other end's receive buffer that its process has not read.
    pub received: u64,
}

/// The socket queues of one end of a connection.
struct Queues {
    /// Bytes in the send queue.
    unacknowledged: u64,
    /// Bytes in the receive queue.
    received: u64,
}

/// Looks up the unread bytes of a loopback IPv4 connection. `None` if an end is not found in the table: a read of the table
/// may miss entries while other sockets are opened and closed.
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

/// Finds the queues of the end with these port suffixes. `None` if its entry is missing or malformed.
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

/// The port as it ends an address in the table. The ports of both ends are enough to identify a loopback connection.
fn port_suffix(address: SocketAddr) -> String {
    format!(":{:04X}", address.port())
}
