use super::*;
use merlinreel_discovery::decode;
use merlinreel_policy::EndpointState;
use serde_json::Value;
use std::collections::BTreeSet;
use test_case::test_case;

const SERVERS: u64 = 50;

#[test]
fn encoded_server_has_the_members_of_an_instance() {
    let source = ListSource::new(SERVERS, 1, Format::Compact);
    let wire = source.pool.server(0, "up", 0);
    let address = wire.host_port.parse().expect("an address");
    let mut expected = crate::instance(&wire.instance_id, address, "up");
    expected["zone"] = Value::from(wire.zone.clone());
    assert_eq!(serde_json::to_value(&wire).expect("encoded"), expected);
}

#[test_case(Format::Compact ; "compact")]
#[test_case(Format::Indented ; "indented")]
fn full_list_names_each_server_once_and_is_counted(format: Format) {
    let mut source = ListSource::new(SERVERS, 1, format);
    let bytes = source.full_list().expect("encoded");
    let update = decode(&bytes).expect("a list");
    let names: BTreeSet<&str> = update
        .endpoints
        .iter()
        .map(|server| server.name.as_str())
        .collect();
    let addresses: BTreeSet<SocketAddr> = update
        .endpoints
        .iter()
        .map(|server| server.address)
        .collect();
    assert!(update.complete);
    assert_eq!(
        (names.len(), addresses.len()),
        (SERVERS as usize, SERVERS as usize)
    );
    assert_eq!(source.bytes_sent, bytes.len() as u64);
}

#[test]
fn replacement_removes_as_many_servers_as_it_adds() {
    let mut source = ListSource::new(SERVERS, 1, Format::Compact);
    let update = decode(&source.replacement(30, 5).expect("encoded")).expect("a list");
    let removed = update
        .endpoints
        .iter()
        .filter(|server| server.state == EndpointState::Removed)
        .count();
    let names: BTreeSet<&str> = update
        .endpoints
        .iter()
        .map(|server| server.name.as_str())
        .collect();
    assert!(!update.complete);
    assert_eq!((removed, update.endpoints.len(), names.len()), (30, 60, 60));
}
