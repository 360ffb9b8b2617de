//! What staff do with a limiter that runs: upgrades, figures, settings read again; and answers that are long.

use merlinreel_testkit::*;
use std::thread;
use std::time::Duration;

/// Guards the upgrade: the next process starts beside the one before on the socket that the platform holds,
/// shares the peer messages' port, and the one before leaves on SIGTERM with what it holds answered and nothing refused.
#[test]
fn an_upgrade_hands_the_socket_over_and_loses_nothing() {
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
    // Whoever takes them, every new connection is served.
    for customer in 2..8 {
        assert_eq!(after.client().request("look", customer, 1).status(), 200);
    }
    release.send(()).expect("the server waits");
    assert_eq!(slow.receive().map(|answer| answer.status()), Some(200));
    assert!(before.wait().success());
    assert_eq!(after.client().request("look", 9, 1).status(), 200);
}

/// Guards long answers: one larger than any that is read whole, from a server that pauses in the middle for
/// longer than a connection may look idle, reaches the client whole.
#[test]
fn a_long_answer_that_pauses_goes_on_whole() {
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
        .expect("the door")
        .call("GET /stats HTTP/1.1\r\nHost: ops\r\n\r\n");
    let answer = answer.expect("an answer");
    assert_eq!(answer.status(), 200);
    answer.body
}

/// Guards the figures and the door: counts as clients read their answers, a broken file at SIGHUP counted and
/// turned down, and a caller who never sends a whole call delays nobody.
#[test]
fn the_door_tells_true_figures_beside_a_caller_who_stalls() {
    use std::io::Write;
    let server = ScriptedServer::start(|_| ok_response());
    let mut config = config(&[instance("s-1", server.address, "up")]);
    let ops: std::net::SocketAddr = free_address();
    config["ops"] = ops.to_string().into();
    let program = Program::start(&config);
    let mut stalled = std::net::TcpStream::connect(ops).expect("the door");
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
    let told = stats(ops);
    for line in [
        "look.served:2|c",
        "look.refused:1|c",
        "look.failed:1|c",
        "look.attempts:2|c",
    ] {
        assert!(
            told.contains(&format!("limiter.requests.{line}\n")),
            "{line} in {told}"
        );
    }
    for line in [
        "attempts:2|c",
        "in_flight:0|g",
        "servers_known:1|g",
        "servers_excluded:0|g",
    ] {
        assert!(
            told.contains(&format!("limiter.{line}\n")),
            "{line} in {told}"
        );
    }
    let odd = Client::connect(ops)
        .expect("the door")
        .call("GET /nothing HTTP/1.1\r\nHost: ops\r\n\r\n");
    assert_eq!(odd.map(|answer| answer.status()), Some(404));
    program.reload("{\"settings\":");
    let begun = std::time::Instant::now();
    while !stats(ops).contains("limiter.reloads_failed:1|c\n") {
        assert!(begun.elapsed() < TEST_TIMEOUT, "never counted");
        thread::sleep(Duration::from_millis(10));
    }
    assert!(stats(ops).contains("limiter.reloads_ok:0|c\n"));
    assert_eq!(client.request("look", 8, 1).status(), 200);
}

/// A long answer that the client has whole counts as served, also where its told length makes nobody ask for its end.
#[test]
fn a_long_answer_that_went_on_whole_counts_as_served() {
    const LENGTH: usize = 300 << 10;
    let server = ScriptedServer::start(|_| response("200 OK", "", &"x".repeat(LENGTH)));
    let mut config = config(&[instance("s-1", server.address, "up")]);
    let ops: std::net::SocketAddr = free_address();
    config["ops"] = ops.to_string().into();
    let program = Program::start(&config);
    assert_eq!(program.client().request("look", 7, 1).body.len(), LENGTH);
    let told = stats(ops);
    assert!(
        told.contains("limiter.requests.look.served:1|c\n"),
        "{told}"
    );
}

/// Guards settings read again: a class added at SIGHUP is served under its own rules, a file that allows no
/// attempts is turned down whole and changes nothing.
#[test]
fn a_class_added_at_sighup_is_served_and_a_broken_file_changes_nothing() {
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
    assert_eq!(fetch(2), Some(400), "taken from a broken file");
    program.reload(&added.to_string());
    let begun = std::time::Instant::now();
    while fetch(3) != Some(200) {
        assert!(begun.elapsed() < TEST_TIMEOUT, "the class never came");
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(program.client().request("look", 4, 1).status(), 200);
}
