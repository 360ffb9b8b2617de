//! Clients that disconnect while the connection for their request's first attempt is being established.

use merlinreel_testkit::*;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Returns a listener and the connection that fills its backlog of one. Further connections to the listener are established
/// only after that connection has been accepted.
pub fn listener_with_full_backlog() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("a free port");
    socket.listen(0).expect("a listening socket");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("a local address");
    (
        listener,
        TcpStream::connect(address).expect("the connection that fills the backlog"),
    )
}

/// Waits until a connection to `address` is being established, other than the one with source address `excluded_source`,
/// and returns its source address, in the form of `/proc/net/tcp`. Its SYN was dropped because the listener's backlog is
/// full; the kernel retransmits a SYN one second after it was first sent.
pub fn wait_for_pending_connection(address: SocketAddr, excluded_source: Option<&str>) -> String {
    const SYN_SENT: &str = "02";
    let port = format!(":{:04X}", address.port());
    let pending_source = |line: &str| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let is_pending = columns.len() > 3 && columns[2].ends_with(&port) && columns[3] == SYN_SENT;
        (is_pending && Some(columns[1]) != excluded_source).then(|| columns[1].to_owned())
    };
    let started_at = Instant::now();
    while started_at.elapsed() < TEST_TIMEOUT {
        let sockets =
            std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of sockets");
        if let Some(source) = sockets.lines().find_map(pending_source) {
            return source;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("no connection to {address} is being established");
}

/// Accepts connections until one carries a request, and returns the id of that request.
fn next_request_id(listener: &TcpListener) -> String {
    loop {
        let (stream, _) = listener.accept().expect("a connection");
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        if let Some(id) = lines.find_map(|line| line.strip_prefix("x-txn: ").map(str::to_owned)) {
            return id;
        }
    }
}

/// An attempt is not sent if its client disconnects while the attempt's connection is still being established, whether or
/// not the settings allow attempts to be cancelled. Otherwise the request would be written once the connection is
/// established, which here would happen before the connection for the second client's attempt: that one was opened later.
#[test_case(true ; "attempts may be cancelled")]
#[test_case(false ; "attempts may not be cancelled")]
fn attempt_of_a_disconnected_client_is_not_sent(may_cancel: bool) {
    let (listener, backlog_holder) = listener_with_full_backlog();
    let address = listener.local_addr().expect("a local address");
    let mut config = config(&[instance("s-1", address, "up")]);
    config["settings"]["policyLimits"]["mayCancel"] = may_cancel.into();
    config["settings"]["policyLimits"]["connectTimeoutS"] = 20.into();
    let program = Program::start(&config);
    let mut disconnecting = program.client();
    disconnecting.send(&request("pay", 1, 1, "4000m"));
    let abandoned_source = wait_for_pending_connection(address, None);
    drop(disconnecting);
    let mut waiting = program.client();
    let text = request("pay", 2, 1, "4000m");
    waiting.send(&text);
    wait_for_pending_connection(address, Some(&abandoned_source));
    drop(backlog_holder);
    let id = next_request_id(&listener);
    assert!(
        text.contains(&format!("X-Txn: {id}\r\n")),
        "request {id} of the disconnected client was sent"
    );
}
