//! Limiters that start or restart while discovery is down or their descriptors are in use.

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

/// A process must be ready within this of its start.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Descriptors that the system allows a process where they are short.
const DESCRIPTORS: u32 = 256;

/// A discovery stub that accepts calls and is silent until it is given a list; then each call gets that.
struct SilentDiscovery {
    stub: ScriptedServer,
    list: Arc<Mutex<Option<String>>>,
}

impl SilentDiscovery {
    fn start() -> SilentDiscovery {
        let list = Arc::new(Mutex::new(None::<String>));
        let current = list.clone();
        let stub =
            ScriptedServer::start(move |call| match &*current.lock().expect("not poisoned") {
                Some(text) if !call.first.contains("after=2&") => response("200 OK", "", text),
                _ => Reaction::Hang,
            });
        SilentDiscovery { stub, list }
    }

    fn speak(&self, list: &Value) {
        *self.list.lock().expect("not poisoned") = Some(list.to_string());
    }
}

/// Clients that connect and stay, so many at a time, with a new one for each that the limiter closes: one in two sends a
/// request, the others send nothing.
struct ClientBurst {
    over: Arc<AtomicBool>,
    coming: Option<JoinHandle<()>>,
}

impl ClientBurst {
    fn start(address: SocketAddr, size: usize) -> ClientBurst {
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
                    // The oldest: closed long ago.
                    here.pop_front();
                    // A pause between two that connect, for other processes of this machine.
                    thread::sleep(Duration::from_millis(1));
                }
            }
        });
        ClientBurst {
            over,
            coming: Some(coming),
        }
    }
}

impl Drop for ClientBurst {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        let _ = self.coming.take().map(JoinHandle::join);
    }
}

/// Whether a request at a server is of one of these customers.
fn is_of(customers: &Range<u64>, call: &Message) -> bool {
    let key = call
        .first
        .split("key=")
        .nth(1)
        .and_then(|rest| rest.get(..16));
    key.and_then(|key| u64::from_str_radix(key, 16).ok())
        .is_some_and(|key| customers.contains(&key))
}

/// Each of these customers connects for the first time and is served. One that is delayed between its connection and its
/// request may be evicted as idle: it connects again, as clients do.
fn assert_served(process: &LimitedProcess, customers: Range<u64>) {
    for customer in customers {
        let connect = |_| {
            process
                .client()
                .call(&request("look", customer as u32, 1, "3000m"))
        };
        assert_eq!(
            (0..50).find_map(connect).map(|answer| answer.status()),
            Some(200),
            "{customer}"
        );
    }
}

/// Discovery is down, and clients that stay use all descriptors that clients may: a new client is served by the list of the
/// configuration, and once discovery is back its list is applied. The calls to discovery never lack a descriptor.
#[test]
fn burst_of_clients_does_not_keep_the_endpoint_list_out() {
    let (old, new) = (
        ScriptedServer::start(|_| ok_response()),
        ScriptedServer::start(|_| ok_response()),
    );
    let discovery = SilentDiscovery::start();
    let mut config = config(&[instance("s-1", old.address, "up")]);
    config["discovery"] = discovery.stub.address.to_string().into();
    config["limits"]["sockets"] = DESCRIPTORS.into();
    let process = LimitedProcess::start(&config, DESCRIPTORS);
    assert!(process.is_ready_by(Instant::now() + READY_WITHIN));
    let burst = ClientBurst::start(process.address, 400);
    let until = Instant::now() + TEST_TIMEOUT;
    let most =
        std::iter::repeat_with(|| process.descriptors()).take_while(|_| Instant::now() < until);
    assert!(
        { most }.any(|open| open > DESCRIPTORS as usize / 2),
        "never full"
    );
    assert!(process.is_ready_by(Instant::now() + READY_WITHIN));
    assert_served(&process, 1..11);
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
    // The call after the list's: the list is in the event loop's queue by then.
    while !discovery.stub.next_request().first.contains("after=2&") {}
    assert_served(&process, 11..21);
    drop(burst);
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
enum Outage {
    Silent,
    Refusing,
}

/// Ten processes killed at once and restarted: nine of them are ready in time, whatever discovery does, and serve.
#[test_case(Outage::Silent ; "discovery is silent")]
#[test_case(Outage::Refusing ; "discovery refuses")]
fn fleet_killed_during_an_outage_is_ready_in_time(outage: Outage) {
    let server = ScriptedServer::start(|_| ok_response());
    let discovery = ScriptedServer::start(|_| Reaction::Hang);
    let at = match outage {
        Outage::Silent => discovery.address,
        Outage::Refusing => free_address(),
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

/// A discovery stub whose responses come in small pieces, each once another call has come.
struct TricklingDiscovery {
    address: SocketAddr,
    steps: Arc<(Mutex<usize>, Condvar)>,
    complete: Arc<AtomicUsize>,
}

impl TricklingDiscovery {
    fn start(list: &Value, pieces: usize) -> TricklingDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let steps: Arc<(Mutex<usize>, Condvar)> = Arc::default();
        let complete: Arc<AtomicUsize> = Arc::default();
        let text = list.to_string();
        let (serving, finished) = (steps.clone(), complete.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (steps, finished, text) = (serving.clone(), finished.clone(), text.clone());
                *steps.0.lock().expect("not poisoned") += 1;
                steps.1.notify_all();
                thread::spawn(move || trickle(&mut stream, &text, pieces, &steps, &finished));
            }
        });
        TricklingDiscovery {
            address,
            steps,
            complete,
        }
    }

    fn calls(&self) -> usize {
        *self.steps.0.lock().expect("not poisoned")
    }
}

