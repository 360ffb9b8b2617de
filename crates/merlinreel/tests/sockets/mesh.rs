//! Clusters of several processes of the program, whose datagrams pass through links that the test controls.

use merlinreel_testkit::link::{NetworkConditions, UdpLink};
use merlinreel_testkit::*;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::Duration;

/// Several limiters with a link between each pair.
struct MeshCluster {
    configs: Vec<Value>,
    programs: Vec<Option<Program>>,
    links: HashMap<(usize, usize), UdpLink>,
    keys: KeyFolder,
}

/// A folder of key files that is removed with the test.
struct KeyFolder(std::path::PathBuf);

impl KeyFolder {
    fn new() -> KeyFolder {
        let path = std::env::temp_dir().join(format!("merlinreel-keys-{}", free_address().port()));
        std::fs::create_dir_all(&path).expect("the folder is created");
        KeyFolder(path)
    }

    fn write(&self, name: &str, key: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, key).expect("the key file is written");
        path.to_str().expect("text").to_owned()
    }
}

impl Drop for KeyFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const FIRST_KEY: &str = "0123456789abcdef0123456789abcdef";
const SECOND_KEY: &str = "fedcba9876543210fedcba9876543210";

impl MeshCluster {
    fn start(size: usize, loss_percent: u32) -> MeshCluster {
        let keys = KeyFolder::new();
        let file = keys.write("first", FIRST_KEY);
        let addresses: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect();
        let mut links = HashMap::new();
        for (i, one) in addresses.iter().enumerate() {
            for (j, other) in addresses.iter().enumerate().skip(i + 1) {
                let link = UdpLink::between(*one, *other, (i * size + j) as u64);
                let conditions = NetworkConditions {
                    loss_percent,
                    duplicate_percent: 10,
                    reorder_percent: 5,
                    ..NetworkConditions::default()
                };
                link.forward.set(conditions);
                link.reverse.set(conditions);
                links.insert((i, j), link);
            }
        }
        let configs = (0..size).map(|i| {
            let mut routes = serde_json::Map::new();
            for ((one, other), link) in &links {
                if *one == i {
                    routes.insert(addresses[*other].to_string(), link.address_for_first.to_string().into());
                } else if *other == i {
                    routes.insert(addresses[*one].to_string(), link.address_for_second.to_string().into());
                }
            }
            let mut config = config(&[]);
            config["name"] = format!("n{i}").into();
            config["ops"] = free_address().to_string().into();
            config["mesh"] = json!({"listen": addresses[i].to_string(), "routes": routes,
                "seeds": [addresses[0].to_string(), addresses[1].to_string()], "keys": [{"id": 1, "file": file}]});
            config
        });
        let configs: Vec<Value> = configs.collect();
        let programs = configs
            .iter()
            .map(|config| Some(Program::start(config)))
            .collect();
        MeshCluster {
            configs,
            programs,
            links,
            keys,
        }
    }

    fn status(&self, i: usize) -> Value {
        let ops: SocketAddr = self.configs[i]["ops"]
            .as_str()
            .expect("text")
            .parse()
            .expect("an address");
        let response = Client::connect(ops)
            .ok()
            .and_then(|mut client| client.call("GET /mesh HTTP/1.1\r\nHost: ops\r\n\r\n"));
        response
            .and_then(|response| serde_json::from_str(&response.body).ok())
            .unwrap_or_default()
    }

    /// The names of the limiters that limiter `i` considers alive.
    fn alive_names(&self, i: usize) -> Vec<String> {
        let status = self.status(i);
        let limiters = status["limiters"].as_array().cloned().unwrap_or_default();
        let alive = limiters.iter().filter(|one| one["alive"] == true);
        let mut names: Vec<String> = alive
            .filter_map(|one| Some(one["name"].as_str()?.to_owned()))
            .collect();
        names.sort();
        names
    }

