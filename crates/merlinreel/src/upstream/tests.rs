mod idle_connections;
mod streaming;
mod wire;

use super::idle_connections::{IdleConnection, IdleConnections, Reuse};
use super::message::{LOAD, encode, strip_hop_by_hop, wire_length};
use super::*;
use crate::config::limits::Limits;
use crate::messages::{AttemptCompletion, AttemptId, Event, UpstreamRequest};
use crate::telemetry::metrics::Metrics;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use merlinreel_discovery::DiscoveryUpdate;
use merlinreel_policy::ServerIndex;
use merlinreel_policy::{AttemptOutcome, EndpointState, LoadReport};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Longer than any step of a test takes.
const LONG: Duration = Duration::from_secs(20);

fn upstream_request(body_bytes: usize) -> Arc<UpstreamRequest> {
    let headers = [
        ("x-txn", "9b"),
        ("host", "origin.svc"),
        ("content-length", "1"),
    ];
    let headers = headers.map(|(name, value)| {
        (
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        )
    });
    Arc::new(UpstreamRequest {
        method: Method::POST,
        uri: Uri::from_static("/pay?key=07"),
        headers: HeaderMap::from_iter(headers),
        body: Bytes::from(vec![b'x'; body_bytes]),
        permit: None,
    })
}

fn attempt(attempt_id: u64, body_bytes: usize, within: Duration) -> Attempt {
    let started = Instant::now();
    Attempt {
        attempt_id: AttemptId(attempt_id),
        upstream_request: upstream_request(body_bytes),
        started,
        deadline: started + within,
        write_deadline: None,
        earlier_response_age: None,
    }
}

/// A pool with one server at `address`, whose responses and health checks carry load reports.
fn pool(address: SocketAddr, max_connections: usize) -> (UpstreamPool, mpsc::Receiver<Event>) {
    pool_with_report_mode("answers", address, max_connections)
}

/// A pool with one server at `address`. `report_mode` is the setting `report.how`, which selects the responses that
/// carry load reports.
fn pool_with_report_mode(
    report_mode: &str,
    address: SocketAddr,
    max_connections: usize,
) -> (UpstreamPool, mpsc::Receiver<Event>) {
    let settings =
        serde_json::json!({"report": {"how": report_mode}, "policyLimits": {"probes": true}});
    let paths = merlinreel_settings::SettingsTree::from_json(&settings);
    let settings = paths
        .and_then(|paths| merlinreel_settings::Settings::read(&paths))
        .expect("sound");
    let limits = {
        let mut changed = Limits::new(1024, 192, &settings).expect("enough memory");
        changed.upstream.max_connections = max_connections;
        changed
    };
    let (queue, events) = mpsc::channel(16);
    let mut pool = UpstreamPool::new(limits, &settings, queue, Metrics::new(&[]));
    pool.apply_cached_endpoints(endpoint_list(address, EndpointState::Ready));
    (pool, events)
}

fn endpoint_list(address: SocketAddr, state: EndpointState) -> DiscoveryUpdate {
    let (name, zone) = ("s-1".to_owned(), "a".to_owned());
    let endpoint = merlinreel_discovery::DiscoveredEndpoint {
        name,
        address,
        zone,
        cell: 0,
        state,
        weight: 1.0,
        started_at: None,
    };
    DiscoveryUpdate {
        version: 1,
        complete: true,
        endpoints: vec![endpoint],
    }
}

/// The next completion. Reports that a part of the response has arrived may precede it.
async fn next_completion(events: &mut mpsc::Receiver<Event>) -> AttemptCompletion {
    loop {
        match timeout(LONG, events.recv()).await {
            Ok(Some(Event::AttemptCompleted(completion))) => return completion,
            Ok(Some(Event::ResponseProgress(_))) => {}
            other => panic!("{other:?}"),
        }
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

async fn accept(listener: &TcpListener) -> TcpStream {
    timeout(LONG, listener.accept())
        .await
        .expect("in time")
        .expect("a connection")
        .0
}

/// Reads one request, up to the `x` that ends its body.
async fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"x") {
        assert!(stream.read_buf(&mut bytes).await.expect("a request") > 0);
    }
    bytes
}

