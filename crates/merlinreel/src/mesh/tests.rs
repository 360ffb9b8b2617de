use super::*;
use std::collections::BTreeMap;

/// The text under `/mesh`, byte by byte: scripts and on-call pages read its names.
#[tokio::test]
async fn mesh_status_has_the_literal_text() {
    let own = SocketAddrV4::new([127, 0, 0, 1].into(), 7946);
    let part = Part {
        own: Member {
            at: own,
            incarnation: 1_790_000_000_000,
        },
        seeds: Vec::new(),
        keys: Keys::new(vec![(1, vec![7; 32])], None).expect("sound"),
        seed: 1,
        bytes_a_second: 8000,
        bytes_at_once: 32_000,
        capacity: Capacity::for_limiters(3),
    };
    let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let (mesh, _socket) = shell::open(part, anywhere, HashMap::new())
        .await
        .expect("a free port");
    let limiter = Limiter {
        name: "n0".to_owned(),
        program: "0.1.0".to_owned(),
        serves: true,
    };
    mesh.publish(LIMITER, &limiter, LIMITER_LIFE, false)
        .expect("short");
    assert_eq!(
        told(&mesh).to_string(),
        concat!(
            r#"{"dropped":{},"held_back":0,"limiters":[{"age_s":0.0,"alive":true,"at":"127.0.0.1:7946","#,
            r#""incarnation":1790000000000,"name":"n0","program":"0.1.0","serves":true}],"no_room":0,"#,
            r#""others_alive":0,"own":"127.0.0.1:7946","received":0,"sent":0,"sent_bytes":0,"unread":0}"#,
        )
    );
}

/// The section `mesh` of a configuration, with all its keys.
#[test]
fn mesh_section_is_read_by_its_literal_keys() {
    let text = r#"{"listen": "127.0.0.1:1", "as": "10.0.0.1:1", "seeds": ["10.0.0.2:1"],
        "keys": [{"id": 7, "file": "/k"}], "sign_with": 7, "routes": {"10.0.0.2:1": "127.0.0.1:9"},
        "bytes_a_second": 500}"#;
    let address = |text: &str| text.parse::<SocketAddrV4>().expect("an address");
    let ground: Ground = serde_json::from_str(text).expect("a section");
    let routes = BTreeMap::from_iter(ground.routes.clone());
    assert_eq!(ground.listen, address("127.0.0.1:1"));
    assert_eq!(ground.called, Some(address("10.0.0.1:1")));
    assert_eq!(ground.seeds, [address("10.0.0.2:1")]);
    assert_eq!(ground.keys[0].id, 7);
    assert_eq!(ground.keys[0].file, PathBuf::from("/k"));
    assert_eq!(ground.sign_with, Some(7));
    assert_eq!(
        routes.into_iter().collect::<Vec<_>>(),
        [(address("10.0.0.2:1"), address("127.0.0.1:9").into())]
    );
    assert_eq!(ground.bytes_a_second, 500);
    let least = r#"{"listen": "127.0.0.1:1", "keys": []}"#;
    let least: Ground = serde_json::from_str(least).expect("a section");
    assert_eq!(least.called, None);
    assert_eq!(least.bytes_a_second, 8000);
}
