//! Connections to servers that rest between two attempts.

use super::*;
use test_case::test_case;

#[test_case(&[40, 30, 1], Reuse::PreferSettled => Some(30) ; "the newest that is settled")]
#[test_case(&[3, 2, 1], Reuse::PreferSettled => Some(3) ; "the oldest where none is")]
#[test_case(&[], Reuse::PreferSettled => None ; "none")]
#[test_case(&[40, 30, 1], Reuse::OnlySettled => Some(30) ; "the newest that is settled, once a server sent something unasked")]
#[test_case(&[3, 2, 1], Reuse::OnlySettled => None ; "none that is not settled, once a server sent something unasked")]
fn the_idle_connection_for_an_attempt(idle: &[u64], reuse: Reuse) -> Option<u64> {
    let now = Instant::now() + LONG;
    let link = |ms: &u64| {
        let address = SocketAddr::from(([127, 0, 0, 1], *ms as u16));
        IdleConnection {
            since: now - Duration::from_millis(*ms),
            handle: ConnectionHandle {
                commands: mpsc::channel(1).0,
                address,
            },
        }
    };
    let mut idle = IdleConnections(idle.iter().map(link).collect());
    idle.take(now, Duration::from_millis(25), reuse)
        .map(|link| link.address.port().into())
}

#[tokio::test]
async fn one_attempt_a_connection_and_idle_ones_first() {
    let (listener, address) = listener().await;
    let (mut servers, mut events) = servers(address, 4);
    let links = [1, 2].map(|attempt_id| {
        servers
            .start_attempt(0, attempt(attempt_id, 1, LONG))
            .expect("a slot")
    });
    let mut one = accept(&listener).await;
    let mut two = accept(&listener).await;
    for stream in [&mut one, &mut two] {
        request(stream).await;
        done(stream, &mut events).await;
    }
    links
        .into_iter()
        .for_each(|link| servers.return_connection(0, link));
    let _link = servers
        .start_attempt(0, attempt(3, 1, LONG))
        .expect("an idle one");
    // None is settled: the oldest.
    let bytes = request(&mut one).await;
    assert_eq!(
        wire_length(&encode(&upstream_request(1), LONG), 1) as usize,
        bytes.len()
    );
}

#[tokio::test]
async fn a_connection_the_server_closed_while_idle_costs_no_attempt() {
    let (listener, address) = listener().await;
    let (mut servers, mut events) = servers(address, 4);
    let (link, mut stream) = begun(&listener, &mut servers, 1).await;
    done(&mut stream, &mut events).await;
    servers.return_connection(0, link);
    drop(stream);
    while !servers.idle[0].0[0].handle.commands.is_closed() {
        sleep(Duration::from_millis(1)).await;
    }
    let _link = servers.start_attempt(0, attempt(2, 1, LONG));
    let mut stream = accept(&listener).await;
    request(&mut stream).await;
    let end = done(&mut stream, &mut events).await;
    assert_eq!(
        (end.attempt_id, end.outcome),
        (AttemptId(2), AttemptOutcome::Success)
    );
}

