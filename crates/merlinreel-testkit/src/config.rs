//! Configurations of the program, discovery messages and free addresses.

use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// First of the ports given out here, which lie below those that the system assigns to outgoing connections.
const FIRST_PORT: u16 = 10_240;
/// Ports of a block; a test process has one block to itself.
const BLOCK_PORTS: u16 = 2_000;
const BLOCKS: u16 = 10;

/// The ports of this process. The listener at the block's first port keeps other test processes off it.
struct PortBlock {
    first: u16,
    _owner: TcpListener,
}

impl PortBlock {
    /// Takes a block that no other process has.
    fn take() -> PortBlock {
        let block = |number: u16| {
            let first = FIRST_PORT + number * BLOCK_PORTS;
            let owner = TcpListener::bind(("127.0.0.1", first)).ok()?;
            Some(PortBlock {
                first,
                _owner: owner,
            })
        };
        (0..BLOCKS)
            .find_map(block)
            .expect("a block of ports that no other test process has")
    }

    /// The address of a port by its number, which is counted round.
    fn address(&self, number: u16) -> SocketAddr {
        let port = self.first + 1 + number % (BLOCK_PORTS - 1);
        SocketAddr::from(([127, 0, 0, 1], port))
    }
}

static BLOCK: LazyLock<PortBlock> = LazyLock::new(PortBlock::take);
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// An address whose port was free for TCP and UDP a moment ago. A process can be restarted at it, as the system assigns
/// its port to no connection, and other test processes have other ports.
///
/// # Panics
/// No port of this process's block is free, or ten other test processes run.
pub fn free_address() -> SocketAddr {
    let is_free = |address: &SocketAddr| {
        TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
    };
    (0..BLOCK_PORTS)
        .map(|_| BLOCK.address(NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
        .find(is_free)
        .expect("a free port")
}

/// A server as a discovery message lists it.
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

/// A configuration: three classes, a plan with a burst of ten units and hardly any refill, one limiter.
pub fn config(instances: &[Value]) -> Value {
    let listen = free_address();
    // A free port might become the next test's server, which would then be polled: this port is never used.
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
