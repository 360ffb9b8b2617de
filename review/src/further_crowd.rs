//! A crowd: clients connect by the thousand and never finish a request. Each true request comes on a new connection and has
//! to get its final answer, half a second after its time at the latest.

#[path = "common.rs"]
mod common;
use common::*;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LIMITERS: usize = 1;
const SERVERS: usize = 4;
/// The page: 32 to 192 MB and 256 to 1,024 descriptors, halved in a crowd.
const MEMORY_MB: u64 = 96;
const SOCKETS: u64 = 128;
const REMAINING_MS: u64 = 1500;
/// Half a second after its time, and 50 ms that each time limit is longer on sockets.
const SLACK_MS: u64 = 550;

fn serve(name: &str, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = read_request(&mut reader) {
        let id = message.header("x-txn").to_owned();
        note(format!("{name}: runs {id}, told {}", message.header("x-remaining")));
        thread::sleep(ms(20));
        let body = format!("answer to {id}\n");
        if write!(writer, "HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_err() {
            return;
        }
    }
}

fn main() {
    let setup = setup();
    let crowd = 2000;
    let servers: Vec<Instance> = (0..SERVERS)
        .map(|i| {
            let name = format!("s-{i}");
            let server_name = name.clone();
            Instance::up(&name, start_server(move |stream| serve(&server_name, stream)), ["hall-a", "hall-b"][i % 2])
        })
        .collect();
    let discovery = start_discovery(servers.clone());
    let peers = [free_address()];
    let listen = free_address();
    let settings = settings_json(LIMITERS, 0, &format!("{PLAN_BASIC},{PLAN_STUDIO}"));
    let config = config_json("n0", listen, discovery, &peers, 0, &servers, &settings)
        .replace("\"memory_mb\":192,\"sockets\":1024", &format!("\"memory_mb\":{MEMORY_MB},\"sockets\":{SOCKETS}"));
    let mut limiter = Limiter::start(&setup, "n0", listen, &config);
    let stop: Flag = Arc::new(AtomicBool::new(false));
    let connected = Arc::new(AtomicU64::new(0));
    let results: Arc<Mutex<Vec<(String, u64, String)>>> = Arc::default();
    let start = Instant::now();
    // True clients: one request each 50 ms, each on a new connection.
    let truth = {
        let (stop, results) = (stop.clone(), results.clone());
        thread::spawn(move || {
            let mut threads = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let results = results.clone();
                threads.push(thread::spawn(move || {
                    let id = fresh_id();
                    let ask = Ask { class: "licence-charge", plan: "studio", customer: 77, remaining_ms: REMAINING_MS, spread: 1, first: 0, key: None, post: true };
                    let text = request_text(&id, &ask);
                    let (mut sent, mut outcome) = (Instant::now(), "no connection".to_owned());
                    // A request that crosses a close is sent once more on a new connection.
                    for attempt in 0..2 {
                        let Ok(mut client) = Client::connect(listen) else { continue };
                        if client.send(&text).is_err() { continue; }
                        if attempt == 0 { sent = Instant::now(); }
                        match client.receive(ms(REMAINING_MS + SLACK_MS)) {
                            Ok(answer) => { outcome = format!("{}", answer.status); break; }
                            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                                outcome = "no answer half a second after its time; the client leaves".to_owned();
                                break;
                            }
                            Err(error) => { outcome = format!("no answer: {error}"); }
                        }
                    }
                    let took = sent.elapsed().as_millis() as u64;
                    note(format!("client: {id} sent at {:.3} s, after {took} ms: {outcome}", (sent - start).as_secs_f64()));
                    results.lock().unwrap().push((id, took, outcome));
                }));
                thread::sleep(ms(50));
            }
            for thread in threads { let _ = thread.join(); }
        })
    };
    thread::sleep(ms(2000));
    let mut holders = Vec::new();
    if setup.trouble {
        for _ in 0..40 {
            let (stop, connected) = (stop.clone(), connected.clone());
            holders.push(thread::Builder::new().stack_size(128 * 1024).spawn(move || {
                let mut open: Vec<TcpStream> = Vec::new();
                for _ in 0..crowd / 40 {
                    if let Ok(mut stream) = TcpStream::connect(listen) {
                        let _ = stream.write_all(b"GET /subset-fetch?key=7 HTTP/1.1\r\nHost:");
                        connected.fetch_add(1, Ordering::Relaxed);
                        open.push(stream);
                    }
                }
                    // They stay until the limiter ends them.
                while !stop.load(Ordering::Relaxed) && !open.is_empty() {
                    thread::sleep(ms(20));
                    open.retain(|stream| {
                        let _ = stream.set_nonblocking(true);
                        matches!((&*stream).read(&mut [0; 256]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
                    });
                }
            }).expect("a thread"));
        }
    }
    thread::sleep(Duration::from_secs(12));
    stop.store(true, Ordering::Relaxed);
    let _ = truth.join();
    for holder in holders { let _ = holder.join(); }
    let ended = limiter.ended().is_some();
    drop(limiter);
    let results = results.lock().unwrap();
    let late = results.iter().filter(|r| r.1 > REMAINING_MS + SLACK_MS).count();
    let none = results.iter().filter(|r| r.2.starts_with("no")).count();
    let most = results.iter().map(|r| r.1).max().unwrap_or(0);
    let text = format!(
        "{} true requests, {late} without their final answer {} ms after they were sent (the latest came after {most} ms), {none} never answered, {} of the crowd connected",
        results.len(), REMAINING_MS + SLACK_MS, connected.load(Ordering::Relaxed)
    );
    if late > 0 { finish(&setup, 1, &format!("rule broken: {text}")); }
    if results.len() < 50 || ended { finish(&setup, 2, &format!("could not run: {text}")); }
    finish(&setup, 0, &format!("rule held: {text}"))
}
