//! Configuration of a node.

use crate::capacity::Capacity;
use crate::keys::Keys;
use crate::member::Member;
use std::net::SocketAddrV4;

/// The parameters of a [`Node`](super::Node).
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// This process: the address at which the other members reach it, and its incarnation.
    pub own: Member,
    /// Addresses of members that this process asks for the other members. Its own address is ignored.
    pub seeds: Vec<SocketAddrV4>,
    /// The keys that sign and verify datagrams.
    pub keys: Keys,
    /// Seed of the random number generator for all random choices of the node.
    pub random_seed: u64,
    /// Bytes that may be sent per second, apart from bursts.
    pub bytes_per_second: u32,
    /// Bytes that may be sent in one burst.
    pub burst_bytes: u32,
    /// Maximum lengths of the lists of members.
    pub capacity: Capacity,
}
