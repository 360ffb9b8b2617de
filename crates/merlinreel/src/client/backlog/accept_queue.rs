//! How many connections wait on a listening socket, as the kernel's table of sockets says (proc(5), `/proc/net/tcp`). Its
//! rows begin with the listening sockets, so that little of it is read.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, SocketAddrV4};

const SOCKET_TABLE: &str = "/proc/net/tcp";
/// The state of a listening socket in the table.
const LISTENING: &str = "0A";
/// Bytes of a row. Read one at a time, the kernel never walks through the connections behind the listening sockets.
const ROW_BYTES: usize = 150;

/// A listening socket's row of the table.
#[derive(Debug, PartialEq, Eq)]
struct ListenerRow {
    address: String,
    waiting: u64,
}

impl ListenerRow {
    /// `None` for the row of a socket that does not listen, and for another line.
    fn parse(line: &str) -> Option<ListenerRow> {
        let mut columns = line.split_ascii_whitespace().skip(1);
        let address = columns.next()?.to_owned();
        let state = columns.nth(1)?;
        let (_, received) = columns.next()?.split_once(':')?;
        let waiting = u64::from_str_radix(received, 16).ok()?;
        (state == LISTENING).then_some(ListenerRow { address, waiting })
    }
}

/// The address as the table has it: the bytes as they lie in memory, read as a number of this machine.
fn table_address(address: SocketAddrV4) -> String {
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

/// The number that waits at `address`, in a table with a line of titles.
fn find_waiting(table: impl BufRead, address: &str) -> Option<u64> {
    let lines = table.lines().skip(1).map_while(Result::ok);
    lines
        .map_while(|line| ListenerRow::parse(&line))
        .find(|row| row.address == address)
        .map(|row| row.waiting)
}

/// How many connections wait on the socket that listens at the address; `None` where the system does not say.
pub fn queue_length(listening_at: SocketAddr) -> Option<u64> {
    let SocketAddr::V4(address) = listening_at else {
        return None;
    };
    let table = File::open(SOCKET_TABLE).ok()?;
    let table = BufReader::with_capacity(ROW_BYTES, table);
    find_waiting(table, &table_address(address))
}

#[cfg(test)]
mod tests;
