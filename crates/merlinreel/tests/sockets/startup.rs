//! Limiters that start or restart while discovery is down or clients use most file descriptors.

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

/// Maximum time from the start of a process until it is ready.
const MAX_STARTUP_TIME: Duration = Duration::from_secs(10);
/// The operating system's limit on the file descriptors of a process.
const MAX_DESCRIPTORS: u32 = 256;

/// A discovery stub that accepts calls and sends no response until a list is published. From then on each call gets the
/// list unless it asks for changes after version 2.
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
                Some(text) if !call.start_line.contains("after=2&") => response("200 OK", "", text),
                _ => Reaction::Hang,
            });
        SilentDiscovery { stub, list }
    }

    /// Responds to later calls with this list, which must have version 2.
    fn publish(&self, list: &Value) {
        *self.list.lock().expect("not poisoned") = Some(list.to_string());
    }
}

/// A thread that keeps `size` connections to a limiter open and replaces the oldest again and again. A request is sent on
/// each connection of a customer with an even number, and nothing on the others.
struct ClientBurst {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ClientBurst {
    fn start(address: SocketAddr, size: usize) -> ClientBurst {
        let stop: Arc<AtomicBool> = Arc::default();
        let should_stop = stop.clone();
        let handle = thread::spawn(move || {
            let mut clients = VecDeque::new();
            for customer in 10_000.. {
                if should_stop.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(mut client) = Client::connect(address) else {
                    continue;
                };
                if customer % 2 == 0 {
                    client.send(&request("look", customer, 1, "3000m"));
                }
                clients.push_back(client);
                if clients.len() > size {
                    // Drops the oldest connection, which the limiter closed long ago.
                    clients.pop_front();
                    // Leaves processor time to the other processes of the machine.
                    thread::sleep(Duration::from_millis(1));
                }
            }
        });
        ClientBurst {
            stop,
            thread: Some(handle),
        }
    }
}

impl Drop for ClientBurst {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Whether `call`, a request that a server received, is from one of `customers`.
fn is_from(customers: &Range<u64>, call: &Message) -> bool {
    let key = call
        .start_line
        .split("key=")
        .nth(1)
        .and_then(|rest| rest.get(..16));
    key.and_then(|key| u64::from_str_radix(key, 16).ok())
        .is_some_and(|key| customers.contains(&key))
}

/// Asserts that each of these customers is served on a new connection. A client that is delayed between connecting and
/// sending its request may be evicted as idle; it connects again, as clients do.
fn assert_served(process: &LimitedProcess, customers: Range<u64>) {
    for customer in customers {
        let connect = |_| {
            process
                .client()
                .call(&request("look", customer as u32, 1, "3000m"))
        };
        assert_eq!(
            (0..50).find_map(connect).map(|response| response.status()),
            Some(200),
            "{customer}"
        );
    }
}

/// A burst of clients holds all descriptors available to clients while discovery is down. A new client is served from the
/// cached list all the same, and the endpoint list is applied once discovery is back: calls to discovery always have a
/// descriptor.
#[test]
fn burst_of_clients_does_not_keep_the_endpoint_list_out() {
    let (old, new) = (
        ScriptedServer::start(|_| ok_response()),
        ScriptedServer::start(|_| ok_response()),
    );
    let discovery = SilentDiscovery::start();
    let mut config = config(&[instance("s-1", old.address, "up")]);
    config["discovery"] = discovery.stub.address.to_string().into();
    config["limits"]["sockets"] = MAX_DESCRIPTORS.into();
    let process = LimitedProcess::start(&config, MAX_DESCRIPTORS);
    assert!(process.is_ready_by(Instant::now() + MAX_STARTUP_TIME));
    let burst = ClientBurst::start(process.address, 400);
    let deadline = Instant::now() + TEST_TIMEOUT;
    let open_counts = std::iter::repeat_with(|| process.open_descriptors())
        .take_while(|_| Instant::now() < deadline);
    assert!(
        { open_counts }.any(|count| count > MAX_DESCRIPTORS as usize / 2),
        "the burst never used more than half of the descriptors"
    );
    assert!(process.is_ready_by(Instant::now() + MAX_STARTUP_TIME));
    assert_served(&process, 1..11);
    assert_eq!(
        old.requests
            .try_iter()
            .filter(|call| is_from(&(1..11), call))
            .count(),
        10
    );
    discovery.publish(&full_list(
        2,
        &[
            instance("s-1", old.address, "draining"),
            instance("s-2", new.address, "up"),
        ],
    ));
    // Once the next call arrives, the list is in the event loop's queue.
    while !discovery
        .stub
        .next_request()
        .start_line
        .contains("after=2&")
    {}
    assert_served(&process, 11..21);
    drop(burst);
    assert_eq!(
        old.requests
            .try_iter()
            .filter(|call| is_from(&(11..21), call))
            .count(),
        0,
        "requests to the draining server"
    );
    assert_eq!(
        new.requests
            .try_iter()
            .filter(|call| is_from(&(11..21), call))
            .count(),
        10
    );
}

/// How discovery fails while the fleet restarts.
#[derive(Clone, Copy)]
enum Outage {
    Silent,
    Refusing,
}

/// A fleet starts although discovery is down: ten processes are killed and restarted at once, at least nine of them are
/// ready in time, and all then serve.
#[test_case(Outage::Silent ; "discovery is silent")]
#[test_case(Outage::Refusing ; "discovery refuses connections")]
fn fleet_killed_during_an_outage_is_ready_in_time(outage: Outage) {
    let server = ScriptedServer::start(|_| ok_response());
    let discovery = ScriptedServer::start(|_| Reaction::Hang);
    let discovery_address = match outage {
        Outage::Silent => discovery.address,
        Outage::Refusing => free_address(),
    };
    let start = |_| {
        let mut config = config(&[instance("s-1", server.address, "up")]);
        config["discovery"] = discovery_address.to_string().into();
        LimitedProcess::start(&config, MAX_DESCRIPTORS)
    };
    let mut fleet: Vec<LimitedProcess> = (0..10).map(start).collect();
    let deadline = Instant::now() + TEST_TIMEOUT;
    assert!(fleet.iter().all(|process| process.is_ready_by(deadline)));
    fleet.iter_mut().for_each(LimitedProcess::kill);
    let deadline = Instant::now() + MAX_STARTUP_TIME;
    fleet.iter_mut().for_each(LimitedProcess::restart);
    let ready = thread::scope(|scope| {
        let checks: Vec<_> = fleet
            .iter()
            .map(|process| scope.spawn(move || process.is_ready_by(deadline)))
            .collect();
        checks
            .into_iter()
            .filter_map(|check| check.join().ok())
            .filter(|ready| *ready)
            .count()
    });
    assert!(ready >= 9, "{ready} of 10");
    for (customer, process) in (0..).zip(&fleet) {
        assert_eq!(process.client().request("look", customer, 1).status(), 200);
    }
}

/// A discovery stub that sends each response in small pieces, the next one whenever a further call arrives.
struct TricklingDiscovery {
    address: SocketAddr,
    call_count: Arc<(Mutex<usize>, Condvar)>,
    completed_responses: Arc<AtomicUsize>,
}

impl TricklingDiscovery {
    fn start(list: &Value, piece_count: usize) -> TricklingDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let call_count: Arc<(Mutex<usize>, Condvar)> = Arc::default();
        let completed_responses: Arc<AtomicUsize> = Arc::default();
        let text = list.to_string();
        let (current_count, completed) = (call_count.clone(), completed_responses.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (call_count, completed, text) =
                    (current_count.clone(), completed.clone(), text.clone());
                *call_count.0.lock().expect("not poisoned") += 1;
                call_count.1.notify_all();
                thread::spawn(move || {
                    respond_in_pieces(&mut stream, &text, piece_count, &call_count, &completed)
                });
            }
        });
        TricklingDiscovery {
            address,
            call_count,
            completed_responses,
        }
    }

    fn calls(&self) -> usize {
        *self.call_count.0.lock().expect("not poisoned")
    }
}

