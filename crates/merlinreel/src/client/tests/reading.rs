//! Tests of reading pipelined requests, short reads and chunked bodies.

use super::*;
use crate::admission::AdmissionPermits;
use crate::client::stream::ClientStream;
use test_case::test_case;

/// Maximum number of bytes read ahead while a request is in flight.
const MAX_READ_AHEAD_BYTES: usize = 8192;

/// A pipelined request is served after the one in flight, unless more data follows than may be read ahead. In that case
/// nothing after the request in flight is served.
#[test_case(0 => 2 ; "the next request")]
#[test_case(100_000 => 2 ; "with more data that may be read ahead")]
#[test_case(600_000 => 1 ; "with more data than may be read ahead")]
#[tokio::test]
async fn pipelined_request_is_served_unless_read_ahead_overflows(trailing_bytes: usize) -> usize {
    use std::io::{Read, Write};
    let (mut client, stream) = connect_client(LOOK_REQUEST).expect("client connected");
    let (client_listener, mut events) = serving_listener(limits());
    let (client_connection, serving) = spawn_serving(&client_listener, stream);
    let Event::Request(first) = next_event(&mut events).await else {
        panic!("no request")
    };
    let writing = tokio::task::spawn_blocking(move || {
        let second = String::from_utf8_lossy(LOOK_REQUEST).replace("9b", "9c");
        client
            .write_all(second.as_bytes())
            .and_then(|()| client.write_all(&vec![b'x'; trailing_bytes]))
            .expect("written");
        client
    });
    let client = writing.await.expect("written");
    // All of the data is in the socket buffers. The connection's flag shows that it was too much.
    let is_overflow = trailing_bytes > limits().client.max_read_ahead_bytes;
    if is_overflow {
        wait_until_set(&client_connection.overflowed).await;
    }
    first
        .response_sender
        .send(crate::messages::ClientResponse::Failed)
        .expect("the client is waiting");
    let requests = if is_overflow {
        1
    } else {
        let Event::Request(second) = next_event(&mut events).await else {
            panic!("no second request")
        };
        second
            .response_sender
            .send(crate::messages::ClientResponse::Failed)
            .expect("the client is waiting");
        2
    };
    client
        .shutdown(std::net::Shutdown::Write)
        .expect("write side shut down");
    let responses = tokio::task::spawn_blocking(move || {
        let mut all = String::new();
        (&client)
            .read_to_string(&mut all)
            .map(|_| all.matches("HTTP/1.1 502").count())
    });
    assert_eq!(responses.await.expect("read").expect("no reset"), requests);
    serving.await.expect("served");
    assert!(events.try_recv().is_err());
    requests
}

/// Two requests arrive in one piece. The HTTP library gets one head per read, with the observations of that head, so that a
/// Content-Length is not attributed to another request. Buffered data counts as unread, so that no connection is closed
/// while it holds a request that was already read from the socket.
#[tokio::test]
async fn stream_passes_one_head_per_read_to_the_library() -> std::io::Result<()> {
    use tokio::io::AsyncReadExt;
    const FIRST: &[u8] = b"POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\n";
    const SECOND: &[u8] = b"bodyPOST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const THIRD: &[u8] = b"0\r\n\r\n";
    let (_client, stream) = connect_client(&[FIRST, SECOND, THIRD].concat())?;
    let client_connection = client_connection(2, 0.0, None);
    let mut client_stream = ClientStream::new(
        stream,
        client_connection.clone(),
        &limits(),
        AdmissionPermits::new(&limits()),
        StallMonitor::new(Metrics::new(&[])),
    );
    let mut into = [0; 8192];
    for (section, content_length) in [(FIRST, true), (SECOND, false), (THIRD, false)] {
        assert!(client_stream.has_unread());
        lock(&client_connection.times).partial_since = None;
        let length = client_stream.read(&mut into).await?;
        assert_eq!(into[..length], *section);
        assert_eq!(client_connection.last_head().content_length, content_length);
        assert!(
            lock(&client_connection.times).partial_since.is_some(),
            "buffered data is reported as read when the library reads it"
        );
    }
    assert!(!client_stream.has_unread());
    Ok(())
}

