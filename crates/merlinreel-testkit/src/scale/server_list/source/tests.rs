use super::*;
use merlinreel_discovery::decode;
use merlinreel_policy::EndpointState;
use serde_json::Value;
use std::collections::BTreeSet;
use test_case::test_case;

const SERVERS: u64 = 50;

#[test]
fn a_server_has_the_members_of_the_test_beds_lists() {
    let source = ListSource::new(SERVERS, 1, Form::Compact);
    let wire = source.fleet.server(0, "up", 0);
    let address = wire.host_port.parse().expect("an address");
    let mut expected = crate::listed(&wire.instance_id, address, "up");
    expected["zone"] = Value::from(wire.zone.clone());
    assert_eq!(serde_json::to_value(&wire).expect("written"), expected);
}

#[test_case(Form::Compact ; "compact")]
#[test_case(Form::Indented ; "indented")]
fn a_full_list_names_each_server_once_and_is_counted(form: Form) {
    let mut source = ListSource::new(SERVERS, 1, form);
    let bytes = source.full_list().expect("written");
    let news = decode(&bytes).expect("a list");
    let names: BTreeSet<&str> = news
        .servers
        .iter()
        .map(|server| server.name.as_str())
        .collect();
    let addresses: BTreeSet<SocketAddr> =
        news.servers.iter().map(|server| server.address).collect();
    assert!(news.complete);
    assert_eq!(
        (names.len(), addresses.len()),
        (SERVERS as usize, SERVERS as usize)
    );
    assert_eq!(source.bytes_sent, bytes.len() as u64);
}

#[test]
fn a_replacement_removes_as_many_servers_as_it_adds() {
    let mut source = ListSource::new(SERVERS, 1, Form::Compact);
    let news = decode(&source.replacement(30, 5).expect("written")).expect("a list");
    let removed = news
        .servers
        .iter()
        .filter(|server| server.state == EndpointState::Removed)
        .count();
    let names: BTreeSet<&str> = news
        .servers
        .iter()
        .map(|server| server.name.as_str())
        .collect();
    assert!(!news.complete);
    assert_eq!((removed, news.servers.len(), names.len()), (30, 60, 60));
}