/// Starts an attempt and reads its request at the server.
async fn start_and_receive(
    listener: &TcpListener,
    pool: &mut UpstreamPool,
    attempt_id: u64,
) -> (ConnectionHandle, TcpStream) {
    let connection = pool
        .start_attempt(ServerIndex(0), attempt(attempt_id, 1, LONG))
        .expect("a connection");
    let mut stream = accept(listener).await;
    read_request(&mut stream).await;
    (connection, stream)
}

/// Sends a successful response from the server and waits for the attempt's result.
async fn respond_and_complete(
    stream: &mut TcpStream,
    events: &mut mpsc::Receiver<Event>,
) -> AttemptCompletion {
    stream.write_all(SUCCESS.as_bytes()).await.expect("written");
    next_completion(events).await
}

/// More than the socket buffers of both sides hold, so that the request can't be written completely.
const HUGE_BODY_BYTES: usize = 1 << 26;
const WITH_INFORMATIONAL: &str = "HTTP/1.1 102 On\r\n\r\nHTTP/1.1 103 Hint\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\
    X-Units-Charged: 3\r\nX-Pressure: {\"queue\":2,\"util\":0.5,\"odd\":1}\r\nContent-Length: 4\r\n\r\ndone";
const SUCCESS: &str = "HTTP/1.1 200 OK\r\nX-Units-Charged: 3\r\nX-Pressure: {\"queue\":2,\"util\":0.5,\"odd\":1}\r\n\
    Content-Length: 4\r\n\r\ndone";

#[test_case(SUCCESS => (AttemptOutcome::Success, true) ; "a successful response")]
#[test_case("HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n" => (AttemptOutcome::Error, true) ; "an error")]
#[test_case("HTTP/1.1 503 Odd\r\nContent-Length: 0\r\n\r\n" => (AttemptOutcome::Error, true) ; "503 without the rejection header: it may have run")]
#[test_case("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n" => (AttemptOutcome::Rejected, true) ; "rejected")]
#[test_case("HTTP/1.1 504 Over\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n" => (AttemptOutcome::Rejected, true) ; "rejected after its deadline")]
#[test_case("HTTP/1.1 500 Odd\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n" => (AttemptOutcome::Error, true) ; "the header alone proves nothing")]
#[test_case("" => (AttemptOutcome::ConnectionLost, false) ; "no response")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo" => (AttemptOutcome::ConnectionLost, false) ; "half a response")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" => (AttemptOutcome::ConnectionLost, false) ; "a response longer than the maximum")]
#[test_case("HTTP/1.1 200 OK\r\n\r\ndone" => (AttemptOutcome::Success, false) ; "a response that ends with the connection")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" => (AttemptOutcome::ConnectionLost, false) ; "a known length, cut after the head")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" => (AttemptOutcome::ConnectionLost, false) ; "chunked, cut after the head")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4" => (AttemptOutcome::ConnectionLost, false) ; "chunked, cut within the size line")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo" => (AttemptOutcome::ConnectionLost, false) ; "chunked, cut within a chunk")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n" => (AttemptOutcome::ConnectionLost, false) ; "chunked, cut before the last chunk")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n" => (AttemptOutcome::ConnectionLost, false) ; "chunked, cut before the final CRLF")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n" => (AttemptOutcome::Success, true) ; "chunked")]
#[test_case("HTTP/1.1 500 Odd\r\n\r\nodd" => (AttemptOutcome::Error, false) ; "an error that ends with the connection")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\ndone" => (AttemptOutcome::ConnectionLost, false) ; "two different lengths")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
    => (AttemptOutcome::ConnectionLost, false) ; "a length and chunked encoding")]
