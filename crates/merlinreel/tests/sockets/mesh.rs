//! Clusters of several processes of the program, with datagrams over relays that the test controls.

use merlinreel_testkit::link::{NetworkConditions, UdpLink};
use merlinreel_testkit::*;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::Duration;

/// Several limiters, with a relay between each two.
struct Cluster {
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
        std::fs::create_dir_all(&path).expect("a folder");
        KeyFolder(path)
    }

    fn write(&self, name: &str, key: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, key).expect("a key");
        path.to_str().expect("text").to_owned()
    }
}

impl Drop for KeyFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const FIRST: &str = "0123456789abcdef0123456789abcdef";
const SECOND: &str = "fedcba9876543210fedcba9876543210";

impl Cluster {
    fn start(size: usize, loss_percent: u32) -> Cluster {
        let keys = KeyFolder::new();
        let file = keys.write("first", FIRST);
        let places: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect();
        let mut links = HashMap::new();
        for (i, one) in places.iter().enumerate() {
            for (j, other) in places.iter().enumerate().skip(i + 1) {
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
                    routes.insert(places[*other].to_string(), link.address_for_first.to_string().into());
                } else if *other == i {
                    routes.insert(places[*one].to_string(), link.address_for_second.to_string().into());
                }
            }
            let mut config = config(&[]);
            config["name"] = format!("n{i}").into();
            config["ops"] = free_address().to_string().into();
            config["mesh"] = json!({"listen": places[i].to_string(), "routes": routes,
                "seeds": [places[0].to_string(), places[1].to_string()], "keys": [{"id": 1, "file": file}]});
            config
        });
        let configs: Vec<Value> = configs.collect();
        let programs = configs
            .iter()
            .map(|config| Some(Program::start(config)))
            .collect();
        Cluster {
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
        let answer = Client::connect(ops)
            .ok()
            .and_then(|mut client| client.call("GET /mesh HTTP/1.1\r\nHost: ops\r\n\r\n"));
        answer
            .and_then(|answer| serde_json::from_str(&answer.body).ok())
            .unwrap_or_default()
    }

    /// The names of the limiters that limiter `i` considers alive.
    fn alive(&self, i: usize) -> Vec<String> {
        let status = self.status(i);
        let limiters = status["limiters"].as_array().cloned().unwrap_or_default();
        let alive = limiters.iter().filter(|one| one["alive"] == true);
        let mut names: Vec<String> = alive
            .filter_map(|one| Some(one["name"].as_str()?.to_owned()))
            .collect();
        names.sort();
        names
    }

    /// Waits until each of `observers` considers exactly these alive.
    fn wait_until_alive(&self, observers: &[usize], alive: &[usize]) {
        let names: Vec<String> = alive.iter().map(|i| format!("n{i}")).collect();
        let reached = (0..600).any(|_| {
            thread::sleep(Duration::from_millis(50));
            observers.iter().all(|&i| self.alive(i) == names)
        });
        assert!(
            reached,
            "{names:?} expected by {observers:?}, {:?}",
            observers.iter().map(|&i| self.alive(i)).collect::<Vec<_>>()
        );
    }

    fn signal(&self, i: usize, name: &str) {
        self.programs[i]
            .as_ref()
            .expect("a running limiter")
            .signal(name);
    }

    fn partition(&self, sides: impl Fn(usize) -> usize, partitioned: bool) {
        for ((i, j), link) in &self.links {
            if sides(*i) != sides(*j) {
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

/// Five processes, one datagram in five lost and others repeated: they find one another; one that is killed is detected
/// and comes back as a new incarnation, one that is stopped leaves at once, one that is stalled rejoins.
#[test]
fn cluster_detects_killed_stalled_and_stopped_processes() {
    let mut cluster = Cluster::start(5, 20);
    cluster.wait_until_alive(&[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4]);
    let incarnation = |cluster: &Cluster| {
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
        "the same incarnation"
    );
    cluster.signal(3, "-TERM");
    cluster.wait_until_alive(&[0, 1, 2, 4], &[0, 1, 2, 4]);
    let dropped = &cluster.status(0)["dropped"];
    assert!(
        dropped["repeated"].as_u64().is_some_and(|count| count > 0),
        "{dropped}"
    );
}

/// In a lasting network partition each side continues with its members; both sides merge once it heals.
#[test]
fn partitioned_cluster_continues_and_merges_after_healing() {
    let cluster = Cluster::start(4, 0);
    cluster.wait_until_alive(&[0, 1, 2, 3], &[0, 1, 2, 3]);
    cluster.partition(|i| i / 2, true);
    cluster.wait_until_alive(&[0, 1], &[0, 1]);
    cluster.wait_until_alive(&[2, 3], &[2, 3]);
    cluster.partition(|i| i / 2, false);
    cluster.wait_until_alive(&[0, 1, 2, 3], &[0, 1, 2, 3]);
}

/// Datagrams with another key, random bytes and oversized datagrams change nothing and are counted by reason; a new key
/// is distributed, then signs, then the old one is removed, and no member is lost meanwhile. A file that can't be read
/// leaves the keys as they are.
#[test]
fn datagrams_without_the_key_change_nothing_and_keys_rotate() {
    let mut cluster = Cluster::start(3, 0);
    cluster.wait_until_alive(&[0, 1, 2], &[0, 1, 2]);
    let first = cluster.configs[0]["mesh"]["keys"][0]["file"].clone();
    let second = cluster.keys.write("second", SECOND);
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
    let target = cluster.configs[0]["mesh"]["listen"].as_str().expect("text");
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
            .all(|why| dropped[*why].as_u64() > Some(0))
    });
    assert!(counted, "{}", cluster.status(0)["dropped"]);
    drop(outsider);
    assert_eq!(cluster.alive(0), ["n0", "n1", "n2"]);
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
    let dropped = |cluster: &Cluster| cluster.status(0)["dropped"]["unknown_key"].as_u64();
    // All sign with the second key by now: a limiter with the first key alone is an outsider.
    let before = dropped(&cluster);
    cluster.programs[2] = None;
    cluster.configs[2]["mesh"]["keys"] = json!([{"id": 1, "file": first}]);
    cluster.configs[2]["mesh"]["sign_with"] = 1.into();
    cluster.programs[2] = Some(Program::start(&cluster.configs[2]));
    cluster.wait_until_alive(&[0, 1], &[0, 1]);
    assert!(dropped(&cluster) > before);
}

/// Without the section the admin endpoint answers that there is no mesh.
#[test]
fn mesh_status_without_section_is_not_found() {
    let mut config = config(&[]);
    let ops = free_address();
    config["ops"] = ops.to_string().into();
    let _program = Program::start(&config);
    let answer = Client::connect(ops)
        .expect("the admin endpoint")
        .call("GET /mesh HTTP/1.1\r\nHost: ops\r\n\r\n");
    assert_eq!(answer.map(|answer| answer.status()), Some(404));
}

#[test]
fn unreadable_key_file_ends_the_start_with_its_name() {
    let mut config = config(&[]);
    config["mesh"] =
        json!({"listen": free_address().to_string(), "keys": [{"id": 1, "file": "/nowhere/key"}]});
    let ExitReport {
        status,
        stderr: complaint,
    } = Program::run_to_exit(&config);
    assert!(
        !status.success() && complaint.contains("mesh.keys: /nowhere/key"),
        "{complaint}"
    );
}
