//! Limiters that know one another: several processes of the program, their datagrams over relays of the test's own.

use merlinreel_testkit::link::{NetworkConditions, UdpLink};
use merlinreel_testkit::*;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::Duration;

/// So many limiters, each on its own way to each other.
struct Village {
    configs: Vec<Value>,
    programs: Vec<Option<Program>>,
    links: HashMap<(usize, usize), UdpLink>,
    _keys: KeyFolder,
}

/// A folder of key files, gone with the test.
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

impl Village {
    fn start(size: usize, lose: u32) -> Village {
        let keys = KeyFolder::new();
        let file = keys.write("first", FIRST);
        let places: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect();
        let mut links = HashMap::new();
        for (i, one) in places.iter().enumerate() {
            for (j, other) in places.iter().enumerate().skip(i + 1) {
                let link = UdpLink::between(*one, *other, (i * size + j) as u64);
                let weather = NetworkConditions {
                    loss_percent: lose,
                    duplicate_percent: 10,
                    reorder_percent: 5,
                    ..NetworkConditions::default()
                };
                link.forward.set(weather);
                link.reverse.set(weather);
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
        Village {
            configs,
            programs,
            links,
            _keys: keys,
        }
    }

    fn told(&self, i: usize) -> Value {
        let ops: SocketAddr = self.configs[i]["ops"]
            .as_str()
            .expect("text")
            .parse()
            .expect("an address");
        let answer = Client::connect(ops)
            .ok()
            .and_then(|mut door| door.call("GET /mesh HTTP/1.1\r\nHost: ops\r\n\r\n"));
        answer
            .and_then(|answer| serde_json::from_str(&answer.body).ok())
            .unwrap_or_default()
    }

    /// The names of the limiters that `i` counts among the living.
    fn alive(&self, i: usize) -> Vec<String> {
        let told = self.told(i);
        let limiters = told["limiters"].as_array().cloned().unwrap_or_default();
        let alive = limiters.iter().filter(|one| one["alive"] == true);
        let mut names: Vec<String> = alive
            .filter_map(|one| Some(one["name"].as_str()?.to_owned()))
            .collect();
        names.sort();
        names
    }

    /// Waits until each of `who` counts just these among the living.
    fn until(&self, who: &[usize], alive: &[usize]) {
        let names: Vec<String> = alive.iter().map(|i| format!("n{i}")).collect();
        let reached = (0..600).any(|_| {
            thread::sleep(Duration::from_millis(50));
            who.iter().all(|&i| self.alive(i) == names)
        });
        assert!(
            reached,
            "{names:?} wanted of {who:?}, {:?}",
            who.iter().map(|&i| self.alive(i)).collect::<Vec<_>>()
        );
    }

    fn signal(&self, i: usize, name: &str) {
        self.programs[i].as_ref().expect("it runs").signal(name);
    }

    fn cut(&self, sides: impl Fn(usize) -> usize, cut: bool) {
        for ((i, j), link) in &self.links {
            if sides(*i) != sides(*j) {
                let weather = NetworkConditions {
                    partitioned: cut,
                    ..NetworkConditions::default()
                };
                link.forward.set(weather);
                link.reverse.set(weather);
            }
        }
    }
}

/// Five processes, one datagram in five lost and others repeated: they find one another; one that is killed is noticed
/// and comes back as a new life, one that is asked to stop is gone at once, one that stands still is taken in again.
#[test]
fn processes_find_one_another_and_notice_who_is_gone() {
    let mut village = Village::start(5, 20);
    village.until(&[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4]);
    let life = |village: &Village| {
        let limiters = village.told(0)["limiters"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        limiters
            .iter()
            .find(|one| one["name"] == "n2")
            .and_then(|one| one["incarnation"].as_u64())
    };
    let before = life(&village).expect("it is known");
    village.signal(2, "-KILL");
    village.programs[2] = None;
    village.signal(4, "-STOP");
    village.until(&[0, 1, 3], &[0, 1, 3]);
    village.programs[2] = Some(Program::start(&village.configs[2]));
    village.signal(4, "-CONT");
    village.until(&[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4]);
    assert!(
        life(&village).is_some_and(|now| now > before),
        "the same life"
    );
    village.signal(3, "-TERM");
    village.until(&[0, 1, 2, 4], &[0, 1, 2, 4]);
    let dropped = &village.told(0)["dropped"];
    assert!(
        dropped["repeated"].as_u64().is_some_and(|count| count > 0),
        "{dropped}"
    );
}

/// A cut that lasts: each side goes on with those it has, and both are one again once it heals.
#[test]
fn a_cut_makes_two_sides_and_its_healing_one() {
    let village = Village::start(4, 0);
    village.until(&[0, 1, 2, 3], &[0, 1, 2, 3]);
    village.cut(|i| i / 2, true);
    village.until(&[0, 1], &[0, 1]);
    village.until(&[2, 3], &[2, 3]);
    village.cut(|i| i / 2, false);
    village.until(&[0, 1, 2, 3], &[0, 1, 2, 3]);
}

/// A stranger's key, noise and oversized datagrams change nothing and are counted by cause; a key is given out, then
/// signs, then the old one goes, and nobody is lost on the way. A file that can't be read leaves the keys as they are.
#[test]
fn strangers_change_nothing_and_keys_rotate() {
    let mut village = Village::start(3, 0);
    village.until(&[0, 1, 2], &[0, 1, 2]);
    let first = village.configs[0]["mesh"]["keys"][0]["file"].clone();
    let second = village._keys.write("second", SECOND);
    let mut stranger = village.configs[2].clone();
    (stranger["listen"], stranger["ops"]) = (
        free_address().to_string().into(),
        free_address().to_string().into(),
    );
    stranger["name"] = "stranger".into();
    stranger["mesh"]["listen"] = free_address().to_string().into();
    stranger["mesh"]["routes"] = json!({});
    stranger["mesh"]["keys"] = json!([{"id": 1, "file": second}]);
    let stranger = Program::start(&stranger);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let target = village.configs[0]["mesh"]["listen"].as_str().expect("text");
    for noise in [
        &[1, 1, 2, 3][..],
        &[9; 60],
        &[1; 1201],
        &[
            1, 9, 9, 9, 9, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1,
        ],
    ] {
        socket.send_to(noise, target).expect("sent");
    }
    let counted = (0..400).any(|_| {
        thread::sleep(Duration::from_millis(50));
        let dropped = &village.told(0)["dropped"];
        ["forged", "malformed", "oversized", "other_form"]
            .iter()
            .all(|why| dropped[*why].as_u64() > Some(0))
    });
    assert!(counted, "{}", village.told(0)["dropped"]);
    drop(stranger);
    assert_eq!(village.alive(0), ["n0", "n1", "n2"]);
    let both = json!([{"id": 1, "file": first}, {"id": 2, "file": second}]);
    let missing = json!([{"id": 3, "file": "/nowhere/key"}]);
    for (keys, signs) in [
        (&missing, 3),
        (&both, 1),
        (&both, 2),
        (&json!([{"id": 2, "file": second}]), 2),
    ] {
        for i in 0..3 {
            village.configs[i]["mesh"]["keys"] = keys.clone();
            village.configs[i]["mesh"]["sign_with"] = signs.into();
            village.programs[i]
                .as_ref()
                .expect("it runs")
                .reload(&village.configs[i].to_string());
        }
        thread::sleep(Duration::from_millis(700));
    }
    village.until(&[0, 1, 2], &[0, 1, 2]);
    let dropped = |village: &Village| village.told(0)["dropped"]["unknown_key"].as_u64();
    // All sign with the second by now: who starts with the first alone is a stranger.
    let before = dropped(&village);
    village.programs[2] = None;
    village.configs[2]["mesh"]["keys"] = json!([{"id": 1, "file": first}]);
    village.configs[2]["mesh"]["sign_with"] = 1.into();
    village.programs[2] = Some(Program::start(&village.configs[2]));
    village.until(&[0, 1], &[0, 1]);
    assert!(dropped(&village) > before);
}

/// Without the section there is nothing of it: the door says so.
#[test]
fn without_its_section_there_is_no_mesh() {
    let mut config = config(&[]);
    let ops = free_address();
    config["ops"] = ops.to_string().into();
    let _program = Program::start(&config);
    let answer = Client::connect(ops)
        .expect("the door")
        .call("GET /mesh HTTP/1.1\r\nHost: ops\r\n\r\n");
    assert_eq!(answer.map(|answer| answer.status()), Some(404));
}

#[test]
fn a_key_that_can_not_be_read_ends_the_start_by_its_name() {
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
