//! A suspended limiter, and what arrived in its sockets meanwhile: a stall of the limiter must not count against clients or
//! servers.

use merlinreel_testkit::*;
use std::thread;
use std::time::Duration;
use test_case::test_case;

/// Time after which an incomplete body has timed out, counted from the start of a connection whose head arrived at once.
const BODY_TIMEOUT: Duration = Duration::from_millis(2200);
/// Long enough for bytes to arrive over loopback and to be read by a running limiter.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// Starts a server that responds with status 200 to every request, and a limiter in front of it.
fn start_server_and_limiter() -> (ScriptedServer, Program) {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    (server, program)
}

/// Suspends the limiter, runs `during`, and continues the limiter `at_least` later.
fn suspend(program: &Program, at_least: Duration, during: impl FnOnce()) {
    program.signal("-STOP");
    during();
    thread::sleep(at_least);
    program.signal("-CONT");
}

/// The head of a request, with `framing` in place of its `Content-Length` header.
fn head(class: &str, framing: &str) -> String {
    request(class, 7, 1, "4000m")
        .replace("Content-Length: 6\r\n", framing)
        .replace("a body", "")
}

/// The encoded end of a chunked body: `count` chunks of one byte each, and the last chunk.
fn one_byte_chunks(count: usize) -> String {
    "1\r\nx\r\n".repeat(count) + "0\r\n\r\n"
}

/// A body that arrived in time is served, although the limiter was suspended past the body's deadline and reads it from the
/// socket buffer only then. Otherwise the client would get status 408 for the limiter's stall.
#[test_case("Transfer-Encoding: chunked\r\n", "1\r\nx\r\n", &one_byte_chunks(999) ; "chunked")]
#[test_case("Content-Length: 30000\r\n", "x", &"x".repeat(29_999) ; "content length")]
fn body_that_arrived_in_time_is_served_after_a_suspension_past_its_deadline(
    framing: &str,
    first_part: &str,
    rest: &str,
) {
    let (server, program) = start_server_and_limiter();
    let mut client = program.client();
    client.send(&(head("pay", framing) + first_part));
    thread::sleep(ARRIVAL_TIME);
    suspend(&program, BODY_TIMEOUT, || client.send(rest));
    assert_eq!(
        client.receive().map(|response| response.status()),
        Some(200)
    );
    let body = server.next_request().body;
    assert!(body.len() >= 1000 && body.bytes().all(|byte| byte == b'x'));
}

/// A body that stays incomplete is ended soon after a suspension past its deadline: the suspension must not give every
/// client the full timeout again.
#[test]
fn incomplete_body_is_ended_soon_after_a_suspension_past_its_deadline() {
    let (server, program) = start_server_and_limiter();
    let mut client = program.client();
    client.send(&(head("pay", "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n"));
    thread::sleep(ARRIVAL_TIME);
    suspend(&program, BODY_TIMEOUT, || client.send("1\r\nx\r\n"));
    client
        .set_read_timeout(Duration::from_secs(1))
        .expect("the read timeout is set");
    assert_eq!(
        client.receive().map(|response| response.status()),
        Some(408)
    );
    assert!(server.requests.try_recv().is_err());
}

/// A connection whose complete request is unread data in the socket buffer gets its response and is not evicted, although
/// the limiter was suspended and many new clients need connection slots.
#[test]
fn request_that_arrived_in_time_is_not_evicted_after_a_suspension() {
    const NEW_CLIENT_COUNT: usize = 200;
    let (_server, program) = start_server_and_limiter();
    let mut client = program.client();
    client.send(&(head("pay", "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n"));
    thread::sleep(ARRIVAL_TIME);
    let mut new_clients = Vec::new();
    suspend(&program, Duration::from_millis(500), || {
        client.send(&one_byte_chunks(60_000));
        new_clients.extend((0..NEW_CLIENT_COUNT).map_while(|_| {
            Client::connect_within(program.address, Duration::from_millis(100)).ok()
        }));
    });
    assert_eq!(
        client.receive().map(|response| response.status()),
        Some(200)
    );
}

/// A response that arrived in the socket buffer in time is forwarded, although the attempt's deadline passed while the
/// limiter was suspended. Otherwise it would be discarded and counted as a failure of its server.
#[test_case("look")]
#[test_case("pay")]
fn response_that_arrived_in_time_is_forwarded_after_a_suspension_past_the_attempt_deadline(
    class: &str,
) {
    const PIECE_COUNT: usize = 4;
    let server = ScriptedServer::start(|_| {
        Reaction::Trickle(Trickle {
            head: format!("HTTP/1.1 200 OK\r\nContent-Length: {PIECE_COUNT}\r\n\r\n"),
            piece: "x",
            interval: Duration::from_millis(50),
            pieces: PIECE_COUNT,
        })
    });
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    client.send(&request(class, 7, 1, "1000m"));
    server.next_request();
    suspend(&program, Duration::from_millis(1200), || {});
    let response = client.receive().expect("a response");
    assert_eq!(response.status(), 200);
    assert_eq!(response.body, "x".repeat(PIECE_COUNT));
}
