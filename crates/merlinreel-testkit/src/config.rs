//! Configurations, lists and addresses.

use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports given out here, below those that the system takes for connections of its own.
const FIRST: u32 = 10_240;
const PORTS: u32 = 20_000;
static NEXT: AtomicU32 = AtomicU32::new(0);

/// An address whose port was free a moment ago, for TCP and UDP. Guards a process that is killed and started again at
/// the same address against a connection that the system gave its port meanwhile; other tests' processes begin
/// elsewhere in the range.
pub fn free_address() -> SocketAddr {
    let begin = std::process::id().wrapping_mul(7919);
    let mut candidates = (0..PORTS).map(|_| {
        let port = FIRST + begin.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        SocketAddr::from(([127, 0, 0, 1], port as u16))
    });
    let free = |at: &SocketAddr| TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok();
    candidates.find(free).expect("a free port")
}

/// A server as discovery lists it.
pub fn listed(name: &str, address: SocketAddr, state: &str) -> Value {
    json!({"instanceId": name, "hostPort": address.to_string(), "zone": "a", "machineType": "m", "cell": 0,
        "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
}

/// A message of discovery.
pub fn server_list(generation: u64, whole: bool, servers: &[Value]) -> Value {
    json!({"generation": generation, "reset": whole, "instances": servers})
}

/// A configuration: three classes, a plan that holds ten units and hardly refills, one limiter.
pub fn config(servers: &[Value]) -> Value {
    let listen = free_address();
    // Nobody's: a free port might be the next test's server, which would be asked for lists.
    json!({"listen": listen.to_string(), "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 256}, "known": server_list(1, true, servers),
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
