//! A server sends a second copy of its answer some milliseconds late, when nothing else waits on the connection.
//! Every client has to be served the answer that a server made for its own request.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::HashSet;
use std::io::{BufReader, ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LIMITERS: usize = 2;
/// One way between two halls; the site file allows 0.42 to 0.78 ms.
const ONE_WAY: Duration = Duration::from_micros(600);
/// Between a client's answer and its next request; the site file allows 0.38 to 1.1 ms each way.
const CLIENT_PAUSE: Duration = Duration::from_micros(1500);
/// How late a second copy is: from this on, in steps of 0.5 ms.
const COPY_LATE_MS: f64 = 2.0;
/// One in so many answers of a bad server is followed by a copy.
const COPY_EVERY: u64 = 4;
const RUN: Duration = Duration::from_secs(20);

/// Serves one connection. `copies`: a second copy follows some answers, unless a further request has arrived by then.
fn serve(name: &str, work: Duration, copies: bool, made: &Mutex<HashSet<String>>, count: &AtomicU64, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = read_request(&mut reader) {
        let id = message.header("x-txn").to_owned();
        let body = format!("answer of {name} to {id}\n");
        thread::sleep(work);
        let text = format!("HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        made.lock().unwrap().insert(body);
        note(format!("{name}: ran {id}"));
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
        let number = count.fetch_add(1, Ordering::Relaxed);
        if copies && number % COPY_EVERY == 1 {
            thread::sleep(Duration::from_secs_f64((COPY_LATE_MS + (number / COPY_EVERY % 5) as f64 * 0.5) / 1e3));
            // Something else waits if any byte of a further request has arrived.
            let _ = writer.set_nonblocking(true);
            let nothing_waits = reader.buffer().is_empty()
                && matches!(writer.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
            let _ = writer.set_nonblocking(false);
            if nothing_waits {
                note(format!("{name}: second copy of the answer to {id}"));
                let _ = writer.write_all(text.as_bytes());
            }
        }
    }
}

fn main() {
    let setup = setup();
    let made: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut instances = Vec::new();
    // Three servers of unlike speed (the site file: 0.85 to 1.1); all may be bad alike.
    for (i, work) in [20u64, 26, 30].into_iter().enumerate() {
        let (name, made, count, copies) = (format!("s-{i}"), made.clone(), AtomicU64::new(0), setup.trouble);
        let server_name = name.clone();
        let server = start_server(move |stream| serve(&server_name, ms(work), copies, &made, &count, stream));
        instances.push(Instance::up(&name, start_link(server, ONE_WAY), "hall-b"));
    }
    let discovery = start_discovery(instances.clone());
    let peers: Vec<_> = (0..LIMITERS).map(|_| free_address()).collect();
    let plans = format!("{PLAN_BASIC},{PLAN_STUDIO}");
    let mut limiters: Vec<Limiter> = (0..LIMITERS)
        .map(|rank| {
            let listen = free_address();
            let name = format!("n{rank}");
            let settings = settings_json(LIMITERS, rank, &plans);
            Limiter::start(&setup, &name, listen, &config_json(&name, listen, discovery, &peers, rank, &instances, &settings))
        })
        .collect();
    let foreign = Arc::new(AtomicU64::new(0));
    let served = Arc::new(AtomicU64::new(0));
    let unanswered = Arc::new(AtomicU64::new(0));
    let stop: Flag = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = limiters
        .iter()
        .enumerate()
        .map(|(rank, limiter)| {
            let (listen, limiter_name) = (limiter.listen, limiter.name.clone());
            let (made, foreign, served, unanswered, stop) =
                (made.clone(), foreign.clone(), served.clone(), unanswered.clone(), stop.clone());
            thread::spawn(move || {
                let mut connection: Option<Client> = None;
                let mut number = 0u64;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let id = fresh_id();
                    let charge = number % 4 == 0;
                    let ask = Ask {
                        class: if charge { "licence-charge" } else { "subset-fetch" },
                        plan: "studio", customer: 40 + rank as u64, remaining_ms: 1400, spread: 1, first: rank, key: None, post: charge,
                    };
                    let mut client = match connection.take().map(Ok).unwrap_or_else(|| Client::connect(listen)) {
                        Ok(client) => client,
                        Err(_) => continue,
                    };
                    note(format!("{limiter_name}: {} {id} sent", ask.class));
                    match client.call(&request_text(&id, &ask), ms(2500)) {
                        Ok(answer) => {
                            let own = answer.body.ends_with(&format!("to {id}\n")) && made.lock().unwrap().contains(&answer.body);
                            note(format!("{limiter_name}: {} {id} answered {} `{}`", ask.class, answer.status, answer.body.trim_end()));
                            if answer.status == 200 {
                                served.fetch_add(1, Ordering::Relaxed);
                                if !own {
                                    foreign.fetch_add(1, Ordering::Relaxed);
                                    note(format!("{limiter_name}: BROKEN: {id} was served `{}`", answer.body.trim_end()));
                                }
                            }
                            if !answer.closes {
                                connection = Some(client);
                            }
                        }
                        Err(error) => {
                            unanswered.fetch_add(1, Ordering::Relaxed);
                            note(format!("{limiter_name}: {id} unanswered: {error}"));
                        }
                    }
                    thread::sleep(CLIENT_PAUSE);
                }
            })
        })
        .collect();
    let start = Instant::now();
    while start.elapsed() < RUN {
        thread::sleep(ms(100));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let ended = limiters.iter_mut().any(|limiter| limiter.ended().is_some());
    drop(limiters);
    let (foreign, served) = (foreign.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    let unanswered = unanswered.load(Ordering::Relaxed);
    let text = format!("{served} requests served, {foreign} of them with an answer made for another request, {unanswered} unanswered");
    if foreign > 0 {
        finish(&setup, 1, &format!("rule broken: {text}"));
    }
    if served < 100 || ended {
        finish(&setup, 2, &format!("could not run: {text}"));
    }
    finish(&setup, 0, &format!("rule held: {text}"))
}