    /// Waits until each of `observers` considers exactly the limiters of `alive` alive.
    fn wait_until_alive(&self, observers: &[usize], alive: &[usize]) {
        let names: Vec<String> = alive.iter().map(|i| format!("n{i}")).collect();
        let reached = (0..600).any(|_| {
            thread::sleep(Duration::from_millis(50));
            observers.iter().all(|&i| self.alive_names(i) == names)
        });
        assert!(
            reached,
            "{names:?} expected by {observers:?}, {:?}",
            observers
                .iter()
                .map(|&i| self.alive_names(i))
                .collect::<Vec<_>>()
        );
    }

    fn signal(&self, i: usize, name: &str) {
        self.programs[i]
            .as_ref()
            .expect("a running limiter")
            .signal(name);
    }

    /// Starts or ends a partition between limiters on different sides. `side_of` returns the side of a limiter. All other
    /// network faults of the links between the sides end.
    fn partition(&self, side_of: impl Fn(usize) -> usize, partitioned: bool) {
        for ((i, j), link) in &self.links {
            if side_of(*i) != side_of(*j) {
                let conditions = NetworkConditions {
                    partitioned,
                    ..NetworkConditions::default()
                };
                link.forward.set(conditions);
                link.reverse.set(conditions);
            }
        }
    }
}

