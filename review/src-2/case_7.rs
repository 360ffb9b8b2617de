//! Case 7: customers press against a hard ceiling while limiters are upgraded, a new process beside the old one.

mod kit;
mod settings;

use kit::{Ask, Client, Discovery, Instance, Limiter, ms, record};
use settings::{Ceiling, Class, Plan, SAFE, Site};
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One second's worth may be used at once, and the slack is a tenth of that.
const CEILING: Ceiling = Ceiling { rate: 40.0, depth: 40.0, slack: 4.0 };
const CUSTOMERS: [u64; 3] = [0x51, 0x52, 0x53];
/// The platform asks the new process this often whether it can serve.
const POLL: Duration = Duration::from_millis(250);
/// Every time limit is 50 ms longer on sockets.
const SLACK_S: f64 = 0.05;

/// A customer's store as the rule has it: full at the beginning, shared by all limiters.
struct Store {
    units: f64,
    lowest: f64,
    at: Instant,
}

fn plan() -> Plan {
    Plan { name: "studio", rate: 50.0, burst: 100.0, price: 1.6, ceiling: CEILING }
}

fn class() -> Class {
    Class { name: "subset-fetch", objective_s: 0.5, deadline_s: 1.5, worth: 1.0, late_share: 0.0, rest: SAFE }
}

fn ask_customer(customer: u64) -> Ask {
    Ask { spread: 2, ..Ask::get("subset-fetch", "studio", customer, 1500) }
}

