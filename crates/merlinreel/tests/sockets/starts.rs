//! Limiters that start or start again while discovery is down or their descriptors are taken.

use super::limited_process::LimitedProcess;
use merlinreel_testkit::*;
use serde_json::Value;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Within this a process that starts is to be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Descriptors that the system lets a process have where they are short.
const DESCRIPTORS: u32 = 256;

/// A discovery that takes calls and says nothing until it is given a list; then each call has that.
struct Mute {
    standin: ScriptedServer,
    list: Arc<Mutex<Option<String>>>,
}

impl Mute {
    fn start() -> Mute {
        let list = Arc::new(Mutex::new(None::<String>));
        let told = list.clone();
        let standin = ScriptedServer::start(move |call| match &*told.lock().expect("whole") {
            Some(text) if !call.first.contains("after=2&") => response("200 OK", "", text),
            _ => Reaction::Hang,
        });
        Mute { standin, list }
    }

    fn speak(&self, list: &Value) {
        *self.list.lock().expect("whole") = Some(list.to_string());
    }
}

/// Clients that come and stay, so many at a time, and come again for each that the limiter lets go of: one in two asks
/// once, the others never say a word.
struct Crowd {
    over: Arc<AtomicBool>,
    coming: Option<JoinHandle<()>>,
}