/// Processes find one another and notice the failure of one, while one datagram in five is lost and others are duplicated
/// or reordered. A killed process is detected and returns with a higher incarnation; a terminated one leaves; a suspended
/// one is detected and rejoins. Repeated datagrams are dropped and counted.
#[test]
fn cluster_detects_killed_suspended_and_terminated_processes() {
    let mut cluster = MeshCluster::start(5, 20);
    cluster.wait_until_alive(&[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4]);
    let incarnation = |cluster: &MeshCluster| {
        let limiters = cluster.status(0)["limiters"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        limiters
            .iter()
            .find(|one| one["name"] == "n2")
            .and_then(|one| one["incarnation"].as_u64())
    };
    let before = incarnation(&cluster).expect("a known limiter");
    cluster.signal(2, "-KILL");
    cluster.programs[2] = None;
    cluster.signal(4, "-STOP");
    cluster.wait_until_alive(&[0, 1, 3], &[0, 1, 3]);
    cluster.programs[2] = Some(Program::start(&cluster.configs[2]));
    cluster.signal(4, "-CONT");
    cluster.wait_until_alive(&[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4]);
    assert!(
        incarnation(&cluster).is_some_and(|now| now > before),
        "the incarnation did not increase"
    );
    cluster.signal(3, "-TERM");
    cluster.wait_until_alive(&[0, 1, 2, 4], &[0, 1, 2, 4]);
    let dropped = &cluster.status(0)["dropped"];
    assert!(
        dropped["repeated"].as_u64().is_some_and(|count| count > 0),
        "{dropped}"
    );
}

/// In a lasting network partition each side of the mesh continues with its own members. Both sides merge once the partition
/// ends; the mesh must not stay split.
#[test]
fn partitioned_cluster_continues_and_merges_after_healing() {
    let cluster = MeshCluster::start(4, 0);
    cluster.wait_until_alive(&[0, 1, 2, 3], &[0, 1, 2, 3]);
    cluster.partition(|i| i / 2, true);
    cluster.wait_until_alive(&[0, 1], &[0, 1]);
    cluster.wait_until_alive(&[2, 3], &[2, 3]);
    cluster.partition(|i| i / 2, false);
    cluster.wait_until_alive(&[0, 1, 2, 3], &[0, 1, 2, 3]);
}

/// Datagrams signed with another key, random bytes and oversized datagrams do not change the membership; they are dropped
/// and counted by reason. A key rotation loses no member: the new key is distributed, then signs, then the old one is
/// removed, and a limiter that has only the old one is an outsider. A key file that can't be read leaves the keys as they
/// are.
#[test]
fn datagrams_without_the_key_change_nothing_and_keys_rotate() {
    let mut cluster = MeshCluster::start(3, 0);
    cluster.wait_until_alive(&[0, 1, 2], &[0, 1, 2]);
    let first = cluster.configs[0]["mesh"]["keys"][0]["file"].clone();
    let second = cluster.keys.write("second", SECOND_KEY);
    let mut outsider = cluster.configs[2].clone();
    (outsider["listen"], outsider["ops"]) = (
        free_address().to_string().into(),
        free_address().to_string().into(),
    );
    outsider["name"] = "outsider".into();
    outsider["mesh"]["listen"] = free_address().to_string().into();
    outsider["mesh"]["routes"] = json!({});
    outsider["mesh"]["keys"] = json!([{"id": 1, "file": second}]);
    let outsider = Program::start(&outsider);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let target = cluster.configs[0]["mesh"]["listen"]
        .as_str()
        .expect("an address");
    for datagram in [
        &[1, 1, 2, 3][..],
        &[9; 60],
        &[1; 1201],
        &[
            1, 9, 9, 9, 9, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1,
        ],
    ] {
        socket.send_to(datagram, target).expect("sent");
    }
    let counted = (0..400).any(|_| {
        thread::sleep(Duration::from_millis(50));
        let dropped = &cluster.status(0)["dropped"];
        ["forged", "malformed", "oversized", "other_form"]
            .iter()
            .all(|reason| dropped[*reason].as_u64() > Some(0))
    });
    assert!(counted, "{}", cluster.status(0)["dropped"]);
    drop(outsider);
    assert_eq!(cluster.alive_names(0), ["n0", "n1", "n2"]);
    let both = json!([{"id": 1, "file": first}, {"id": 2, "file": second}]);
    let missing = json!([{"id": 3, "file": "/nowhere/key"}]);
    for (keys, signing_id) in [
        (&missing, 3),
        (&both, 1),
        (&both, 2),
        (&json!([{"id": 2, "file": second}]), 2),
    ] {
        for i in 0..3 {
            cluster.configs[i]["mesh"]["keys"] = keys.clone();
            cluster.configs[i]["mesh"]["sign_with"] = signing_id.into();
            cluster.programs[i]
                .as_ref()
                .expect("a running limiter")
                .reload(&cluster.configs[i].to_string());
        }
        thread::sleep(Duration::from_millis(700));
    }
    cluster.wait_until_alive(&[0, 1, 2], &[0, 1, 2]);
    let dropped = |cluster: &MeshCluster| cluster.status(0)["dropped"]["unknown_key"].as_u64();
    // All limiters have only the second key now: one that has only the first is an outsider.
    let before = dropped(&cluster);
    cluster.programs[2] = None;
    cluster.configs[2]["mesh"]["keys"] = json!([{"id": 1, "file": first}]);
    cluster.configs[2]["mesh"]["sign_with"] = 1.into();
    cluster.programs[2] = Some(Program::start(&cluster.configs[2]));
    cluster.wait_until_alive(&[0, 1], &[0, 1]);
    assert!(dropped(&cluster) > before);
}

/// Without a `mesh` section, the admin endpoint responds to `/mesh` with status 404.
#[test]
fn mesh_status_without_section_is_not_found() {
    let mut config = config(&[]);
    let ops = free_address();
    config["ops"] = ops.to_string().into();
    let _program = Program::start(&config);
    let response = Client::connect(ops)
        .expect("the admin endpoint")
        .call("GET /mesh HTTP/1.1\r\nHost: ops\r\n\r\n");
    assert_eq!(response.map(|response| response.status()), Some(404));
}

#[test]
fn unreadable_key_file_fails_the_start_and_is_named() {
    let mut config = config(&[]);
    config["mesh"] =
        json!({"listen": free_address().to_string(), "keys": [{"id": 1, "file": "/nowhere/key"}]});
    let ExitReport {
        status,
        stderr: error_output,
    } = Program::run_to_exit(&config);
    assert!(
        !status.success() && error_output.contains("mesh.keys: /nowhere/key"),
        "{error_output}"
    );
}
