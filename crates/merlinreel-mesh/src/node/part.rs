//! What a node is started with, what it counts and tells, and the membership's own times.

use super::MOST_CONTENT;
use crate::capacity::Capacity;
use crate::member::Member;
use crate::seal::Keys;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// What a process takes part with.
#[derive(Clone, Debug)]
pub struct Part {
    pub own: Member,
    /// Processes to ask for the others; a process's own address among them has no effect.
    pub seeds: Vec<SocketAddrV4>,
    pub keys: Keys,
    pub seed: u64,
    /// Bytes that it may send a second, and at once.
    pub bytes_a_second: u32,
    pub bytes_at_once: u32,
    /// Bounds of the lists of others.
    pub capacity: Capacity,
}

/// Counts since the start, each event by its cause.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub dropped: BTreeMap<&'static str, u64>,
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    /// Not sent, as the budget was used up.
    pub held_back: u64,
    /// Datagrams, and stamps in them, of processes beyond what there is room for.
    pub no_room: u64,
}

/// A datagram to send, and to whom.
pub type Outgoing = (SocketAddrV4, Vec<u8>);

/// What somebody may want to know at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Up(Member),
    /// Dead, stalled for long, or left.
    Down(Member),
    /// New records are held of that process.
    Records(SocketAddrV4),
    /// There was no room for another process, so many times since the start. Told once in a while.
    NoRoom(u64),
}

/// How the membership probes, suspects and forgets.
pub fn swim_form() -> foca::Config {
    let few = NonZeroUsize::new(3).unwrap_or(NonZeroUsize::MIN);
    foca::Config {
        probe_period: Duration::from_millis(1000),
        probe_rtt: Duration::from_millis(300),
        num_indirect_probes: few,
        max_transmissions: NonZeroU8::new(8).unwrap_or(NonZeroU8::MIN),
        // A stalled process has that long to say that it lives.
        suspect_to_down_after: Duration::from_secs(4),
        // A greater incarnation joins at once whatever this is; one that is taken for dead wrongly renews itself.
        remove_down_after: Some(Duration::from_secs(600)),
        max_packet_size: NonZeroUsize::new(MOST_CONTENT - 8).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: None,
    }
}