impl Crowd {
    fn start(address: SocketAddr, size: usize) -> Crowd {
        let over: Arc<AtomicBool> = Arc::default();
        let ends = over.clone();
        let coming = thread::spawn(move || {
            let mut here = VecDeque::new();
            for one in 10_000.. {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(mut client) = Client::connect(address) else {
                    continue;
                };
                if one % 2 == 0 {
                    client.send(&request("look", one, 1, "3000m"));
                }
                here.push_back(client);
                if here.len() > size {
                    // The longest here: let go of long ago.
                    here.pop_front();
                    // A pause between two that come: others of this machine have a turn.
                    thread::sleep(Duration::from_millis(1));
                }
            }
        });
        Crowd {
            over,
            coming: Some(coming),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        let _ = self.coming.take().map(JoinHandle::join);
    }
}

/// Whether a server's call is of one of these customers.
fn is_of(customers: &Range<u64>, call: &Message) -> bool {
    let key = call
        .first
        .split("key=")
        .nth(1)
        .and_then(|rest| rest.get(..16));
    key.and_then(|key| u64::from_str_radix(key, 16).ok())
        .is_some_and(|key| customers.contains(&key))
}

/// Each of these customers comes for the first time and is served. One that is held up between its connection and its
/// request may be taken for silent: it comes again, as clients do.
fn asks(process: &LimitedProcess, customers: Range<u64>) {
    for customer in customers {
        let come = |_| {
            process
                .client()
                .call(&request("look", customer as u32, 1, "3000m"))
        };
        assert_eq!(
            (0..50).find_map(come).map(|answer| answer.status()),
            Some(200),
            "{customer}"
        );
    }
}

/// Discovery is down, and clients that stay hold all descriptors that clients may: a newcomer is served by the list of the
/// configuration, and once discovery is back its list counts. Guards the calls to discovery against want of descriptors.
#[test]
fn a_crowd_while_discovery_is_silent_keeps_no_list_out() {
    let (old, new) = (
        ScriptedServer::start(|_| ok_response()),
        ScriptedServer::start(|_| ok_response()),
    );
    let discovery = Mute::start();
    let mut config = config(&[instance("s-1", old.address, "up")]);
    config["discovery"] = discovery.standin.address.to_string().into();
    config["limits"]["sockets"] = DESCRIPTORS.into();
    let process = LimitedProcess::start(&config, DESCRIPTORS);
    assert!(process.is_ready_by(Instant::now() + READY_WITHIN));
    let crowd = Crowd::start(process.address, 400);
    let until = Instant::now() + TEST_TIMEOUT;
    let most =
        std::iter::repeat_with(|| process.descriptors()).take_while(|_| Instant::now() < until);
    assert!(
        { most }.any(|open| open > DESCRIPTORS as usize / 2),
        "never full"
    );
    assert!(process.is_ready_by(Instant::now() + READY_WITHIN));
    asks(&process, 1..11);
    assert_eq!(
        old.requests
            .try_iter()
            .filter(|call| is_of(&(1..11), call))
            .count(),
        10
    );
    discovery.speak(&full_list(
        2,
        &[
            instance("s-1", old.address, "draining"),
            instance("s-2", new.address, "up"),
        ],
    ));
    // The call behind the list's: the list is in the driver's queue by then.
    while !discovery.standin.next_request().first.contains("after=2&") {}
    asks(&process, 11..21);
    drop(crowd);
    assert_eq!(
        old.requests
            .try_iter()
            .filter(|call| is_of(&(11..21), call))
            .count(),
        0,
        "it drains"
    );
    assert_eq!(
        new.requests
            .try_iter()
            .filter(|call| is_of(&(11..21), call))
            .count(),
        10
    );
}

/// What discovery does while the fleet starts again.
#[derive(Clone, Copy)]
enum Down {
    Silent,
    Refusing,
}

/// Ten processes killed at once and started again: nine of them are ready in time, whatever discovery does, and serve.
#[test_case(Down::Silent ; "discovery is silent")]
#[test_case(Down::Refusing ; "discovery refuses")]
fn a_fleet_killed_in_an_outage_is_back_in_time(down: Down) {
    let server = ScriptedServer::start(|_| ok_response());
    let discovery = ScriptedServer::start(|_| Reaction::Hang);
    let at = match down {
        Down::Silent => discovery.address,
        Down::Refusing => free_address(),
    };
    let start = |_| {
        let mut config = config(&[instance("s-1", server.address, "up")]);
        config["discovery"] = at.to_string().into();
        LimitedProcess::start(&config, DESCRIPTORS)
    };
    let mut fleet: Vec<LimitedProcess> = (0..10).map(start).collect();
    let until = Instant::now() + TEST_TIMEOUT;
    assert!(fleet.iter().all(|process| process.is_ready_by(until)));
    fleet.iter_mut().for_each(LimitedProcess::kill);
    let until = Instant::now() + READY_WITHIN;
    fleet.iter_mut().for_each(LimitedProcess::start_again);
    let ready = thread::scope(|scope| {
        let each: Vec<_> = fleet
            .iter()
            .map(|process| scope.spawn(move || process.is_ready_by(until)))
            .collect();
        each.into_iter()
            .filter_map(|one| one.join().ok())
            .filter(|ready| *ready)
            .count()
    });
    assert!(ready >= 9, "{ready} of 10");
    for (customer, process) in (0..).zip(&fleet) {
        assert_eq!(process.client().request("look", customer, 1).status(), 200);
    }
}

/// An agent whose every answer comes in small pieces, each once another call has come or a newcomer was served.
struct Trickle {
    address: SocketAddr,
    steps: Arc<(Mutex<usize>, Condvar)>,
    whole: Arc<AtomicUsize>,
}

impl Trickle {
    fn start(list: &Value, pieces: usize) -> Trickle {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let steps: Arc<(Mutex<usize>, Condvar)> = Arc::default();
        let whole: Arc<AtomicUsize> = Arc::default();
        let text = list.to_string();
        let (serving, finished) = (steps.clone(), whole.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (steps, finished, text) = (serving.clone(), finished.clone(), text.clone());
                *steps.0.lock().expect("whole") += 1;
                steps.1.notify_all();
                thread::spawn(move || trickle(&mut stream, &text, pieces, &steps, &finished));
            }
        });
        Trickle {
            address,
            steps,
            whole,
        }
    }

    fn calls(&self) -> usize {
        *self.steps.0.lock().expect("whole")
    }
}

/// Answers one call, a piece at each further call.
fn trickle(
    stream: &mut TcpStream,
    text: &str,
    pieces: usize,
    steps: &(Mutex<usize>, Condvar),
    finished: &AtomicUsize,
) -> std::io::Result<()> {
    let mut head = [0; 1024];
    let _ = stream.read(&mut head)?;
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
        text.len()
    )?;
    for piece in text.as_bytes().chunks(text.len().div_ceil(pieces)) {
        stream.write_all(piece)?;
        let seen = steps.0.lock().expect("whole");
        let before = *seen;
        drop(steps.1.wait_while(seen, |now| *now == before));
    }
    finished.fetch_add(1, Ordering::SeqCst);
    Ok(())
}

