//! The graceful shutdown of the program, with clients that never stop sending, and a process that starts while discovery
//! knows more than it does.

use merlinreel_testkit::*;
use serde_json::Value;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

/// Whether a response announces that its connection closes.
fn closing(answer: &Message) -> bool {
    answer
        .header("connection")
        .is_some_and(|value| value == "close")
}

/// Calls until a response announces that its connection closes: from then on connections are closed between requests.
fn wait_until_closing(program: &Program) {
    let closes = || {
        let answer = program
            .client()
            .call("GET /up HTTP/1.1\r\nHost: svc\r\n\r\n");
        answer.is_some_and(|answer| closing(&answer))
    };
    let announced = (0..2000).any(|_| {
        thread::sleep(Duration::from_millis(1));
        closes()
    });
    assert!(announced, "no response announced the close");
}

/// What one of the busy clients saw.
#[derive(Default)]
struct Seen {
    sent: usize,
    /// Closed without a response and unannounced.
    unanswered: usize,
    /// Connections that ended with a response that announced it.
    announced: usize,
}

/// Sends requests on a connection for as long as it stays open, and then on the next, until none can be established.
fn send_until_stopped(
    address: std::net::SocketAddr,
    customer: u32,
    stop: &AtomicBool,
    pause: Duration,
) -> Seen {
    let mut seen = Seen::default();
    while let Ok(mut client) = Client::connect(address) {
        loop {
            if stop.load(Ordering::Relaxed) {
                return seen;
            }
            seen.sent += 1;
            match client.call(&request("look", customer, 1, "3000m")) {
                None => {
                    seen.unanswered += 1;
                    break;
                }
                Some(answer) if closing(&answer) => {
                    seen.announced += 1;
                    break;
                }
                Some(_) => thread::sleep(pause),
            }
        }
    }
    seen
}

/// Clients send on every connection that stays open, and on new ones up to the end: fewer than one request in 200 may meet a
/// connection that closes without a response.
#[test]
fn busy_clients_are_answered_throughout_a_shutdown() {
    let server = ScriptedServer::start(|_| ok_response());
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["limits"]["sockets"] = 1024.into();
    config["settings"]["packages"][0]["unitsPerS"] = 1e6.into();
    config["settings"]["packages"][0]["mostAtOnce"] = 1e6.into();
    let mut program = Program::start(&config);
    let (stop, connected) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let clients: Vec<_> = (0..40)
        .map(|customer| {
            let (address, stop, connected) = (program.address, stop.clone(), connected.clone());
            thread::spawn(move || {
                connected.fetch_add(1, Ordering::Relaxed);
                // Some leave their connection idle for longer than others.
                send_until_stopped(
                    address,
                    customer,
                    &stop,
                    Duration::from_millis(u64::from(customer % 8) * 15),
                )
            })
        })
        .collect();
    while connected.load(Ordering::Relaxed) < 40 {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(200));
    program.signal("-TERM");
    let ended = program.wait();
    stop.store(true, Ordering::Relaxed);
    let seen: Vec<Seen> = clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .collect();
    let sum = |of: fn(&Seen) -> usize| seen.iter().map(of).sum::<usize>();
    let (sent, unanswered, announced) =
        (sum(|s| s.sent), sum(|s| s.unanswered), sum(|s| s.announced));
    assert!(ended.success());
    assert!(announced >= 40, "{announced} announced closes");
    eprintln!("busy clients: {unanswered} of {sent} unanswered, {announced} announced");
    assert!(
        sent > 400 && unanswered * 200 < sent,
        "{unanswered} of {sent} had no response"
    );
}

/// Half a request is there as the shutdown begins, the rest comes once connections are closed: it is served like any other.
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
    wait_until_closing(&program);
    // Longer than an idle connection is kept by then.
    thread::sleep(Duration::from_millis(300));
    client.send(rest);
    let answer = client.receive().expect("an answer");
    assert!(answer.status() == 200 && closing(&answer));
    assert!(program.wait().success());
}

/// A client that reads nothing until the shutdown has closed all other connections still gets its complete response.
#[test]
fn slow_reader_at_shutdown_gets_its_complete_response() {
    const LENGTH: usize = 24 << 20;
    let long = "x".repeat(LENGTH);
    let server = ScriptedServer::start(move |_| response("200 OK", "", &long));
    let mut program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    client.send(&request("look", 7, 1, "3000m"));
    server.next_request();
    program.signal("-TERM");
    wait_until_closing(&program);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        client.receive().map(|answer| answer.body.len()),
        Some(LENGTH)
    );
    assert!(program.wait().success());
}

