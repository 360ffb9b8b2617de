//! Tests of the selection of connections to evict, and of connections that were asked to close.

use super::*;
use crate::client::eviction::select_evictions;
use crate::net::observed_stream::IoObserver;
use test_case::test_case;

/// A connection is asked to close when its first request has arrived and is not yet read. The request is answered.
#[tokio::test]
async fn evicted_connection_answers_a_request_that_was_not_read() -> std::io::Result<()> {
    use std::io::Read;
    let (mut client, stream) = connect_client(b"GET /up HTTP/1.1\r\n\r\n")?;
    let evicted = client_connection(0, 1.0, None);
    evicted.evicted.store(true, Ordering::Relaxed);
    evicted.close_requested.notify_one();
    let (client_listener, _events) = new_listener(limits(), settings());
    client_listener.started.store(true, Ordering::Relaxed);
    client_listener.serve_connection(stream, evicted).await;
    let mut response = String::new();
    client.read_to_string(&mut response)?;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    Ok(())
}

/// A write has been blocked for `blocked_s` seconds and a retry has just failed. A failed retry must not restart the time,
/// or a client that never reads would keep its connection slot and delay a shutdown.
#[test_case(5.0 => false ; "the client may still read")]
#[test_case(11.0 => true ; "counts as disconnected")]
fn write_blocked_connection_is_evictable_after_the_idle_timeout(blocked_s: f64) -> bool {
    let client_connection = client_connection(1, 20.0, None);
    lock(&client_connection.times).write_blocked_since = Some(
        Instant::now()
            .checked_sub(Duration::from_secs_f64(blocked_s))
            .unwrap(),
    );
    client_connection.on_write_blocked();
    client_connection.is_evictable(&limits())
}

#[test_case(7, 9 => Vec::<usize>::new() ; "none below the limit")]
#[test_case(6, 9 => vec![3] ; "those without a request first")]
#[test_case(3, 9 => vec![3, 1, 2] ; "then those with one, the longest idle first")]
#[test_case(2, 6 => vec![3, 1, 2, 0] ; "those with several at the connection limit")]
fn evictions_are_selected_by_requests_and_idle_time(
    max_idle: usize,
    max_connections: usize,
) -> Vec<usize> {
    let limits = {
        let mut changed = limits();
        changed.client.max_idle_connections = max_idle;
        changed.client.max_connections = max_connections;
        changed.client.evict_partial_after = Duration::from_secs(9);
        changed
    };
    let mut client_connections = vec![
        client_connection(9, 5.0, None),
        client_connection(1, 4.0, None),
        client_connection(1, 3.0, None),
        client_connection(0, 1.0, None),
    ];
    // One connection with part of its first request, and one with a request in flight.
    client_connections.extend([
        client_connection(0, 0.2, Some(0.2)),
        client_connection(9, 4.0, None),
    ]);
    client_connections[5].busy.store(true, Ordering::Relaxed);
    let selected = select_evictions(client_connections.iter(), &limits);
    let index_of = |one: &ClientConnection| {
        client_connections
            .iter()
            .position(|client_connection| std::ptr::eq(client_connection.as_ref(), one))
    };
    selected.into_iter().filter_map(index_of).collect()
}
