//! Tests of connections that are idle between two attempts: reuse, closing and unsolicited bytes.

use super::*;
use merlinreel_policy::ServerIndex;
use test_case::test_case;

#[test_case(&[40, 30, 1], Reuse::PreferSettled => Some(30) ; "the newest settled one")]
#[test_case(&[3, 2, 1], Reuse::PreferSettled => Some(3) ; "the oldest if none is settled")]
#[test_case(&[], Reuse::PreferSettled => None ; "none if none is idle")]
#[test_case(&[40, 30, 1], Reuse::OnlySettled => Some(30) ; "the newest settled one, after unsolicited bytes")]
#[test_case(&[3, 2, 1], Reuse::OnlySettled => None ; "none if none is settled, after unsolicited bytes")]
fn idle_connection_for_an_attempt_is_the_newest_settled_one(
    idle_ms: &[u64],
    reuse: Reuse,
) -> Option<u64> {
    let now = Instant::now() + LONG;
    let connection = |ms: &u64| {
        let address = SocketAddr::from(([127, 0, 0, 1], *ms as u16));
        IdleConnection {
            since: now.checked_sub(Duration::from_millis(*ms)).unwrap(),
            handle: ConnectionHandle {
                commands: mpsc::channel(1).0,
                address,
            },
        }
    };
    let mut idle = IdleConnections(idle_ms.iter().map(connection).collect());
    idle.take(now, Duration::from_millis(25), reuse)
        .map(|connection| connection.address.port().into())
}

#[tokio::test]
async fn attempts_use_one_connection_each_and_idle_ones_first() {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    let connections = [1, 2].map(|attempt_id| {
        pool.start_attempt(ServerIndex(0), attempt(attempt_id, 1, LONG))
            .expect("a connection")
    });
    let mut one = accept(&listener).await;
    let mut two = accept(&listener).await;
    for stream in [&mut one, &mut two] {
        read_request(stream).await;
        respond_and_complete(stream, &mut events).await;
    }
    for connection in connections {
        pool.return_connection(ServerIndex(0), connection);
    }
    let _connection = pool
        .start_attempt(ServerIndex(0), attempt(3, 1, LONG))
        .expect("an idle connection");
    // No connection is settled, so the oldest one is reused.
    let bytes = read_request(&mut one).await;
    assert_eq!(
        wire_length(&encode(&upstream_request(1), LONG), 1) as usize,
        bytes.len()
    );
}

#[tokio::test]
async fn attempt_uses_a_new_connection_if_the_server_closed_the_idle_one() {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    let (connection, mut stream) = start_and_receive(&listener, &mut pool, 1).await;
    respond_and_complete(&mut stream, &mut events).await;
    pool.return_connection(ServerIndex(0), connection);
    drop(stream);
    while !pool.idle[0].0[0].handle.commands.is_closed() {
        sleep(Duration::from_millis(1)).await;
    }
    let _connection = pool.start_attempt(ServerIndex(0), attempt(2, 1, LONG));
    let mut stream = accept(&listener).await;
    read_request(&mut stream).await;
    let completion = respond_and_complete(&mut stream, &mut events).await;
    assert_eq!(
        (completion.attempt_id, completion.outcome),
        (AttemptId(2), AttemptOutcome::Success)
    );
}

/// Unsolicited bytes may arrive some milliseconds after a response. Once any server has sent some, an attempt that
/// directly follows a response uses a new connection, whichever server it is for.
#[test_case(false ; "together with the response")]
#[test_case(true ; "when the connection is idle")]
#[tokio::test]
async fn after_unsolicited_bytes_only_settled_connections_are_reused(idle: bool) {
    const SECOND_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 8);
    let (_first, mut stream) = start_and_receive(&listener, &mut pool, 1).await;
    if idle {
        respond_and_complete(&mut stream, &mut events).await;
        stream
            .write_all(SECOND_RESPONSE.as_bytes())
            .await
            .expect("written");
    } else {
        stream
            .write_all(format!("{SUCCESS}{SECOND_RESPONSE}").as_bytes())
            .await
            .expect("written");
        next_completion(&mut events).await;
    }
    timeout(LONG, async {
        while !pool.unsolicited_bytes.seen() {
            tokio::task::yield_now().await;
        }
    })
    .await
    .expect("seen");
    let (second, mut stream) = start_and_receive(&listener, &mut pool, 2).await;
    respond_and_complete(&mut stream, &mut events).await;
    pool.limits.upstream.settle_time = LONG;
    pool.return_connection(ServerIndex(0), second);
    let _third = pool
        .start_attempt(ServerIndex(0), attempt(3, 1, LONG))
        .expect("a connection");
    read_request(&mut accept(&listener).await).await;
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong" ; "a second response")]
#[test_case("noise" ; "garbage")]
#[tokio::test]
async fn bytes_after_a_response_are_never_taken_for_the_next_response(unsolicited: &str) {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    let (connection, mut stream) = start_and_receive(&listener, &mut pool, 1).await;
    respond_and_complete(&mut stream, &mut events).await;
    pool.return_connection(ServerIndex(0), connection);
    // Written without an await, so that the poller has not yet reported the bytes when the next attempt starts.
    stream.try_write(unsolicited.as_bytes()).expect("written");
    let _connection = pool.start_attempt(ServerIndex(0), attempt(2, 1, LONG));
    let mut other = accept(&listener).await;
    read_request(&mut other).await;
    let completion = respond_and_complete(&mut other, &mut events).await;
    assert_eq!(
        completion
            .upstream_response
            .map(|upstream_response| upstream_response.body),
        Some(Bytes::from_static(b"done"))
    );
}

