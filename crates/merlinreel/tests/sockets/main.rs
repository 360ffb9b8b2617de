//! End-to-end tests: they start the program with a configuration and talk to it over sockets, as clients, servers, discovery
//! and operators do.

mod advertised_time;
mod client_disconnects;
mod discovery_restart;
mod endpoint_draining;
mod fault_campaign;
mod graceful_shutdown;
mod limited_process;
mod long_responses;
mod mesh;
mod new_customers;
mod operations;
mod paced_responses;
mod paused_responses;
mod pipelining;
mod repeated_ids;
mod request_bodies;
mod responses;
mod settings_bounds;
mod slow_clients;
mod startup;
mod suspended_limiter;
mod system_call_failures;
mod truncated_responses;

use merlinreel_testkit::*;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use test_case::test_case;

#[test]
fn request_is_forwarded_unchanged_and_connections_are_reused() {
    let server = ScriptedServer::start(|_| {
        response(
            "200 OK",
            "X-Units-Charged: 1\r\nX-Kind: blue\r\n",
            "the response",
        )
    });
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    for _ in 0..2 {
        let text = request("put", 7, 1, "3000m");
        let response = client.call(&text).expect("a response");
        assert_eq!(
            (response.status(), response.body.as_str()),
            (200, "the response")
        );
        assert_eq!(response.header("x-kind"), Some("blue"));
        let forwarded = server.next_request();
        assert_eq!(
            (forwarded.start_line.as_str(), forwarded.body.as_str()),
            ("POST /put?key=0000000000000007 HTTP/1.1", "a body")
        );
        let id = forwarded.header("x-txn").expect("a request id");
        assert!(text.contains(&format!("X-Txn: {id}\r\n")), "{id}");
        assert_eq!(forwarded.header("idempotency-key"), Some("5c0f6e1a"));
        let remaining_ms = forwarded
            .header("x-remaining")
            .and_then(|text| text.strip_suffix('m')?.parse::<u32>().ok());
        assert!(
            remaining_ms.is_some_and(|ms| ms > 0 && ms < 3000),
            "{remaining_ms:?}"
        );
        assert_eq!(forwarded.connection, 0);
    }
}

#[test]
fn absolute_form_target_reaches_servers_as_a_path() {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let text = request("look", 7, 1, "3000m").replace("GET /look", "GET http://origin.svc/look");
    assert_eq!(
        program
            .client()
            .call(&text)
            .map(|response| response.status()),
        Some(200)
    );
    assert_eq!(
        server.next_request().start_line,
        "GET /look?key=0000000000000007 HTTP/1.1"
    );
}

#[test]
fn request_over_quota_is_rejected_with_retry_after() {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    assert_eq!(client.request("look", 7, 8).status(), 200);
    let rejected = client.request("look", 7, 8);
    assert_eq!(rejected.status(), 429);
    let retry_after_seconds = rejected
        .header("retry-after")
        .and_then(|text| text.parse::<f64>().ok());
    assert!(
        retry_after_seconds.is_some_and(|seconds| seconds > 0.0),
        "{retry_after_seconds:?}"
    );
    assert_eq!(client.request("look", 8, 8).status(), 200);
}

#[test]
fn units_charged_by_the_response_count_against_the_quota() {
    let server = ScriptedServer::start(|_| response("200 OK", "X-Units-Charged: 9\r\n", ""));
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    assert_eq!(
        (
            client.request("look", 7, 2).status(),
            client.request("look", 7, 2).status()
        ),
        (200, 429)
    );
}

#[test_case("look", &["200"], 2 ; "idempotent request is retried")]
#[test_case("put", &["200"], 2 ; "request with an idempotency key is retried in the scope of the key")]
#[test_case("pay", &["502"], 1 ; "non-idempotent request that may have run fails")]
fn request_whose_connection_breaks_is_retried_where_its_class_allows(
    class: &str,
    statuses: &[&str],
    attempts: usize,
) {
    let has_closed_once = std::sync::atomic::AtomicBool::new(false);
    let server = ScriptedServer::start(move |_| {
        if has_closed_once.swap(true, std::sync::atomic::Ordering::SeqCst) {
            ok_response()
        } else {
            Reaction::Close
        }
    });
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let response = program.client().request(class, 7, 1);
    assert!(
        statuses.contains(&response.status().to_string().as_str()),
        "{response:?}"
    );
    assert_eq!(server.requests.try_iter().count(), attempts);
}

