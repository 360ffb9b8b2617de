//! Servers give long answers (over 64 KiB) slowly: the first bytes come at once, the rest in pieces, over some seconds.
//! Over 64 KiB the first bytes are timed, and what the server still gives must not be cut off.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LIMITERS: usize = 2;
const SERVERS: usize = 4;
/// A long answer: 192 KiB, over 64 KiB and far below 32 MB.
const LENGTH: usize = 192 * 1024;
const PIECE: usize = 16 * 1024;
/// Between two pieces of a slow answer: 4.4 s for the whole.
const PAUSE: Duration = Duration::from_millis(400);
/// What is left to the client: half of the class's outer limit (the page: 50 to 100%).
const REMAINING_MS: u64 = 1500;
const CLIENTS: usize = 6;
const ROUNDS: usize = 3;

/// What a server saw of one attempt.
#[derive(Clone, Default)]
struct Given {
    given: usize,
    cut_at: Option<Instant>,
}

type Seen = Arc<Mutex<HashMap<String, Vec<Given>>>>;

/// Whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let result = (&*stream).read(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !matches!(result, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

fn serve(name: &str, slow: bool, seen: &Seen, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = read_request(&mut reader) {
        let id = message.header("x-txn").to_owned();
        thread::sleep(ms(20));
        let fill = &id[id.len() - 1..];
        let head = format!("HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: {LENGTH}\r\n\r\n");
        let index = {
            let mut seen = seen.lock().unwrap();
            let attempts = seen.entry(id.clone()).or_default();
            attempts.push(Given::default());
            attempts.len() - 1
        };
        note(format!("{name}: ran {id}, begins its answer of {LENGTH} bytes"));
        let mut sent = 0;
        let mut failed = writer.write_all(head.as_bytes()).is_err();
        while !failed && sent < LENGTH {
            failed = writer.write_all(fill.repeat(PIECE).as_bytes()).is_err();
            sent += PIECE;
            if slow && !failed && sent < LENGTH {
                thread::sleep(PAUSE);
                failed = is_closed(&writer);
            }
            seen.lock().unwrap().get_mut(&id).unwrap()[index].given = sent;
        }
        if failed {
            seen.lock().unwrap().get_mut(&id).unwrap()[index].cut_at = Some(Instant::now());
            note(format!("{name}: {id}: the limiter closed the connection after {sent} of {LENGTH} bytes were given"));
            return;
        }
        note(format!("{name}: {id}: gave the whole answer"));
    }
}

fn main() {
    let setup = setup();
    let seen: Seen = Arc::default();
    let servers: Vec<Instance> = (0..SERVERS)
        .map(|i| {
            let (name, seen, slow) = (format!("s-{i}"), seen.clone(), setup.trouble);
            let server_name = name.clone();
            Instance::up(&name, start_server(move |stream| serve(&server_name, slow, &seen, stream)), ["hall-a", "hall-b"][i % 2])
        })
        .collect();
    let discovery = start_discovery(servers.clone());
    let peers: Vec<_> = (0..LIMITERS).map(|_| free_address()).collect();
    let listens: Vec<_> = (0..LIMITERS).map(|_| free_address()).collect();
    let mut limiters: Vec<Limiter> = (0..LIMITERS)
        .map(|rank| {
            let name = format!("n{rank}");
            let settings = settings_json(LIMITERS, rank, &format!("{PLAN_BASIC},{PLAN_STUDIO}"));
            Limiter::start(&setup, &name, listens[rank], &config_json(&name, listens[rank], discovery, &peers, rank, &servers, &settings))
        })
        .collect();
    let results: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (listen, results) = (listens[number % LIMITERS], results.clone());
            thread::spawn(move || {
                for _ in 0..ROUNDS {
                    let id = fresh_id();
                    let ask = Ask {
                        class: "licence-charge", plan: "studio", customer: 100 + number as u64, remaining_ms: REMAINING_MS,
                        spread: 1, first: number % LIMITERS, key: None, post: true,
                    };
                    // The first bytes are timed; the client reads on as long as the answer comes.
                    note(format!("client: licence-charge {id} sent, {REMAINING_MS} ms left"));
                    let result = Client::connect(listen).and_then(|mut client| client.call(&request_text(&id, &ask), ms(3500)));
                    let text = match result {
                        Ok(answer) if answer.status == 200 && answer.body.len() == LENGTH => "whole".to_owned(),
                        Ok(answer) => format!("answered {} with {} bytes", answer.status, answer.body.len()),
                        Err(error) => format!("not whole: {error}"),
                    };
                    note(format!("client: licence-charge {id} {text}"));
                    results.lock().unwrap().push((id, text));
                    thread::sleep(ms(200));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(600));
    let ended = limiters.iter_mut().map(|limiter| usize::from(limiter.ended().is_some())).sum::<usize>();
    drop(limiters);
    let seen = seen.lock().unwrap();
    let results = results.lock().unwrap();
    let (mut whole, mut lost, mut other) = (0, 0, 0);
    for (id, text) in results.iter() {
        let cut = seen.get(id).is_some_and(|attempts| attempts.iter().any(|given| given.cut_at.is_some()));
        match (text == "whole", cut) {
            (true, _) => whole += 1,
            (false, true) => {
                lost += 1;
                note(format!("BROKEN: {id}: the server was still giving its answer, the limiter cut it off; the client: {text}"));
            }
            (false, false) => other += 1,
        }
    }
    let text = format!("{whole} long answers arrived whole, {lost} were cut off while the server still gave them, {other} ended otherwise");
    if lost > 0 {
        finish(&setup, 1, &format!("rule broken: {text}"));
    }
    if whole == 0 || ended > 0 {
        finish(&setup, 2, &format!("could not run: {text}"));
    }
    finish(&setup, 0, &format!("rule held: {text}"))
}
