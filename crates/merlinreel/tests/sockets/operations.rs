//! What operators do with a running limiter: upgrades, stats and reloads; and responses that are long.

use merlinreel_testkit::*;
use std::thread;
use std::time::Duration;

/// The next process starts beside the one before on the socket that the platform holds and shares the peer messages' port;
/// the one before ends on SIGTERM with its requests in flight answered and none rejected.
#[test]
fn upgrade_on_an_inherited_socket_loses_no_request() {
    let (server, release) = holding_server();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut config = config(&[instance("s-1", server.address, "up")]);
    let peer_messages = free_address();
    config["listen"] = listener.local_addr().expect("bound").to_string().into();
    config["peer_listen"] = peer_messages.to_string().into();
    config["peers"] = serde_json::json!([peer_messages.to_string()]);
    config["ops"] = free_address().to_string().into();
    let mut before = Program::start_with_listener(&config, &listener);
    let mut slow = before.client();
    slow.send(&request("pay", 1, 1, "3000m"));
    server.next_request();
    config["ops"] = free_address().to_string().into();
    let after = Program::start_with_listener(&config, &listener);
    before.signal("-TERM");
    // Whichever process accepts them, every new connection is served.
    for customer in 2..8 {
        assert_eq!(after.client().request("look", customer, 1).status(), 200);
    }
    release.send(()).expect("the server waits");
    assert_eq!(slow.receive().map(|answer| answer.status()), Some(200));
    assert!(before.wait().success());
    assert_eq!(after.client().request("look", 9, 1).status(), 200);
}

/// A response larger than any that is buffered, from a server that pauses in the middle for longer than a connection may be
/// idle, reaches the client complete.
#[test]
fn streaming_response_that_pauses_arrives_complete() {
    use std::io::{BufRead, BufReader, Write};
    const HALF: usize = 4 << 20;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("an attempt");
        let mut head = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut line = String::new();
        while head.read_line(&mut line).is_ok_and(|read| read > 2) {
            line.clear();
        }
        let mut to = stream;
        let _ = write!(
            to,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            2 * HALF
        );
        let _ = to.write_all(&vec![b'a'; HALF]);
        thread::sleep(Duration::from_millis(2500));
        let _ = to.write_all(&vec![b'b'; HALF]);
    });
    let mut config = config(&[instance("s-1", address, "up")]);
    config["limits"]["memory_mb"] = 40.into();
    let program = Program::start(&config);
    let answer = program.client().request("look", 1, 1);
    assert_eq!((answer.status(), answer.body.len()), (200, 2 * HALF));
    assert!(answer.body.ends_with('b'));
}

fn stats(ops: std::net::SocketAddr) -> String {
    let answer = Client::connect(ops)
        .expect("the admin endpoint")
        .call("GET /stats HTTP/1.1\r\nHost: ops\r\n\r\n");
    let answer = answer.expect("an answer");
    assert_eq!(answer.status(), 200);
    answer.body
}

/// Responses are counted as clients read them, an invalid file at SIGHUP is counted and rejected, and a caller that never
/// completes its call delays nobody.
#[test]
fn admin_endpoint_reports_stats_beside_a_stalled_caller() {
    use std::io::Write;
    let server = ScriptedServer::start(|_| ok_response());
    let mut config = config(&[instance("s-1", server.address, "up")]);
    let ops: std::net::SocketAddr = free_address();
    config["ops"] = ops.to_string().into();
    let program = Program::start(&config);
    let mut stalled = std::net::TcpStream::connect(ops).expect("the admin endpoint");
    stalled.write_all(b"GET /sta").expect("written");
    let mut client = program.client();
    assert_eq!(client.request("look", 7, 4).status(), 200);
    assert_eq!(client.request("look", 7, 4).status(), 200);
    assert_eq!(client.request("look", 7, 4).status(), 429);
    let malformed = "GET /look?key=zz HTTP/1.1\r\nHost: svc\r\nX-Txn: 77\r\n\r\n";
    assert_eq!(
        program
            .client()
            .call(malformed)
            .map(|answer| answer.status()),
        Some(400)
    );
    let text = stats(ops);
    for line in [
        "look.served:2|c",
        "look.refused:1|c",
        "look.failed:1|c",
        "look.attempts:2|c",
    ] {
        assert!(
            text.contains(&format!("limiter.requests.{line}\n")),
            "{line} in {text}"
        );
    }
    for line in [
        "attempts:2|c",
        "in_flight:0|g",
        "servers_known:1|g",
        "servers_excluded:0|g",
    ] {
        assert!(
            text.contains(&format!("limiter.{line}\n")),
            "{line} in {text}"
        );
    }
    let odd = Client::connect(ops)
        .expect("the admin endpoint")
        .call("GET /nothing HTTP/1.1\r\nHost: ops\r\n\r\n");
    assert_eq!(odd.map(|answer| answer.status()), Some(404));
    program.reload("{\"settings\":");
    let started_at = std::time::Instant::now();
    while !stats(ops).contains("limiter.reloads_failed:1|c\n") {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "never counted");
        thread::sleep(Duration::from_millis(10));
    }
    assert!(stats(ops).contains("limiter.reloads_ok:0|c\n"));
    assert_eq!(client.request("look", 8, 1).status(), 200);
}

/// A streaming response that the client has complete counts as served, also where its announced length makes nobody poll
/// for its end.
#[test]
fn complete_streaming_response_counts_as_served() {
    const LENGTH: usize = 300 << 10;
    let server = ScriptedServer::start(|_| response("200 OK", "", &"x".repeat(LENGTH)));
    let mut config = config(&[instance("s-1", server.address, "up")]);
    let ops: std::net::SocketAddr = free_address();
    config["ops"] = ops.to_string().into();
    let program = Program::start(&config);
    assert_eq!(program.client().request("look", 7, 1).body.len(), LENGTH);
    let text = stats(ops);
    assert!(
        text.contains("limiter.requests.look.served:1|c\n"),
        "{text}"
    );
}

/// A class added at SIGHUP is served under its own rules; a file that allows no attempts is rejected and changes
/// nothing.
#[test]
fn reload_adds_a_class_and_an_invalid_file_changes_nothing() {
    let server = ScriptedServer::start(|_| ok_response());
    let config = config(&[instance("s-1", server.address, "up")]);
    let program = Program::start(&config);
    let fetch = |customer| {
        let text = request("look", customer, 1, "3000m").replace("look", "fetch");
        program.client().call(&text).map(|answer| answer.status())
    };
    assert_eq!(fetch(1), Some(400));
    let mut broken = config.clone();
    broken["settings"]["classes"][0]["name"] = "fetch".into();
    broken["settings"]["policyLimits"]["sendCap"] = 0.into();
    program.reload(&broken.to_string());
    let mut added = config.clone();
    let mut class = added["settings"]["classes"][0].clone();
    class["name"] = "fetch".into();
    class["hardLimitS"] = 3.0.into();
    added["settings"]["classes"]
        .as_array_mut()
        .expect("classes")
        .push(class);
    thread::sleep(Duration::from_millis(200));
    assert_eq!(fetch(2), Some(400), "applied from an invalid file");
    program.reload(&added.to_string());
    let started_at = std::time::Instant::now();
    while fetch(3) != Some(200) {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "the class never came");
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(program.client().request("look", 4, 1).status(), 200);
}