#[test_case("HTTP/1.1 101 Other\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" => (AttemptOutcome::ConnectionLost, false) ; "switch to another protocol")]
#[test_case(WITH_INFORMATIONAL => (AttemptOutcome::Success, true) ; "informational responses before the final one")]
#[test_case("gibberish\r\n\r\n" => (AttemptOutcome::ConnectionLost, false) ; "not HTTP")]
#[tokio::test]
async fn response_or_missing_response_decides_the_outcome_of_a_written_attempt(
    response: &str,
) -> (AttemptOutcome, bool) {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    let (_connection, mut stream) = start_and_receive(&listener, &mut pool, 1).await;
    stream
        .write_all(response.as_bytes())
        .await
        .expect("written");
    drop(stream);
    let completion = next_completion(&mut events).await;
    if completion.outcome == AttemptOutcome::Success && response == WITH_INFORMATIONAL {
        let load = LoadReport {
            queued: Some(2.0),
            utilization: Some(0.5),
            ..LoadReport::default()
        };
        assert_eq!((completion.units, completion.load), (Some(3.0), load));
        let upstream_response = completion.upstream_response.expect("a response");
        assert_eq!(&upstream_response.body[..], b"done");
        assert!(upstream_response.headers.get(LOAD).is_none());
    }
    (completion.outcome, completion.reusable)
}

#[tokio::test]
async fn refused_connection_proves_that_nothing_ran() {
    let (listener, address) = listener().await;
    drop(listener);
    let (mut pool, mut events) = pool(address, 4);
    let _connection = pool.start_attempt(ServerIndex(0), attempt(1, 1, LONG));
    assert_eq!(
        next_completion(&mut events).await.outcome,
        AttemptOutcome::ConnectionRefused
    );
}

#[test_case(HUGE_BODY_BYTES, true, AttemptOutcome::Rejected ; "the server closes before the last byte")]
#[test_case(HUGE_BODY_BYTES, false, AttemptOutcome::NotSent ; "the deadline passes before the last byte")]
#[test_case(1, true, AttemptOutcome::ConnectionLost ; "the server closes after the last byte")]
#[test_case(1, false, AttemptOutcome::DeadlineExceeded ; "the deadline passes after the last byte")]
#[tokio::test]
async fn interruption_before_the_last_byte_proves_that_nothing_ran(
    body_bytes: usize,
    server_closes: bool,
    outcome: AttemptOutcome,
) {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    let within = if server_closes {
        LONG
    } else {
        Duration::from_millis(300)
    };
    let _connection = pool.start_attempt(ServerIndex(0), attempt(1, body_bytes, within));
    let mut stream = accept(&listener).await;
    assert!(stream.read(&mut [0; 64]).await.expect("the first bytes") > 0);
    if server_closes && body_bytes == 1 {
        read_request(&mut stream).await;
    }
    let kept_open = (!server_closes).then_some(stream);
    let completion = next_completion(&mut events).await;
    assert_eq!((completion.outcome, completion.reusable), (outcome, false));
    drop(kept_open);
}

#[tokio::test]
async fn cancelled_attempt_is_closed_before_its_result_is_reported() {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    let (connection, stream) = start_and_receive(&listener, &mut pool, 5).await;
    // A command for an attempt that has ended has no effect on the current one.
    connection.cancel(AttemptId(4));
    connection.cancel(AttemptId(5));
    assert_eq!(
        next_completion(&mut events).await.outcome,
        AttemptOutcome::Cancelled
    );
    assert_eq!(
        stream
            .try_read(&mut [0; 8])
            .expect("the connection is already closed"),
        0
    );
}

/// The attempt waits for its connection to be established. Attempts that have started may not be cancelled; this one
/// has not, and is.
#[tokio::test]
async fn attempt_that_has_not_started_is_cancelled_for_a_disconnected_client() {
    let full_listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    full_listener
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("a free port");
    full_listener.listen(0).expect("listens");
    let address = full_listener
        .local_addr()
        .ok()
        .and_then(|address| address.as_socket())
        .expect("bound");
    // This connection fills the accept queue: further ones are established only once it is accepted.
    let _queued = std::net::TcpStream::connect(address).expect("the only queue entry");
    let (mut pool, mut events) = pool(address, 4);
    pool.limits.connect_timeout = LONG;
    let connection = pool
        .start_attempt(ServerIndex(0), attempt(7, 1, LONG))
        .expect("a connection");
    // A command for another attempt has no effect on this one.
    connection.cancel_if_not_started(AttemptId(6));
    connection.cancel_if_not_started(AttemptId(7));
    assert_eq!(
        next_completion(&mut events).await.outcome,
        AttemptOutcome::NotSent
    );
}

