//! Requests that arrive again under the id of an earlier one: while that one is in flight, after it was answered, and after
//! its client has left. A request that may have run, and must not run again, runs once.

use crate::responses::Class;
use merlinreel_testkit::*;
use std::net::TcpListener;
use std::sync::mpsc::RecvTimeoutError;
use std::thread;
use std::time::Duration;
use test_case::{test_case, test_matrix};

/// Time for which the server works on a request.
const WORK_TIME: Duration = Duration::from_millis(400);
/// Time in which a limiter notices that a client has left.
const NOTICE_TIME: Duration = Duration::from_millis(20);
/// No further attempt has begun if none is seen for this long.
const QUIET_TIME: Duration = Duration::from_millis(600);

/// When a request arrives again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Again {
    /// While the first is in flight and its client waits.
    InFlight,
    /// After the first was answered.
    Answered,
    /// Just after the client of the first has left, while the server still works on it.
    ClientLeft,
    /// After the client of the first has left and the server has ended its work.
    ClientLeftLongAgo,
}

fn slow_server() -> ScriptedServer {
    ScriptedServer::start(|_| {
        thread::sleep(WORK_TIME);
        ok_response()
    })
}

/// Sends a request, and sends it once more on a connection of its own. Returns the status of the second response, and the
/// number of attempts.
fn send_twice(
    program: &Program,
    server: &ScriptedServer,
    text: &str,
    again: Again,
) -> (u16, usize) {
    let mut first = program.client();
    first.send(text);
    server.next_request();
    match again {
        Again::InFlight => {}
        Again::Answered => assert_eq!(first.receive().expect("a response").status(), 200),
        Again::ClientLeft | Again::ClientLeftLongAgo => drop(first),
    }
    thread::sleep(NOTICE_TIME);
    if again == Again::ClientLeftLongAgo {
        thread::sleep(2 * WORK_TIME);
    }
    let status = program.client().call(text).expect("a response").status();
    let further_attempts = std::iter::from_fn(|| server.requests.recv_timeout(QUIET_TIME).ok());
    (status, 1 + further_attempts.count())
}

/// Guards against a second run of a request that must run once, and whose id comes again: the id was free as soon as its
/// client had left or its response was sent.
#[test_matrix(
    [Class::IdempotencyKey, Class::NonIdempotent],
    [Again::InFlight, Again::Answered, Again::ClientLeft, Again::ClientLeftLongAgo],
    [true, false]
)]
fn request_that_may_have_run_is_refused_when_it_arrives_again(
    class: Class,
    again: Again,
    may_cancel: bool,
) {
    let server = slow_server();
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["settings"]["policyLimits"]["mayCancel"] = may_cancel.into();
    let program = Program::start(&config);
    let text = request(class.name(), 7, 1, "3000m");
    assert_eq!(send_twice(&program, &server, &text, again), (409, 1));
}

/// A request that may run any number of times is served again.
#[test_case(Again::Answered)]
#[test_case(Again::ClientLeftLongAgo)]
fn request_that_may_run_again_is_served_when_it_arrives_again(again: Again) {
    let server = slow_server();
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let text = request("look", 7, 1, "3000m");
    assert_eq!(send_twice(&program, &server, &text, again), (200, 2));
}

/// A request that cannot have run is served when it arrives again: it was rejected by its server, or its client left before
/// it was sent.
#[test_case("look")]
#[test_case("put")]
#[test_case("pay")]
fn request_that_has_not_run_is_served_when_it_arrives_again(class: &str) {
    let (sender, lists) = std::sync::mpsc::channel();
    let discovery = discovery(lists);
    let server = ScriptedServer::start(|_| ok_response());
    let mut config = config(&[]);
    config["discovery"] = discovery.address.to_string().into();
    let program = Program::start(&config);
    let text = request(class, 7, 1, "3000m");
    let mut first = program.client();
    first.send(&text);
    thread::sleep(NOTICE_TIME);
    drop(first);
    thread::sleep(NOTICE_TIME);
    let instances = [instance("s-1", server.address, "up")];
    sender
        .send(full_list(2, &instances).to_string())
        .expect("sent");
    assert_eq!(
        program.client().call(&text).expect("a response").status(),
        200
    );
    server.next_request();
    let further = server.requests.recv_timeout(QUIET_TIME);
    assert_eq!(further.err(), Some(RecvTimeoutError::Timeout));
}

/// When the platform has started the new process of an upgrade, and which of the two accepts the request that comes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Upgrade {
    /// The new process starts after the request came first; the old one has stopped accepting when it comes again.
    FromOldToNew,
    /// Both accept, and the request comes again several times.
    WhileBothAccept,
}

/// Guards against a second run of a request that comes again at the other process of an upgrade, while the first still runs
/// or after its client has left.
#[test_matrix(
    [Class::IdempotencyKey, Class::NonIdempotent],
    [Upgrade::FromOldToNew, Upgrade::WhileBothAccept],
    [Again::InFlight, Again::ClientLeft, Again::Answered]
)]
fn request_that_may_have_run_is_refused_at_the_other_process_of_an_upgrade(
    class: Class,
    upgrade: Upgrade,
    again: Again,
) {
    const REPEATS: usize = 8;
    let server = slow_server();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut config = config(&[instance("s-1", server.address, "up")]);
    let address = listener.local_addr().expect("a local address");
    config["listen"] = address.to_string().into();
    config["ops"] = free_address().to_string().into();
    let old_process = Program::start_with_listener(&config, &listener);
    config["ops"] = free_address().to_string().into();
    let mut new_process = None;
    if upgrade == Upgrade::WhileBothAccept {
        new_process = Some(Program::start_with_listener(&config, &listener));
    }
    let text = request(class.name(), 7, 1, "3000m");
    let mut first = old_process.client();
    first.send(&text);
    server.next_request();
    if upgrade == Upgrade::FromOldToNew {
        new_process = Some(Program::start_with_listener(&config, &listener));
        old_process.signal("-TERM");
    }
    match again {
        Again::Answered => assert_eq!(first.receive().expect("a response").status(), 200),
        Again::InFlight => {}
        Again::ClientLeft | Again::ClientLeftLongAgo => drop(first),
    }
    thread::sleep(NOTICE_TIME);
    let new_process = new_process.expect("a new process");
    for _ in 0..REPEATS {
        let response = new_process.client().call(&text).expect("a response");
        assert_eq!(response.status(), 409);
    }
    let further = server.requests.recv_timeout(QUIET_TIME);
    assert_eq!(further.err(), Some(RecvTimeoutError::Timeout));
}