#[test_case(EndpointState::Draining, 0 ; "a draining server")]
#[test_case(EndpointState::Ready, 1 ; "a server at another address")]
#[tokio::test]
async fn idle_connections_of_unready_or_moved_servers_close(state: EndpointState, port: u16) {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    let (connection, mut stream) = start_and_receive(&listener, &mut pool, 1).await;
    respond_and_complete(&mut stream, &mut events).await;
    let elsewhere = SocketAddr::from((
        [127, 0, 0, 1],
        if port == 0 { address.port() } else { port },
    ));
    pool.apply_endpoints(endpoint_list(elsewhere, state));
    pool.return_connection(ServerIndex(0), connection);
    pool.close_idle_connections(ServerIndex(0));
    assert_eq!(
        timeout(LONG, stream.read(&mut [0; 8]))
            .await
            .expect("closed")
            .expect("in order"),
        0
    );
}

#[tokio::test]
async fn idle_connection_closes_before_the_server_closes_it() {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    assert!(pool.limits.upstream.idle_timeout < Duration::from_secs(15));
    pool.limits.upstream.idle_timeout = Duration::from_millis(1);
    let (connection, mut stream) = start_and_receive(&listener, &mut pool, 1).await;
    respond_and_complete(&mut stream, &mut events).await;
    pool.return_connection(ServerIndex(0), connection);
    assert_eq!(
        timeout(LONG, stream.read(&mut [0; 8]))
            .await
            .expect("closed")
            .expect("in order"),
        0
    );
}

#[tokio::test]
async fn connection_limit_closes_the_oldest_idle_connection() {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 2);
    let (first, mut stream) = start_and_receive(&listener, &mut pool, 1).await;
    respond_and_complete(&mut stream, &mut events).await;
    pool.idle.push(IdleConnections(vec![IdleConnection {
        since: Instant::now(),
        handle: first,
    }]));
    let second = pool.start_attempt(ServerIndex(0), attempt(2, 1, LONG));
    assert!(
        second.is_some()
            && pool
                .start_attempt(ServerIndex(0), attempt(3, 1, LONG))
                .is_none()
    );
    assert_eq!(
        timeout(LONG, stream.read(&mut [0; 8]))
            .await
            .expect("closed")
            .expect("in order"),
        0
    );
}

/// After a complete endpoint list, an idle connection to a server that is listed as ready is reused; an idle connection
/// to any other server is closed.
#[test_case("s-1", EndpointState::Ready => true ; "listed as ready")]
#[test_case("s-1", EndpointState::Draining => false ; "listed as draining")]
#[test_case("s-2", EndpointState::Ready => false ; "not listed")]
#[tokio::test]
async fn complete_list_keeps_idle_connections_of_ready_servers_only(
    name: &str,
    state: EndpointState,
) -> bool {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    let (connection, mut stream) = start_and_receive(&listener, &mut pool, 1).await;
    respond_and_complete(&mut stream, &mut events).await;
    pool.return_connection(ServerIndex(0), connection);
    let mut complete = endpoint_list(address, state);
    complete.endpoints[0].name = name.to_owned();
    if name != "s-1" {
        complete.endpoints[0].address = SocketAddr::from(([127, 0, 0, 9], 9));
    }
    pool.apply_endpoints(complete);
    let _next = state
        .eq(&EndpointState::Ready)
        .then(|| pool.start_attempt(ServerIndex(0), attempt(2, 1, LONG)));
    let mut byte = [0];
    timeout(LONG, stream.read(&mut byte))
        .await
        .expect("in time")
        .expect("in order")
        > 0
}
