//! Case 8: a limiter stands still while discovery tells it of a drain, and then finds all that came meanwhile.

mod kit;
mod settings;

use kit::{Ask, Client, Discovery, Instance, Limiter, ms, record};
use settings::{Class, NO_CEILING, Plan, SAFE, Site};
use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const GRACE_S: f64 = 1.0;
/// Every time limit is 50 ms longer on sockets.
const SLACK_S: f64 = 0.05;
/// How long the limiter stands still, and the time from one stall to the next.
const STALL_MS: u64 = 1450;
const EVERY_MS: u64 = 3800;
/// Half of the servers are drained, one in each stall.
const STALLS: usize = 5;
const SERVERS: usize = 10;

/// When the limiter that stands still was told that the server drains, in seconds of the record.
type Told = Arc<Mutex<Option<f64>>>;

fn serve(name: &str, told: &Told, violations: &Mutex<Vec<String>>, stream: std::net::TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    loop {
        // A send runs from its first byte.
        let mut first = [0];
        if reader.read(&mut first)? == 0 {
            return Ok(());
        }
        let began = kit::at();
        let mut rest = std::io::Read::chain(&first[..], &mut reader);
        let Some(request) = kit::read_message(&mut BufReader::with_capacity(1, &mut rest))? else { return Ok(()) };
        let id = request.header("x-txn").unwrap_or("-").to_owned();
        let told_at = *told.lock().unwrap();
        if let Some(told_at) = told_at {
            let since = began - told_at;
            record(&format!("{name}: {id} began {since:.3} s after the limiter was told that {name} drains"));
            if since > GRACE_S + SLACK_S {
                violations.lock().unwrap().push(format!(
                    "{name} was sent {id} {since:.3} s after the limiter was told that it drains; the grace is {GRACE_S} s"
                ));
            }
            thread::sleep(ms(5));
            stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        record(&format!("{name}: {id} began"));
        thread::sleep(ms(80));
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")?;
        record(&format!("{name}: {id} ran"));
    }
}

/// A client that asks now and then, on one connection that it keeps.
fn client(limiter: SocketAddr, customer: u64, rank: u32, pause_ms: u64, stop: &AtomicBool) {
    let mut connection: Option<Client> = None;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(ms(pause_ms));
        if connection.is_none() {
            connection = Client::connect(limiter).ok();
        }
        let ask = Ask { spread: 2, ..Ask::get("record-lookup", "agenzia", customer, 2000) };
        record(&format!("client: {} sent to n{rank}", ask.id));
        match connection.as_mut().map(|client| client.call(&ask.wire(), ms(2500))) {
            Some(Ok(answer)) => {
                record(&format!("client: {} answered {}", ask.id, answer.status()));
                if answer.closes() {
                    connection = None;
                }
            }
            Some(Err(error)) => {
                record(&format!("client: {} without an answer: {error}", ask.id));
                connection = None;
            }
            None => {}
        }
    }
}

fn main() {
    kit::open_record();
    let violations: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut instances = Vec::new();
    let mut told: Vec<Told> = Vec::new();
    for number in 0..SERVERS {
        let name = format!("s-{number}");
        let drains: Told = Arc::default();
        told.push(drains.clone());
        let (server, violations) = (name.clone(), violations.clone());
        let address = kit::listen(move |stream| serve(&server, &drains, &violations, stream));
        instances.push(Instance::up(&name, address));
    }
    let discovery = Discovery::start(instances.clone());
    // One of two limiters stands still; the other has an agent of its own and hears of each drain as well.
    let other_discovery = Discovery::start(instances.clone());
    let listen = kit::free_address();
    let other_listen = kit::free_address();
    let classes =
        [Class { name: "record-lookup", objective_s: 0.6, deadline_s: 2.0, worth: 1.0, late_share: 0.0, rest: SAFE }];
    let plans = [Plan { name: "agenzia", rate: 18.0, burst: 40.0, price: 1.8, ceiling: NO_CEILING }];
    let site = Site { drain_grace_s: GRACE_S, limiters: 2, ..Site::single(listen) };
    let mut limiter = Limiter::start("n0", &site.json(&discovery, &classes, &plans), None);
    limiter.wait_until_up(listen);
    let other_site = Site { rank: 1, listen: other_listen, ..site };
    let mut other = Limiter::start("n1", &other_site.json(&other_discovery, &classes, &plans), None);
    other.wait_until_up(other_listen);
    let stop: Arc<AtomicBool> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..50 {
        let stop = stop.clone();
        clients.push(thread::spawn(move || client(listen, 100 + number, 0, 400 + 13 * number, &stop)));
    }
    for number in 0..25 {
        let stop = stop.clone();
        clients.push(thread::spawn(move || client(other_listen, 100 + number, 1, 400 + 26 * number, &stop)));
    }
    thread::sleep(ms(4000));
    for number in 0..STALLS {
        let began = Instant::now();
        if kit::trouble() {
            limiter.signal("STOP");
            thread::sleep(ms(100));
        }
        // The agent answers the open watch at once: the limiter is told.
        other_discovery.set(Instance { lifecycle: "draining", ..instances[number].clone() });
        let generation = discovery.set(Instance { lifecycle: "draining", ..instances[number].clone() });
        // Told is what the agent has written to the limiter, if its watch is open; else the time of the next answer.
        let (agent, drains) = (discovery.clone(), told[number].clone());
        thread::spawn(move || {
            loop {
                if let Some(at) = agent.told_at(generation) {
                    record(&format!("the limiter that stands still was told of s-{number} at {at:.4}"));
                    *drains.lock().unwrap() = Some(at);
                    return;
                }
                thread::sleep(ms(1));
            }
        });
        thread::sleep(ms(STALL_MS).saturating_sub(began.elapsed()));
        if kit::trouble() {
            limiter.signal("CONT");
        }
        thread::sleep(ms(EVERY_MS).saturating_sub(began.elapsed()));
    }
    if let Some(end) = limiter.ended().or_else(|| other.ended()) {
        kit::cannot_run(&format!("a limiter ended: {end}"));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    limiter.record_log();
    drop(limiter);
    drop(other);
    let violations = violations.lock().unwrap().clone();
    std::process::exit(kit::verdict(&violations));
}