/// Where started attempts may not be cancelled, the server completes its work and the attempt succeeds.
#[tokio::test]
async fn attempt_that_has_started_continues_for_a_disconnected_client() {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    let (connection, mut stream) = start_and_receive(&listener, &mut pool, 5).await;
    connection.cancel_if_not_started(AttemptId(5));
    assert_eq!(
        respond_and_complete(&mut stream, &mut events).await.outcome,
        AttemptOutcome::Success
    );
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"queue\":3}" => (true, Some(3.0)) ; "answered")]
#[test_case("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" => (false, None) ; "error status")]
#[test_case("" => (false, None) ; "no response")]
#[tokio::test]
async fn health_check_reports_the_load(response: &str) -> (bool, Option<f64>) {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    pool.start_health_check(ServerIndex(0));
    let mut stream = accept(&listener).await;
    let mut bytes = vec![0; 64];
    let length = stream.read(&mut bytes).await.expect("a request");
    assert!(bytes[..length].starts_with(b"GET /metrics/load HTTP/1.1\r\n"));
    stream
        .write_all(response.as_bytes())
        .await
        .expect("written");
    match timeout(LONG, events.recv()).await {
        Ok(Some(Event::HealthCheck(answer))) => (answer.answered, answer.load.queued),
        other => panic!("{other:?}"),
    }
}

#[test]
fn hop_by_hop_headers_are_removed() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "x-own, close"),
        ("x-own", "1"),
        ("te", "gzip"),
        ("x-kept", "1"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    strip_hop_by_hop(&mut headers);
    assert_eq!(
        headers.keys().map(HeaderName::as_str).collect::<Vec<_>>(),
        ["x-kept"]
    );
}

/// Guards against a retry that reaches a server after the servers have forgotten its idempotency key. After the write
/// deadline nothing of the attempt is written, or at least not its last byte, so it provably never ran.
#[test_case(true, 1 ; "on an idle connection")]
#[test_case(false, 1 ; "on a new connection")]
#[test_case(true, HUGE_BODY_BYTES ; "on a connection that takes a part of it")]
#[tokio::test]
async fn nothing_is_written_after_the_write_deadline(idle: bool, body_bytes: usize) {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    let mut server = None;
    if idle {
        let (connection, mut stream) = start_and_receive(&listener, &mut pool, 1).await;
        respond_and_complete(&mut stream, &mut events).await;
        pool.return_connection(ServerIndex(0), connection);
        server = Some(stream);
    }
    let write_deadline = match body_bytes {
        HUGE_BODY_BYTES => Some(Instant::now() + Duration::from_millis(50)),
        _ => Some(Instant::now()),
    };
    let _connection = pool
        .start_attempt(
            ServerIndex(0),
            Attempt {
                write_deadline,
                ..attempt(2, body_bytes, 3 * LONG)
            },
        )
        .expect("a connection");
    assert_eq!(
        next_completion(&mut events).await.outcome,
        AttemptOutcome::NotSent
    );
    let mut read = Vec::new();
    if let Some(stream) = &mut server {
        let _ = timeout(LONG, stream.read_to_end(&mut read))
            .await
            .expect("closed");
    }
    assert!(read.len() < body_bytes, "{}", read.len());
}

/// Guards against abandoning a retry with an idempotency key when its key expires, although it was written completely
/// before and its server is still working on it.
#[tokio::test]
async fn response_is_awaited_after_the_write_deadline_of_a_written_attempt() {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    let write_within = Duration::from_millis(200);
    let _connection = pool
        .start_attempt(
            ServerIndex(0),
            Attempt {
                write_deadline: Some(Instant::now() + write_within),
                ..attempt(1, 1, 3 * LONG)
            },
        )
        .expect("a connection");
    let (mut stream, _) = listener.accept().await.expect("a connection");
    assert!(stream.read(&mut [0; 1024]).await.expect("a request") > 0);
    sleep(2 * write_within).await;
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    let _ = stream.write_all(response).await;
    assert_eq!(
        next_completion(&mut events).await.outcome,
        AttemptOutcome::Success
    );
}