/// Discovery's first list takes far longer than a start may wait for it, and longer than it takes to make as many calls as
/// may be out at once: the start is in time with the list of the configuration, and the one that trickles comes whole.
#[test]
fn a_first_list_that_trickles_holds_no_start_up_and_counts_at_last() {
    const PIECES: usize = 8;
    let (old, new) = (
        ScriptedServer::start(|_| ok_response()),
        ScriptedServer::start(|_| ok_response()),
    );
    let list = full_list(
        2,
        &[
            instance("s-1", old.address, "draining"),
            instance("s-2", new.address, "up"),
        ],
    );
    let discovery = Trickle::start(&list, PIECES);
    let mut config = config(&[instance("s-1", old.address, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    let process = LimitedProcess::start(&config, DESCRIPTORS);
    assert!(process.is_ready_by(Instant::now() + READY_WITHIN));
    assert_eq!(
        discovery.whole.load(Ordering::SeqCst),
        0,
        "it started with its own list"
    );
    assert_eq!(process.client().request("look", 1, 1).status(), 200);
    assert_eq!(
        old.next_request().first,
        "GET /look?key=0000000000000001 HTTP/1.1"
    );
    let until = Instant::now() + TEST_TIMEOUT;
    let taken = (2..).find(|&customer: &u32| {
        assert_eq!(process.client().request("look", customer, 1).status(), 200);
        new.requests.try_iter().count() > 0 || Instant::now() >= until
    });
    assert!(
        Instant::now() < until,
        "not taken after {} calls",
        discovery.calls()
    );
    // Once it is known to drain it gets nothing more.
    let _ = old.requests.try_iter().count();
    for customer in taken.unwrap_or(0) + 1..taken.unwrap_or(0) + 6 {
        assert_eq!(process.client().request("look", customer, 1).status(), 200);
    }
    assert_eq!(
        (
            old.requests.try_iter().count(),
            new.requests.try_iter().count()
        ),
        (0, 5)
    );
}

/// A process that is asked to stop before it ever served, while it waits for a silent discovery: who connected meanwhile is
/// answered all the same.
#[test]
fn a_stop_during_a_start_answers_who_came() {
    let server = ScriptedServer::start(|_| ok_response());
    let discovery = ScriptedServer::start(|_| Reaction::Hang);
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    let mut process = LimitedProcess::start(&config, DESCRIPTORS);
    let until = Instant::now() + TEST_TIMEOUT;
    let mut client = std::iter::repeat_with(|| Client::connect(process.address).ok())
        .take_while(|_| Instant::now() < until)
        .flatten()
        .next()
        .expect("a socket");
    client.send(&request("pay", 1, 1, "3000m"));
    process.signal("-TERM");
    assert_eq!(client.receive().map(|answer| answer.status()), Some(200));
    assert!(process.end().success());
}

/// A process that stands still for a moment, as one whose accept fails does: all who connect meanwhile wait on its socket, and
/// are answered. The kernel drops what does not fit into a listener's queue, and its client tries again only after a second.
#[test]
fn who_connects_while_the_process_stands_still_is_answered() {
    const CLIENTS: usize = 500;
    let mut config = config(&[]);
    config["limits"]["sockets"] = 1024.into();
    let program = Program::start(&config);
    program.signal("-STOP");
    let come = |_| {
        let mut client =
            Client::connect_within(program.address, Duration::from_millis(500)).ok()?;
        client.send("GET /up HTTP/1.1\r\nHost: svc\r\n\r\n");
        Some(client)
    };
    let mut waiting: Vec<Client> = (0..CLIENTS).map_while(come).collect();
    program.signal("-CONT");
    assert_eq!(waiting.len(), CLIENTS);
    assert!(waiting.iter_mut().all(|client| {
        client
            .receive()
            .is_some_and(|answer| answer.status() == 200)
    }));
}
