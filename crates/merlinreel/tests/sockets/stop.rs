//! The planned stop of the program, with clients that never stop sending, and a process that starts while its agent
//! knows more than it does.

use merlinreel_testkit::*;
use serde_json::Value;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

fn closing(answer: &Message) -> bool {
    answer
        .header("connection")
        .is_some_and(|value| value == "close")
}

/// Calls until an answer tells that its connection closes: from then on connections are closed between requests.
fn until_closing(program: &Program) {
    let closes = || {
        let answer = program
            .client()
            .call("GET /up HTTP/1.1\r\nHost: svc\r\n\r\n");
        answer.is_some_and(|answer| closing(&answer))
    };
    let told = (0..2000).any(|_| {
        thread::sleep(Duration::from_millis(1));
        closes()
    });
    assert!(told, "no answer told of the closing");
}

/// What one of the clients of a full front saw.
#[derive(Default)]
struct Seen {
    sent: usize,
    /// Closed with no answer though nothing told of it.
    unanswered: usize,
    /// Connections that ended with an answer that told so.
    told: usize,
}

/// Sends on a connection for as long as it stays open, and then on the next, until none is to be had.
fn never_stops(
    address: std::net::SocketAddr,
    customer: u32,
    stop: &AtomicBool,
    beat: Duration,
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
                    seen.told += 1;
                    break;
                }
                Some(_) => thread::sleep(beat),
            }
        }
    }
    seen
}

/// Guards requests of clients that send on every connection that stays open and on new ones up to the end: fewer
/// than one in 200 may meet a connection that closes with no answer. Before, each connection that rested was closed
/// at one moment, whatever was on its way, and what waited on the socket at its end was reset.
#[test]
fn a_full_front_that_never_stops_is_answered_through_the_stop() {
    let server = StandIn::start(|_| fine());
    let mut config = config(&[listed("s-1", server.address, "up")]);
    config["limits"]["sockets"] = 1024.into();
    config["settings"]["packages"][0]["unitsPerS"] = 1e6.into();
    config["settings"]["packages"][0]["mostAtOnce"] = 1e6.into();
    let mut program = Program::start(&config);
    let (stop, begun) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let clients: Vec<_> = (0..40)
        .map(|customer| {
            let (address, stop, begun) = (program.address, stop.clone(), begun.clone());
            thread::spawn(move || {
                begun.fetch_add(1, Ordering::Relaxed);
                // Some leave their connection idle for longer than others.
                never_stops(
                    address,
                    customer,
                    &stop,
                    Duration::from_millis(u64::from(customer % 8) * 15),
                )
            })
        })
        .collect();
    while begun.load(Ordering::Relaxed) < 40 {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(200));
    program.signal("-TERM");
    let ended = program.end();
    stop.store(true, Ordering::Relaxed);
    let seen: Vec<Seen> = clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .collect();
    let sum = |of: fn(&Seen) -> usize| seen.iter().map(of).sum::<usize>();
    let (sent, unanswered, told) = (sum(|s| s.sent), sum(|s| s.unanswered), sum(|s| s.told));
    assert!(ended.success());
    assert!(told >= 40, "{told} told of their closing");
    eprintln!("front: {unanswered} of {sent}, {told} told");
    assert!(
        sent > 400 && unanswered * 200 < sent,
        "{unanswered} of {sent} had no answer"
    );
}

/// Half a request is there as the stop begins, the rest comes once connections are closed: it is a request like others.
#[test]
fn a_request_half_received_at_the_stop_is_answered() {
    let server = StandIn::start(|_| fine());
    let mut program = Program::start(&config(&[listed("s-1", server.address, "up")]));
    let mut client = program.client();
    assert!((0..2).all(|customer| client.request("look", customer, 1).status() == 200));
    let text = request("pay", 7, 1, "3000m");
    let (first, rest) = text.split_at(40);
    client.send(first);
    program.signal("-TERM");
    until_closing(&program);
    // Longer than a connection that rests is kept by then.
    thread::sleep(Duration::from_millis(300));
    client.send(rest);
    let answer = client.receive().expect("an answer");
    assert!(answer.status() == 200 && closing(&answer));
    assert!(program.end().success());
}

