//! Operations on a running limiter (upgrades, statistics, reloads), and long responses.

use merlinreel_testkit::*;
use std::thread;
use std::time::Duration;

/// An upgrade loses no request: the new process starts beside the old one on the listener that the platform holds, and
/// shares the port for peer messages. The old process ends on SIGTERM after it has answered its requests in flight.
#[test]
fn upgrade_on_an_inherited_socket_loses_no_request() {
    let (server, release) = holding_server();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut config = config(&[instance("s-1", server.address, "up")]);
    let peer_messages = free_address();
    config["listen"] = listener
        .local_addr()
        .expect("a local address")
        .to_string()
        .into();
    config["peer_listen"] = peer_messages.to_string().into();
    config["peers"] = serde_json::json!([peer_messages.to_string()]);
    config["ops"] = free_address().to_string().into();
    let mut old_process = Program::start_with_listener(&config, &listener);
    let mut slow_client = old_process.client();
    slow_client.send(&request("pay", 1, 1, "3000m"));
    server.next_request();
    config["ops"] = free_address().to_string().into();
    let new_process = Program::start_with_listener(&config, &listener);
    old_process.signal("-TERM");
    // Every new connection is served, whichever process accepts it.
    for customer in 2..8 {
        assert_eq!(
            new_process.client().request("look", customer, 1).status(),
            200
        );
    }
    release.send(()).expect("the server holds the request");
    assert_eq!(
        slow_client.receive().map(|response| response.status()),
        Some(200)
    );
    assert!(old_process.wait().success());
    assert_eq!(new_process.client().request("look", 9, 1).status(), 200);
}

/// A response that is larger than any that is buffered reaches the client complete, although its server pauses for longer
/// than a client connection may be idle after its first request. The response must not be cut off during the pause.
#[test]
fn streaming_response_that_pauses_arrives_complete() {
    use std::io::{BufRead, BufReader, Write};
    const HALF_BYTES: usize = 4 << 20;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address");
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("an attempt");
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|read| read > 2) {
            line.clear();
        }
        let mut writer = stream;
        let _ = write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            2 * HALF_BYTES
        );
        let _ = writer.write_all(&vec![b'a'; HALF_BYTES]);
        thread::sleep(Duration::from_millis(2500));
        let _ = writer.write_all(&vec![b'b'; HALF_BYTES]);
    });
    let mut config = config(&[instance("s-1", address, "up")]);
    config["limits"]["memory_mb"] = 40.into();
    let program = Program::start(&config);
    let response = program.client().request("look", 1, 1);
    assert_eq!(
        (response.status(), response.body.len()),
        (200, 2 * HALF_BYTES)
    );
    assert!(response.body.ends_with('b'));
}

fn stats(ops: std::net::SocketAddr) -> String {
    let response = Client::connect(ops)
        .expect("the admin endpoint")
        .call("GET /stats HTTP/1.1\r\nHost: ops\r\n\r\n");
    let response = response.expect("a response");
    assert_eq!(response.status(), 200);
    response.body
}

/// `/stats` counts responses as clients read them, and counts an invalid file that is rejected at SIGHUP. A caller that
/// never completes its call must not delay other callers.
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
            .map(|response| response.status()),
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
    let unknown_path = Client::connect(ops)
        .expect("the admin endpoint")
        .call("GET /nothing HTTP/1.1\r\nHost: ops\r\n\r\n");
    assert_eq!(unknown_path.map(|response| response.status()), Some(404));
    program.reload("{\"settings\":");
    let started_at = std::time::Instant::now();
    while !stats(ops).contains("limiter.reloads_failed:1|c\n") {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the failed reload was not counted"
        );
        thread::sleep(Duration::from_millis(10));
    }
    assert!(stats(ops).contains("limiter.reloads_ok:0|c\n"));
    assert_eq!(client.request("look", 8, 1).status(), 200);
}

/// A streaming response counts as served once the client has received all of it. Where its length is known, its body may
/// never be polled for the end, so the count must not depend on that.
#[test]
fn complete_streaming_response_counts_as_served() {
    const BODY_BYTES: usize = 300 << 10;
    let server = ScriptedServer::start(|_| response("200 OK", "", &"x".repeat(BODY_BYTES)));
    let mut config = config(&[instance("s-1", server.address, "up")]);
    let ops: std::net::SocketAddr = free_address();
    config["ops"] = ops.to_string().into();
    let program = Program::start(&config);
    assert_eq!(
        program.client().request("look", 7, 1).body.len(),
        BODY_BYTES
    );
    let text = stats(ops);
    assert!(
        text.contains("limiter.requests.look.served:1|c\n"),
        "{text}"
    );
}

/// A class that a reload adds is served. An invalid file, here one with a new class and `sendCap` 0, which allows no
/// attempts, is rejected as a whole: no part of it may be applied.
#[test]
fn reload_adds_a_class_and_an_invalid_file_changes_nothing() {
    let server = ScriptedServer::start(|_| ok_response());
    let config = config(&[instance("s-1", server.address, "up")]);
    let program = Program::start(&config);
    let fetch = |customer| {
        let text = request("look", customer, 1, "3000m").replace("look", "fetch");
        program
            .client()
            .call(&text)
            .map(|response| response.status())
    };
    assert_eq!(fetch(1), Some(400));
    let mut invalid = config.clone();
    invalid["settings"]["classes"][0]["name"] = "fetch".into();
    invalid["settings"]["policyLimits"]["sendCap"] = 0.into();
    program.reload(&invalid.to_string());
    let mut extended = config.clone();
    let mut class = extended["settings"]["classes"][0].clone();
    class["name"] = "fetch".into();
    class["hardLimitS"] = 3.0.into();
    extended["settings"]["classes"]
        .as_array_mut()
        .expect("classes")
        .push(class);
    thread::sleep(Duration::from_millis(200));
    assert_eq!(
        fetch(2),
        Some(400),
        "the class of an invalid file was applied"
    );
    program.reload(&extended.to_string());
    let started_at = std::time::Instant::now();
    while fetch(3) != Some(200) {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the new class was not applied"
        );
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(program.client().request("look", 4, 1).status(), 200);
}
