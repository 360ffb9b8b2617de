//! What a client sends behind a request, in pieces or in chunks.

use super::*;
use crate::admission::AdmissionPermits;
use crate::client::stream::ClientStream;
use test_case::test_case;

/// Bytes that may be read ahead of a request in flight.
const READ_AHEAD: usize = 8192;

/// What a client sends behind its request is its next one, and is served after it; nothing of a flood is.
#[test_case(0 => 2 ; "the next request")]
#[test_case(100_000 => 2 ; "with noise behind it, which is kept until it is read")]
#[test_case(600_000 => 1 ; "with a flood behind it")]
#[tokio::test]
async fn request_behind_another_is_served_unless_flooded(noise: usize) -> usize {
    use std::io::{Read, Write};
    let (mut client, stream) = connect_client(LOOK).expect("a client");
    let (client_listener, mut events) = serving_listener(limits());
    let (client_connection, serving) = spawn_serving(&client_listener, stream);
    let Event::Request(first) = next(&mut events).await else {
        panic!("no request")
    };
    let writing = tokio::task::spawn_blocking(move || {
        let second = String::from_utf8_lossy(LOOK).replace("9b", "9c");
        client
            .write_all(second.as_bytes())
            .and_then(|()| client.write_all(&vec![b'x'; noise]))
            .expect("written");
        client
    });
    let client = writing.await.expect("written");
    // The kernel has all of it; that it was too much shows in the flag of the connection.
    let is_flood = noise > limits().client.max_read_ahead_bytes;
    if is_flood {
        wait_for(&client_connection.overflowed).await;
    }
    first
        .response_sender
        .send(crate::messages::ClientResponse::Failed)
        .expect("a client that waits");
    let requests = if is_flood {
        1
    } else {
        let Event::Request(second) = next(&mut events).await else {
            panic!("no second request")
        };
        second
            .response_sender
            .send(crate::messages::ClientResponse::Failed)
            .expect("a client that waits");
        2
    };
    client
        .shutdown(std::net::Shutdown::Write)
        .expect("its side ends");
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

/// Two requests in one piece: the HTTP library gets one head a read, with what is known of that head, and what is buffered
/// counts as unread until then. A Content-Length is thereby not taken for another request's, and no connection closes over a
/// request that has left the kernel already.
#[tokio::test]
async fn stream_gives_the_library_one_head_a_read() -> std::io::Result<()> {
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
        HoldUpMonitor::new(Metrics::new(&[])),
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
            "what was buffered counts as read when the library reads it"
        );
    }
    assert!(!client_stream.has_unread());
    Ok(())
}

/// What the library had asked for is no flood, however short its reads are; as much again may come behind a request.
#[test_case(8192, READ_AHEAD => false ; "as much as may be read ahead")]
#[test_case(8192, READ_AHEAD + 1 => true ; "a byte more")]
#[test_case(100, READ_AHEAD => false ; "less in the library's read")]
#[test_case(100, READ_AHEAD + 1 => true ; "less in the library's read and a byte more")]
#[tokio::test]
async fn buffered_bytes_count_as_a_flood_only_over_the_read_ahead(
    first: usize,
    behind: usize,
) -> bool {
    use std::io::Write;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (mut client, stream) =
        connect_client(&[b"\r\n", vec![b'x'; first - 2].as_slice()].concat()).expect("a client");
    let client_connection = client_connection(2, 0.0, None);
    let limits = {
        let mut changed = limits();
        changed.client.max_read_ahead_bytes = READ_AHEAD;
        changed
    };
    let mut client_stream = ClientStream::new(
        stream,
        client_connection.clone(),
        &limits,
        AdmissionPermits::new(&limits),
        HoldUpMonitor::new(Metrics::new(&[])),
    );
    let length = client_stream.read(&mut [0; 8192]).await.expect("read");
    assert_eq!(length, 2);
    client_connection.busy.store(true, Ordering::Relaxed);
    client.write_all(&vec![b'x'; behind]).expect("written");
    drop(client);
    // Each flush reads ahead, until the client's end is seen.
    while client_stream.flush().await.is_ok() {
        tokio::task::yield_now().await;
    }
    client_connection.overflowed.load(Ordering::Relaxed)
}

/// The kernel ends a read before bytes that are there already, as at an urgent mark, and the poller reports nothing more:
/// the rest is read all the same, and the request served.
#[tokio::test]
async fn request_after_a_short_read_is_served() -> std::io::Result<()> {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    let mut client = std::net::TcpStream::connect(listener.local_addr()?)?;
    let (begin, rest) = LOOK.split_at(30);
    client.write_all(begin)?;
    socket2::SockRef::from(&client).send_out_of_band(b"!")?;
    client.write_all(rest)?;
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    // All of it is there before the first read.
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
    let Event::Request(incoming) = next(&mut events).await else {
        panic!("no request")
    };
    assert_eq!(incoming.upstream_request.uri.path(), "/look");
    Ok(())
}

/// Settings with one class, whose requests have a body.
fn settings_of_pay() -> Settings {
    let settings = serde_json::json!({"packages": [{"name": "team"}], "balancers": 1, "classes":
        [{"name": "pay", "idempotency": "non_idempotent", "hardLimitS": 9}]});
    SettingsTree::from_json(&settings)
        .and_then(|paths| Settings::read(&paths))
        .expect("sound")
}

/// A chunked body, whose length is not announced, reserves its memory piece by piece, and releases it where it is rejected,
/// so that many at once can't exceed the memory of all bodies.
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
    let (client_listener, mut events) = new_listener(limits, settings_of_pay());
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
    let Event::Request(incoming) = next(&mut events).await else {
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