#[test_case("503 Service Unavailable" ; "server is full")]
#[test_case("504 Gateway Timeout" ; "deadline has passed at the server")]
fn request_rejected_by_a_server_is_retried_elsewhere_even_if_non_idempotent(status: &'static str) {
    let rejecting_server =
        ScriptedServer::start(move |_| response(status, "X-Turned-Away: 1\r\n", ""));
    let accepting_server = ScriptedServer::start(|_| ok_response());
    let unreachable_address = free_address();
    let servers = [
        instance("s-1", rejecting_server.address, "up"),
        instance("s-2", accepting_server.address, "up"),
        instance("s-3", unreachable_address, "up"),
    ];
    let program = Program::start(&config(&servers));
    let mut client = program.client();
    for customer in 0..6 {
        assert_eq!(client.request("pay", customer, 1).status(), 200);
    }
    assert_eq!(accepting_server.requests.try_iter().count(), 6);
}

#[test]
fn request_with_an_id_in_flight_is_rejected_and_the_first_continues() {
    let server = ScriptedServer::start(|_| Reaction::Hang);
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let (text, mut first_client) = (request("pay", 7, 1, "1200m"), program.client());
    first_client.send(&text);
    server.next_request();
    assert_eq!(
        program
            .client()
            .call(&text)
            .map(|response| response.status()),
        Some(409)
    );
    assert_eq!(
        first_client.receive().map(|response| response.status()),
        Some(502)
    );
    assert!(server.requests.try_recv().is_err());
}

/// A head with both `Content-Length` and `Transfer-Encoding` is rejected, and nothing after it is read. Two readers may
/// disagree on where its body ends, so that the body can hide another request (request smuggling).
#[test_case("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n" ; "length first")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n" ; "chunked first")]
fn request_hidden_in_a_body_is_not_forwarded(lengths: &str) {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let hidden = request("pay", 8, 1, "3000m");
    let outer = request("pay", 7, 1, "3000m")
        .replace("Content-Length: 6\r\n", lengths)
        .replace("a body", "0\r\n\r\n");
    let mut client = program.client();
    assert_eq!(
        client
            .call(&(outer + &hidden))
            .map(|response| response.status()),
        Some(400)
    );
    assert!(client.receive().is_none());
    assert!(server.requests.try_recv().is_err());
}

/// A connection that never carries a complete request is closed whatever `X-Remaining` says; the protocol requires this
/// within 3 s. Otherwise such clients could hold connections. The 3 s are not measured here; the test checks that an idle connection
/// that has carried two requests is still open afterwards.
#[test_case("" => None ; "no bytes")]
#[test_case("POST /pay?key=7 HTTP/1.1\r\nHost:" => None ; "partial head")]
#[test_case("POST /pay?key=7 HTTP/1.1\r\nHost: svc\r\nX-Txn: 1\r\nX-Plan: team\r\nX-Remaining: 9000000m\r\n\
    X-Quota: units=1,spread=1,first=0\r\nContent-Length: 10\r\n\r\nhalf" => Some(408) ; "partial body")]
fn incomplete_request_is_ended_in_time(text: &str) -> Option<u16> {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut returning_client = program.client();
    assert!((0..2).all(|customer| returning_client.request("look", customer, 1).status() == 200));
    let response = program.client().call(text);
    assert_eq!(returning_client.request("look", 2, 1).status(), 200);
    response.map(|response| response.status())
}

/// A connection that stays idle after its first request is closed, and one that has carried several requests stays open for
/// longer. Otherwise many clients that send one request each could hold all connections.
#[test]
fn connection_idle_after_one_request_is_closed() {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let (mut single_request_client, mut returning_client) = (program.client(), program.client());
    assert_eq!(single_request_client.request("look", 1, 1).status(), 200);
    assert!((2..4).all(|customer| returning_client.request("look", customer, 1).status() == 200));
    assert!(single_request_client.receive().is_none());
    assert_eq!(returning_client.request("look", 4, 1).status(), 200);
}