/// Starts a limiter in a thread of its own, whose wait for discovery's first list is as long as the test says; it ends with
/// the test's process.
fn start_here(config: &Value, first_list: Duration) {
    let mut gateway_config =
        merlinreel::config::parse(&config.to_string(), |_| None).expect("sound");
    gateway_config.limits.endpoints.first_list_timeout = first_list;
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

/// Sends a request in a thread of its own, as soon as the socket is there; returns where its status arrives.
fn first_request(config: &Value) -> mpsc::Receiver<u16> {
    let address: std::net::SocketAddr = config["listen"]
        .as_str()
        .expect("an address")
        .parse()
        .expect("one");
    let (sender, status) = channel();
    thread::spawn(move || {
        let client = (0..2000).find_map(|_| {
            thread::sleep(Duration::from_millis(5));
            Client::connect(address).ok()
        });
        let answer = client
            .expect("a socket")
            .call(&request("pay", 7, 1, "3000m"));
        let _ = sender.send(answer.map_or(0, |answer| answer.status()));
    });
    status
}

/// Discovery knows of a drain that the list cached before the start does not have: nothing is sent to that server, however
/// long discovery takes, as what discovery knows counts from the first moment on.
#[test]
fn new_process_waits_for_the_first_endpoint_list() {
    let (old, new) = (
        ScriptedServer::start(|_| ok_response()),
        ScriptedServer::start(|_| ok_response()),
    );
    let (lists, queue) = channel();
    let discovery = discovery(queue);
    let mut config = config(&[instance("s-1", old.address, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    start_here(&config, TEST_TIMEOUT);
    let answered = first_request(&config);
    assert!(
        discovery
            .next_request()
            .first
            .contains("after=1&wait_ms=10 ")
    );
    // Long enough for an attempt at the old one, were it allowed.
    assert!(answered.recv_timeout(Duration::from_millis(400)).is_err());
    let changes = [
        instance("s-1", old.address, "draining"),
        instance("s-2", new.address, "up"),
    ];
    // Lists may come indented.
    lists
        .send(serde_json::to_string_pretty(&list_changes(2, &changes)).expect("text"))
        .expect("sent");
    assert_eq!(answered.recv_timeout(TEST_TIMEOUT), Ok(200));
    assert_eq!(
        (
            old.requests.try_iter().count(),
            new.requests.try_iter().count()
        ),
        (0, 1)
    );
}

/// Silent discovery delays a start for a limited time: then the cached list is used.
#[test]
fn silent_discovery_delays_the_start_for_a_limited_time() {
    let server = ScriptedServer::start(|_| ok_response());
    let silent = ScriptedServer::start(|_| Reaction::Hang);
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["discovery"] = silent.address.to_string().into();
    start_here(&config, Duration::from_millis(50));
    assert_eq!(first_request(&config).recv_timeout(TEST_TIMEOUT), Ok(200));
}

/// Watches that fail in a row: silent, silent after the head of a response, closed. The next call is answered.
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
    assert_eq!(connections, [0, 1, 2, 3], "each on a connection of its own");
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

/// SIGHUP brings shorter deadlines: the process may be killed the longest of them and 0.7 s after SIGTERM. A request that
/// arrives late in the shutdown, at a server that hangs, has its response before that.
#[test]
fn shutdown_ends_by_the_deadlines_in_force() {
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
    let (half, rest) = text.split_at(40);
    let mut client = program.client();
    client.send(half);
    // Longer than a reload takes.
    thread::sleep(Duration::from_millis(300));
    let requested_at = std::time::Instant::now();
    program.signal("-TERM");
    thread::sleep(Duration::from_millis(900));
    client.send(rest);
    assert!(client.receive().is_some());
    assert!(
        requested_at.elapsed() < Duration::from_millis(1700),
        "{:?}",
        requested_at.elapsed()
    );
    assert!(program.wait().success());
}

/// Nobody reads the log any more: the limiter continues without it.
#[test]
fn unwritable_log_is_ignored() {
    let server = ScriptedServer::start(|_| ok_response());
    let mut program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    program.close_stderr();
    // A body that is too long is logged.
    let text = request("pay", 7, 1, "900m").replace("Content-Length: 6", "Content-Length: 65537");
    assert_eq!(
        program.client().call(&text).map(|answer| answer.status()),
        Some(413)
    );
    program.reload("{}");
    assert_eq!(program.client().request("pay", 8, 1).status(), 200);
    program.signal("-TERM");
    assert!(program.wait().success());
}

/// Three signals to shut down, with reloads before and between them, are one shutdown. Requests in flight, at a server that
/// hangs, have their response before the process may be killed.
#[test]
fn repeated_signals_are_one_shutdown() {
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
    let requested_at = std::time::Instant::now();
    for signal in ["-HUP", "-TERM", "-HUP", "-TERM", "-HUP", "-TERM"] {
        program.signal(signal);
        thread::sleep(Duration::from_millis(20));
    }
    assert!(clients.iter_mut().all(|client| client.receive().is_some()));
    assert!(program.wait().success());
    assert!(
        requested_at.elapsed() < Duration::from_millis(3700),
        "{:?}",
        requested_at.elapsed()
    );
}
