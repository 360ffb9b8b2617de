//! The remaining time that the limiter advertises to servers in `X-Remaining`: it never exceeds the time that the client
//! has left (by more than a tolerance), even if the request was unread data in the socket buffer for a while.
//! Time in which no request waited is not deducted.

use merlinreel_testkit::*;
use std::thread;
use std::time::{Duration, Instant};

/// Remaining time of a request when the client sends it.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Minimum duration of a suspension.
const SUSPENSION: Duration = Duration::from_millis(800);
/// Tolerance by which the advertised time may exceed the time that the client has left.
const MAX_EXCESS: Duration = Duration::from_millis(150);
/// Tolerance by which a limiter that is not suspended may advertise less than the time that the client has left.
const MAX_SHORTFALL: Duration = Duration::from_millis(300);

/// Starts a server that responds with status 200 to every request, and a limiter in front of it.
fn start_server_and_limiter() -> (ScriptedServer, Program) {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    (server, program)
}

fn request_text() -> String {
    request("look", 7, 1, &format!("{}m", CLIENT_TIMEOUT.as_millis()))
}

/// Waits for the next request at the server and returns the time that was advertised with it.
fn next_advertised_time(server: &ScriptedServer) -> Duration {
    let forwarded = server.next_request();
    let text = forwarded.header("x-remaining").expect("a remaining time");
    let ms = text
        .strip_suffix('m')
        .and_then(|digits| digits.parse().ok());
    Duration::from_millis(ms.expect("milliseconds"))
}

/// Suspends the limiter, runs `during`, and continues the limiter [`SUSPENSION`] later.
fn suspend<T>(program: &Program, during: impl FnOnce() -> T) -> T {
    program.signal("-STOP");
    let result = during();
    thread::sleep(SUSPENSION);
    program.signal("-CONT");
    result
}

/// Asserts that the client gets its response, and that the time advertised to the server does not include the suspension.
fn assert_suspension_is_counted(client: &mut Client, server: &ScriptedServer) {
    let status = client.receive().map(|response| response.status());
    assert_eq!(status, Some(200));
    let advertised_time = next_advertised_time(server);
    assert!(
        advertised_time + SUSPENSION <= CLIENT_TIMEOUT + MAX_EXCESS,
        "{advertised_time:?}"
    );
}

/// A request that arrives on an open connection while the limiter is suspended is forwarded with its remaining time less
/// the suspension. The time must not be counted only from the moment when the limiter reads the request.
#[test]
fn time_spent_unread_on_an_open_connection_is_counted() {
    let (server, program) = start_server_and_limiter();
    let mut client = program.client();
    assert_eq!(client.request("look", 7, 1).status(), 200);
    server.next_request();
    suspend(&program, || client.send(&request_text()));
    assert_suspension_is_counted(&mut client, &server);
}

/// A request whose client connects and sends it while the limiter is suspended is forwarded with its remaining time less
/// the suspension. The time must not be counted only from the moment when the limiter accepts the connection.
#[test]
fn time_spent_unread_on_a_new_connection_is_counted() {
    let (server, program) = start_server_and_limiter();
    let mut client = suspend(&program, || {
        let mut client = program.client();
        client.send(&request_text());
        client
    });
    assert_suspension_is_counted(&mut client, &server);
}

/// A request that arrives during a suspension is forwarded with its remaining time less the suspension, although another
/// request is pipelined behind it. Only the first request's time is checked.
#[test]
fn time_spent_unread_is_counted_for_pipelined_requests() {
    let (server, program) = start_server_and_limiter();
    let mut client = program.client();
    suspend(&program, || client.send(&request_text()));
    client.send(&request_text());
    for _ in 0..2 {
        assert!(client.receive().is_some());
    }
    let advertised_time = next_advertised_time(&server);
    assert!(
        advertised_time + SUSPENSION <= CLIENT_TIMEOUT + MAX_EXCESS,
        "{advertised_time:?}"
    );
}

/// A request whose time runs out while it is unread data in the socket buffer of a suspended limiter is rejected without
/// any effect: there must be no attempt with no time left.
#[test]
fn request_that_expires_unread_is_rejected_without_an_attempt() {
    let (server, program) = start_server_and_limiter();
    let mut client = program.client();
    suspend(&program, || client.send(&request("pay", 7, 1, "500m")));
    let status = client.receive().map(|response| response.status());
    assert!(matches!(status, Some(429 | 503)), "{status:?}");
    assert!(server.requests.try_recv().is_err());
}

/// The remaining time counts from when the client sends its request, although its connection has to wait because the
/// connection limit is reached. It must not be counted only from the moment when the connection is accepted.
#[test]
fn time_in_which_a_connection_waited_for_a_place_is_counted() {
    const PARTIAL_REQUEST_COUNT: usize = 420;
    let server = ScriptedServer::start(|_| ok_response());
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["limits"]["sockets"] = 256.into();
    let program = Program::start(&config);
    let partial_request_clients: Vec<Client> = (0..PARTIAL_REQUEST_COUNT)
        .map(|_| {
            let mut client = program.client();
            client.send("GET /look?key=7 HTTP/1.1\r\nHost:");
            client
        })
        .collect();
    let sent_at = Instant::now();
    let mut client = program.client();
    client.send(&request_text());
    let advertised_time = next_advertised_time(&server);
    let waited = sent_at.elapsed();
    assert!(
        advertised_time + waited <= CLIENT_TIMEOUT + MAX_EXCESS,
        "{advertised_time:?} {waited:?}"
    );
    drop(partial_request_clients);
}

/// A limiter that is not suspended advertises nearly all the time that the client has left. The time for which a connection
/// is idle before and between requests must not be deducted as if a request had waited.
#[test]
fn idle_time_before_and_between_requests_is_not_counted() {
    let (server, program) = start_server_and_limiter();
    let mut client = program.client();
    thread::sleep(Duration::from_millis(1000));
    for _ in 0..3 {
        client.send(&request_text());
        assert!(client.receive().is_some());
        let advertised_time = next_advertised_time(&server);
        assert!(
            advertised_time + MAX_SHORTFALL >= CLIENT_TIMEOUT,
            "{advertised_time:?}"
        );
        thread::sleep(Duration::from_millis(500));
    }
}

/// A request that arrives after a suspension is forwarded with nearly all of its remaining time: the suspension must be
/// deducted only from the time of requests that arrived during it.
#[test]
fn suspension_is_not_counted_for_later_requests() {
    let (server, program) = start_server_and_limiter();
    let mut client = program.client();
    suspend(&program, || ());
    thread::sleep(Duration::from_millis(300));
    client.send(&request_text());
    assert!(client.receive().is_some());
    let advertised_time = next_advertised_time(&server);
    assert!(
        advertised_time + MAX_SHORTFALL >= CLIENT_TIMEOUT,
        "{advertised_time:?}"
    );
}
