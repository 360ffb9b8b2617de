//! System calls of the program that fail for a while, as the kernel really fails them.

use super::limited_process::LimitedProcess;
use merlinreel_testkit::*;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

/// Descriptors that the system allows the process; its configuration says more.
const DESCRIPTORS: u32 = 40;
const READY_WITHIN: Duration = Duration::from_secs(10);
const HALF_A_HEAD: &str = "GET /look?key=7 HTTP/1.1\r\nHost:";

fn wait_until(condition: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition never held");
        thread::sleep(Duration::from_millis(2));
    }
}

fn started(server: SocketAddr) -> LimitedProcess {
    let process = LimitedProcess::start(&config(&[instance("s-1", server, "up")]), DESCRIPTORS);
    assert!(process.is_ready_by(Instant::now() + READY_WITHIN));
    process
}

/// Clients that use all descriptors that are left: each has sent half a request.
fn with_all_descriptors_taken(process: &LimitedProcess) -> Vec<Client> {
    let connect = |_| {
        let mut client = process.client();
        client.send(HALF_A_HEAD);
        client
    };
    let partial_clients = (0..DESCRIPTORS).map(connect).collect();
    wait_until(|| process.descriptors() >= DESCRIPTORS as usize);
    partial_clients
}

/// Clients whose connections can't be accepted as the shutdown begins, for want of descriptors: they are accepted once they
/// can be, and answered. The listener is not closed at accept's first error.
#[test]
fn connections_pending_while_accept_fails_at_shutdown_are_answered() {
    let server = ScriptedServer::start(|_| ok_response());
    let mut process = started(server.address);
    let partial_clients = with_all_descriptors_taken(&process);
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
    drop(partial_clients);
}

/// No socket for a connection to the server is available for half a second: the request of that time waits and is served, and
/// the server is afterwards neither avoided nor in slow start.
#[test]
fn socket_shortage_of_this_machine_does_not_count_against_a_server() {
    let server = ScriptedServer::start(|_| ok_response());
    let process = started(server.address);
    let mut client = process.client();
    assert_eq!(
        client
            .call("GET /up HTTP/1.1\r\nHost: svc\r\n\r\n")
            .map(|answer| answer.status()),
        Some(200)
    );
    let partial_clients = with_all_descriptors_taken(&process);
    let started_at = Instant::now();
    client.send(&request("look", 1, 1, "3000m"));
    thread::sleep(Duration::from_millis(500).saturating_sub(started_at.elapsed()));
    drop(partial_clients);
    assert_eq!(client.receive().map(|answer| answer.status()), Some(200));
    let started_at = Instant::now();
    for customer in 2..22 {
        assert_eq!(
            client.request("look", customer, 1).status(),
            200,
            "{customer}"
        );
    }
    // A server in slow start gets about one request a second here.
    assert!(
        started_at.elapsed() < Duration::from_secs(5),
        "{:?}",
        started_at.elapsed()
    );
}

/// The address is in use as the program starts, and free a moment later.
#[test]
fn start_waits_for_its_address_to_be_free() {
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
