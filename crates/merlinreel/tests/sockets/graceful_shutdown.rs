//! Graceful shutdown while clients keep sending requests, the start of a process while its cached endpoint list is outdated
//! or discovery is silent, and watches of the endpoint list that fail.

use merlinreel_testkit::*;
use serde_json::Value;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

/// Whether a response announces that its connection closes.
fn announces_close(response: &Message) -> bool {
    response
        .header("connection")
        .is_some_and(|value| value == "close")
}

/// Calls `/up` until a response announces that its connection closes. From then on, the limiter closes connections between
/// requests.
fn wait_until_close_is_announced(program: &Program) {
    let is_announced = || {
        let response = program
            .client()
            .call("GET /up HTTP/1.1\r\nHost: svc\r\n\r\n");
        response.is_some_and(|response| announces_close(&response))
    };
    let announced = (0..2000).any(|_| {
        thread::sleep(Duration::from_millis(1));
        is_announced()
    });
    assert!(announced, "no response announced the close");
}

/// Counts of one client that keeps sending requests.
#[derive(Default)]
struct ClientCounts {
    /// Requests that were sent, with or without a response.
    sent: usize,
    /// Requests whose connection was closed without a response and without an announcement.
    unanswered: usize,
    /// Connections whose last response announced the close.
    announced: usize,
}

/// Sends requests with `pause` between them, on one connection for as long as it stays open and then on the next, until
/// `stop` is set or no connection can be established.
fn send_until_stopped(
    address: std::net::SocketAddr,
    customer: u32,
    stop: &AtomicBool,
    pause: Duration,
) -> ClientCounts {
    let mut counts = ClientCounts::default();
    while let Ok(mut client) = Client::connect(address) {
        loop {
            if stop.load(Ordering::Relaxed) {
                return counts;
            }
            counts.sent += 1;
            match client.call(&request("look", customer, 1, "3000m")) {
                None => {
                    counts.unanswered += 1;
                    break;
                }
                Some(response) if announces_close(&response) => {
                    counts.announced += 1;
                    break;
                }
                Some(_) => thread::sleep(pause),
            }
        }
    }
    counts
}

/// Clients that send on every connection that stays open, and on new ones up to the end, are answered throughout a
/// shutdown. A connection may be closed just as a request arrives on it: fewer than one request in 200 may go unanswered
/// for that reason.
#[test]
fn busy_clients_are_answered_throughout_a_shutdown() {
    let server = ScriptedServer::start(|_| ok_response());
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["limits"]["sockets"] = 1024.into();
    config["settings"]["packages"][0]["unitsPerS"] = 1e6.into();
    config["settings"]["packages"][0]["mostAtOnce"] = 1e6.into();
    let mut program = Program::start(&config);
    let (stop, started_clients) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let clients: Vec<_> = (0..40)
        .map(|customer| {
            let (address, stop, started_clients) =
                (program.address, stop.clone(), started_clients.clone());
            thread::spawn(move || {
                started_clients.fetch_add(1, Ordering::Relaxed);
                // Clients pause for 0 to 105 ms between requests, so that connections are idle for different times.
                send_until_stopped(
                    address,
                    customer,
                    &stop,
                    Duration::from_millis(u64::from(customer % 8) * 15),
                )
            })
        })
        .collect();
    while started_clients.load(Ordering::Relaxed) < 40 {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(200));
    program.signal("-TERM");
    let status = program.wait();
    stop.store(true, Ordering::Relaxed);
    let counts: Vec<ClientCounts> = clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .collect();
    let sum = |field: fn(&ClientCounts) -> usize| counts.iter().map(field).sum::<usize>();
    let (sent, unanswered, announced) =
        (sum(|s| s.sent), sum(|s| s.unanswered), sum(|s| s.announced));
    assert!(status.success());
    assert!(announced >= 40, "{announced} announced closes");
    eprintln!(
        "clients during the shutdown: {unanswered} of {sent} requests unanswered, {announced} closes announced"
    );
    assert!(
        sent > 400 && unanswered * 200 < sent,
        "{unanswered} of {sent} had no response"
    );
}

/// A request of which only the first part has arrived when the shutdown begins is answered, although the rest arrives when
/// idle connections are already being closed. If its connection were closed with them, the request would be lost.
#[test]
fn partial_request_at_shutdown_is_answered() {
    let server = ScriptedServer::start(|_| ok_response());
    let mut program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    assert!((0..2).all(|customer| client.request("look", customer, 1).status() == 200));
    let text = request("pay", 7, 1, "3000m");
    let (first, rest) = text.split_at(40);
    client.send(first);
    program.signal("-TERM");
    wait_until_close_is_announced(&program);
    // Longer than an idle connection is kept in this stage of the shutdown.
    thread::sleep(Duration::from_millis(300));
    client.send(rest);
    let response = client.receive().expect("a response");
    assert!(response.status() == 200 && announces_close(&response));
    assert!(program.wait().success());
}

