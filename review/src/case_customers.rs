//! A few bad clients send hundreds of requests at once, and again as soon as those are answered; each request names a
//! customer that appears only once. The platform kills a limiter that goes over its memory. Beside them usual clients send
//! their requests, which have to be answered.

#[path = "common.rs"]
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const LIMITERS: usize = 2;
const SERVERS: usize = 10;
/// The pages give a limiter 32 to 192 MB and 256 to 1,024 descriptors.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 256;
/// Bad clients at each limiter, and how many requests each sends at once.
const BAD_CLIENTS: u64 = 60;
const AT_ONCE: u64 = 300;
const RUN: Duration = Duration::from_secs(60);
const CORES: usize = 2;
const QUEUE: usize = 20;

/// A sound server: two cores, a queue, and 503 with X-Turned-Away beyond it.
fn serve(name: &str, stream: TcpStream, held: &AtomicUsize) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = read_request(&mut reader) {
        let before = held.fetch_add(1, Ordering::SeqCst);
        let id = message.header("x-txn").to_owned();
        let text = if before >= CORES + QUEUE {
            note(format!("{name}: turned away {id}"));
            "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
        } else {
            thread::sleep(ms(20) * (1 + (before / CORES) as u32));
            note(format!("{name}: ran {id}"));
            let body = format!("answer to {id}\n");
            format!("HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        };
        held.fetch_sub(1, Ordering::SeqCst);
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn memory_kb(pid: u32) -> u64 {
    std::fs::read_to_string(format!("/proc/{pid}/status"))
        .ok()
        .and_then(|text| text.lines().find_map(|line| line.strip_prefix("RssAnon:")?.split_whitespace().next()?.parse().ok()))
        .unwrap_or(0)
}

fn main() {
    let setup = setup();
    let servers: Vec<Instance> = (0..SERVERS)
        .map(|i| {
            let held = AtomicUsize::new(0);
            Instance::up(&format!("s-{i}"), { let name = format!("s-{i}"); start_server(move |stream| serve(&name, stream, &held)) }, ["hall-a", "hall-b"][i % 2])
        })
        .collect();
    let discovery = start_discovery(servers.clone());
    let peers: Vec<_> = (0..LIMITERS).map(|_| free_address()).collect();
    let listens: Vec<_> = (0..LIMITERS).map(|_| free_address()).collect();
    let mut limiters: Vec<Limiter> = (0..LIMITERS)
        .map(|rank| {
            let name = format!("n{rank}");
            let settings = settings_json(LIMITERS, rank, &format!("{PLAN_BASIC},{PLAN_STUDIO}"));
            let config = config_json(&name, listens[rank], discovery, &peers, rank, &servers, &settings)
                .replace("\"memory_mb\":192,\"sockets\":1024", &format!("\"memory_mb\":{MEMORY_MB},\"sockets\":{SOCKETS}"));
            Limiter::start(&setup, &name, listens[rank], &config)
        })
        .collect();
    let stop: Flag = Arc::new(AtomicBool::new(false));
    let (served, unanswered, bad_answers) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut threads = Vec::new();
    for number in 0..8usize {
        let rank = number % LIMITERS;
        let (listen, stop, served, unanswered) = (listens[rank], stop.clone(), served.clone(), unanswered.clone());
        threads.push(thread::spawn(move || {
            let mut connection: Option<Client> = None;
            while !stop.load(Ordering::Relaxed) {
                let Ok(mut client) = connection.take().map(Ok).unwrap_or_else(|| Client::connect(listen)) else {
                    thread::sleep(ms(100));
                    continue;
                };
                let id = fresh_id();
                let (class, post) = if number % 4 == 0 { ("licence-charge", true) } else { ("subset-fetch", false) };
                let ask = Ask { class, plan: "studio", customer: 100 + number as u64, remaining_ms: 1400, spread: 1, first: rank, key: None, post };
                note(format!("n{rank}: usual client: {class} {id} sent"));
                match client.call(&request_text(&id, &ask), ms(2500)) {
                    Ok(answer) => {
                        note(format!("n{rank}: usual client: {class} {id} answered {}", answer.status));
                        served.fetch_add(u64::from(answer.status == 200), Ordering::Relaxed);
                        if !answer.closes {
                            connection = Some(client);
                        }
                    }
                    Err(error) => {
                        note(format!("n{rank}: usual client: {class} {id} was written whole and not answered: {error}"));
                        unanswered.fetch_add(1, Ordering::Relaxed);
                    }
                }
                thread::sleep(ms(50));
            }
        }));
    }
    thread::sleep(ms(1000));
    if setup.trouble {
        for number in 0..BAD_CLIENTS * LIMITERS as u64 {
            let rank = (number % LIMITERS as u64) as usize;
            let (listen, stop, bad_answers) = (listens[rank], stop.clone(), bad_answers.clone());
            threads.push(thread::spawn(move || {
                let mut customer = 1_000_000 + number * 10_000_000;
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut client) = Client::connect(listen) else {
                        thread::sleep(ms(100));
                        continue;
                    };
                    'connection: while !stop.load(Ordering::Relaxed) {
                        let mut text = String::new();
                        for _ in 0..AT_ONCE {
                            customer += 1;
                            let ask = Ask { class: "subset-fetch", plan: "basic", customer, remaining_ms: 1400, spread: 1, first: rank, key: None, post: false };
                            text += &request_text(&fresh_id(), &ask);
                        }
                        note(format!("n{rank}: bad client {number}: {AT_ONCE} requests sent at once, customers up to {customer}"));
                        if client.send(&text).is_err() {
                            break;
                        }
                        let mut refused = 0;
                        for _ in 0..AT_ONCE {
                            match client.receive(ms(2500)) {
                                Ok(answer) => {
                                    bad_answers.fetch_add(1, Ordering::Relaxed);
                                    refused += u64::from(answer.status != 200);
                                    if answer.closes {
                                        break 'connection;
                                    }
                                }
                                Err(_) => break 'connection,
                            }
                        }
                        note(format!("n{rank}: bad client {number}: {AT_ONCE} answers, {refused} of them not 200"));
                    }
                }
            }));
        }
    }
    // The platform: kills a limiter that goes over its memory.
    let start = Instant::now();
    let mut killed = 0;
    let mut peak = 0;
    let mut last_note = Instant::now();
    while start.elapsed() < RUN && killed < LIMITERS {
        thread::sleep(ms(100));
        for limiter in &mut limiters {
            if limiter.ended().is_some() {
                continue;
            }
            let memory = memory_kb(limiter.child.id());
            peak = peak.max(memory);
            if last_note.elapsed() > ms(1000) {
                note(format!("{}: anonymous memory {memory} kB of {} kB; bad clients have {} answers", limiter.name, MEMORY_MB * 1024, bad_answers.load(Ordering::Relaxed)));
            }
            if memory > MEMORY_MB * 1024 {
                killed += 1;
                note(format!("{}: BROKEN: {memory} kB of anonymous memory, over its limit of {} kB; the platform kills it", limiter.name, MEMORY_MB * 1024));
                limiter.signal("-KILL");
                thread::sleep(ms(50));
            }
        }
        if last_note.elapsed() > ms(1000) {
            last_note = Instant::now();
        }
    }
    thread::sleep(ms(300));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let ended = limiters.iter_mut().map(|limiter| usize::from(limiter.ended().is_some())).sum::<usize>();
    drop(limiters);
    let (served, unanswered) = (served.load(Ordering::Relaxed), unanswered.load(Ordering::Relaxed));
    let text = format!(
        "{killed} of {LIMITERS} limiters killed for memory (peak {peak} of {} kB) after {:.1} s, {unanswered} requests of usual clients not answered, {served} served, bad clients had {} answers",
        MEMORY_MB * 1024, start.elapsed().as_secs_f64(), bad_answers.load(Ordering::Relaxed)
    );
    if killed > 0 || ended > 0 {
        finish(&setup, 1, &format!("rule broken: {text}"));
    }
    if served < 100 {
        finish(&setup, 2, &format!("could not run: {text}"));
    }
    finish(&setup, 0, &format!("rule held: {text}"))
}