/// Responds to one call: sends the head and the first piece, and then a piece whenever a further call arrives.
fn respond_in_pieces(
    stream: &mut TcpStream,
    text: &str,
    piece_count: usize,
    call_count: &(Mutex<usize>, Condvar),
    completed: &AtomicUsize,
) -> std::io::Result<()> {
    let mut head = [0; 1024];
    let _ = stream.read(&mut head)?;
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
        text.len()
    )?;
    for piece in text.as_bytes().chunks(text.len().div_ceil(piece_count)) {
        stream.write_all(piece)?;
        let current = call_count.0.lock().expect("not poisoned");
        let before = *current;
        drop(call_count.1.wait_while(current, |now| *now == before));
    }
    completed.fetch_add(1, Ordering::SeqCst);
    Ok(())
}

/// A slow first list does not delay a start: the process is ready in time with the cached list, and applies the slow one
/// later. The slow list takes far longer than a start may wait for it, and longer than it takes to make as many calls as
/// may be open at once.
#[test]
fn trickling_first_list_delays_no_start_and_is_applied_later() {
    const PIECE_COUNT: usize = 8;
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
    let discovery = TricklingDiscovery::start(&list, PIECE_COUNT);
    let mut config = config(&[instance("s-1", old.address, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    let process = LimitedProcess::start(&config, MAX_DESCRIPTORS);
    assert!(process.is_ready_by(Instant::now() + MAX_STARTUP_TIME));
    assert_eq!(
        discovery.completed_responses.load(Ordering::SeqCst),
        0,
        "the first list was complete before the process was ready"
    );
    assert_eq!(process.client().request("look", 1, 1).status(), 200);
    assert_eq!(
        old.next_request().start_line,
        "GET /look?key=0000000000000001 HTTP/1.1"
    );
    let deadline = Instant::now() + TEST_TIMEOUT;
    let first_customer = (2..=u32::MAX).find(|&customer| {
        assert_eq!(process.client().request("look", customer, 1).status(), 200);
        new.requests.try_iter().count() > 0 || Instant::now() >= deadline
    });
    assert!(
        Instant::now() < deadline,
        "the list was not applied after {} calls",
        discovery.calls()
    );
    // The limiter has now applied the list, in which the old server drains, and must send it no more requests.
    let _ = old.requests.try_iter().count();
    for customer in first_customer.unwrap_or(0) + 1..first_customer.unwrap_or(0) + 6 {
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

/// Clients that have connected are answered although their process is shut down while it still waits for a silent
/// discovery.
#[test]
fn shutdown_during_startup_answers_connected_clients() {
    let server = ScriptedServer::start(|_| ok_response());
    let discovery = ScriptedServer::start(|_| Reaction::Hang);
    let mut config = config(&[instance("s-1", server.address, "up")]);
    config["discovery"] = discovery.address.to_string().into();
    let mut process = LimitedProcess::start(&config, MAX_DESCRIPTORS);
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut client = std::iter::repeat_with(|| Client::connect(process.address).ok())
        .take_while(|_| Instant::now() < deadline)
        .flatten()
        .next()
        .expect("a connection");
    client.send(&request("pay", 1, 1, "3000m"));
    process.signal("-TERM");
    assert_eq!(
        client.receive().map(|response| response.status()),
        Some(200)
    );
    assert!(process.wait().success());
}

/// All clients that connect while a process accepts no connections, because it is suspended or accept fails, fit into the
/// listener's backlog and are answered. The kernel drops connection attempts that do not fit, which clients repeat only
/// after a second.
#[test]
fn clients_that_connect_to_a_suspended_process_are_answered() {
    const CLIENT_COUNT: usize = 500;
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
    let mut waiting_clients: Vec<Client> = (0..CLIENT_COUNT).map_while(connect).collect();
    program.signal("-CONT");
    assert_eq!(waiting_clients.len(), CLIENT_COUNT);
    assert!(waiting_clients.iter_mut().all(|client| {
        client
            .receive()
            .is_some_and(|response| response.status() == 200)
    }));
}
