//! System calls of the program that fail for a while with real errors from the kernel.

use super::limited_process::LimitedProcess;
use merlinreel_testkit::*;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

/// The operating system's limit on the file descriptors of the process; its configuration allows more.
const MAX_DESCRIPTORS: u32 = 40;
/// Maximum time from the start of a process until it is ready.
const MAX_STARTUP_TIME: Duration = Duration::from_secs(10);
const PARTIAL_HEAD: &str = "GET /look?key=7 HTTP/1.1\r\nHost:";

fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "the condition never held");
        thread::sleep(Duration::from_millis(2));
    }
}

fn start_limited_process(server: SocketAddr) -> LimitedProcess {
    let process = LimitedProcess::start(&config(&[instance("s-1", server, "up")]), MAX_DESCRIPTORS);
    assert!(process.is_ready_by(Instant::now() + MAX_STARTUP_TIME));
    process
}

/// Opens [`MAX_DESCRIPTORS`] client connections, each with a partial request, and waits until the process has no descriptor
/// left.
fn use_all_descriptors(process: &LimitedProcess) -> Vec<Client> {
    let connect = |_| {
        let mut client = process.client();
        client.send(PARTIAL_HEAD);
        client
    };
    let partial_request_clients = (0..MAX_DESCRIPTORS).map(connect).collect();
    wait_until(|| process.open_descriptors() >= MAX_DESCRIPTORS as usize);
    partial_request_clients
}

/// Connections that are pending when a shutdown begins, while accept fails because no descriptor is available, are accepted
/// as soon as possible and answered. A listener that closed at the first error of accept would lose them.
#[test]
fn connections_pending_while_accept_fails_at_shutdown_are_answered() {
    let server = ScriptedServer::start(|_| ok_response());
    let mut process = start_limited_process(server.address);
    let partial_request_clients = use_all_descriptors(&process);
    let waiting_clients: Vec<_> = (0..8)
        .map(|customer| {
            let mut client = process.client();
            client.send(&request("look", customer, 1, "3000m"));
            thread::spawn(move || client.receive().map(|response| response.status()))
        })
        .collect();
    process.signal("-TERM");
    let statuses: Vec<Option<u16>> = waiting_clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .collect();
    assert_eq!(statuses, [Some(200); 8]);
    assert!(process.wait().success());
    drop(partial_request_clients);
}

/// A shortage of sockets on the limiter's machine does not count as a failure of the server: for half a second no socket is
/// available for a connection to it. The request waits and is served, and the server is afterwards neither excluded nor in
/// slow start.
#[test]
fn local_socket_shortage_does_not_count_against_a_server() {
    let server = ScriptedServer::start(|_| ok_response());
    let process = start_limited_process(server.address);
    let mut client = process.client();
    assert_eq!(
        client
            .call("GET /up HTTP/1.1\r\nHost: svc\r\n\r\n")
            .map(|response| response.status()),
        Some(200)
    );
    let partial_request_clients = use_all_descriptors(&process);
    let started_at = Instant::now();
    client.send(&request("look", 1, 1, "3000m"));
    thread::sleep(Duration::from_millis(500).saturating_sub(started_at.elapsed()));
    drop(partial_request_clients);
    assert_eq!(
        client.receive().map(|response| response.status()),
        Some(200)
    );
    let started_at = Instant::now();
    for customer in 2..22 {
        assert_eq!(
            client.request("look", customer, 1).status(),
            200,
            "{customer}"
        );
    }
    // In slow start, the server would get about one request a second here.
    assert!(
        started_at.elapsed() < Duration::from_secs(5),
        "{:?}",
        started_at.elapsed()
    );
}

/// A start whose address is still in use waits until the address is free a moment later, and does not fail.
#[test]
fn start_waits_for_its_address_to_be_free() {
    let config = config(&[]);
    let address: SocketAddr = config["listen"]
        .as_str()
        .and_then(|text| text.parse().ok())
        .expect("`listen` is a socket address");
    let holder = TcpListener::bind(address).expect("a free address");
    let process = LimitedProcess::start(&config, MAX_DESCRIPTORS);
    thread::sleep(Duration::from_millis(300));
    drop(holder);
    assert!(process.is_ready_by(Instant::now() + MAX_STARTUP_TIME));
}
