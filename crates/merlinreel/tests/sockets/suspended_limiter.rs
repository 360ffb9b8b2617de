//! A stalled limiter must not blame its clients or servers for its own delay: data that arrived before its
//! deadline counts, although the limiter read it after its stall.

use merlinreel_testkit::*;
use std::thread;
use std::time::Duration;
use test_case::test_case;

/// By then a body whose head came first is due.
const BODY_TIMEOUT: Duration = Duration::from_millis(2200);
/// Long enough for bytes on loopback to arrive, and for a running limiter to read them.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// A limiter before a server that answers everything.
fn started() -> (ScriptedServer, Program) {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    (server, program)
}

/// Runs `during` while the limiter is suspended, for this long at least.
fn suspend(program: &Program, at_least: Duration, during: impl FnOnce()) {
    program.signal("-STOP");
    during();
    thread::sleep(at_least);
    program.signal("-CONT");
}

/// A request's head up to its body, framed as `framing` says.
fn head(class: &str, framing: &str) -> String {
    request(class, 7, 1, "4000m")
        .replace("Content-Length: 6\r\n", framing)
        .replace("a body", "")
}

/// A body of so many chunks of a byte, and its end.
fn chunks_of_a_byte(count: usize) -> String {
    "1\r\nx\r\n".repeat(count) + "0\r\n\r\n"
}

/// Guards against 408 for a body that lay in the socket at its deadline, because the limiter was late.
#[test_case("Transfer-Encoding: chunked\r\n", "1\r\nx\r\n", &chunks_of_a_byte(999) ; "chunked")]
#[test_case("Content-Length: 30000\r\n", "x", &"x".repeat(29_999) ; "of announced length")]
fn body_that_arrived_in_time_is_served_after_a_suspension_past_its_deadline(
    framing: &str,
    first_part: &str,
    rest: &str,
) {
    let (server, program) = started();
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

/// Guards against another full timeout for every client of a limiter that stalled: a body that stays incomplete is ended
/// soon after the suspension.
#[test]
fn incomplete_body_is_ended_soon_after_a_suspension_past_its_deadline() {
    let (server, program) = started();
    let mut client = program.client();
    client.send(&(head("pay", "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n"));
    thread::sleep(ARRIVAL_TIME);
    suspend(&program, BODY_TIMEOUT, || client.send("1\r\nx\r\n"));
    client
        .set_read_timeout(Duration::from_secs(1))
        .expect("a time-out");
    assert_eq!(
        client.receive().map(|response| response.status()),
        Some(408)
    );
    assert!(server.requests.try_recv().is_err());
}

/// Guards against a connection that is evicted with no response, its request unread, because the limiter was late and a
/// crowd wants its place.
#[test]
fn request_that_arrived_in_time_is_not_evicted_after_a_suspension() {
    const CROWD: usize = 200;
    let (_server, program) = started();
    let mut client = program.client();
    client.send(&(head("pay", "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n"));
    thread::sleep(ARRIVAL_TIME);
    let mut crowd = Vec::new();
    suspend(&program, Duration::from_millis(500), || {
        client.send(&chunks_of_a_byte(60_000));
        crowd.extend((0..CROWD).map_while(|_| {
            Client::connect_within(program.address, Duration::from_millis(100)).ok()
        }));
    });
    assert_eq!(
        client.receive().map(|response| response.status()),
        Some(200)
    );
}

/// Guards against a response that is discarded, and its server blamed, because the attempt's deadline passed while the
/// limiter stalled: the response had arrived in the socket receive buffer in time.
#[test_case("look")]
#[test_case("pay")]
fn response_that_arrived_in_time_is_passed_on_after_a_suspension_past_the_attempt_s_deadline(
    class: &str,
) {
    const PIECES: usize = 4;
    let server = ScriptedServer::start(|_| {
        Reaction::Trickle(Trickle {
            head: format!("HTTP/1.1 200 OK\r\nContent-Length: {PIECES}\r\n\r\n"),
            piece: "x",
            every: Duration::from_millis(50),
            pieces: PIECES,
        })
    });
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    client.send(&request(class, 7, 1, "1000m"));
    server.next_request();
    suspend(&program, Duration::from_millis(1200), || {});
    let response = client.receive().expect("a response");
    assert_eq!(response.status(), 200);
    assert_eq!(response.body, "x".repeat(PIECES));
}
