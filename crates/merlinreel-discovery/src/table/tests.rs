use super::*;

/// A message that lists one server, up at that port.
fn news(name: &str, port: u16, whole: bool) -> DiscoveryNews {
    let listed = Listed {
        name: name.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 9], port)),
        zone: "a".to_owned(),
        cell: 0,
        standing: Standing::Up,
        weight: 1.0,
        up_since: None,
    };
    DiscoveryNews {
        version: 1,
        whole,
        servers: vec![listed],
    }
}

/// Guards against growth with every server ever listed, and against attempts at one whose address another took.
#[test]
fn an_index_is_another_s_once_it_is_forgotten_and_an_address_once_it_is_taken() {
    let mut table = ServerTable::new(Vec::new());
    table.apply(news("s-1", 7, true), true);
    let mut named = |name: &str, port: u16, whole: bool| {
        let entries = table.apply(news(name, port, whole), false).entries;
        if whole {
            table.forget(0);
        }
        entries
            .iter()
            .map(|entry| (entry.server, entry.standing))
            .collect::<Vec<_>>()
    };
    assert_eq!(named("s-2", 1, false), [(1, Standing::Up)]);
    assert_eq!(
        named("s-3", 1, false),
        [(1, Standing::Gone), (2, Standing::Up)]
    );
    // The list is whole, so the first server is gone, and forgotten.
    assert_eq!(named("s-3", 1, true), [(2, Standing::Up)]);
    assert_eq!(named("s-4", 2, false), [(0, Standing::Up)]);
}

/// Nothing is kept of servers that are forgotten: neither their names nor their addresses.
#[test]
fn servers_replaced_without_end_leave_nothing_behind() {
    let mut table = ServerTable::new(Vec::new());
    table.apply(news("s-0", 9000, true), true);
    for port in 1..500 {
        let entries = table
            .apply(news(&format!("s-{port}"), port, false), false)
            .entries;
        table.forget(1 - entries[0].server);
    }
    assert_eq!(
        (table.names.len(), table.addresses.len(), table.places.len()),
        (1, 1, 2)
    );
}

/// A server that moves leaves its address to others.
#[test]
fn a_server_that_moves_is_not_replaced_at_its_old_address() {
    let mut table = ServerTable::new(Vec::new());
    table.apply(news("s-1", 1, true), false);
    table.apply(news("s-1", 2, false), false);
    let entries = table.apply(news("s-2", 1, false), false).entries;
    assert_eq!(entries.len(), 1);
    assert!(table.stands(0) && table.stands(1));
}
