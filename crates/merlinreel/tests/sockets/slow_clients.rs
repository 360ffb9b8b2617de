//! Clients that are slow, or have hardly any time, and are requests like others.

use merlinreel_testkit::*;
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// A head takes 1.9 s, and its body of 64 KiB another 1.1 s, a piece at a time: as slow as a client may be.
#[test]
fn a_client_may_take_two_seconds_for_a_head_and_64_kb_a_second_for_a_body() {
    const LENGTH: usize = 64 * 1024;
    const PIECES: usize = 22;
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let text = request("pay", 7, 1, "3000m")
        .replace("Content-Length: 6", &format!("Content-Length: {LENGTH}"));
    let head = text.strip_suffix("a body").expect("a body");
    let (first, rest) = head.split_at(40);
    let mut client = program.client();
    client.send(first);
    thread::sleep(Duration::from_millis(1900));
    client.send(rest);
    let body = "x".repeat(LENGTH);
    for piece in body.as_bytes().chunks(LENGTH.div_ceil(PIECES)) {
        thread::sleep(Duration::from_millis(50));
        client.send(&String::from_utf8_lossy(piece));
    }
    assert_eq!(client.receive().map(|answer| answer.status()), Some(200));
    assert_eq!(server.next_request().body.len(), LENGTH);
}

/// A body that stops in its middle has its end within 3 s of its connection all the same, however slow its head was.
#[test_case(100 ; "behind a quick head")]
#[test_case(1900 ; "behind a slow one")]
fn a_body_that_stops_has_its_end(head_takes: u64) {
    let program = Program::start(&config(&[]));
    let text = request("pay", 7, 1, "3000m").replace("Content-Length: 6", "Content-Length: 60000");
    let (first, rest) = text.split_at(40);
    let (begun, mut client) = (Instant::now(), program.client());
    client.send(first);
    thread::sleep(Duration::from_millis(head_takes));
    client.send(rest);
    assert!(client.receive().is_none_or(|answer| answer.status() == 408));
    assert!(
        begun.elapsed() < Duration::from_secs(3),
        "{:?}",
        begun.elapsed()
    );
}

/// Hardly any time is left: the client has its one answer soon, and the next request with time is served.
#[test_case("0m")]
#[test_case("1u")]
#[test_case("4m")]
#[test_case("6m")]
fn hardly_any_time_left(remaining: &str) {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    for customer in 0..5 {
        let (begun, class) = (
            Instant::now(),
            ["look", "put", "pay"][customer as usize % 3],
        );
        assert!(
            client
                .call(&request(class, customer, 1, remaining))
                .is_some()
        );
        assert!(
            begun.elapsed() < Duration::from_millis(500),
            "{:?}",
            begun.elapsed()
        );
    }
    assert_eq!(client.request("pay", 9, 1).status(), 200);
}