/// A new client is served although the connection limit has been reached by clients that send nothing, never complete a
/// request, or stay idle after one. Otherwise they would hold the connection slots that others need.
#[test_case("", 0 ; "no bytes")]
#[test_case("GET /look?key=7 HTTP/1.1\r\nHost:", 0 ; "partial head")]
#[test_case("POST /pay?key=7 HTTP/1.1\r\nHost: svc\r\nX-Txn: 1\r\nX-Plan: team\r\nX-Remaining: 9000m\r\n\
    X-Quota: units=1,spread=1,first=0\r\nContent-Length: 10\r\n\r\nhalf", 0 ; "partial body")]
#[test_case("", 1 ; "one request")]
fn idle_connections_do_not_displace_a_new_client(sent_text: &str, request_count: usize) {
    let server = ScriptedServer::start(|_| ok_response());
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["limits"]["sockets"] = 80.into();
    let program = Program::start(&config);
    let idle_clients: Vec<Client> = (0..150)
        .map(|customer| {
            let mut client = program.client();
            client.send(sent_text);
            assert!(
                (0..request_count)
                    .all(|_| client.request("look", 10 + customer, 1).status() == 200)
            );
            client
        })
        .collect();
    // None of the idle connections has reached its timeout of 2.2 s yet: the connection slot has to come from an eviction.
    assert_eq!(
        program
            .client()
            .call(&request("look", 1000, 1, "2100m"))
            .map(|response| response.status()),
        Some(200)
    );
    drop(idle_clients);
}

#[test_case("GET /look?key=7 HTTP/1.1\r\nHost: svc\r\n\r\n" => 400 ; "missing headers")]
#[test_case("GET /other HTTP/1.1\r\nHost: svc\r\n\r\n" => 400 ; "unknown class")]
#[test_case("no request at all\r\n\r\n" => 400 ; "not HTTP")]
#[test_case("POST /pay?key=7 HTTP/1.1\r\nHost: svc\r\nX-Txn: 1\r\nX-Plan: team\r\nX-Remaining: 900m\r\n\
    X-Quota: units=1,spread=1,first=0\r\nContent-Length: 65537\r\n\r\n" => 413 ; "body over the maximum length")]
#[test_case("POST /pay?key=7 HTTP/1.1\r\nHost: svc\r\nX-Txn: 1\r\nX-Plan: team\r\nX-Remaining: 50m\r\n\
    X-Quota: units=1,spread=1,first=0\r\nContent-Length: 10\r\n\r\nhalf" => 408 ; "incomplete body")]
fn invalid_request_is_rejected_with_its_status(text: &str) -> u16 {
    let program = Program::start(&config(&[]));
    program.client().call(text).expect("a response").status()
}

#[test]
fn request_without_a_server_is_rejected_in_time() {
    let program = Program::start(&config(&[]));
    assert_eq!(program.client().request("pay", 7, 1).status(), 429);
}

#[test]
fn client_disconnect_cancels_its_attempt() {
    let server = ScriptedServer::start(|_| Reaction::Hang);
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    client.send(&request("pay", 7, 1, "3000m"));
    server.next_request();
    drop(client);
    assert_eq!(server.closed.recv_timeout(TEST_TIMEOUT), Ok(0));
}

#[test]
fn request_to_a_silent_server_fails_before_the_client_deadline() {
    let server = ScriptedServer::start(|_| Reaction::Hang);
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let response = program
        .client()
        .call(&request("pay", 7, 1, "1200m"))
        .expect("a response");
    assert_eq!(
        (response.status(), server.requests.try_iter().count()),
        (502, 1)
    );
    assert_eq!(server.closed.recv_timeout(TEST_TIMEOUT), Ok(0));
}

