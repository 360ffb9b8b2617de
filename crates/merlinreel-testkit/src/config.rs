//! Default configuration of the program, discovery messages and free addresses.

use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of the first block. All blocks lie below the ports that the system assigns to outgoing connections.
const FIRST_PORT: u16 = 10_240;
/// Number of ports in a block. Each test process has a block of its own.
const BLOCK_PORTS: u16 = 2_000;
/// Number of blocks, and so of test processes that can run at once.
const BLOCK_COUNT: u16 = 10;

/// The block of ports of this process. A listener at the block's first port reserves it against other test processes.
struct PortBlock {
    first: u16,
    _reservation: TcpListener,
}

impl PortBlock {
    /// Reserves a block that no other process has reserved.
    fn reserve() -> PortBlock {
        let block = |number: u16| {
            let first = FIRST_PORT + number * BLOCK_PORTS;
            let reservation = TcpListener::bind(("127.0.0.1", first)).ok()?;
            Some(PortBlock {
                first,
                _reservation: reservation,
            })
        };
        (0..BLOCK_COUNT)
            .find_map(block)
            .expect("a block of ports that is not reserved by another test process")
    }

    /// The loopback address of the block's port with this number. Numbers wrap around at the end of the block, and the
    /// reserving listener's port is left out.
    fn address(&self, number: u16) -> SocketAddr {
        let port = self.first + 1 + number % (BLOCK_PORTS - 1);
        SocketAddr::from(([127, 0, 0, 1], port))
    }
}

/// The block of this process, reserved at its first use.
static BLOCK: LazyLock<PortBlock> = LazyLock::new(PortBlock::reserve);
/// Number of the port that is tried next; wraps around.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address whose port was just free for both TCP and UDP. A process can be restarted at it: the system
/// does not assign the port to a connection, and other test processes use other blocks.
///
/// # Panics
/// No port of this process's block is free, or ten other test processes have reserved all blocks.
pub fn free_address() -> SocketAddr {
    let is_free = |address: &SocketAddr| {
        TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
    };
    (0..BLOCK_PORTS)
        .map(|_| BLOCK.address(NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
        .find(is_free)
        .expect("a free port")
}

/// A server's entry in a discovery message. `state` is its `lifecycle`, such as `up` or `draining`.
pub fn instance(name: &str, address: SocketAddr, state: &str) -> Value {
    json!({"instanceId": name, "hostPort": address.to_string(), "zone": "a", "machineType": "m", "cell": 0,
        "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
}

/// A discovery message that lists all servers.
pub fn full_list(generation: u64, instances: &[Value]) -> Value {
    json!({"generation": generation, "reset": true, "instances": instances})
}

/// A discovery message that lists only changed servers.
pub fn list_changes(generation: u64, instances: &[Value]) -> Value {
    json!({"generation": generation, "reset": false, "instances": instances})
}

/// A configuration for a single limiter: three classes, a plan with a burst of ten units and hardly any refill, and
/// `instances` as the known servers.
pub fn config(instances: &[Value]) -> Value {
    let listen = free_address();
    // Port 9 for discovery is never used. A free port could later belong to another test's server, which the limiter would
    // then poll.
    json!({"listen": listen.to_string(), "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 256}, "known": full_list(1, instances),
        "settings": {"balancers": 1, "rank": 0, "zone": 0, "dcs": ["a"], "packages": [
                {"name": "team", "unitsPerS": 0.1, "mostAtOnce": 10.0, "price": 1.0}],
            "classes": [
                {"name": "look", "idempotency": "read_like", "promiseS": 2.0, "hardLimitS": 4.0, "worth": 1.0},
                {"name": "put", "idempotency": "idempotency_key", "group": "all", "keyTtlS": 5.0, "promiseS": 2.0,
                    "hardLimitS": 4.0, "worth": 1.0},
                {"name": "pay", "idempotency": "non_idempotent", "promiseS": 2.0, "hardLimitS": 4.0, "worth": 1.0}],
            "familyInfo": {"inboxPerS": 40, "settles": true, "maxUnits": 8},
            "policyLimits": {"connIdleS": 15, "connectTimeoutS": 0.25, "mayCancel": true, "peers": true,
                "retryAfter": true, "sendCap": 5, "mostHeld": 1000},
            "report": {"how": "answers", "fields": ["queue"]},
            "rules": {"drainGraceS": 1, "startCapacity": 0.2, "coldS": 10, "fallS": 1, "overloadFactor": 2.5}}})
}