/// Data received in reads of the HTTP library does not count against the read-ahead limit, however short the reads are: the
/// full limit is available for data after a request.
#[test_case(8192, MAX_READ_AHEAD_BYTES => false ; "as much as may be read ahead")]
#[test_case(8192, MAX_READ_AHEAD_BYTES + 1 => true ; "a byte more")]
#[test_case(100, MAX_READ_AHEAD_BYTES => false ; "less in the library's read")]
#[test_case(100, MAX_READ_AHEAD_BYTES + 1 => true ; "less in the library's read and a byte more")]
#[tokio::test]
async fn read_ahead_overflows_only_above_its_limit(first: usize, trailing_bytes: usize) -> bool {
    use std::io::Write;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (mut client, stream) =
        connect_client(&[b"\r\n", vec![b'x'; first - 2].as_slice()].concat())
            .expect("client connected");
    let client_connection = client_connection(2, 0.0, None);
    let limits = {
        let mut changed = limits();
        changed.client.max_read_ahead_bytes = MAX_READ_AHEAD_BYTES;
        changed
    };
    let mut client_stream = ClientStream::new(
        stream,
        client_connection.clone(),
        &limits,
        AdmissionPermits::new(&limits),
        StallMonitor::new(Metrics::new(&[])),
    );
    let length = client_stream.read(&mut [0; 8192]).await.expect("read");
    assert_eq!(length, 2);
    client_connection.busy.store(true, Ordering::Relaxed);
    client
        .write_all(&vec![b'x'; trailing_bytes])
        .expect("written");
    drop(client);
    // Each flush reads ahead, and fails once the client's disconnect is detected.
    while client_stream.flush().await.is_ok() {
        tokio::task::yield_now().await;
    }
    client_connection.overflowed.load(Ordering::Relaxed)
}

/// The kernel ends a read early although more data has arrived, as at an urgent mark, and the poller reports no further
/// event. The rest must be read nevertheless, and the request served.
#[tokio::test]
async fn request_after_a_short_read_is_served() -> std::io::Result<()> {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    let mut client = std::net::TcpStream::connect(listener.local_addr()?)?;
    let (begin, rest) = LOOK_REQUEST.split_at(30);
    client.write_all(begin)?;
    socket2::SockRef::from(&client).send_out_of_band(b"!")?;
    client.write_all(rest)?;
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    // All of the data has arrived before the first read.
    while stream.peek(&mut [0; 64])? < begin.len() {
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let limits = {
        let mut changed = limits();
        changed.client.request_timeout = Duration::from_secs(3600);
        changed
    };
    let (client_listener, mut events) = serving_listener(limits);
    let _served = spawn_serving(&client_listener, TcpStream::from_std(stream)?);
    let Event::Request(incoming) = next_event(&mut events).await else {
        panic!("no request")
    };
    assert_eq!(incoming.upstream_request.uri.path(), "/look");
    Ok(())
}

/// Settings with one class, `pay`, whose requests may have a body.
fn settings_with_pay_class() -> Settings {
    let settings = serde_json::json!({"packages": [{"name": "team"}], "balancers": 1, "classes":
        [{"name": "pay", "idempotency": "non_idempotent", "hardLimitS": 9}]});
    SettingsTree::from_json(&settings)
        .and_then(|paths| Settings::read(&paths))
        .expect("valid settings")
}

/// Memory for a chunked body, whose length is not announced, is reserved as the body arrives, so that many bodies at once
/// can't exceed the memory for bodies. It is released if the body is rejected.
#[tokio::test]
async fn chunked_body_reserves_memory_as_it_arrives() -> std::io::Result<()> {
    use std::io::Read;
    const HEAD: &str = "POST /pay?key=7 HTTP/1.1\r\nX-Txn: 9b\r\nX-Lane: pay\r\nX-Plan: team\r\n\
        X-Remaining: 8000m\r\nX-Quota: units=1,spread=1,first=0\r\nTransfer-Encoding: chunked\r\n\r\n";
    let limits = {
        let mut changed = limits();
        changed.client.max_buffered_body_bytes = 8;
        changed
    };
    let (client_listener, mut events) = new_listener(limits, settings_with_pay_class());
    let (mut client, stream) =
        connect_client(format!("{HEAD}6\r\na body\r\n3\r\nabc\r\n0\r\n\r\n").as_bytes())?;
    client.set_read_timeout(Some(Duration::from_secs(20)))?;
    let _rejected = spawn_serving(&client_listener, stream);
    let read = tokio::task::spawn_blocking(move || {
        let mut response = String::new();
        client.read_to_string(&mut response).map(|_| response)
    });
    let response = read.await.expect("read")?;
    assert!(
        response.starts_with("HTTP/1.1 503") && response.ends_with("too much in hand\n"),
        "{response}"
    );
    let (_client, stream) =
        connect_client(format!("{HEAD}6\r\na body\r\n2\r\nab\r\n0\r\n\r\n").as_bytes())?;
    let _accepted = spawn_serving(&client_listener, stream);
    let Event::Request(incoming) = next_event(&mut events).await else {
        panic!("no request")
    };
    assert_eq!(incoming.upstream_request.body, "a bodyab");
    assert!(
        client_listener.permits.reserve_body(1).is_none(),
        "all of it is reserved while the request is in flight"
    );
    drop(incoming);
    Ok(())
}
