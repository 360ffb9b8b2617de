//! Configurations, lists and addresses.

use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// An address whose port was free a moment ago, for TCP and UDP.
pub fn free_address() -> SocketAddr {
    let (tcp, udp) = (TcpListener::bind("127.0.0.1:0"), UdpSocket::bind("127.0.0.1:0"));
    drop(udp);
    tcp.and_then(|socket| socket.local_addr()).expect("a free port")
}

/// A server as discovery lists it.
pub fn listed(name: &str, address: SocketAddr, state: &str) -> Value {
    json!({"instanceId": name, "hostPort": address.to_string(), "zone": "a", "machineType": "m", "cell": 0,
        "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
}

/// A message of discovery.
pub fn roster(generation: u64, whole: bool, servers: &[Value]) -> Value {
    json!({"generation": generation, "reset": whole, "instances": servers})
}

/// A configuration: three categories, a plan that holds ten units and hardly refills, one limiter.
pub fn config(servers: &[Value]) -> Value {
    let listen = free_address();
    // Nobody's: a free port might be the next test's server, which would be asked for lists.
    json!({"listen": listen.to_string(), "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 256}, "known": roster(1, true, servers),
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
