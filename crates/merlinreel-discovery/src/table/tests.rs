use super::*;

/// A message that lists one server, up at that port.
fn news(name: &str, port: u16, complete: bool) -> DiscoveryUpdate {
    let listed = DiscoveredEndpoint {
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
        servers: vec![listed],
    }
}

/// Guards against growth with every server ever listed, and against attempts at one whose address another took.
#[test]
fn an_index_is_another_s_once_it_is_forgotten_and_an_address_once_it_is_taken() {
    let mut table = EndpointTable::new(Vec::new());
    table.apply(news("s-1", 7, true), true);
    let mut named = |name: &str, port: u16, complete: bool| {
        let endpoints = table.apply(news(name, port, complete), false).endpoints;
        if complete {
            table.forget(0);
        }
        endpoints
            .iter()
            .map(|entry| (entry.server, entry.state))
            .collect::<Vec<_>>()
    };
    assert_eq!(named("s-2", 1, false), [(1, EndpointState::Ready)]);
    assert_eq!(
        named("s-3", 1, false),
        [(1, EndpointState::Removed), (2, EndpointState::Ready)]
    );
    // The list is whole, so the first server is gone, and forgotten.
    assert_eq!(named("s-3", 1, true), [(2, EndpointState::Ready)]);
    assert_eq!(named("s-4", 2, false), [(0, EndpointState::Ready)]);
}

/// Nothing is kept of servers that are forgotten: neither their names nor their addresses.
#[test]
fn servers_replaced_without_end_leave_nothing_behind() {
    let mut table = EndpointTable::new(Vec::new());
    table.apply(news("s-0", 9000, true), true);
    for port in 1..500 {
        let endpoints = table
            .apply(news(&format!("s-{port}"), port, false), false)
            .endpoints;
        table.forget(1 - endpoints[0].server);
    }
    assert_eq!(
        (table.names.len(), table.addresses.len(), table.places.len()),
        (1, 1, 2)
    );
}

/// A server that moves leaves its address to others.
#[test]
fn a_server_that_moves_is_not_replaced_at_its_old_address() {
    let mut table = EndpointTable::new(Vec::new());
    table.apply(news("s-1", 1, true), false);
    table.apply(news("s-1", 2, false), false);
    let endpoints = table.apply(news("s-2", 1, false), false).endpoints;
    assert_eq!(endpoints.len(), 1);
    assert!(table.stands(0) && table.stands(1));
}
