//! Tests of the literal bytes of each kind of response, which must not change for clients.

use super::*;
use crate::messages::{ClientResponse, UpstreamResponse};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use std::io::Read;
use test_case::test_case;

/// Replaces the Date header of responses and has the same length.
const FIXED_DATE: &str = "date: Thu, 01 Jan 1970 00:00:00 GMT\r\n";

/// Settings with one class for GET, `look`, and one for POST, `pay`.
fn settings_with_two_classes() -> Settings {
    let settings = serde_json::json!({"packages": [{"name": "team"}], "balancers": 1, "classes": [
        {"name": "look", "idempotency": "read_like", "hardLimitS": 9},
        {"name": "pay", "idempotency": "non_idempotent", "hardLimitS": 9}]});
    SettingsTree::from_json(&settings)
        .and_then(|paths| Settings::read(&paths))
        .expect("valid settings")
}

/// A request's text. `first` is the request line without the version, `framing` further header lines.
fn request(first: &str, remaining: &str, framing: &str, body: &str) -> String {
    format!(
        "{first} HTTP/1.1\r\nX-Txn: 9b\r\nX-Plan: team\r\nX-Remaining: {remaining}\r\n\
        X-Quota: units=1,spread=1,first=0\r\n{framing}\r\n{body}"
    )
}

/// Sends a request and returns as many bytes of the response as `expected` has, with the date replaced. If `response` is
/// given, the event loop's side sends it.
async fn exchange(
    limits: Limits,
    request: &str,
    response: Option<ClientResponse>,
    expected: &str,
) -> String {
    let (mut client, stream) = connect_client(request.as_bytes()).expect("client connected");
    client
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("read timeout set");
    let (client_listener, mut events) = new_listener(limits, settings_with_two_classes());
    client_listener.started.store(true, Ordering::Relaxed);
    let _served = spawn_serving(&client_listener, stream);
    if let Some(response) = response {
        let Event::Request(incoming) = next_event(&mut events).await else {
            panic!("no request")
        };
        incoming
            .response_sender
            .send(response)
            .expect("the client is waiting");
    }
    let length = expected.len();
    let read = tokio::task::spawn_blocking(move || {
        let mut bytes = Vec::new();
        let mut piece = [0; 4096];
        while bytes.len() < length {
            match client.read(&mut piece) {
                Ok(count @ 1..) => bytes.extend_from_slice(&piece[..count]),
                _ => break,
            }
        }
        String::from_utf8(bytes).expect("text")
    });
    with_fixed_date(&read.await.expect("read"))
}

/// A response's text with the date replaced.
fn with_fixed_date(text: &str) -> String {
    let (before, date) = text.split_once("date: ").expect("response has a date");
    format!(
        "{before}{FIXED_DATE}{}",
        &date[FIXED_DATE.len() - "date: ".len()..]
    )
}

/// Everything that a client receives until its connection ends, with the date replaced.
async fn read_to_end(mut client: std::net::TcpStream) -> String {
    let read = tokio::task::spawn_blocking(move || {
        let mut text = String::new();
        client.read_to_string(&mut text).map(|_| text)
    });
    with_fixed_date(&read.await.expect("read").expect("no reset"))
}

#[tokio::test]
async fn successful_response_passes_on_the_upstream_headers() {
    const EXPECTED: &str = "HTTP/1.1 200 OK\r\nx-kind: blue\r\nx-units-charged: 2\r\ncontent-length: 4\r\n\
        date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\ndone";
    let mut headers = HeaderMap::new();
    headers.insert(
        HeaderName::from_static("x-kind"),
        HeaderValue::from_static("blue"),
    );
    headers.insert(
        HeaderName::from_static("x-units-charged"),
        HeaderValue::from_static("2"),
    );
    let response = ClientResponse::Success(UpstreamResponse {
        headers,
        body: Bytes::from_static(b"done"),
        streaming_body: None,
    });
    let request = request("GET /look?key=7", "8000m", "", "");
    let text = exchange(limits(), &request, Some(response), EXPECTED).await;
    assert_eq!(text, EXPECTED);
}