#[test]
fn endpoint_changes_are_applied_and_invalid_messages_change_nothing() {
    let (old, new) = (
        ScriptedServer::start(|_| ok_response()),
        ScriptedServer::start(|_| ok_response()),
    );
    let (sender, messages) = channel();
    let changes = [
        instance("s-1", old.address, "draining"),
        instance("s-2", new.address, "up"),
    ];
    sender
        .send(list_changes(2, &changes).to_string())
        .expect("sent");
    // Neither a malformed message nor a closed connection changes the list: the limiter's next call asks for changes after
    // version 2.
    sender.send("{}".to_owned()).expect("sent");
    sender.send("break".to_owned()).expect("sent");
    let discovery = discovery(messages);
    let mut config = config(&[instance("s-1", old.address, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    let program = Program::start(&config);
    assert!(
        discovery
            .next_request()
            .start_line
            .contains("after=1&wait_ms=")
    );
    (0..3).for_each(|_| assert!(discovery.next_request().start_line.contains("after=2&")));
    let mut client = program.client();
    (2..6).for_each(|customer| assert_eq!(client.request("look", customer, 1).status(), 200));
    assert_eq!(
        (
            old.requests.try_iter().count(),
            new.requests.try_iter().count()
        ),
        (0, 4)
    );
}

/// A watch that gets no response is repeated on another connection. Otherwise endpoint changes would stay unknown while it
/// is silent.
#[test]
fn silent_watch_is_repeated_on_another_connection() {
    let server = ScriptedServer::start(|_| ok_response());
    let text = list_changes(2, &[instance("s-1", server.address, "up")]).to_string();
    let discovery = ScriptedServer::start(move |call| {
        if call.connection == 0 {
            Reaction::Hang
        } else {
            response("200 OK", "", &text)
        }
    });
    let mut config = config(&[]);
    config["discovery"] = discovery.address.to_string().into();
    let program = Program::start(&config);
    assert!(
        discovery
            .next_request()
            .start_line
            .contains("after=1&wait_ms=")
    );
    assert!(
        discovery
            .next_request()
            .start_line
            .contains("after=1&wait_ms=")
    );
    discovery.next_request();
    assert_eq!(program.client().request("look", 1, 1).status(), 200);
}

/// A SIGHUP moves the watch to the new discovery address. It must not end the program, lose a request in flight, or leave
/// the watch at the old address.
#[test]
fn reload_moves_the_watch_and_loses_no_request() {
    let (old, new) = (
        ScriptedServer::start(|_| Reaction::Hang),
        ScriptedServer::start(|_| ok_response()),
    );
    let silent_discovery = ScriptedServer::start(|_| Reaction::Hang);
    let mut config = config(&[instance("s-1", old.address, "up")]);
    config["discovery"] = silent_discovery.address.to_string().into();
    let program = Program::start(&config);
    let mut slow_client = program.client();
    slow_client.send(&request("pay", 1, 1, "3000m"));
    old.next_request();
    assert!(
        silent_discovery
            .next_request()
            .start_line
            .contains("after=1&")
    );
    program.reload("{}");
    let (sender, messages) = channel();
    let discovery = discovery(messages);
    // Version 0 is lower than version 1 of the cached list: each discovery numbers its versions independently.
    sender
        .send(full_list(0, &[instance("s-2", new.address, "up")]).to_string())
        .expect("sent");
    config["discovery"] = discovery.address.to_string().into();
    program.reload(&config.to_string());
    assert_eq!(silent_discovery.closed.recv_timeout(TEST_TIMEOUT), Ok(0));
    assert_eq!(
        discovery.next_request().start_line,
        "GET /discovery/hosts HTTP/1.1"
    );
    assert!(discovery.next_request().start_line.contains("after=0&"));
    assert_eq!(program.client().request("look", 2, 1).status(), 200);
    assert_eq!(
        new.next_request().start_line,
        "GET /look?key=0000000000000002 HTTP/1.1"
    );
    // The request in flight still gets its response.
    assert_eq!(
        slow_client.receive().map(|response| response.status()),
        Some(502)
    );
}

#[test]
fn quota_is_shared_by_two_limiters() {
    let server = ScriptedServer::start(|_| ok_response());
    let peers = [free_address(), free_address()];
    let programs: Vec<Program> = (0..2)
        .map(|rank| {
            let mut config = config(&[instance("s-1", server.address, "up")]);
            config["peers"] = peers.iter().map(ToString::to_string).collect();
            config["peer_listen"] = peers[rank].to_string().into();
            (config["settings"]["balancers"], config["settings"]["rank"]) = (2.into(), rank.into());
            Program::start(&config)
        })
        .collect();
    let shared_request = |units| request("look", 7, units, "3000m").replace("spread=1", "spread=2");
    let mut clients: Vec<Client> = programs.iter().map(Program::client).collect();
    assert_eq!(
        clients[0]
            .call(&shared_request(8))
            .map(|response| response.status()),
        Some(200)
    );
    // Peer messages may be lost while the peers are starting; each further request reports the total again.
    let is_reported = (0..200).any(|_| {
        thread::sleep(Duration::from_millis(20));
        let response = clients[1].call(&shared_request(8)).expect("a response");
        response.status() == 429
    });
    assert!(is_reported);
}

#[test]
fn shutdown_serves_new_clients_and_completes_requests_in_flight() {
    let (server, release) = holding_server();
    let mut program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut slow_client = program.client();
    slow_client.send(&request("pay", 1, 1, "3000m"));
    server.next_request();
    let mut idle_client = program.client();
    assert_eq!(idle_client.request("look", 2, 1).status(), 200);
    program.signal("-TERM");
    assert_eq!(program.client().request("look", 3, 1).status(), 200);
    assert!(
        idle_client.receive().is_none(),
        "the idle connection was not closed"
    );
    release.send(()).expect("the server holds the request");
    assert_eq!(
        slow_client.receive().map(|response| response.status()),
        Some(200)
    );
    assert!(program.wait().success());
}

#[test]
fn idle_connections_are_evicted_for_new_clients() {
    let server = ScriptedServer::start(|_| ok_response());
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["limits"]["sockets"] = 80.into();
    let program = Program::start(&config);
    // A client that is delayed between connecting and sending its request may be evicted as idle; it connects again.
    let connect = |customer| {
        let mut client = program.client();
        let response = client.call(&request("look", customer, 1, "3000m"))?;
        assert_eq!(response.status(), 200);
        Some(client)
    };
    let mut clients: Vec<Client> = (0..100)
        .map(|customer| (0..50).find_map(|_| connect(customer)).expect("a response"))
        .collect();
    // The newest connections are still open; the oldest were evicted.
    assert_eq!(clients[99].request("look", 1000, 1).status(), 200);
    assert!(
        clients[0]
            .call(&request("look", 1001, 1, "3000m"))
            .is_none()
    );
}

/// Starts a limiter that has reached its limit of served connections, or will soon: each of the returned clients waits for
/// the response to a request at a server that hangs.
fn busy_limiter() -> (ScriptedServer, Program, Vec<Client>) {
    let server = ScriptedServer::start(|_| Reaction::Hang);
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["limits"]["sockets"] = 80.into();
    (
        config["settings"]["classes"][2]["promiseS"],
        config["settings"]["classes"][2]["hardLimitS"],
    ) = (20.into(), 30.into());
    let program = Program::start(&config);
    let waiting_clients = (0..45)
        .map(|customer| {
            let mut client = program.client();
            client.send(&request("pay", customer, 1, "25000m"));
            client
        })
        .collect();
    server.next_request();
    (server, program, waiting_clients)
}

#[test]
fn request_over_the_limit_of_served_connections_is_rejected_with_503() {
    let (_server, program, waiting_clients) = busy_limiter();
    // The order in which the limiter reads connections is undefined, so requests are repeated until the limit of served
    // connections is reached.
    let rejected = (0..100).find_map(|_| {
        let response = program.client().call(&request("pay", 100, 1, "200m"))?;
        (response.status() == 503).then_some(response)
    });
    drop(waiting_clients);
    let rejected = rejected.expect("a rejected request");
    assert_eq!(
        (rejected.body.as_str(), rejected.header("connection")),
        ("too many connections\n", Some("close"))
    );
}

#[test]
fn client_deadline_counts_from_the_head() {
    let server = ScriptedServer::start(|_| ok_response());
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    let text = request("pay", 7, 1, "3000m");
    let (head, body) = text.split_at(text.len() - 1);
    client.send(head);
    thread::sleep(Duration::from_millis(150));
    assert!(server.requests.try_recv().is_err());
    client.send(body);
    let remaining_ms = server
        .next_request()
        .header("x-remaining")
        .and_then(|text| text.strip_suffix('m')?.parse::<u32>().ok());
    assert!(remaining_ms.is_some_and(|ms| ms < 2900), "{remaining_ms:?}");
}

#[test]
fn invalid_configuration_is_rejected_with_its_key() {
    let mut config = config(&[]);
    config["limits"]["sockets"] = "many".into();
    let ExitReport {
        status,
        stderr: text,
    } = Program::run_to_exit(&config);
    assert!(
        !status.success() && text.contains("limits.sockets: invalid type"),
        "{text}"
    );
}
