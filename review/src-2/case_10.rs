//! Case 10: servers write long answers in pieces, with a pause of 3.5 s between the first piece and the others.

mod kit;
mod settings;

use kit::{Ask, Client, Discovery, Instance, Limiter, ms, record};
use settings::{Class, NO_CEILING, Plan, SAFE, Site, UNSAFE};
use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Length of each answer: above 64 KiB.
const LENGTH: usize = 200_000;
/// Length of the first piece, and the pause after it.
const FIRST: usize = 24_000;
const PAUSE: Duration = Duration::from_millis(3500);
/// For so long the limiter may hold back what has arrived, with the 50 ms that every time limit is longer on sockets.
const MAX_HELD_S: f64 = 2.05;

/// The body of the answer to a request: its id, again and again.
fn body(id: &str) -> Vec<u8> {
    id.bytes().cycle().take(LENGTH).collect()
}

fn chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    for piece in bytes.chunks(8000) {
        let mut text = format!("{:x}\r\n", piece.len()).into_bytes();
        text.extend_from_slice(piece);
        text.extend_from_slice(b"\r\n");
        stream.write_all(&text)?;
    }
    Ok(())
}

/// What became of the attempts of one request.
#[derive(Default)]
struct Given {
    /// When the first piece of the first attempt's answer was written, in seconds of the record.
    began: Option<f64>,
    cut_off: usize,
}

fn answer(stream: &mut TcpStream, name: &str, id: &str, given: &Mutex<std::collections::HashMap<String, Given>>) -> io::Result<()> {
    let body = body(id);
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    chunk(stream, &body[..FIRST])?;
    record(&format!("{name}: {id}: the first {FIRST} bytes are written"));
    given.lock().unwrap().entry(id.to_owned()).or_default().began.get_or_insert(kit::at());
    if kit::trouble() {
        thread::sleep(PAUSE);
    }
    chunk(stream, &body[FIRST..])?;
    stream.write_all(b"0\r\n\r\n")
}

fn main() {
    kit::open_record();
    let given: Arc<Mutex<std::collections::HashMap<String, Given>>> = Arc::default();
    let server = |name: &'static str| {
        let given = given.clone();
        kit::listen(move |stream| {
            let mut reader = BufReader::new(stream.try_clone()?);
            let mut stream = stream;
            while let Some(request) = kit::read_message(&mut reader)? {
                let id = request.header("x-txn").unwrap_or("-").to_owned();
                record(&format!("{name}: {id} arrived"));
                thread::sleep(ms(60));
                let written = answer(&mut stream, name, &id, &given);
                // The kernel may still have taken the last bytes of an answer that was cut off.
                let closed = stream.set_read_timeout(Some(ms(20))).is_ok()
                    && matches!(stream.peek(&mut [0]), Ok(0));
                stream.set_read_timeout(None)?;
                if written.is_err() || closed {
                    record(&format!("{name}: {id}: the limiter has cut the answer off"));
                    given.lock().unwrap().entry(id).or_default().cut_off += 1;
                    return Ok(());
                }
                record(&format!("{name}: {id}: the whole answer is written"));
            }
            Ok(())
        })
    };
    let names = ["s-1", "s-2", "s-3", "s-4"];
    let discovery = Discovery::start(names.map(|name| Instance::up(name, server(name))).to_vec());
    let classes = [
        Class { name: "subset-fetch", objective_s: 0.5, deadline_s: 1.5, worth: 1.0, late_share: 0.0, rest: SAFE },
        Class { name: "licence-charge", objective_s: 0.75, deadline_s: 3.0, worth: 3.0, late_share: 0.0, rest: UNSAFE },
    ];
    let plans = [Plan { name: "studio", rate: 45.0, burst: 90.0, price: 1.6, ceiling: NO_CEILING }];
    let listen = kit::free_address();
    let site = Site::single(listen);
    let mut limiter = Limiter::start("n0", &site.json(&discovery, &classes, &plans), None);
    limiter.wait_until_up(listen);
    let violations: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..20u64 {
        let (violations, given) = (violations.clone(), given.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(ms(700 * number));
            let mut ask = Ask::get("subset-fetch", "studio", 0x300 + number, 1500);
            if number % 2 == 1 {
                ask.class = "licence-charge";
                ask.remaining_ms = 3000;
                ask.body = Some(b"units=1".to_vec());
            }
            record(&format!("client: {} {} sent", ask.id, ask.class));
            let started = Instant::now();
            let mut first_byte = 0.0;
            let answer = Client::connect(listen).and_then(|mut client| {
                client.stream.set_read_timeout(Some(ms(10_000)))?;
                client.stream.write_all(&ask.wire())?;
                client.reader.fill_buf()?;
                first_byte = kit::at();
                kit::read_message(&mut client.reader)?.ok_or(io::ErrorKind::UnexpectedEof.into())
            });
            let took = started.elapsed();
            let whole = answer.as_ref().is_ok_and(|answer| answer.status() == 200 && answer.body == body(&ask.id));
            let text = match &answer {
                Ok(answer) => format!("status {} with {} bytes", answer.status(), answer.body.len()),
                Err(error) => format!("no whole answer: {error}"),
            };
            record(&format!("client: {} {}: {text} after {took:?}", ask.id, ask.class));
            thread::sleep(ms(5000));
            let given = given.lock().unwrap();
            let Some(attempts) = given.get(&ask.id) else { return };
            let Some(began) = attempts.began else { return };
            let held = first_byte - began;
            if !whole && attempts.cut_off > 0 {
                violations.lock().unwrap().push(format!(
                    "{} {}: {text} after {took:?}; what {} servers still gave was cut off",
                    ask.id, ask.class, attempts.cut_off
                ));
            } else if whole && held > MAX_HELD_S {
                violations.lock().unwrap().push(format!(
                    "{} {}: what had arrived was held back for {held:.2} s",
                    ask.id, ask.class
                ));
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    if let Some(end) = limiter.ended() {
        kit::cannot_run(&format!("the limiter ended: {end}"));
    }
    limiter.record_log();
    drop(limiter);
    let violations = violations.lock().unwrap().clone();
    std::process::exit(kit::verdict(&violations));
}