/// A client that reads nothing until the shutdown has closed all other connections still gets its complete response. The
/// shutdown must not truncate it.
#[test]
fn slow_reader_at_shutdown_gets_its_complete_response() {
    const BODY_BYTES: usize = 24 << 20;
    let body = "x".repeat(BODY_BYTES);
    let server = ScriptedServer::start(move |_| response("200 OK", "", &body));
    let mut program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    client.send(&request("look", 7, 1, "3000m"));
    server.next_request();
    program.signal("-TERM");
    wait_until_close_is_announced(&program);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        client.receive().map(|response| response.body.len()),
        Some(BODY_BYTES)
    );
    assert!(program.wait().success());
}

/// Starts a limiter on a thread of the test process, which waits for its first endpoint list no longer than
/// `first_list_timeout`. It runs until the test process ends.
fn start_in_test_process(config: &Value, first_list_timeout: Duration) {
    let mut gateway_config =
        merlinreel::config::parse(&config.to_string(), |_| None).expect("a valid configuration");
    gateway_config.limits.endpoints.first_list_timeout = first_list_timeout;
    thread::spawn(move || {
        let metrics =
            merlinreel::telemetry::metrics::Metrics::new(&gateway_config.settings.sockets.classes);
        let (_settings_sender, settings) =
            tokio::sync::watch::channel(gateway_config.settings.clone());
        let (_discovery_sender, discovery) = tokio::sync::watch::channel(gateway_config.discovery);
        let (_mesh_sender, mesh) = tokio::sync::watch::channel(None);
        let reload_channels = merlinreel::ReloadChannels {
            settings,
            discovery,
            mesh,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(merlinreel::run(
            gateway_config,
            None,
            metrics,
            reload_channels,
            std::future::pending(),
        ))
    });
}

/// Sends a request on a new thread as soon as the limiter accepts a connection. The returned receiver gets the response's
/// status, or 0 if there is none.
fn send_first_request(config: &Value) -> mpsc::Receiver<u16> {
    let address: std::net::SocketAddr = config["listen"]
        .as_str()
        .expect("`listen` is text")
        .parse()
        .expect("a socket address");
    let (sender, status) = channel();
    thread::spawn(move || {
        let client = (0..2000).find_map(|_| {
            thread::sleep(Duration::from_millis(5));
            Client::connect(address).ok()
        });
        let response = client
            .expect("a connection")
            .call(&request("pay", 7, 1, "3000m"));
        let _ = sender.send(response.map_or(0, |response| response.status()));
    });
    status
}

/// A new process serves clients only after the first list from discovery is applied, or its timeout has passed. The cached
/// endpoint list may lack a drain that discovery knows of, so that requests would go to a draining server after a restart.
#[test]
fn new_process_waits_for_the_first_endpoint_list() {
    let (old, new) = (
        ScriptedServer::start(|_| ok_response()),
        ScriptedServer::start(|_| ok_response()),
    );
    let (list_sender, lists) = channel();
    let discovery = discovery(lists);
    let mut config = config(&[instance("s-1", old.address, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    start_in_test_process(&config, TEST_TIMEOUT);
    let status = send_first_request(&config);
    assert!(
        discovery
            .next_request()
            .start_line
            .contains("after=1&wait_ms=10 ")
    );
    // Long enough for an attempt to reach the old server, if one were made.
    assert!(status.recv_timeout(Duration::from_millis(400)).is_err());
    let changes = [
        instance("s-1", old.address, "draining"),
        instance("s-2", new.address, "up"),
    ];
    // Discovery may send indented JSON.
    list_sender
        .send(serde_json::to_string_pretty(&list_changes(2, &changes)).expect("text"))
        .expect("sent");
    assert_eq!(status.recv_timeout(TEST_TIMEOUT), Ok(200));
    assert_eq!(
        (
            old.requests.try_iter().count(),
            new.requests.try_iter().count()
        ),
        (0, 1)
    );
}

/// A start waits for a silent discovery only until a timeout, and then uses the cached list. Otherwise it would wait
/// forever.
#[test]
fn silent_discovery_delays_the_start_for_a_limited_time() {
    let server = ScriptedServer::start(|_| ok_response());
    let silent = ScriptedServer::start(|_| Reaction::Hang);
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["discovery"] = silent.address.to_string().into();
    start_in_test_process(&config, Duration::from_millis(50));
    assert_eq!(
        send_first_request(&config).recv_timeout(TEST_TIMEOUT),
        Ok(200)
    );
}

/// A watch is repeated after several failures in a row, each of another kind: no response, a response that stops within its
/// body, a closed connection. The next call is answered and its list applied.
#[test]
fn failed_watches_are_repeated_until_one_is_answered() {
    let (old, new) = (
        ScriptedServer::start(|_| ok_response()),
        ScriptedServer::start(|_| ok_response()),
    );
    let text = full_list(2, &[instance("s-2", new.address, "up")]).to_string();
    let calls = AtomicUsize::new(0);
    let discovery = ScriptedServer::start(move |_| match calls.fetch_add(1, Ordering::Relaxed) {
        1 => Reaction::Respond(
            "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"generation\":".to_owned(),
        ),
        2 => Reaction::Close,
        3 => response("200 OK", "", &text),
        _ => Reaction::Hang,
    });
    let mut config = config(&[instance("s-1", old.address, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    let program = Program::start(&config);
    let connections: Vec<usize> = (0..4)
        .map(|_| discovery.next_request().connection)
        .collect();
    assert_eq!(
        connections,
        [0, 1, 2, 3],
        "each call uses a connection of its own"
    );
    // The fifth call is made once the list is in the event loop's queue.
    discovery.next_request();
    assert_eq!(program.client().request("look", 1, 1).status(), 200);
    assert_eq!(
        (
            old.requests.try_iter().count(),
            new.requests.try_iter().count()
        ),
        (0, 1)
    );
}

/// A shutdown uses the deadlines in force, not those from before a reload. The process may be killed the longest of them
/// plus 0.7 s after SIGTERM, and a request that arrives late in the shutdown, at a server that hangs, must be answered
/// before that.
#[test]
fn shutdown_uses_the_reloaded_deadlines() {
    let server = ScriptedServer::start(|_| Reaction::Hang);
    let mut config = config(&[instance("s-1", server.address, "up")]);
    let mut program = Program::start(&config);
    for class in config["settings"]["classes"]
        .as_array_mut()
        .expect("classes")
    {
        (class["promiseS"], class["hardLimitS"]) = (0.5.into(), 1.0.into());
    }
    program.reload(&config.to_string());
    let text = request("pay", 7, 1, "1000m");
    let (first_part, rest) = text.split_at(40);
    let mut client = program.client();
    client.send(first_part);
    // Longer than a reload takes.
    thread::sleep(Duration::from_millis(300));
    let signalled_at = std::time::Instant::now();
    program.signal("-TERM");
    thread::sleep(Duration::from_millis(900));
    client.send(rest);
    assert!(client.receive().is_some());
    assert!(
        signalled_at.elapsed() < Duration::from_millis(1700),
        "{:?}",
        signalled_at.elapsed()
    );
    assert!(program.wait().success());
}

/// A limiter whose log can't be written, because the read end of its standard error is closed, continues to serve, reload
/// and shut down. The failed writes must neither stop nor block it.
#[test]
fn unwritable_log_is_ignored() {
    let server = ScriptedServer::start(|_| ok_response());
    let mut program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    program.close_stderr();
    // A body over the maximum length is logged.
    let text = request("pay", 7, 1, "900m").replace("Content-Length: 6", "Content-Length: 65537");
    assert_eq!(
        program
            .client()
            .call(&text)
            .map(|response| response.status()),
        Some(413)
    );
    program.reload("{}");
    assert_eq!(program.client().request("pay", 8, 1).status(), 200);
    program.signal("-TERM");
    assert!(program.wait().success());
}

/// Repeated signals neither restart nor abort a shutdown: SIGTERM is sent three times, with SIGHUP before each. Requests in
/// flight, at a server that hangs, must be answered before the process may be killed.
#[test]
fn repeated_signals_cause_one_shutdown() {
    let server = ScriptedServer::start(|_| Reaction::Hang);
    let config = config(&[instance("s-1", server.address, "up")]);
    let mut program = Program::start(&config);
    let mut clients: Vec<Client> = (0..6).map(|_| program.client()).collect();
    for (customer, client) in (0..).zip(&mut clients) {
        client.send(&request(
            ["look", "pay"][customer as usize % 2],
            customer,
            1,
            "2500m",
        ));
    }
    server.next_request();
    let signalled_at = std::time::Instant::now();
    for signal in ["-HUP", "-TERM", "-HUP", "-TERM", "-HUP", "-TERM"] {
        program.signal(signal);
        thread::sleep(Duration::from_millis(20));
    }
    assert!(clients.iter_mut().all(|client| client.receive().is_some()));
    assert!(program.wait().success());
    assert!(
        signalled_at.elapsed() < Duration::from_millis(3700),
        "{:?}",
        signalled_at.elapsed()
    );
}
