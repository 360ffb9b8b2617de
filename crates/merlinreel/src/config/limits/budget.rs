//! Divides the configured descriptors and memory among connections and buffers.

use thiserror::Error;

/// Descriptors for uses other than client and server connections: standard streams, poller, listeners, peer socket and
/// discovery.
pub const RESERVED_DESCRIPTORS: usize = 24;
/// Memory of the program and the policy module, in MiB.
pub const PROGRAM_MB: usize = 8;
/// Memory that a connection and its buffers may use, in KiB.
const CONNECTION_KB: usize = 64;
/// Minimum number of client and server connections for the limiter to start.
const MIN_CONNECTIONS: usize = 32;

/// The configured number of descriptors or memory is too small.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CapacityError {
    /// `limits.memory_mb` is too small for the minimum number of connections.
    #[error("limits.memory_mb: {given} MiB is too little; give the limiter at least {needed} MiB")]
    Memory {
        /// Configured memory in MiB.
        given: u32,
        /// Memory needed, in MiB.
        needed: usize,
    },
    /// `limits.sockets` is too small for the minimum number of connections.
    #[error(
        "limits.sockets: {given} descriptors are too few; raise the limit to at least {needed}"
    )]
    Sockets {
        /// Configured number of descriptors.
        given: u32,
        /// Number of descriptors needed.
        needed: usize,
    },
}

/// Numbers of connections and sizes of buffers (in KiB), derived from the configured descriptors and memory.
pub struct Budget {
    /// Client and server connections together.
    pub connections: usize,
    /// Client connections.
    pub client_connections: usize,
    /// Connections to servers.
    pub upstream_connections: usize,
    /// Size of all buffered request bodies.
    pub body_kb: usize,
    /// Size of all complete responses that clients have not received yet.
    pub response_kb: usize,
}

impl Budget {
    /// Divides the descriptors and the memory (in MiB).
    ///
    /// # Errors
    ///
    /// They do not suffice for the minimum number of connections.
    pub fn new(sockets: u32, memory_mb: u32) -> Result<Budget, CapacityError> {
        let memory_kb = memory_mb as usize * 1024;
        let body_kb = memory_kb / 5;
        let response_kb = body_kb / 2;
        let by_memory = connections_by_memory(memory_mb, body_kb + response_kb)?;
        let by_sockets = connections_by_sockets(sockets)?;
        let connections = by_sockets.min(by_memory);
        // A request uses one client connection and at most one server connection; clients also keep idle connections.
        let upstream_connections = connections * 2 / 5;
        Ok(Budget {
            connections,
            client_connections: connections - upstream_connections,
            upstream_connections,
            body_kb,
            response_kb,
        })
    }
}

fn connections_by_memory(memory_mb: u32, buffered_kb: usize) -> Result<usize, CapacityError> {
    // Buffered bodies and responses take 3/10 of the memory, so the program and its connections have 7/10 of it.
    let needed_kb = (PROGRAM_MB * 1024 + MIN_CONNECTIONS * CONNECTION_KB) * 10 / 7;
    let left_kb = (memory_mb as usize * 1024).checked_sub(PROGRAM_MB * 1024 + buffered_kb);
    left_kb
        .map(|kb| kb / CONNECTION_KB)
        .filter(|&connections| connections >= MIN_CONNECTIONS)
        .ok_or(CapacityError::Memory {
            given: memory_mb,
            needed: needed_kb.div_ceil(1024),
        })
}

fn connections_by_sockets(sockets: u32) -> Result<usize, CapacityError> {
    (sockets as usize)
        .checked_sub(RESERVED_DESCRIPTORS)
        .filter(|&left| left >= MIN_CONNECTIONS)
        .ok_or(CapacityError::Sockets {
            given: sockets,
            needed: RESERVED_DESCRIPTORS + MIN_CONNECTIONS,
        })
}
