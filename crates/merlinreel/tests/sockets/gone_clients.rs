//! Clients that close their connection while their request waits for its first attempt.

use merlinreel_testkit::*;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// A server whose connections come up late: its queue holds one connection, which is taken, until that is accepted.
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

/// Waits until a connection to `address` is on its way, its first packet refused by the full queue, other than the one
/// from `known`; returns where it comes from. The kernel tries each again a second after its first packet.
pub fn wait_for_connecting(address: SocketAddr, known: Option<&str>) -> String {
    const SYN_SENT: &str = "02";
    let port = format!(":{:04X}", address.port());
    let from = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let connecting = fields.len() > 3 && fields[2].ends_with(&port) && fields[3] == SYN_SENT;
        (connecting && Some(fields[1]) != known).then(|| fields[1].to_owned())
    };
    let begun = Instant::now();
    while begun.elapsed() < TEST_TIMEOUT {
        let sockets =
            std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table of sockets");
        if let Some(from) = sockets.lines().find_map(from) {
            return from;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("no connection to {address} is on its way");
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

/// The attempt's connection is still coming up as its client goes: nothing is written on it, whether or not the
/// settings let attempts be cancelled. Its connection would have come up before the second client's, which asked later.
#[test_case(true ; "attempts may be cancelled")]
#[test_case(false ; "attempts may not be cancelled")]
fn no_attempt_begins_for_a_client_that_has_gone(may_cancel: bool) {
    let (listener, place) = server_with_a_full_queue();
    let address = listener.local_addr().expect("bound");
    let mut config = config(&[instance("s-1", address, "up")]);
    config["settings"]["policyLimits"]["mayCancel"] = may_cancel.into();
    config["settings"]["policyLimits"]["connectTimeoutS"] = 20.into();
    let program = Program::start(&config);
    let mut goes = program.client();
    goes.send(&request("pay", 1, 1, "4000m"));
    let first = wait_for_connecting(address, None);
    drop(goes);
    let mut stays = program.client();
    let text = request("pay", 2, 1, "4000m");
    stays.send(&text);
    wait_for_connecting(address, Some(&first));
    drop(place);
    let id = next_request_id(&listener);
    assert!(
        text.contains(&format!("X-Txn: {id}\r\n")),
        "{id} is the request of the client that has gone"
    );
}
