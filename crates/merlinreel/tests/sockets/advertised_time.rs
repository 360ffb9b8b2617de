//! The time that servers are told: never more than the client has left, however long its request lay unread.

use merlinreel_testkit::*;
use std::thread;
use std::time::{Duration, Instant};

const CLIENT_TIME: Duration = Duration::from_millis(1500);
const SUSPENSION: Duration = Duration::from_millis(800);
/// How much more than the client has left a server may be told.
const SLACK: Duration = Duration::from_millis(150);
/// How much less a calm limiter tells.
const MAX_LOSS: Duration = Duration::from_millis(300);

/// A limiter before a server that answers everything.
fn started() -> (ScriptedServer, Program) {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    (server, program)
}

fn request_text() -> String {
    request("look", 7, 1, &format!("{}m", CLIENT_TIME.as_millis()))
}

/// The time that the server was told with the next request.
fn advertised(server: &ScriptedServer) -> Duration {
    let seen = server.next_request();
    let text = seen.header("x-remaining").expect("a remaining time");
    let ms = text
        .strip_suffix('m')
        .and_then(|digits| digits.parse().ok());
    Duration::from_millis(ms.expect("milliseconds"))
}

/// Suspends the limiter, and continues it after the time of [`SUSPENSION`] behind what `during` does.
fn suspend<T>(program: &Program, during: impl FnOnce() -> T) -> T {
    program.signal("-STOP");
    let result = during();
    thread::sleep(SUSPENSION);
    program.signal("-CONT");
    result
}

/// The client has its response, and the server was told nothing of the suspension's time.
fn assert_suspension_is_counted(client: &mut Client, server: &ScriptedServer) {
    let status = client.receive().map(|response| response.status());
    assert_eq!(status, Some(200));
    let told = advertised(server);
    assert!(told + SUSPENSION <= CLIENT_TIME + SLACK, "{told:?}");
}

/// Guards against a request's time that is counted from when a suspended limiter read it, on an open connection.
#[test]
fn time_in_which_a_request_lay_unread_on_an_open_connection_is_counted() {
    let (server, program) = started();
    let mut client = program.client();
    assert_eq!(client.request("look", 7, 1).status(), 200);
    server.next_request();
    suspend(&program, || client.send(&request_text()));
    assert_suspension_is_counted(&mut client, &server);
}

/// Guards against the same on a new connection.
#[test]
fn time_in_which_a_request_lay_unread_on_a_new_connection_is_counted() {
    let (server, program) = started();
    let mut client = suspend(&program, || {
        let mut client = program.client();
        client.send(&request_text());
        client
    });
    assert_suspension_is_counted(&mut client, &server);
}

/// Guards against the same for requests that wait behind another on a connection.
#[test]
fn time_in_which_pipelined_requests_lay_unread_is_counted() {
    let (server, program) = started();
    let mut client = program.client();
    suspend(&program, || client.send(&request_text()));
    client.send(&request_text());
    for _ in 0..2 {
        assert!(client.receive().is_some());
    }
    let told = advertised(&server);
    assert!(told + SUSPENSION <= CLIENT_TIME + SLACK, "{told:?}");
}

/// Guards against an attempt with no time left: such a request is rejected, and has no effect.
#[test]
fn request_whose_time_was_over_while_it_lay_unread_is_rejected_without_an_attempt() {
    let (server, program) = started();
    let mut client = program.client();
    suspend(&program, || client.send(&request("pay", 7, 1, "500m")));
    let status = client.receive().map(|response| response.status());
    assert!(matches!(status, Some(429 | 503)), "{status:?}");
    assert!(server.requests.try_recv().is_err());
}

/// Guards against a request's time that is counted from when its connection was accepted, where that waited for a place.
#[test]
fn time_in_which_a_connection_waited_for_a_place_is_counted() {
    const CROWD: usize = 420;
    let server = ScriptedServer::start(|_| ok_response());
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["limits"]["sockets"] = 256.into();
    let program = Program::start(&config);
    let crowd: Vec<Client> = (0..CROWD)
        .map(|_| {
            let mut client = program.client();
            client.send("GET /look?key=7 HTTP/1.1\r\nHost:");
            client
        })
        .collect();
    let sent_at = Instant::now();
    let mut client = program.client();
    client.send(&request_text());
    let told = advertised(&server);
    let waited = sent_at.elapsed();
    assert!(told + waited <= CLIENT_TIME + SLACK, "{told:?} {waited:?}");
    drop(crowd);
}

/// Guards against idle time that is taken for waiting: a calm limiter tells nearly all that the client has.
#[test]
fn calm_limiter_counts_neither_a_new_connection_nor_idle_time() {
    let (server, program) = started();
    let mut client = program.client();
    thread::sleep(Duration::from_millis(1000));
    for _ in 0..3 {
        client.send(&request_text());
        assert!(client.receive().is_some());
        let told = advertised(&server);
        assert!(told + MAX_LOSS >= CLIENT_TIME, "{told:?}");
        thread::sleep(Duration::from_millis(500));
    }
}

/// Guards against a stall that is counted for requests that arrive after it.
#[test]
fn suspension_is_not_counted_for_later_requests() {
    let (server, program) = started();
    let mut client = program.client();
    suspend(&program, || ());
    thread::sleep(Duration::from_millis(300));
    client.send(&request_text());
    assert!(client.receive().is_some());
    let told = advertised(&server);
    assert!(told + MAX_LOSS >= CLIENT_TIME, "{told:?}");
}
