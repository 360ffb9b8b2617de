mod idle_connections;

use super::message::{PRESSURE, encode, wire_length};
use super::*;
use crate::messages::AttemptCompletion;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use merlinreel_policy::{AttemptOutcome, LoadReport};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const LONG: Duration = Duration::from_secs(20);

fn parcel(body: usize) -> Arc<UpstreamRequest> {
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
        body: Bytes::from(vec![b'x'; body]),
        claim: None,
    })
}

fn attempt(serial: u64, body: usize, within: Duration) -> Attempt {
    let started = Instant::now();
    Attempt {
        serial,
        parcel: parcel(body),
        started,
        until: started + within,
        begins_by: None,
    }
}

/// The servers with one at that address.
fn servers(address: SocketAddr, slots: usize) -> (UpstreamPool, mpsc::Receiver<Event>) {
    let settings =
        serde_json::json!({"report": {"how": "answers"}, "policyLimits": {"probes": true}});
    let paths = merlinreel_settings::SettingsTree::from_json(&settings);
    let terms = paths
        .and_then(|paths| merlinreel_settings::Settings::read(&paths))
        .expect("sound");
    let limits = Limits {
        servers: slots,
        ..Limits::new(1024, 192, &terms).expect("room")
    };
    let (queue, news) = mpsc::channel(16);
    let mut servers = UpstreamPool::new(limits, &terms, queue, Metrics::new(&[]));
    servers.list(list(address, EndpointState::Ready), true);
    (servers, news)
}

fn list(address: SocketAddr, standing: EndpointState) -> DiscoveryUpdate {
    let (name, zone) = ("s-1".to_owned(), "a".to_owned());
    let listed = merlinreel_discovery::DiscoveredEndpoint {
        name,
        address,
        zone,
        cell: 0,
        state: standing,
        weight: 1.0,
        started_at: None,
    };
    DiscoveryUpdate {
        version: 1,
        complete: true,
        servers: vec![listed],
    }
}

async fn end(news: &mut mpsc::Receiver<Event>) -> AttemptCompletion {
    match timeout(LONG, news.recv()).await {
        Ok(Some(Event::AttemptCompleted(end))) => end,
        other => panic!("{other:?}"),
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

/// Reads one request, which ends as its body does.
async fn request(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"x") {
        assert!(stream.read_buf(&mut bytes).await.expect("a request") > 0);
    }
    bytes
}

/// An attempt that has reached the server.
async fn begun(
    listener: &TcpListener,
    servers: &mut UpstreamPool,
    serial: u64,
) -> (ConnectionHandle, TcpStream) {
    let link = servers.send(0, attempt(serial, 1, LONG)).expect("a slot");
    let mut stream = accept(listener).await;
    request(&mut stream).await;
    (link, stream)
}

/// The server answers it.
async fn done(stream: &mut TcpStream, news: &mut mpsc::Receiver<Event>) -> AttemptCompletion {
    stream.write_all(GOOD.as_bytes()).await.expect("written");
    end(news).await
}

/// More than the buffers of both sides hold.
const HUGE: usize = 1 << 26;
const INFORMED: &str = "HTTP/1.1 102 On\r\n\r\nHTTP/1.1 103 Hint\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\
    X-Units-Charged: 3\r\nX-Pressure: {\"queue\":2,\"util\":0.5,\"odd\":1}\r\nContent-Length: 4\r\n\r\ndone";
const GOOD: &str = "HTTP/1.1 200 OK\r\nX-Units-Charged: 3\r\nX-Pressure: {\"queue\":2,\"util\":0.5,\"odd\":1}\r\n\
    Content-Length: 4\r\n\r\ndone";

#[test_case(GOOD => (AttemptOutcome::Success, true) ; "a good answer")]
#[test_case("HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n" => (AttemptOutcome::Error, true) ; "an error")]
#[test_case("HTTP/1.1 503 Odd\r\nContent-Length: 0\r\n\r\n" => (AttemptOutcome::Error, true) ; "unavailable, but it may have run")]
#[test_case("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n" => (AttemptOutcome::Rejected, true) ; "turned away")]
#[test_case("HTTP/1.1 504 Over\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n" => (AttemptOutcome::Rejected, true) ; "over already")]
#[test_case("HTTP/1.1 500 Odd\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n" => (AttemptOutcome::Error, true) ; "the header alone proves nothing")]
#[test_case("" => (AttemptOutcome::ConnectionLost, false) ; "no answer")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo" => (AttemptOutcome::ConnectionLost, false) ; "half an answer")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" => (AttemptOutcome::ConnectionLost, false) ; "too long an answer")]
#[test_case("HTTP/1.1 200 OK\r\n\r\ndone" => (AttemptOutcome::Success, false) ; "an answer that ends with the connection")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" => (AttemptOutcome::ConnectionLost, false) ; "a told length, its head alone")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" => (AttemptOutcome::ConnectionLost, false) ; "chunked, its head alone")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4" => (AttemptOutcome::ConnectionLost, false) ; "chunked, within the size line")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo" => (AttemptOutcome::ConnectionLost, false) ; "chunked, within a chunk")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n" => (AttemptOutcome::ConnectionLost, false) ; "chunked, before the last chunk")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n" => (AttemptOutcome::ConnectionLost, false) ; "chunked, short of its last line end")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n" => (AttemptOutcome::Success, true) ; "chunked")]
#[test_case("HTTP/1.1 500 Odd\r\n\r\nodd" => (AttemptOutcome::Error, false) ; "an error that ends with the connection")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\ndone" => (AttemptOutcome::ConnectionLost, false) ; "two lengths")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
    => (AttemptOutcome::ConnectionLost, false) ; "a length and pieces")]
