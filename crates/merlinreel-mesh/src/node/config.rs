//! Configuration of a node.

use crate::capacity::Capacity;
use crate::keys::Keys;
use crate::member::Member;
use std::net::SocketAddrV4;

/// What a [`Node`](super::Node) is started with.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// This process.
    pub own: Member,
    /// Members that are asked for the others. This process's own address among them has no effect.
    pub seeds: Vec<SocketAddrV4>,
    /// The keys that sign and verify datagrams.
    pub keys: Keys,
    /// Seed of all random choices of the node.
    pub random_seed: u64,
    /// Bytes that may be sent a second.
    pub bytes_per_second: u32,
    /// Bytes that may be sent in one burst.
    pub burst_bytes: u32,
    /// Bounds of the lists of other members.
    pub capacity: Capacity,
}
