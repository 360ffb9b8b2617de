//! Tests of client disconnects and of connections that the limiter closes.

use super::*;
use crate::messages::{ClientResponse, UpstreamResponse};
use test_case::test_case;

/// The response is larger than the socket buffers, and the client takes far longer to read it than a connection may wait
/// for its second request. The connection must not be closed before the last bytes are read.
#[tokio::test]
async fn slow_reader_gets_its_complete_response() -> std::io::Result<()> {
    use std::io::Read;
    const LENGTH: usize = 24 << 20;
    let (mut client, stream) = connect_client(LOOK_REQUEST)?;
    let limits = {
        let mut changed = limits();
        changed.client.request_timeout = Duration::from_millis(40);
        changed
    };
    let (client_listener, mut events) = new_listener(limits, settings_with_look_class());
    let served = client_connection(0, 0.0, None);
    tokio::spawn(async move {
        client_listener.serve_connection(stream, served).await;
    });
    let Some(Event::Request(incoming)) = events.recv().await else {
        panic!("no request")
    };
    let upstream_response = UpstreamResponse {
        headers: hyper::HeaderMap::default(),
        body: Bytes::from(vec![b'x'; LENGTH]),
        streaming_body: None,
    };
    incoming
        .response_sender
        .send(ClientResponse::Success(upstream_response))
        .expect("the client is waiting");
    let read = tokio::task::spawn_blocking(move || {
        std::thread::sleep(Duration::from_millis(400));
        let mut response = Vec::new();
        client.read_to_end(&mut response).map(|_| response.len())
    });
    assert!(read.await.expect("read")? > LENGTH);
    Ok(())
}

/// A client sends data after its request and disconnects while the request waits: the event loop must be notified. The HTTP
/// library stops reading once data follows a request, and servers would process requests that no client waits for.
#[test_case(0 ; "no data after it")]
#[test_case(3 ; "half a line")]
#[test_case(9_000 ; "more than a head")]
#[test_case(300_000 ; "much data")]
#[tokio::test]
async fn disconnect_with_data_after_the_request_is_reported(
    trailing_bytes: usize,
) -> std::io::Result<()> {
    use std::io::Write;
    let (mut client, stream) = connect_client(LOOK_REQUEST)?;
    let (client_listener, mut events) = serving_listener(limits());
    let _serving = spawn_serving(&client_listener, stream);
    let Event::Request(incoming) = next_event(&mut events).await else {
        panic!("no request")
    };
    let disconnects =
        tokio::task::spawn_blocking(move || client.write_all(&vec![b'x'; trailing_bytes]));
    let Event::ClientDisconnected(request_id) = next_event(&mut events).await else {
        panic!("no disconnect event")
    };
    assert_eq!(request_id, incoming.request_id);
    disconnects.await.expect("written")
}

/// The limiter closes a connection while the client is still sending: the client gets its complete response and then an
/// orderly end, not a reset. Data that arrives after the limiter's side is shut down is not processed as a request.
#[tokio::test]
async fn close_while_the_client_sends_is_no_reset() -> std::io::Result<()> {
    use std::io::{Read, Write};
    let (mut client, stream) = connect_client(UP_REQUEST_WITH_CLOSE)?;
    let (client_listener, mut events) = serving_listener(limits());
    let (client_connection, serving) = spawn_serving(&client_listener, stream);
    wait_until_set(&client_connection.closing).await;
    let response = tokio::task::spawn_blocking(move || {
        client.write_all(LOOK_REQUEST)?;
        let mut response = String::new();
        client.read_to_string(&mut response)?;
        // The connection was not reset: otherwise this write would fail.
        client.write_all(LOOK_REQUEST)?;
        Ok::<_, std::io::Error>(response)
    });
    assert!(response.await.expect("read")?.starts_with("HTTP/1.1 200"));
    serving.await.expect("served");
    assert!(events.try_recv().is_err());
    Ok(())
}

/// Data that arrives after the limiter has shut down its side is not read, so the client may safely send a request in it
/// again. The close ends as soon as the client closes its side, even with unread data in the socket buffer.
#[tokio::test]
async fn data_after_the_limiters_side_is_shut_down_is_not_read() -> std::io::Result<()> {
    use std::io::{Read, Write};
    let (mut client, stream) = connect_client(UP_REQUEST_WITH_CLOSE)?;
    let stream = stream.into_std()?;
    let limiter_side = stream.try_clone()?;
    let limits = {
        let mut changed = limits();
        changed.client.linger_timeout = Duration::from_secs(3600);
        changed
    };
    let (client_listener, mut events) = serving_listener(limits);
    let (client_connection, serving) =
        spawn_serving(&client_listener, TcpStream::from_std(stream)?);
    wait_until_set(&client_connection.closing).await;
    let sending = tokio::task::spawn_blocking(move || {
        client.read_to_string(&mut String::new())?;
        client.write_all(LOOK_REQUEST)?;
        // Gives the limiter time to read the data, which it must not do.
        std::thread::sleep(Duration::from_millis(100));
        Ok::<_, std::io::Error>(client)
    });
    let client = sending.await.expect("written")?;
    assert_eq!(limiter_side.peek(&mut [0; 1024])?, LOOK_REQUEST.len());
    drop(client);
    tokio::time::timeout(Duration::from_secs(20), serving)
        .await
        .expect("closed within 20 s")
        .expect("served");
    assert!(events.try_recv().is_err());
    Ok(())
}

/// The limiter closes a connection whose client never closes its side. The close ends at once if the connection is evicted,
/// and otherwise after the linger timeout.
#[test_case(true ; "evicted")]
#[test_case(false ; "not evicted")]
#[tokio::test]
async fn close_ends_although_the_client_never_closes_its_side(evicts: bool) -> std::io::Result<()> {
    let (_client, stream) = connect_client(UP_REQUEST_WITH_CLOSE)?;
    let linger_timeout = Duration::from_secs(if evicts { 3600 } else { 0 });
    let (client_listener, _events) = serving_listener({
        let mut changed = limits();
        changed.client.linger_timeout = linger_timeout;
        changed
    });
    let (client_connection, serving) = spawn_serving(&client_listener, stream);
    if evicts {
        wait_until_set(&client_connection.closing).await;
        client_connection.evict();
    }
    tokio::time::timeout(Duration::from_secs(20), serving)
        .await
        .expect("closed within 20 s")
        .expect("served");
    Ok(())
}
