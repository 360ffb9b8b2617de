//! A new configuration adds a plan beside the known ones, and SIGHUP follows. Later a customer of the new plan sends a
//! request. The limiter has to go on, and every request that it has taken has to be answered.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

const LIMITERS: usize = 2;
const CLIENTS: usize = 8;
const PLAN_NEW: &str = r#"{"name":"press","unitsPerS":60.0,"mostAtOnce":300.0,"price":1.2,"beyondEarns":0.0,"overrunCost":0.5}"#;

fn serve(name: &str, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = read_request(&mut reader) {
        let id = message.header("x-txn").to_owned();
        thread::sleep(ms(60));
        note(format!("{name}: ran {id}"));
        let body = format!("answer to {id}\n");
        if write!(writer, "HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_err() {
            return;
        }
    }
}

fn main() {
    let setup = setup();
    let mut instances = Vec::new();
    for i in 0..4 {
        let name = format!("s-{i}");
        let server_name = name.clone();
        instances.push(Instance::up(&name, start_server(move |stream| serve(&server_name, stream)), ["hall-a", "hall-b"][i % 2]));
    }
    let discovery = start_discovery(instances.clone());
    let peers: Vec<_> = (0..LIMITERS).map(|_| free_address()).collect();
    let listens: Vec<_> = (0..LIMITERS).map(|_| free_address()).collect();
    let config = |rank: usize, plans: &str| {
        let settings = settings_json(LIMITERS, rank, plans);
        config_json(&format!("n{rank}"), listens[rank], discovery, &peers, rank, &instances, &settings)
    };
    let old_plans = format!("{PLAN_BASIC},{PLAN_STUDIO}");
    let new_plans = format!("{old_plans},{PLAN_NEW}");
    let mut limiters: Vec<Limiter> = (0..LIMITERS)
        .map(|rank| Limiter::start(&setup, &format!("n{rank}"), listens[rank], &config(rank, &old_plans)))
        .collect();
    let stop: Flag = Arc::new(AtomicBool::new(false));
    let (served, unanswered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    // Customers of the known plans send one request after another, at both limiters.
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let rank = number % LIMITERS;
            let (listen, stop, served, unanswered) = (listens[rank], stop.clone(), served.clone(), unanswered.clone());
            thread::spawn(move || {
                let mut connection: Option<Client> = None;
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut client) = connection.take().map(Ok).unwrap_or_else(|| Client::connect(listen)) else {
                        thread::sleep(ms(50));
                        continue;
                    };
                    let id = fresh_id();
                    let (class, post) = if number % 4 == 0 { ("licence-charge", true) } else { ("subset-fetch", false) };
                    let plan = if number % 4 < 2 { "studio" } else { "basic" };
                    let ask = Ask { class, plan, customer: 100 + number as u64, remaining_ms: 1400, spread: 1, first: rank, key: None, post };
                    match client.call(&request_text(&id, &ask), ms(2500)) {
                        Ok(answer) => {
                            note(format!("n{rank}: {class} {id} of plan {plan} answered {}", answer.status));
                            served.fetch_add(u64::from(answer.status == 200), Ordering::Relaxed);
                            if !answer.closes {
                                connection = Some(client);
                            }
                        }
                        Err(error) => {
                            note(format!("n{rank}: {class} {id} of plan {plan} was written whole and not answered: {error}"));
                            unanswered.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    thread::sleep(ms(20));
                }
            })
        })
        .collect();
    thread::sleep(ms(3000));
    if setup.trouble {
        for (rank, limiter) in limiters.iter().enumerate() {
            std::fs::write(&limiter.config, config(rank, &new_plans)).expect("the configuration is written");
            limiter.signal("-HUP");
        }
    }
    // Clients use what is new no sooner than 1.2 s later.
    thread::sleep(ms(2000));
    let mut new_answers: HashMap<String, String> = HashMap::new();
    for number in 0..10u64 {
        let rank = (number % LIMITERS as u64) as usize;
        let ask = Ask {
            class: "subset-fetch", plan: "press", customer: 900 + number,
            remaining_ms: 1400, spread: 1, first: rank, key: None, post: false,
        };
        let id = fresh_id();
        let result = Client::connect(listens[rank]).and_then(|mut client| client.call(&request_text(&id, &ask), ms(2500)));
        let text = match result {
            Ok(answer) => format!("answered {}", answer.status),
            Err(error) => format!("not answered: {error}"),
        };
        note(format!("n{rank}: {id} of plan {} {text}", ask.plan));
        new_answers.insert(id, text);
        thread::sleep(ms(200));
    }
    let start = Instant::now();
    while start.elapsed() < ms(1500) {
        thread::sleep(ms(50));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut ended = 0;
    for limiter in &mut limiters {
        if let Some(status) = limiter.ended() {
            ended += 1;
            note(format!("{}: the process has ended by itself: {status}", limiter.name));
            let text = limiter.log_text();
            for line in text.lines().rev().take(12).collect::<Vec<_>>().into_iter().rev() {
                note(format!("{}: log: {line}", limiter.name));
            }
        }
    }
    drop(limiters);
    let (served, unanswered) = (served.load(Ordering::Relaxed), unanswered.load(Ordering::Relaxed));
    let text = format!(
        "{ended} of {LIMITERS} limiters ended by themselves, {unanswered} requests of the known plans taken and not answered, {served} served"
    );
    if ended > 0 || unanswered > 0 {
        finish(&setup, 1, &format!("rule broken: {text}"));
    }
    if served < 50 {
        finish(&setup, 2, &format!("could not run: {text}"));
    }
    finish(&setup, 0, &format!("rule held: {text}"))
}