#[test_case("HTTP/1.1 101 Other\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" => (AttemptOutcome::ConnectionLost, false) ; "another protocol")]
#[test_case(INFORMED => (AttemptOutcome::Success, true) ; "told first that it goes on")]
#[test_case("gibberish\r\n\r\n" => (AttemptOutcome::ConnectionLost, false) ; "no answer in HTTP")]
#[tokio::test]
async fn what_comes_back_after_the_last_byte(text: &str) -> (AttemptOutcome, bool) {
    let (listener, address) = listener().await;
    let (mut servers, mut news) = servers(address, 4);
    let (_link, mut stream) = begun(&listener, &mut servers, 1).await;
    stream.write_all(text.as_bytes()).await.expect("written");
    drop(stream);
    let end = end(&mut news).await;
    if end.outcome == AttemptOutcome::Success && text == INFORMED {
        let load = LoadReport {
            queued: Some(2.0),
            utilization: Some(0.5),
            ..LoadReport::default()
        };
        assert_eq!((end.units, end.load), (Some(3.0), load));
        let delivery = end.delivery.expect("an answer");
        assert_eq!(&delivery.body[..], b"done");
        assert!(delivery.headers.get(PRESSURE).is_none());
    }
    (end.outcome, end.reusable)
}

#[tokio::test]
async fn a_connection_that_never_comes_up_proves_that_nothing_ran() {
    let (listener, address) = listener().await;
    drop(listener);
    let (mut servers, mut news) = servers(address, 4);
    let _link = servers.send(0, attempt(1, 1, LONG));
    assert_eq!(
        end(&mut news).await.outcome,
        AttemptOutcome::ConnectionRefused
    );
}

#[test_case(HUGE, true, AttemptOutcome::Rejected ; "the server closes before the last byte")]
#[test_case(HUGE, false, AttemptOutcome::NotSent ; "the time is over before the last byte")]
#[test_case(1, true, AttemptOutcome::ConnectionLost ; "the server closes after it")]
#[test_case(1, false, AttemptOutcome::DeadlineExceeded ; "the time is over after it")]
#[tokio::test]
async fn the_last_byte_tells_what_may_have_run(body: usize, closes: bool, outcome: AttemptOutcome) {
    let (listener, address) = listener().await;
    let (mut servers, mut news) = servers(address, 4);
    let within = if closes {
        LONG
    } else {
        Duration::from_millis(300)
    };
    let _link = servers.send(0, attempt(1, body, within));
    let mut stream = accept(&listener).await;
    assert!(stream.read(&mut [0; 64]).await.expect("the beginning") > 0);
    if closes && body == 1 {
        request(&mut stream).await;
    }
    let held = (!closes).then_some(stream);
    let end = end(&mut news).await;
    assert_eq!((end.outcome, end.reusable), (outcome, false));
    drop(held);
}

