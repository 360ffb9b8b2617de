use super::status::LIMITER_KIND;
use super::tasks::LIMITER_TTL;
use super::*;
use merlinreel_mesh::{Capacity, Key, Keys, Member, NodeConfig, Urgency, runtime};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;

/// Checks the text under `/mesh` byte by byte, as scripts and on-call pages depend on its names.
#[tokio::test]
async fn mesh_status_has_the_literal_text() {
    let own = SocketAddrV4::new([127, 0, 0, 1].into(), 7946);
    let config = NodeConfig {
        own: Member {
            address: own,
            incarnation: 1_790_000_000_000,
        },
        seeds: Vec::new(),
        keys: Keys::new(vec![Key::new(1, vec![7; 32])], None).expect("a valid key"),
        random_seed: 1,
        bytes_per_second: 8000,
        burst_bytes: 32_000,
        capacity: Capacity::for_limiters(3),
    };
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let bound = runtime::bind(config, any_port, HashMap::new())
        .await
        .expect("a free port");
    let record = LimiterRecord {
        name: "n0".to_owned(),
        version: "0.1.0".to_owned(),
        is_serving: true,
    };
    bound
        .mesh
        .publish(LIMITER_KIND, &record, LIMITER_TTL, Urgency::Routine)
        .expect("short");
    assert_eq!(
        status_json(&bound.mesh),
        concat!(
            r#"{"dropped":{},"held_back":0,"limiters":[{"age_s":0.0,"alive":true,"at":"127.0.0.1:7946","#,
            r#""incarnation":1790000000000,"name":"n0","program":"0.1.0","serves":true}],"no_room":0,"#,
            r#""others_alive":0,"own":"127.0.0.1:7946","received":0,"sent":0,"sent_bytes":0,"unread":0}"#,
        )
    );
}

/// Checks the text of the record, as other limiters decode it.
#[test]
fn limiter_record_has_the_literal_text() {
    let record = LimiterRecord {
        name: "n0".to_owned(),
        version: "0.1.0".to_owned(),
        is_serving: true,
    };
    let text = r#"{"name":"n0","program":"0.1.0","serves":true}"#;
    assert_eq!(serde_json::to_string(&record).expect("text"), text);
    assert_eq!(
        serde_json::from_str::<LimiterRecord>(text).expect("a record"),
        record
    );
}

/// Checks the names of all keys of the section `mesh`, and the defaults.
#[test]
fn mesh_section_is_read_by_its_literal_keys() {
    let text = r#"{"listen": "127.0.0.1:1", "as": "10.0.0.1:1", "seeds": ["10.0.0.2:1"],
        "keys": [{"id": 7, "file": "/k"}], "sign_with": 7, "routes": {"10.0.0.2:1": "127.0.0.1:9"},
        "bytes_a_second": 500}"#;
    let address = |text: &str| text.parse::<SocketAddrV4>().expect("an address");
    let config: MeshConfig = serde_json::from_str(text).expect("a section");
    let routes = BTreeMap::from_iter(config.routes.clone());
    assert_eq!(config.listen, address("127.0.0.1:1"));
    assert_eq!(config.advertised, Some(address("10.0.0.1:1")));
    assert_eq!(config.seeds, [address("10.0.0.2:1")]);
    assert_eq!(config.keys[0].id, 7);
    assert_eq!(config.keys[0].path, PathBuf::from("/k"));
    assert_eq!(config.signing_key_id, Some(7));
    assert_eq!(
        routes.into_iter().collect::<Vec<_>>(),
        [(address("10.0.0.2:1"), address("127.0.0.1:9").into())]
    );
    assert_eq!(config.bytes_per_second, 500);
    let minimal = r#"{"listen": "127.0.0.1:1", "keys": []}"#;
    let minimal: MeshConfig = serde_json::from_str(minimal).expect("a section");
    assert_eq!(minimal.advertised, None);
    assert_eq!(minimal.bytes_per_second, 8000);
}

#[test]
fn mesh_config_with_other_keys_is_reloaded_and_with_another_address_needs_a_restart() {
    let parse = |text: &str| serde_json::from_str::<MeshConfig>(text).expect("a section");
    let mut current = parse(r#"{"listen": "127.0.0.1:1", "keys": [{"id": 1, "file": "/k"}]}"#);
    let other_keys =
        parse(r#"{"listen": "127.0.0.1:1", "keys": [{"id": 2, "file": "/l"}], "sign_with": 2}"#);
    let other_address = parse(r#"{"listen": "127.0.0.1:2", "keys": [{"id": 1, "file": "/k"}]}"#);
    assert!(!current.needs_restart(&other_keys));
    assert!(current.needs_restart(&other_address));
    current.reload_from(other_keys.clone());
    assert_eq!(current, other_keys);
}
