//! System calls of the program that fail for a while, as the kernel really fails them.

use super::limited_process::LimitedProcess;
use merlinreel_testkit::*;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

/// Descriptors that the system lets the process have; its configuration says more.
const DESCRIPTORS: u32 = 40;
const READY_WITHIN: Duration = Duration::from_secs(10);
const HALF_A_HEAD: &str = "GET /look?key=7 HTTP/1.1\r\nHost:";

fn until(what: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !what() {
        assert!(Instant::now() < end, "never so");
        thread::sleep(Duration::from_millis(2));
    }
}

fn started(server: SocketAddr) -> LimitedProcess {
    let process = LimitedProcess::start(&config(&[instance("s-1", server, "up")]), DESCRIPTORS);
    assert!(process.is_ready_by(Instant::now() + READY_WITHIN));
    process
}

/// Clients that hold all descriptors that are left: each has sent half a request.
fn with_all_descriptors_taken(process: &LimitedProcess) -> Vec<Client> {
    let come = |_| {
        let mut client = process.client();
        client.send(HALF_A_HEAD);
        client
    };
    let halves = (0..DESCRIPTORS).map(come).collect();
    until(|| process.descriptors() >= DESCRIPTORS as usize);
    halves
}

/// Clients whose connections can't be accepted as the stop comes, for want of descriptors: they are taken once they can
/// be, and answered. Guards them against a listener that is let go of at accept's first error.
#[test]
fn what_waits_while_accept_fails_at_a_stop_is_answered() {
    let server = ScriptedServer::start(|_| ok_response());
    let mut process = started(server.address);
    let halves = with_all_descriptors_taken(&process);
    let waiting: Vec<_> = (0..8)
        .map(|customer| {
            let mut client = process.client();
            client.send(&request("look", customer, 1, "3000m"));
            thread::spawn(move || client.receive().map(|answer| answer.status()))
        })
        .collect();
    process.signal("-TERM");
    let answers: Vec<Option<u16>> = waiting
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .collect();
    assert_eq!(answers, [Some(200); 8]);
    assert!(process.end().success());
    drop(halves);
}

/// No socket for a connection to the server is to be had for half a second: the request of that time waits and is served,
/// and the server is neither avoided nor taken for one that has just started afterwards.
#[test]
fn a_machine_that_has_no_socket_for_a_while_says_nothing_of_a_server() {
    let server = ScriptedServer::start(|_| ok_response());
    let process = started(server.address);
    let mut client = process.client();
    assert_eq!(
        client
            .call("GET /up HTTP/1.1\r\nHost: svc\r\n\r\n")
            .map(|answer| answer.status()),
        Some(200)
    );
    let halves = with_all_descriptors_taken(&process);
    let begun = Instant::now();
    client.send(&request("look", 1, 1, "3000m"));
    thread::sleep(Duration::from_millis(500).saturating_sub(begun.elapsed()));
    drop(halves);
    assert_eq!(client.receive().map(|answer| answer.status()), Some(200));
    let begun = Instant::now();
    for customer in 2..22 {
        assert_eq!(
            client.request("look", customer, 1).status(),
            200,
            "{customer}"
        );
    }
    // A server that has just started gets about one request a second here.
    assert!(
        begun.elapsed() < Duration::from_secs(5),
        "{:?}",
        begun.elapsed()
    );
}

/// The address is still another's as the program starts, and free a moment later.
#[test]
fn a_start_waits_for_its_address() {
    let config = config(&[]);
    let address: SocketAddr = config["listen"]
        .as_str()
        .and_then(|text| text.parse().ok())
        .expect("an address");
    let holder = TcpListener::bind(address).expect("free");
    let process = LimitedProcess::start(&config, DESCRIPTORS);
    thread::sleep(Duration::from_millis(300));
    drop(holder);
    assert!(process.is_ready_by(Instant::now() + READY_WITHIN));
}