#[test_case(ClientResponse::Rejected(Some(Duration::from_millis(1250))),
    "HTTP/1.1 429 Too Many Requests\r\nretry-after: 1.250\r\ncontent-length: 0\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n" ; "rejected with a time to retry after")]
#[test_case(ClientResponse::Rejected(None),
    "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n" ; "rejected without a time")]
#[test_case(ClientResponse::Failed,
    "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 7\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\nfailed\n" ; "failed")]
#[tokio::test]
async fn response_of_the_event_loop_has_its_literal_bytes(
    response: ClientResponse,
    expected: &str,
) {
    let request = request("GET /look?key=7", "8000m", "", "");
    let text = exchange(limits(), &request, Some(response), expected).await;
    assert_eq!(text, expected);
}

#[test_case("GET /up", "", "",
    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n" ; "serving")]
#[test_case("GET /look", "", "",
    "HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 37\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\nkey is missing or stands there twice\n" ; "undecodable")]
#[test_case("POST /pay?key=7", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "",
    "HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 65\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n\
    transfer-encoding and content-length: send one of them, not both\n" ; "ambiguous framing")]
#[test_case("POST /pay?key=7", "Transfer-Encoding: gzip, chunked\r\n", "",
    "HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 78\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n\
    transfer-encoding: send 'chunked' alone and once, or a content-length instead\n" ; "unknown coding")]
#[test_case("GET /look?key=7", "Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n\r\n",
    "HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 40\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\na repeatable class comes without a body\n" ; "body not allowed")]
#[test_case("POST /pay?key=7", "Content-Length: 65537\r\n", "",
    "HTTP/1.1 413 Payload Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n" ; "body too long")]
#[test_case("POST /pay?key=7", "Content-Length: 10\r\n", "half",
    "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n" ; "body incomplete in time")]
#[tokio::test]
async fn response_without_the_event_loop_has_its_literal_bytes(
    first: &str,
    framing: &str,
    body: &str,
    expected: &str,
) {
    let request = request(first, "50m", framing, body);
    let text = exchange(limits(), &request, None, expected).await;
    assert_eq!(text, expected);
}

#[test_case(0, 1 << 20,
    "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 21\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\ntoo many connections\n" ; "over the connection limit")]
#[test_case(9, 0,
    "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 17\r\n\
    date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\ntoo much in hand\n" ; "over the memory of bodies")]
#[tokio::test]
async fn response_over_a_limit_has_its_literal_bytes(
    served_connections: usize,
    body_bytes: usize,
    expected: &str,
) {
    let mut limits = limits();
    limits.client.max_served_connections = served_connections;
    limits.client.max_buffered_body_bytes = body_bytes;
    let request = request("POST /pay?key=7", "8000m", "Content-Length: 4\r\n", "body");
    let text = exchange(limits, &request, None, expected).await;
    assert_eq!(text, expected);
}

#[tokio::test]
async fn response_to_an_id_in_flight_has_its_literal_bytes() {
    const EXPECTED: &str = "HTTP/1.1 409 Conflict\r\nconnection: close\r\ncontent-length: 26\r\n\
        date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\nx-txn: such a job is open\n";
    let text = request("GET /look?key=7", "8000m", "", "");
    let (client, stream) = connect_client(text.as_bytes()).expect("client connected");
    let (client_listener, mut events) = serving_listener(limits());
    let id = HeaderValue::from_static("9b");
    let _permit = client_listener
        .permits
        .admit(&id, None, None)
        .expect("id is free");
    let _served = spawn_serving(&client_listener, stream);
    assert_eq!(read_to_end(client).await, EXPECTED);
    assert!(events.try_recv().is_err());
}

#[tokio::test]
async fn response_to_up_before_the_start_has_its_literal_bytes() {
    const EXPECTED: &str = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\
        date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n";
    let (client, stream) =
        connect_client(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n").expect("client connected");
    let (client_listener, _events) = serving_listener(limits());
    client_listener.started.store(false, Ordering::Relaxed);
    let _served = spawn_serving(&client_listener, stream);
    assert_eq!(read_to_end(client).await, EXPECTED);
}
