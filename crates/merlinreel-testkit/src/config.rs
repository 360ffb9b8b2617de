//! Configurations of the program, discovery messages and free addresses.

use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// First of the ports given out here, which lie below those that the system assigns to outgoing connections.
const FIRST_PORT: u32 = 10_240;
const PORT_COUNT: u32 = 20_000;
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// An address whose port was free for TCP and UDP a moment ago. A process can be restarted at it, as the system assigns
/// its port to no connection; other tests' processes begin elsewhere in the range.
///
/// # Panics
/// No port of the range is free.
pub fn free_address() -> SocketAddr {
    let begin = std::process::id().wrapping_mul(7919);
    let mut candidates = (0..PORT_COUNT).map(|_| {
        let offset = begin.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + offset % PORT_COUNT;
        SocketAddr::from(([127, 0, 0, 1], port as u16))
    });
    let is_free = |address: &SocketAddr| {
        TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
    };
    candidates.find(is_free).expect("a free port")
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
