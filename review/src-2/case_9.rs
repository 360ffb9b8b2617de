//! Case 9: a customer presses against a hard ceiling while its requests wait behind another plan's surge.

mod kit;
mod settings;

use kit::{Ask, Client, Discovery, Instance, Limiter, ms, record};
use settings::{Ceiling, Class, NO_CEILING, Plan, SAFE, Site};
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One second's worth may be used at once, and the slack is a tenth of that.
const CEILING: Ceiling = Ceiling { rate: 40.0, depth: 40.0, slack: 4.0 };
const CUSTOMERS: [u64; 2] = [0x61, 0x62];
/// Every time limit is 50 ms longer on sockets.
const SLACK_S: f64 = 0.05;
/// Customers of the plan that surges, and how long it does.
const SURGING: u64 = 20;
const SURGE: Duration = Duration::from_millis(6000);
/// Requests that a server runs at once, and that wait at it.
const CORES: usize = 2;
const WAITING: usize = 16;

struct Store {
    units: f64,
    lowest: f64,
    at: Instant,
}

fn customer_of(request: &kit::Message) -> u64 {
    let key = request.start.split("key=").nth(1).and_then(|rest| rest.get(..16));
    key.and_then(|text| u64::from_str_radix(text, 16).ok()).unwrap_or(0)
}

/// Asks every `pause` on one connection; a request that is late ends it.
fn ask_on(limiter: SocketAddr, make: impl Fn() -> Ask, pause: Duration, stop: &AtomicBool) {
    let mut connection: Option<Client> = None;
    while !stop.load(Ordering::Relaxed) {
        let next = Instant::now() + pause;
        if connection.is_none() {
            connection = Client::connect(limiter).ok();
        }
        let ask = make();
        record(&format!("client: {} {} of {:x} sent", ask.id, ask.class, ask.customer));
        match connection.as_mut().map(|client| client.call(&ask.wire(), ms(ask.remaining_ms + 500))) {
            Some(Ok(answer)) => {
                record(&format!("client: {} {} of {:x} answered {}", ask.id, ask.class, ask.customer, answer.status()));
                if answer.closes() {
                    connection = None;
                }
            }
            Some(Err(error)) => {
                record(&format!("client: {} of {:x} without an answer: {error}", ask.id, ask.customer));
                connection = None;
            }
            None => {}
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn main() {
    kit::open_record();
    let stores: Arc<Mutex<HashMap<u64, Store>>> = Arc::default();
    let seen: Arc<Mutex<HashSet<String>>> = Arc::default();
    let server = |name: &'static str| {
        let (stores, seen) = (stores.clone(), seen.clone());
        let held = Arc::new(AtomicUsize::new(0));
        let cores = Arc::new((Mutex::new(CORES), std::sync::Condvar::new()));
        kit::listen(move |stream| {
            let mut reader = BufReader::new(stream.try_clone()?);
            let mut stream = stream;
            while let Some(request) = kit::read_message(&mut reader)? {
                let id = request.header("x-txn").unwrap_or("-").to_owned();
                let customer = customer_of(&request);
                if CUSTOMERS.contains(&customer) && seen.lock().unwrap().insert(id.clone()) {
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
                if held.fetch_add(1, Ordering::Relaxed) >= CORES + WAITING {
                    held.fetch_sub(1, Ordering::Relaxed);
                    stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")?;
                    continue;
                }
                let (free, changed) = &*cores;
                let mut guard = free.lock().unwrap();
                while *guard == 0 {
                    guard = changed.wait(guard).unwrap();
                }
                *guard -= 1;
                drop(guard);
                thread::sleep(ms(40));
                *free.lock().unwrap() += 1;
                changed.notify_one();
                held.fetch_sub(1, Ordering::Relaxed);
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")?;
                record(&format!("{name}: {id} ran"));
            }
            Ok(())
        })
    };
    let names = ["s-1", "s-2", "s-3", "s-4"];
    let discovery = Discovery::start(names.map(|name| Instance::up(name, server(name))).to_vec());
    let classes = [
        Class { name: "subset-fetch", objective_s: 0.5, deadline_s: 1.5, worth: 1.0, late_share: 0.0, rest: SAFE },
        Class {
            name: "kit-publish",
            objective_s: 0.25,
            deadline_s: 1.0,
            worth: 5.0,
            late_share: 0.0,
            rest: settings::KEYED_ZONE,
        },
    ];
    let plans = [
        Plan { name: "basic", rate: 50.0, burst: 100.0, price: 1.1, ceiling: CEILING },
        Plan { name: "studio", rate: 51.0, burst: 140.0, price: 1.6, ceiling: NO_CEILING },
    ];
    let listen = kit::free_address();
    let site = Site::single(listen);
    let mut limiter = Limiter::start("n0", &site.json(&discovery, &classes, &plans), None);
    limiter.wait_until_up(listen);
    let subset = |customer| move || Ask::get("subset-fetch", "basic", customer, 1500);
    let publish = |customer| {
        move || Ask {
            key: Some(format!("{}{}", kit::fresh_id(), kit::fresh_id())),
            body: Some(b"kit".to_vec()),
            ..Ask::get("kit-publish", "studio", customer, 1000)
        }
    };
    // The usual traffic: the plan that will surge asks 67 times a second.
    let stop: Arc<AtomicBool> = Arc::default();
    let stop_surge: Arc<AtomicBool> = Arc::default();
    let mut threads = Vec::new();
    for customer in 0..SURGING {
        let stop = stop.clone();
        threads.push(thread::spawn(move || {
            thread::sleep(ms(10 * customer));
            ask_on(listen, publish(0x100 + customer), ms(300), &stop);
        }));
    }
    // The customers with the ceiling ask once and then rest until their stores are full.
    for customer in CUSTOMERS {
        let answer = Client::connect(listen).and_then(|mut client| client.call(&subset(customer)().wire(), ms(2000)));
        record(&format!("client: first request of {customer:x}: {:?}", answer.map(|answer| answer.status())));
    }
    thread::sleep(ms(3000));
    if kit::trouble() {
        record("the plan studio surges to 6 times its usual traffic");
        for number in 0..SURGING * 5 {
            let stop = stop_surge.clone();
            threads.push(thread::spawn(move || {
                thread::sleep(ms(2 * number));
                ask_on(listen, publish(0x100 + number % SURGING), ms(300), &stop);
            }));
        }
    }
    thread::sleep(SURGE - ms(3000));
    record("the customers with the ceiling begin to press");
    for number in 0..80 {
        let stop = stop.clone();
        threads.push(thread::spawn(move || {
            thread::sleep(ms(6 * number));
            ask_on(listen, subset(CUSTOMERS[(number % 2) as usize]), ms(250), &stop);
        }));
    }
    thread::sleep(ms(3000));
    record("the surge ends");
    stop_surge.store(true, Ordering::Relaxed);
    thread::sleep(ms(5000));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    if let Some(end) = limiter.ended() {
        kit::cannot_run(&format!("the limiter ended: {end}"));
    }
    drop(limiter);
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