/// Answers one call, with a piece at each further call.
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
        let seen = steps.0.lock().expect("not poisoned");
        let before = *seen;
        drop(steps.1.wait_while(seen, |now| *now == before));
    }
    finished.fetch_add(1, Ordering::SeqCst);
    Ok(())
}

/// Discovery's first list takes far longer than a start may wait for it, and longer than it takes to make as many calls as
/// may be open at once: the start is in time with the list of the configuration, and the trickling one is applied later.
#[test]
fn trickling_first_list_delays_no_start_and_is_applied_later() {
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
    let discovery = TricklingDiscovery::start(&list, PIECES);
    let mut config = config(&[instance("s-1", old.address, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    let process = LimitedProcess::start(&config, DESCRIPTORS);
    assert!(process.is_ready_by(Instant::now() + READY_WITHIN));
    assert_eq!(
        discovery.complete.load(Ordering::SeqCst),
        0,
        "it started with its own list"
    );
    assert_eq!(process.client().request("look", 1, 1).status(), 200);
    assert_eq!(
        old.next_request().first,
        "GET /look?key=0000000000000001 HTTP/1.1"
    );
    let until = Instant::now() + TEST_TIMEOUT;
    let taken = (2..=u32::MAX).find(|&customer| {
        assert_eq!(process.client().request("look", customer, 1).status(), 200);
        new.requests.try_iter().count() > 0 || Instant::now() >= until
    });
    assert!(
        Instant::now() < until,
        "not applied after {} calls",
        discovery.calls()
    );
    // Once it is known to drain it gets no more requests.
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

/// A process that is shut down before it ever served, while it waits for silent discovery: clients that connected meanwhile
/// are answered all the same.
#[test]
fn shutdown_during_startup_answers_connected_clients() {
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

/// A process that is paused for a moment, as one whose accept fails is: all clients that connect meanwhile wait on its socket,
/// and are answered. The kernel drops what does not fit into a listener's backlog, and its client tries again only after a
/// second.
#[test]
fn clients_that_connect_to_a_paused_process_are_answered() {
    const CLIENTS: usize = 500;
    let mut config = config(&[]);
    config["limits"]["sockets"] = 1024.into();
    let program = Program::start(&config);
    program.signal("-STOP");
    let connect = |_| {
        let mut client =
            Client::connect_within(program.address, Duration::from_millis(500)).ok()?;
        client.send("GET /up HTTP/1.1\r\nHost: svc\r\n\r\n");
        Some(client)
    };
    let mut waiting: Vec<Client> = (0..CLIENTS).map_while(connect).collect();
    program.signal("-CONT");
    assert_eq!(waiting.len(), CLIENTS);
    assert!(waiting.iter_mut().all(|client| {
        client
            .receive()
            .is_some_and(|answer| answer.status() == 200)
    }));
}
