use super::*;

#[test]
fn a_message_is_decoded() {
    let news = decode(
        br#"{"generation":43,"reset":false,"new":1,"instances":[{"instanceId":"s-5b","hostPort":"127.1.0.18:9000",
        "zone":"b","machineType":"m2","cell":3,"lifecycle":"draining","weight":1.5,"startedAtMs":1800000000250}]}"#,
    );
    let listed = DiscoveredEndpoint {
        name: "s-5b".to_owned(),
        address: SocketAddr::from(([127, 1, 0, 18], 9000)),
        zone: "b".to_owned(),
        cell: 3,
        state: EndpointState::Draining,
        weight: 1.5,
        started_at: Some(Duration::from_millis(1_800_000_000_250)),
    };
    assert_eq!(
        news.ok(),
        Some(DiscoveryUpdate {
            version: 43,
            complete: false,
            servers: vec![listed]
        })
    );
}