/// A client that reads nothing until the stop has closed all other connections still gets its answer whole.
#[test]
fn a_slow_reader_at_the_stop_gets_its_whole_answer() {
    const LENGTH: usize = 24 << 20;
    let long = "x".repeat(LENGTH);
    let server = StandIn::start(move |_| answer("200 OK", "", &long));
    let mut program = Program::start(&config(&[listed("s-1", server.address, "up")]));
    let mut client = program.client();
    client.send(&request("look", 7, 1, "3000m"));
    server.next();
    program.signal("-TERM");
    until_closing(&program);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        client.receive().map(|answer| answer.body.len()),
        Some(LENGTH)
    );
    assert!(program.end().success());
}

/// A limiter in a thread of its own, whose wait for discovery's first answer is as long as the test says; it ends with
/// the test's process.
fn start_here(config: &Value, first_list: Duration) {
    let mut station = merlinreel::config::parse(&config.to_string(), |_| None).expect("sound");
    station.limits.endpoints.first_list_timeout = first_list;
    thread::spawn(move || {
        let metrics =
            merlinreel::telemetry::metrics::Metrics::new(&station.settings.sockets.classes);
        let (_tune, settings) = tokio::sync::watch::channel(station.settings.clone());
        let (_turn, discovery) = tokio::sync::watch::channel(station.discovery);
        let (_reground, ground) = tokio::sync::watch::channel(None);
        let turns = merlinreel::ReloadChannels {
            settings,
            discovery,
            mesh: ground,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(merlinreel::run(
            station,
            None,
            metrics,
            turns,
            std::future::pending(),
        ))
    });
}

/// A request of a client that finds the socket, sent off in a thread of its own.
fn first_request(config: &Value) -> mpsc::Receiver<u16> {
    let address: std::net::SocketAddr = config["listen"]
        .as_str()
        .expect("an address")
        .parse()
        .expect("one");
    let (tell, told) = channel();
    thread::spawn(move || {
        let client = (0..2000).find_map(|_| {
            thread::sleep(Duration::from_millis(5));
            Client::connect(address).ok()
        });
        let answer = client
            .expect("a socket")
            .call(&request("pay", 7, 1, "3000m"));
        let _ = tell.send(answer.map_or(0, |answer| answer.status()));
    });
    told
}

/// The agent knows of a drain that the list held before the start does not: nothing goes to that server, however
/// long the agent takes. Guards the rule on drains: what the agent has counts as told from the first moment on.
#[test]
fn a_new_process_waits_for_what_its_agent_knows() {
    let (old, new) = (StandIn::start(|_| fine()), StandIn::start(|_| fine()));
    let (tell, told) = channel();
    let discovery = discovery(told);
    let mut config = config(&[listed("s-1", old.address, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    start_here(&config, PATIENCE);
    let answered = first_request(&config);
    assert!(discovery.next().first.contains("after=1&wait_ms=10 "));
    // Long enough for an attempt to the old one, were it allowed.
    assert!(answered.recv_timeout(Duration::from_millis(400)).is_err());
    let changes = [
        listed("s-1", old.address, "draining"),
        listed("s-2", new.address, "up"),
    ];
    // Lists may come indented.
    tell.send(serde_json::to_string_pretty(&server_list(2, false, &changes)).expect("text"))
        .expect("told");
    assert_eq!(answered.recv_timeout(PATIENCE), Ok(200));
    assert_eq!(
        (old.seen.try_iter().count(), new.seen.try_iter().count()),
        (0, 1)
    );
}

/// An agent that says nothing holds a start up for a while, not for good: the list as last held serves.
#[test]
fn a_silent_agent_holds_a_start_up_for_a_while_only() {
    let server = StandIn::start(|_| fine());
    let silent = StandIn::start(|_| React::Hang);
    let mut config = config(&[listed("s-1", server.address, "up")]);
    config["discovery"] = silent.address.to_string().into();
    start_here(&config, Duration::from_millis(50));
    assert_eq!(first_request(&config).recv_timeout(PATIENCE), Ok(200));
}

/// Watches that break in a row: silent, silent behind the head of an answer, ended. The next call has its answer.
#[test]
fn watches_broken_in_a_row_are_asked_anew_until_one_answers() {
    let (old, new) = (StandIn::start(|_| fine()), StandIn::start(|_| fine()));
    let text = server_list(2, true, &[listed("s-2", new.address, "up")]).to_string();
    let calls = AtomicUsize::new(0);
    let discovery = StandIn::start(move |_| match calls.fetch_add(1, Ordering::Relaxed) {
        0 => React::Hang,
        1 => React::Answer(
            "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"generation\":".to_owned(),
        ),
        2 => React::Break,
        3 => answer("200 OK", "", &text),
        _ => React::Hang,
    });
    let mut config = config(&[listed("s-1", old.address, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    let program = Program::start(&config);
    let ways: Vec<usize> = (0..4).map(|_| discovery.next().connection).collect();
    assert_eq!(ways, [0, 1, 2, 3], "each on a connection of its own");
    // The fifth call is made once the list is in the driver's queue.
    discovery.next();
    assert_eq!(program.client().request("look", 1, 1).status(), 200);
    assert_eq!(
        (old.seen.try_iter().count(), new.seen.try_iter().count()),
        (0, 1)
    );
}

/// SIGHUP brings shorter deadlines: the process may be killed the longest of them and 0.7 s after SIGTERM. A request that
/// arrives late in the stop, at a server that hangs, has its answer before that.
#[test]
fn a_stop_goes_by_the_deadlines_in_force() {
    let server = StandIn::start(|_| React::Hang);
    let mut config = config(&[listed("s-1", server.address, "up")]);
    let mut program = Program::start(&config);
    for class in config["settings"]["classes"]
        .as_array_mut()
        .expect("classes")
    {
        (class["promiseS"], class["hardLimitS"]) = (0.5.into(), 1.0.into());
    }
    program.turn(&config.to_string());
    let text = request("pay", 7, 1, "1000m");
    let (half, rest) = text.split_at(40);
    let mut client = program.client();
    client.send(half);
    // Longer than a file takes to be read again.
    thread::sleep(Duration::from_millis(300));
    let asked = std::time::Instant::now();
    program.signal("-TERM");
    thread::sleep(Duration::from_millis(900));
    client.send(rest);
    assert!(client.receive().is_some());
    assert!(
        asked.elapsed() < Duration::from_millis(1700),
        "{:?}",
        asked.elapsed()
    );
    assert!(program.end().success());
}

/// Nobody reads the log any more: the limiter goes on without it.
#[test]
fn a_log_that_can_not_be_written_ends_nothing() {
    let server = StandIn::start(|_| fine());
    let mut program = Program::start(&config(&[listed("s-1", server.address, "up")]));
    program.close_log();
    // A body that is too long is told in the log.
    let text = request("pay", 7, 1, "900m").replace("Content-Length: 6", "Content-Length: 65537");
    assert_eq!(
        program.client().call(&text).map(|answer| answer.status()),
        Some(413)
    );
    program.turn("{}");
    assert_eq!(program.client().request("pay", 8, 1).status(), 200);
    program.signal("-TERM");
    assert!(program.end().success());
}

/// Signals in series: three to stop, with new configurations before and between them, are one stop. What is in hand, at a
/// server that hangs, has its answer before the process may be killed.
#[test]
fn signals_in_series_are_one_stop() {
    let server = StandIn::start(|_| React::Hang);
    let config = config(&[listed("s-1", server.address, "up")]);
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
    server.next();
    let asked = std::time::Instant::now();
    for signal in ["-HUP", "-TERM", "-HUP", "-TERM", "-HUP", "-TERM"] {
        program.signal(signal);
        thread::sleep(Duration::from_millis(20));
    }
    assert!(clients.iter_mut().all(|client| client.receive().is_some()));
    assert!(program.end().success());
    assert!(
        asked.elapsed() < Duration::from_millis(3700),
        "{:?}",
        asked.elapsed()
    );
}