#[tokio::test]
async fn an_abandoned_attempt_is_closed_before_its_end_is_told() {
    let (listener, address) = listener().await;
    let (mut servers, mut news) = servers(address, 4);
    let (link, stream) = begun(&listener, &mut servers, 5).await;
    // An order for an attempt that is over is none for this one.
    link.abandon(4);
    link.abandon(5);
    assert_eq!(end(&mut news).await.outcome, AttemptOutcome::Cancelled);
    assert_eq!(
        stream
            .try_read(&mut [0; 8])
            .expect("the end is there already"),
        0
    );
}

/// Nothing is written for a client that has gone: its attempt's connection comes up late, and the attempt may not be
/// cancelled once it has begun.
#[tokio::test]
async fn an_attempt_that_has_not_begun_is_withdrawn() {
    let full =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    full.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("a free port");
    full.listen(0).expect("listens");
    let address = full
        .local_addr()
        .ok()
        .and_then(|address| address.as_socket())
        .expect("bound");
    // The one place of its queue is taken: further connections come up only once it is accepted.
    let _place = std::net::TcpStream::connect(address).expect("the one place");
    let (mut servers, mut news) = servers(address, 4);
    servers.limits.connect = LONG;
    let link = servers.send(0, attempt(7, 1, LONG)).expect("a slot");
    // An order for another attempt is none for this one.
    link.withdraw(6);
    link.withdraw(7);
    assert_eq!(end(&mut news).await.outcome, AttemptOutcome::NotSent);
}

/// One that has begun goes on: where attempts may not be cancelled its server works for it.
#[tokio::test]
async fn an_attempt_that_has_begun_is_not_withdrawn() {
    let (listener, address) = listener().await;
    let (mut servers, mut news) = servers(address, 4);
    let (link, mut stream) = begun(&listener, &mut servers, 5).await;
    link.withdraw(5);
    assert_eq!(
        done(&mut stream, &mut news).await.outcome,
        AttemptOutcome::Success
    );
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"queue\":3}" => (true, Some(3.0)) ; "answered")]
#[test_case("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" => (false, None) ; "not well")]
#[test_case("" => (false, None) ; "silent")]
#[tokio::test]
async fn a_probe(text: &str) -> (bool, Option<f64>) {
    let (listener, address) = listener().await;
    let (mut servers, mut news) = servers(address, 4);
    servers.probe(0);
    let mut stream = accept(&listener).await;
    let mut bytes = vec![0; 64];
    let length = stream.read(&mut bytes).await.expect("a request");
    assert!(bytes[..length].starts_with(b"GET /metrics/load HTTP/1.1\r\n"));
    stream.write_all(text.as_bytes()).await.expect("written");
    match timeout(LONG, news.recv()).await {
        Ok(Some(Event::HealthCheck(answer))) => (answer.answered, answer.load.queued),
        other => panic!("{other:?}"),
    }
}

#[test]
fn headers_of_one_connection_are_not_passed_on() {
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

/// A repeat of a keyed job whose servers forget the key at that moment: on a connection that rests, on a new one, and
/// on one that took a part of it. None of it is written after, or its last byte is not; all are proven never to have run.
#[test_case(true, 1 ; "on a connection that rests")]
#[test_case(false, 1 ; "on a new one")]
#[test_case(true, HUGE ; "one that takes a part of it")]
#[tokio::test]
async fn nothing_is_written_once_the_key_may_be_forgotten(rests: bool, body: usize) {
    let (listener, address) = listener().await;
    let (mut servers, mut news) = servers(address, 4);
    let mut server = None;
    if rests {
        let (link, mut stream) = begun(&listener, &mut servers, 1).await;
        done(&mut stream, &mut news).await;
        servers.keep(0, link);
        server = Some(stream);
    }
    let begins_by = match body {
        HUGE => Some(Instant::now() + Duration::from_millis(50)),
        _ => Some(Instant::now()),
    };
    let _link = servers
        .send(
            0,
            Attempt {
                begins_by,
                ..attempt(2, body, 3 * LONG)
            },
        )
        .expect("a slot");
    assert_eq!(end(&mut news).await.outcome, AttemptOutcome::NotSent);
    let mut read = Vec::new();
    if let Some(stream) = &mut server {
        let _ = timeout(LONG, stream.read_to_end(&mut read))
            .await
            .expect("closed");
    }
    assert!(read.len() < body, "{}", read.len());
}
