//! A worker: a server with a queue, cores, a warm-up, pauses, silence and drains, which tells the record what came.

use crate::http::{Message, read};
use crate::record::{Record, What};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// What a worker is like.
#[derive(Clone, Copy, Debug)]
pub struct WorkerKind {
    pub cores: usize,
    /// Requests that may wait for a core; more are turned away.
    pub queue: usize,
    /// What a request takes once it is warm.
    pub service: Duration,
    /// How many times longer it takes right after the start, and when that is over.
    pub cold: f64,
    pub warm_after: Duration,
}

impl Default for WorkerKind {
    fn default() -> WorkerKind {
        WorkerKind {
            cores: 4,
            queue: 16,
            service: Duration::from_millis(5),
            cold: 1.0,
            warm_after: Duration::ZERO,
        }
    }
}

#[derive(Debug)]
struct State {
    number: usize,
    kind: WorkerKind,
    record: Record,
    began: Instant,
    running: AtomicUsize,
    taken: AtomicUsize,
    paused: AtomicBool,
    draining: AtomicBool,
}

/// Serves until the test's process ends.
#[derive(Debug)]
pub struct Worker {
    pub address: SocketAddr,
    state: Arc<State>,
}

/// Attempts of all workers of a test's process.
static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

impl Worker {
    pub fn start(number: usize, kind: WorkerKind, record: &Record) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(State {
            number,
            kind,
            record: record.clone(),
            began: Instant::now(),
            running: AtomicUsize::new(0),
            taken: AtomicUsize::new(0),
            paused: AtomicBool::new(false),
            draining: AtomicBool::new(false),
        });
        let serving = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = serving.clone();
                thread::spawn(move || state.serve(stream));
            }
        });
        Worker { address, state }
    }

    /// It takes what comes and does nothing of it until it goes on.
    pub fn pause(&self, paused: bool) {
        self.state.paused.store(paused, Ordering::Relaxed);
    }

    /// It finishes what it holds and turns the rest away.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::Relaxed);
    }

    /// Requests that it took.
    pub fn taken(&self) -> usize {
        self.state.taken.load(Ordering::Relaxed)
    }
}

/// How long the limiter says that it will wait.
fn told(message: &Message) -> Option<Duration> {
    let milliseconds = message
        .header("x-remaining")?
        .strip_suffix('m')?
        .parse()
        .ok()?;
    Some(Duration::from_millis(milliseconds))
}

impl State {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut from = BufReader::new(stream.try_clone()?);
        while let Some(message) = read(&mut from, 0)? {
            match message.header("x-txn").map(str::to_owned) {
                Some(id) => self.request(&id, told(&message), &mut stream)?,
                None => self.probe(&message, &mut stream)?,
            }
            stream.set_read_timeout(None)?;
        }
        Ok(())
    }

    fn probe(&self, message: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let status = if message.first.starts_with("GET /alive") {
            "200 OK"
        } else {
            "404 Not Found"
        };
        write!(stream, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
    }

    fn request(&self, id: &str, told: Option<Duration>, stream: &mut TcpStream) -> io::Result<()> {
        let attempt = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
        self.record.tell(What::Came {
            id: id.to_owned(),
            worker: self.number,
            attempt,
            told,
        });
        if self.draining.load(Ordering::Relaxed)
            || self.waiting() >= self.kind.cores + self.kind.queue
        {
            // Told before it is written: what follows the answer must find it in the record.
            self.record.tell(What::TurnedAway { attempt });
            return stream.write_all(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
            );
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let whole = self.run(stream);
        self.running.fetch_sub(1, Ordering::Relaxed);
        if !whole? {
            self.record.tell(What::Left { attempt });
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.taken.fetch_add(1, Ordering::Relaxed);
        self.record.tell(What::Ran { attempt });
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    }

    fn waiting(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Works on a request for its time, unless the limiter leaves; whether it was done.
    fn run(&self, stream: &TcpStream) -> io::Result<bool> {
        // Looks often whether the limiter is still there, and sleeps by it.
        stream.set_read_timeout(Some(Duration::from_millis(2)))?;
        let warmth =
            self.began.elapsed().as_secs_f64() / self.kind.warm_after.as_secs_f64().max(0.001);
        let cold = 1.0 + (self.kind.cold - 1.0) * (1.0 - warmth).max(0.0);
        // All cores shared by what runs.
        let crowd = self.waiting().div_ceil(self.kind.cores).max(1);
        let mut left = self.kind.service.mul_f64(cold) * u32::try_from(crowd).unwrap_or(u32::MAX);
        loop {
            let begun = Instant::now();
            match stream.peek(&mut [0]) {
                Ok(0) => return Ok(false),
                // The next request, which clients here never send so early.
                Ok(_) => thread::sleep(Duration::from_millis(1)),
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return Ok(false),
            }
            if self.paused.load(Ordering::Relaxed) {
                continue;
            }
            left = left.saturating_sub(begun.elapsed());
            if left.is_zero() {
                return Ok(true);
            }
        }
    }
}
