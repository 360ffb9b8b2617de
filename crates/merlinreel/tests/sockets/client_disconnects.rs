//! Clients that disconnect while their request waits for its first attempt.

use merlinreel_testkit::*;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// A server whose connections are established late: its backlog holds one connection, which is in use until it is accepted.
pub fn server_with_a_full_queue() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("a free port");
    socket.listen(0).expect("listens");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("bound");
    (
        listener,
        TcpStream::connect(address).expect("the one place"),
    )
}

/// Waits until a connection to `address` is being established, its first packet dropped by the full backlog, other than the
/// one from `known`; returns its source address. The kernel tries each again a second after its first packet.
pub fn wait_for_connecting(address: SocketAddr, known: Option<&str>) -> String {
    const SYN_SENT: &str = "02";
    let port = format!(":{:04X}", address.port());
    let from = |line: &str| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let connecting = columns.len() > 3 && columns[2].ends_with(&port) && columns[3] == SYN_SENT;
        (connecting && Some(columns[1]) != known).then(|| columns[1].to_owned())
    };
    let started_at = Instant::now();
    while started_at.elapsed() < TEST_TIMEOUT {
        let sockets =
            std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of sockets");
        if let Some(from) = sockets.lines().find_map(from) {
            return from;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("no connection to {address} is being established");
}

/// The id of the first request on the next connection that brings any.
fn next_request_id(listener: &TcpListener) -> String {
    loop {
        let (stream, _) = listener.accept().expect("a connection");
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        if let Some(id) = lines.find_map(|line| line.strip_prefix("x-txn: ").map(str::to_owned)) {
            return id;
        }
    }
}

/// The attempt's connection is still being established as its client disconnects: nothing is written on it, whether or not
/// the settings allow attempts to be cancelled. It would be established before the second client's, which asked later.
#[test_case(true ; "attempts may be cancelled")]
#[test_case(false ; "attempts may not be cancelled")]
fn disconnected_client_starts_no_further_attempt(may_cancel: bool) {
    let (listener, place) = server_with_a_full_queue();
    let address = listener.local_addr().expect("bound");
    let mut config = config(&[instance("s-1", address, "up")]);
    config["settings"]["policyLimits"]["mayCancel"] = may_cancel.into();
    config["settings"]["policyLimits"]["connectTimeoutS"] = 20.into();
    let program = Program::start(&config);
    let mut disconnecting = program.client();
    disconnecting.send(&request("pay", 1, 1, "4000m"));
    let first = wait_for_connecting(address, None);
    drop(disconnecting);
    let mut waiting = program.client();
    let text = request("pay", 2, 1, "4000m");
    waiting.send(&text);
    wait_for_connecting(address, Some(&first));
    drop(place);
    let id = next_request_id(&listener);
    assert!(
        text.contains(&format!("X-Txn: {id}\r\n")),
        "{id} is the request of the client that has disconnected"
    );
}