/// A server that has sent something unasked may do so again, some milliseconds late: an attempt that follows an answer
/// at once goes by a new connection from then on, to whichever server.
#[test_case(false ; "behind the answer")]
#[test_case(true ; "once the connection rests")]
#[tokio::test]
async fn after_unasked_bytes_only_rested_connections_are_used(rests: bool) {
    const SECOND: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    let (listener, address) = listener().await;
    let (mut servers, mut events) = servers(address, 8);
    let (_first, mut stream) = begun(&listener, &mut servers, 1).await;
    if rests {
        done(&mut stream, &mut events).await;
        stream.write_all(SECOND.as_bytes()).await.expect("written");
    } else {
        stream
            .write_all(format!("{GOOD}{SECOND}").as_bytes())
            .await
            .expect("written");
        end(&mut events).await;
    }
    timeout(LONG, async {
        while !servers.unsolicited_bytes.seen() {
            tokio::task::yield_now().await;
        }
    })
    .await
    .expect("seen");
    let (second, mut stream) = begun(&listener, &mut servers, 2).await;
    done(&mut stream, &mut events).await;
    servers.limits.upstream.settle_time = LONG;
    servers.return_connection(0, second);
    let _third = servers
        .start_attempt(0, attempt(3, 1, LONG))
        .expect("a slot");
    request(&mut accept(&listener).await).await;
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong" ; "a second copy")]
#[test_case("noise" ; "noise")]
#[tokio::test]
async fn what_comes_behind_an_answer_is_never_the_next_one_s(more: &str) {
    let (listener, address) = listener().await;
    let (mut servers, mut events) = servers(address, 4);
    let (link, mut stream) = begun(&listener, &mut servers, 1).await;
    done(&mut stream, &mut events).await;
    servers.return_connection(0, link);
    // Not waited for: this limiter's poller has not told of it when the next attempt begins.
    stream.try_write(more.as_bytes()).expect("written");
    let _link = servers.start_attempt(0, attempt(2, 1, LONG));
    let mut other = accept(&listener).await;
    request(&mut other).await;
    let end = done(&mut other, &mut events).await;
    assert_eq!(
        end.upstream_response
            .map(|upstream_response| upstream_response.body),
        Some(Bytes::from_static(b"done"))
    );
}

#[test_case(EndpointState::Draining, 0 ; "a server that drains")]
#[test_case(EndpointState::Ready, 1 ; "a server at another address")]
#[tokio::test]
async fn idle_connections_are_let_go_of(standing: EndpointState, port: u16) {
    let (listener, address) = listener().await;
    let (mut servers, mut events) = servers(address, 4);
    let (link, mut stream) = begun(&listener, &mut servers, 1).await;
    done(&mut stream, &mut events).await;
    let elsewhere = SocketAddr::from((
        [127, 0, 0, 1],
        if port == 0 { address.port() } else { port },
    ));
    servers.apply_endpoints(list(elsewhere, standing));
    servers.return_connection(0, link);
    servers.close_idle_connections(0);
    assert_eq!(
        timeout(LONG, stream.read(&mut [0; 8]))
            .await
            .expect("closed")
            .expect("in order"),
        0
    );
}

#[tokio::test]
async fn an_idle_connection_is_dropped_before_the_server_does() {
    let (listener, address) = listener().await;
    let (mut servers, mut events) = servers(address, 4);
    assert!(servers.limits.upstream.idle_timeout < Duration::from_secs(15));
    servers.limits.upstream.idle_timeout = Duration::from_millis(1);
    let (link, mut stream) = begun(&listener, &mut servers, 1).await;
    done(&mut stream, &mut events).await;
    servers.return_connection(0, link);
    assert_eq!(
        timeout(LONG, stream.read(&mut [0; 8]))
            .await
            .expect("closed")
            .expect("in order"),
        0
    );
}

#[tokio::test]
async fn descriptors_for_servers_are_bounded_and_idle_ones_give_way() {
    let (listener, address) = listener().await;
    let (mut servers, mut events) = servers(address, 2);
    let (first, mut stream) = begun(&listener, &mut servers, 1).await;
    done(&mut stream, &mut events).await;
    servers.idle.push(IdleConnections(vec![IdleConnection {
        since: Instant::now(),
        handle: first,
    }]));
    let second = servers.start_attempt(0, attempt(2, 1, LONG));
    assert!(second.is_some() && servers.start_attempt(0, attempt(3, 1, LONG)).is_none());
    assert_eq!(
        timeout(LONG, stream.read(&mut [0; 8]))
            .await
            .expect("closed")
            .expect("in order"),
        0
    );
}

/// What a whole list does to a connection that rests: to a server that it names as up it is used again, to any other it
/// closes.
#[test_case("s-1", EndpointState::Ready => true ; "named as up")]
#[test_case("s-1", EndpointState::Draining => false ; "named as draining")]
#[test_case("s-2", EndpointState::Ready => false ; "not named")]
#[tokio::test]
async fn a_whole_list_and_a_connection_that_rests(name: &str, standing: EndpointState) -> bool {
    let (listener, address) = listener().await;
    let (mut servers, mut events) = servers(address, 4);
    let (link, mut stream) = begun(&listener, &mut servers, 1).await;
    done(&mut stream, &mut events).await;
    servers.return_connection(0, link);
    let mut whole = list(address, standing);
    whole.servers[0].name = name.to_owned();
    if name != "s-1" {
        whole.servers[0].address = SocketAddr::from(([127, 0, 0, 9], 9));
    }
    servers.apply_endpoints(whole);
    let _next = standing
        .eq(&EndpointState::Ready)
        .then(|| servers.start_attempt(0, attempt(2, 1, LONG)));
    let mut byte = [0];
    timeout(LONG, stream.read(&mut byte))
        .await
        .expect("in time")
        .expect("in order")
        > 0
}
