use super::*;
use test_case::test_case;

#[test]
fn update_with_all_values_is_decoded() {
    let decoded = decode(
        br#"{"generation":43,"reset":false,"new":1,"instances":[{"instanceId":"s-5b","hostPort":"127.1.0.18:9000",
        "zone":"b","machineType":"m2","cell":3,"lifecycle":"draining","weight":1.5,"startedAtMs":1800000000250}]}"#,
    );
    let endpoint = DiscoveredEndpoint {
        name: "s-5b".to_owned(),
        address: SocketAddr::from(([127, 1, 0, 18], 9000)),
        zone: "b".to_owned(),
        cell: 3,
        state: EndpointState::Draining,
        weight: 1.5,
        started_at: Some(Duration::from_millis(1_800_000_000_250)),
    };
    assert_eq!(
        decoded.ok(),
        Some(DiscoveryUpdate {
            version: 43,
            complete: false,
            endpoints: vec![endpoint]
        })
    );
}

#[test]
fn snapshot_with_every_lifecycle_is_decoded() {
    let decoded = decode(
        br#"{"generation":7,"reset":true,"instances":[
        {"instanceId":"s-1","hostPort":"10.0.0.1:80","zone":"a","cell":1,"lifecycle":"up","weight":2,"startedAtMs":1},
        {"instanceId":"s-2","hostPort":"10.0.0.2:80","zone":"a","cell":1,"lifecycle":"draining","weight":0,"startedAtMs":0},
        {"instanceId":"s-3","hostPort":"[::1]:80","zone":"a","cell":1,"lifecycle":"removed","weight":null}]}"#,
    )
    .expect("valid");
    assert_eq!((decoded.version, decoded.complete), (7, true));
    let endpoints: Vec<_> = decoded
        .endpoints
        .iter()
        .map(|server| {
            (
                server.name.as_str(),
                server.address.to_string(),
                server.state,
                server.weight,
                server.started_at,
            )
        })
        .collect();
    assert_eq!(
        endpoints,
        [
            (
                "s-1",
                "10.0.0.1:80".to_owned(),
                EndpointState::Ready,
                2.0,
                Some(Duration::from_millis(1))
            ),
            (
                "s-2",
                "10.0.0.2:80".to_owned(),
                EndpointState::Draining,
                0.0,
                None
            ),
            (
                "s-3",
                "[::1]:80".to_owned(),
                EndpointState::Removed,
                1.0,
                None
            ),
        ]
    );
}

#[test]
fn absent_fields_read_as_their_defaults() {
    let text = br#"{"generation":1,"instances":[{"instanceId":"s","hostPort":"10.0.0.1:80","lifecycle":"up"}]}"#;
    let endpoint = DiscoveredEndpoint {
        name: "s".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: String::new(),
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    };
    assert_eq!(
        decode(text).ok(),
        Some(DiscoveryUpdate {
            version: 1,
            complete: false,
            endpoints: vec![endpoint]
        })
    );
    assert_eq!(
        decode(br#"{"generation":9}"#).ok(),
        Some(DiscoveryUpdate {
            version: 9,
            complete: false,
            endpoints: Vec::new()
        })
    );
}

#[test_case(r#"{"reset":true}"#, "missing field `generation` at line 1 column 14; the agent's response is not a valid list of instances" ; "version missing")]
#[test_case("7", "invalid type: integer `7`, expected struct Message at line 1 column 1; the agent's response is not a valid list of instances" ; "not an object")]
#[test_case(r#"{"generation":1,"instances":[7]}"#,
    "invalid type: integer `7`, expected struct Instance at line 1 column 30; the agent's response is not a valid list of instances" ; "instance not an object")]
#[test_case(r#"{"generation":1,"instances":[{"hostPort":"10.0.0.1:80","lifecycle":"up"}]}"#,
    "missing field `instanceId` at line 1 column 72; the agent's response is not a valid list of instances" ; "name missing")]
#[test_case(r#"{"generation":1,"instances":[{"instanceId":"s","hostPort":"here","lifecycle":"up"}]}"#,
    "instances[0].hostPort: 'here' is not an IP address and port" ; "invalid address")]
#[test_case(r#"{"generation":1,"instances":[{"instanceId":"r","hostPort":"10.0.0.1:80","lifecycle":"up"},
    {"instanceId":"s","hostPort":"10.0.0.1:80","lifecycle":"odd"}]}"#,
    "instances[1].lifecycle: unknown value 'odd'; expected up, draining or removed" ; "unknown lifecycle")]
fn malformed_message_is_described_in_the_error(text: &str, expected: &str) {
    let error = decode(text.as_bytes()).err().map(|error| error.to_string());
    assert_eq!(error.as_deref(), Some(expected));
}
