//! A discovery agent of one limiter: lists, watches, silence, and news that come late.

use crate::http::read;
use crate::record::{Record, What};
use serde_json::{Value, json};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Up,
    Draining,
    Gone,
}

#[derive(Debug)]
struct Held {
    generation: u64,
    silent: bool,
    indented: bool,
    workers: Vec<(SocketAddr, Standing)>,
}

impl Held {
    /// The whole list as discovery writes it.
    fn list(&self) -> Value {
        let listed = self
            .workers
            .iter()
            .enumerate()
            .filter(|(_, (_, standing))| *standing != Standing::Gone);
        let instances: Vec<Value> = listed
            .map(|(i, (address, standing))| {
                let state = if *standing == Standing::Up {
                    "up"
                } else {
                    "draining"
                };
                crate::listed(&format!("s-{i}"), *address, state)
            })
            .collect();
        json!({"generation": self.generation, "reset": true, "instances": instances})
    }
}

/// Serves until the test's process ends.
#[derive(Debug)]
pub struct Agent {
    pub address: SocketAddr,
    held: Arc<Mutex<Held>>,
}

fn lock(held: &Mutex<Held>) -> MutexGuard<'_, Held> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Agent {
    /// For the limiter of that number, which reaches workers at these addresses.
    pub fn start(limiter: usize, workers: Vec<SocketAddr>, record: &Record) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let workers = workers
            .into_iter()
            .map(|address| (address, Standing::Up))
            .collect();
        let held = Arc::new(Mutex::new(Held {
            generation: 1,
            silent: false,
            indented: false,
            workers,
        }));
        let (serving, record) = (held.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (held, record) = (serving.clone(), record.clone());
                thread::spawn(move || attend(limiter, stream, &held, &record));
            }
        });
        Agent { address, held }
    }

    /// Another standing of a worker, told at the next answer.
    pub fn set(&self, worker: usize, standing: Standing) {
        let mut held = lock(&self.held);
        held.generation += 1;
        held.workers[worker].1 = standing;
    }

    /// Silent, its connections stay open and nothing comes.
    pub fn silence(&self, silent: bool) {
        lock(&self.held).silent = silent;
    }

    /// Lists come indented from now on.
    pub fn indent(&self) {
        lock(&self.held).indented = true;
    }
}

fn attend(
    limiter: usize,
    mut stream: TcpStream,
    held: &Mutex<Held>,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut from = BufReader::new(stream.try_clone()?);
    while let Some(message) = read(&mut from, 0)? {
        let number = |name: &str| -> Option<u64> {
            let digits = message.first.split(name).nth(1)?;
            digits.split(['&', ' ']).next()?.parse().ok()
        };
        let (after, wait) = (number("after="), number("wait_ms=").unwrap_or(0));
        let begun = Instant::now();
        let text = loop {
            let held = lock(held);
            let new = after.is_none_or(|after| held.generation > after);
            let over = begun.elapsed() >= Duration::from_millis(wait);
            if !held.silent && (new || over) {
                for (worker, _) in held
                    .workers
                    .iter()
                    .enumerate()
                    .filter(|(_, (_, s))| *s != Standing::Up)
                {
                    record.tell(What::Told { limiter, worker });
                }
                let list = held.list();
                let text = if held.indented {
                    serde_json::to_string_pretty(&list)
                } else {
                    serde_json::to_string(&list)
                };
                break text.unwrap_or_default();
            }
            drop(held);
            thread::sleep(Duration::from_millis(3));
        };
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        )?;
    }
    Ok(())
}
