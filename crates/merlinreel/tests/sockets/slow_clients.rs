//! Clients that send slowly or have little time left.

use merlinreel_testkit::*;
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// A client that is just as fast as required is served, not cut off: it sends its head in 1.9 s, and its body of 64 KiB in
/// small pieces over another 1.1 s.
#[test]
fn slowest_allowed_request_is_served() {
    const BODY_BYTES: usize = 64 * 1024;
    const PIECE_COUNT: usize = 22;
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let text = request("pay", 7, 1, "3000m").replace(
        "Content-Length: 6",
        &format!("Content-Length: {BODY_BYTES}"),
    );
    let head = text.strip_suffix("a body").expect("a body");
    let (first, rest) = head.split_at(40);
    let mut client = program.client();
    client.send(first);
    thread::sleep(Duration::from_millis(1900));
    client.send(rest);
    let body = "x".repeat(BODY_BYTES);
    for piece in body.as_bytes().chunks(BODY_BYTES.div_ceil(PIECE_COUNT)) {
        thread::sleep(Duration::from_millis(50));
        client.send(&String::from_utf8_lossy(piece));
    }
    assert_eq!(
        client.receive().map(|response| response.status()),
        Some(200)
    );
    assert_eq!(server.next_request().body.len(), BODY_BYTES);
}

/// A request whose body stops arriving is ended within 3 s of the connection's start, however slow its head was. Otherwise
/// its client could hold the connection.
#[test_case(100 ; "after a fast head")]
#[test_case(1900 ; "after a slow head")]
fn stalled_body_is_ended_in_time(head_ms: u64) {
    let program = Program::start(&config(&[]));
    let text = request("pay", 7, 1, "3000m").replace("Content-Length: 6", "Content-Length: 60000");
    let (first, rest) = text.split_at(40);
    let (started_at, mut client) = (Instant::now(), program.client());
    client.send(first);
    thread::sleep(Duration::from_millis(head_ms));
    client.send(rest);
    assert!(
        client
            .receive()
            .is_none_or(|response| response.status() == 408)
    );
    assert!(
        started_at.elapsed() < Duration::from_secs(3),
        "{:?}",
        started_at.elapsed()
    );
}

/// A request with little remaining time gets a response soon. Its connection stays usable: the next request with enough
/// time is served.
#[test_case("0m")]
#[test_case("1u")]
#[test_case("4m")]
#[test_case("6m")]
fn request_with_little_remaining_time_is_answered_soon(remaining: &str) {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    for customer in 0..5 {
        let (started_at, class) = (
            Instant::now(),
            ["look", "put", "pay"][customer as usize % 3],
        );
        assert!(
            client
                .call(&request(class, customer, 1, remaining))
                .is_some()
        );
        assert!(
            started_at.elapsed() < Duration::from_millis(500),
            "{:?}",
            started_at.elapsed()
        );
    }
    assert_eq!(client.request("pay", 9, 1).status(), 200);
}

/// Guards against clients that keep others from being served by reading long responses slowly: each holds a connection to a
/// server until it has read its response.
#[test]
fn slow_readers_of_long_responses_leave_connections_for_others() {
    const SLOW_READERS: u32 = 95;
    const LONG_BYTES: usize = 8 << 20;
    /// Time in which the slow readers' responses have begun.
    const BEGIN_TIME: Duration = Duration::from_millis(1500);
    let long_body = "x".repeat(LONG_BYTES);
    let server = ScriptedServer::start(move |message| {
        if message.start_line.starts_with("POST") {
            response("200 OK", "", &long_body)
        } else {
            ok_response()
        }
    });
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["settings"]["packages"][0]["unitsPerS"] = 1000.into();
    let program = Program::start(&config);
    let mut slow_readers: Vec<Client> = (0..SLOW_READERS).map(|_| program.client()).collect();
    for (customer, reader) in (1..).zip(&mut slow_readers) {
        reader.send(&request("pay", customer, 1, "4000m"));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(BEGIN_TIME);
    assert_eq!(program.client().request("look", 1000, 1).status(), 200);
}
