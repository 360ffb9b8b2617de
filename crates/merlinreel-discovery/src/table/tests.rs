use super::*;
use merlinreel_policy::ServerIndex;
use test_case::test_case;

/// An update with one endpoint, ready at the given port.
fn update(name: &str, port: u16, complete: bool) -> DiscoveryUpdate {
    let endpoint = DiscoveredEndpoint {
        name: name.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 9], port)),
        zone: "a".to_owned(),
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    };
    DiscoveryUpdate {
        version: 1,
        complete,
        endpoints: vec![endpoint],
    }
}

/// A new endpoint at the address of a listed one removes the listed one, as attempts at it would reach the new endpoint. A
/// released index is reused.
#[test]
fn released_index_and_reused_address_belong_to_the_new_endpoint() {
    let mut table = EndpointTable::new(Vec::new());
    table.apply(update("s-1", 7, true), true);
    let mut apply = |name: &str, port: u16, complete: bool| {
        let endpoints = table.apply(update(name, port, complete), false).endpoints;
        if complete {
            table.release(ServerIndex(0));
        }
        endpoints
            .iter()
            .map(|endpoint| (endpoint.server.0, endpoint.state))
            .collect::<Vec<_>>()
    };
    assert_eq!(apply("s-2", 1, false), [(1, EndpointState::Ready)]);
    assert_eq!(
        apply("s-3", 1, false),
        [(1, EndpointState::Removed), (2, EndpointState::Ready)]
    );
    // A snapshot without the first endpoint removes it, and its index is released.
    assert_eq!(apply("s-3", 1, true), [(2, EndpointState::Ready)]);
    assert_eq!(apply("s-4", 2, false), [(0, EndpointState::Ready)]);
}

/// The table drops the names and addresses of released endpoints and reuses their indices.
#[test]
fn replaced_endpoints_leave_no_memory_in_use() {
    let mut table = EndpointTable::new(Vec::new());
    table.apply(update("s-0", 9000, true), true);
    for port in 1..500 {
        let endpoints = table
            .apply(update(&format!("s-{port}"), port, false), false)
            .endpoints;
        table.release(ServerIndex(1 - endpoints[0].server.0));
    }
    assert_eq!(
        (
            table.index_by_name.len(),
            table.index_by_address.len(),
            table.entries.len()
        ),
        (1, 1, 2)
    );
}

/// An endpoint that moves to another address frees its previous one for a new endpoint.
#[test]
fn moved_endpoint_is_not_removed_at_its_previous_address() {
    let mut table = EndpointTable::new(Vec::new());
    table.apply(update("s-1", 1, true), false);
    table.apply(update("s-1", 2, false), false);
    let endpoints = table.apply(update("s-2", 1, false), false).endpoints;
    assert_eq!(endpoints.len(), 1);
    assert!(table.is_listed(ServerIndex(0)) && table.is_listed(ServerIndex(1)));
}

/// Guards against work that reaches the wrong server: where a known endpoint moves to the address of a listed one, that one is
/// gone, although the agent reports its removal later. Two endpoints that swap their addresses both stay.
#[test_case(&[("s-2", 1)] => vec![(0, EndpointState::Removed), (1, EndpointState::Ready)] ; "one moves")]
#[test_case(&[("s-2", 1), ("s-1", 2)] => vec![(1, EndpointState::Ready), (0, EndpointState::Ready)] ; "two swap")]
#[test_case(&[("s-2", 2)] => vec![(1, EndpointState::Ready)] ; "none moves")]
fn known_endpoint_takes_over_the_address_of_a_listed_one(
    changes: &[(&str, u16)],
) -> Vec<(u32, EndpointState)> {
    let combined = |endpoints: &[(&str, u16)], complete| DiscoveryUpdate {
        version: 1,
        complete,
        endpoints: endpoints
            .iter()
            .flat_map(|&(name, port)| update(name, port, complete).endpoints)
            .collect(),
    };
    let mut table = EndpointTable::new(Vec::new());
    table.apply(combined(&[("s-1", 1), ("s-2", 2)], true), false);
    let applied = table.apply(combined(changes, false), false).endpoints;
    applied
        .iter()
        .map(|endpoint| (endpoint.server.0, endpoint.state))
        .collect()
}