/// A client that asks 15 times a second on one connection, which it keeps until the limiter closes it. One that `leaves` closes
/// it after ten requests, and another client comes in its place with a connection of its own.
fn press(limiter: SocketAddr, customer: u64, leaves: bool, stop: &AtomicBool) {
    let mut connection: Option<Client> = None;
    for number in 1.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let next = Instant::now() + ms(66);
        if connection.is_none() {
            connection = Client::connect(limiter).ok();
        }
        let ask = ask_customer(customer);
        record(&format!("client: {} of {customer:x} sent", ask.id));
        let answer = connection.as_mut().map(|client| client.call(&ask.wire(), ms(2000)));
        match answer {
            Some(Ok(answer)) => {
                record(&format!("client: {} of {customer:x} answered {}", ask.id, answer.status()));
                if answer.closes() || leaves && number % 10 == 0 {
                    connection = None;
                }
            }
            Some(Err(error)) => {
                record(&format!("client: {} of {customer:x} without an answer: {error}", ask.id));
                connection = None;
            }
            None => {}
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn says_yes(ops: SocketAddr) -> bool {
    Client::connect(ops)
        .and_then(|mut client| {
            client.call(b"GET /healthcheck HTTP/1.1\r\nHost: ops\r\nConnection: close\r\n\r\n", ms(1000))
        })
        .is_ok_and(|answer| answer.status() / 100 == 2)
}

fn main() {
    kit::open_record();
    let stores: Arc<Mutex<HashMap<u64, Store>>> = Arc::default();
    let seen: Arc<Mutex<HashSet<String>>> = Arc::default();
    let server = |name: &'static str| {
        let (stores, seen) = (stores.clone(), seen.clone());
        kit::listen(move |stream| {
            let mut reader = BufReader::new(stream.try_clone()?);
            let mut stream = stream;
            while let Some(request) = kit::read_message(&mut reader)? {
                let id = request.header("x-txn").unwrap_or("-").to_owned();
                let customer = request
                    .start
                    .split("key=")
                    .nth(1)
                    .and_then(|rest| u64::from_str_radix(rest.get(..16)?, 16).ok())
                    .unwrap_or(0);
                if seen.lock().unwrap().insert(id.clone()) {
                    let mut stores = stores.lock().unwrap();
                    let now = Instant::now();
                    let store = stores.entry(customer).or_insert(Store {
                        units: CEILING.depth,
                        lowest: CEILING.depth,
                        at: now,
                    });
                    store.units =
                        (store.units + CEILING.rate * (now - store.at).as_secs_f64()).min(CEILING.depth) - 1.0;
                    store.at = now;
                    store.lowest = store.lowest.min(store.units);
                    record(&format!("{name}: {id} of {customer:x} arrived, the ceiling's store holds {:.2}", store.units));
                }
                thread::sleep(ms(20));
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")?;
                record(&format!("{name}: {id} ran"));
            }
            Ok(())
        })
    };
    let names = ["s-1", "s-2", "s-3", "s-4"];
    let discovery = Discovery::start(names.map(|name| Instance::up(name, server(name))).to_vec());
    let peers = vec![kit::free_address(), kit::free_address()];
    // The platform holds the clients' sockets.
    let sockets: Vec<TcpListener> = (0..2).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let config = |rank: usize, ops: SocketAddr| {
        let site = Site {
            limiters: 2,
            rank: rank as u32,
            ops: Some(ops),
            peer_listen: Some(peers[rank]),
            peers: peers.clone(),
            ..Site::single(sockets[rank].local_addr().unwrap())
        };
        site.json(&discovery, &[class()], &[plan()])
    };
    let mut limiters = Vec::new();
    for (rank, socket) in sockets.iter().enumerate() {
        let mut limiter = Limiter::start(&format!("n{rank}"), &config(rank, kit::free_address()), Some(socket));
        limiter.wait_until_up(socket.local_addr().unwrap());
        limiters.push(limiter);
    }
    // Each customer asks once at each limiter and then rests until its store is full.
    for customer in CUSTOMERS {
        for socket in &sockets {
            let answer = Client::connect(socket.local_addr().unwrap())
                .and_then(|mut client| client.call(&ask_customer(customer).wire(), ms(2000)));
            record(&format!("client: first request of {customer:x}: {:?}", answer.map(|answer| answer.status())));
        }
    }
    thread::sleep(ms(2500));
    let stop: Arc<AtomicBool> = Arc::default();
    let mut clients = Vec::new();
    for customer in CUSTOMERS {
        for number in 0..10 {
            let (stop, limiter) = (stop.clone(), sockets[number % 2].local_addr().unwrap());
            clients.push(thread::spawn(move || {
                thread::sleep(ms(106 * number as u64));
                press(limiter, customer, number >= 4, &stop);
            }));
        }
    }
    thread::sleep(ms(5000));
    for rank in 0..2 {
        if !kit::trouble() {
            thread::sleep(ms(4000));
            continue;
        }
        let ops = kit::free_address();
        let mut new = Limiter::start(&format!("n{rank}-new"), &config(rank, ops), Some(&sockets[rank]));
        let started = Instant::now();
        loop {
            thread::sleep(POLL);
            if says_yes(ops) {
                break;
            }
            if started.elapsed() > ms(6000) || new.ended().is_some() {
                kit::cannot_run("the new process does not say yes");
            }
        }
        record(&format!("n{rank}-new: says yes"));
        let old = &mut limiters[rank];
        old.signal("TERM");
        // SIGKILL would follow after 3.7 s.
        let signalled = Instant::now();
        while old.ended().is_none() && signalled.elapsed() < ms(3700) {
            thread::sleep(ms(20));
        }
        limiters[rank] = new;
        thread::sleep(ms(2000));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(limiters);
    let mut violations = Vec::new();
    let lowest_allowed = -CEILING.slack - CEILING.rate * SLACK_S;
    for (customer, store) in stores.lock().unwrap().iter() {
        kit::say(&format!(
            "customer {customer:x}: the store's lowest value is {:.2}; the slack is {} units, and {lowest_allowed} with 50 ms",
            store.lowest, CEILING.slack
        ));
        if store.lowest < lowest_allowed {
            violations.push(format!("the ceiling of customer {customer:x} was passed: its store fell to {:.2}", store.lowest));
        }
    }
    if stores.lock().unwrap().len() < CUSTOMERS.len() {
        kit::cannot_run("a customer's requests never arrived");
    }
    std::process::exit(kit::verdict(&violations));
}
