//! What of a loopback connection's bytes the other side's process has not read yet, by the kernel's own table. Linux
//! only, as the test bed is.

use std::fs::read_to_string;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};

const TABLE: &str = "/proc/net/tcp";
const HEXADECIMAL: u32 = 16;

/// Where a line of the table has what, counted in fields.
const LOCAL: usize = 1;
const REMOTE: usize = 2;
const QUEUES: usize = 4;

/// A connection's bytes as one side's kernel has them.
struct Queues {
    /// Written by its process, not acknowledged by the other side.
    sending: u64,
    /// Acknowledged to the other side, not read by its process.
    received: u64,
}

/// Bytes that were written to this connection, IPv4 on loopback, and not read from its other end.
pub fn bytes(stream: &TcpStream) -> io::Result<u64> {
    let (local, peer) = (stream.local_addr()?, stream.peer_addr()?);
    // In this order: what leaves our queue after the first look is in theirs at the second.
    let sending = queues(local, peer)?.sending;
    let received = queues(peer, local)?.received;
    Ok(sending + received)
}

fn queues(local: SocketAddr, remote: SocketAddr) -> io::Result<Queues> {
    let (local, remote) = (port_field(local), port_field(remote));
    let table = read_to_string(TABLE)?;
    let found = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>()).find(|fields| {
        fields.len() > QUEUES && fields[LOCAL].ends_with(&local) && fields[REMOTE].ends_with(&remote)
    });
    let fields = found.ok_or(ErrorKind::NotConnected)?;
    parse_queues(fields[QUEUES]).ok_or_else(|| io::Error::new(ErrorKind::InvalidData, fields[QUEUES]))
}

/// Both ends' ports name a connection of one loopback address.
fn port_field(address: SocketAddr) -> String {
    format!(":{:04X}", address.port())
}

fn parse_queues(field: &str) -> Option<Queues> {
    let (sending, received) = field.split_once(':')?;
    Some(Queues {
        sending: u64::from_str_radix(sending, HEXADECIMAL).ok()?,
        received: u64::from_str_radix(received, HEXADECIMAL).ok()?,
    })
}
