//! A stub server with cores, a queue and a slow start. It can be paused and drained, and records the attempts it receives.

use crate::event_log::{Event, EventLog};
use crate::http::{Message, read};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The capacity of a stub server. Requests that run share the cores.
#[derive(Clone, Copy, Debug)]
pub struct StubServerConfig {
    /// Number of requests that can run at once at full speed.
    pub cores: usize,
    /// Number of requests that are accepted in addition to `cores`. Further ones are rejected.
    pub queue: usize,
    /// Time to run one request at full speed, after the slow start.
    pub service_time: Duration,
    /// Factor on the service time right after the start. It falls linearly to 1 during the slow start.
    pub initial_slowdown: f64,
    /// Length of the slow start; zero for none.
    pub slow_start_duration: Duration,
}

impl Default for StubServerConfig {
    fn default() -> StubServerConfig {
        StubServerConfig {
            cores: 4,
            queue: 16,
            service_time: Duration::from_millis(5),
            initial_slowdown: 1.0,
            slow_start_duration: Duration::ZERO,
        }
    }
}

/// What the server and the threads of its connections share.
#[derive(Debug)]
struct State {
    /// Index of the server, recorded in events.
    number: usize,
    config: StubServerConfig,
    log: EventLog,
    started: Instant,
    /// Number of accepted requests that have not ended.
    running: AtomicUsize,
    /// Number of requests that were run to completion.
    completed: AtomicUsize,
    is_paused: AtomicBool,
    is_draining: AtomicBool,
}

/// A stub server. Serves until the test's process ends.
#[derive(Debug)]
pub struct StubServer {
    /// The address at which the server listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

/// Number of the next attempt, counted over all stub servers of the test's process.
static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

impl StubServer {
    /// Starts a server. `number` is its index in the recorded events.
    ///
    /// # Panics
    /// There is no free port.
    pub fn start(number: usize, config: StubServerConfig, log: &EventLog) -> StubServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener
            .local_addr()
            .expect("the listener has a local address");
        let state = Arc::new(State {
            number,
            config,
            log: log.clone(),
            started: Instant::now(),
            running: AtomicUsize::new(0),
            completed: AtomicUsize::new(0),
            is_paused: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || state.serve(stream));
            }
        });
        StubServer { address, state }
    }

    /// Sets whether the server is paused: it accepts requests but makes no progress on them.
    pub fn set_paused(&self, is_paused: bool) {
        self.state.is_paused.store(is_paused, Ordering::Relaxed);
    }

    /// Drains the server for good: it finishes running requests and rejects new ones.
    pub fn drain(&self) {
        self.state.is_draining.store(true, Ordering::Relaxed);
    }

    /// Number of requests that were run to completion.
    pub fn completed_requests(&self) -> usize {
        self.state.completed.load(Ordering::Relaxed)
    }
}

/// The remaining time in `X-Remaining`, in whole milliseconds; `None` if the header is missing or malformed.
fn advertised_time(message: &Message) -> Option<Duration> {
    let milliseconds = message
        .header("x-remaining")?
        .strip_suffix('m')?
        .parse()
        .ok()?;
    Some(Duration::from_millis(milliseconds))
}

impl State {
    /// Serves a connection. Requests without `X-Txn` are health checks.
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(message) = read(&mut reader, 0)? {
            match message.header("x-txn").map(str::to_owned) {
                Some(id) => self.handle_attempt(id, advertised_time(&message), &mut stream)?,
                None => State::handle_health_check(&message, &mut stream)?,
            }
            stream.set_read_timeout(None)?;
        }
        Ok(())
    }

    fn handle_health_check(message: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let status = if message.start_line.starts_with("GET /alive") {
            "200 OK"
        } else {
            "404 Not Found"
        };
        write!(stream, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
    }

    fn handle_attempt(
        &self,
        id: String,
        advertised_time: Option<Duration>,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let attempt = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
        self.log.record(Event::AttemptReceived {
            id,
            server: self.number,
            attempt,
            advertised_time,
        });
        let is_full = self.running() >= self.config.cores + self.config.queue;
        if self.is_draining.load(Ordering::Relaxed) || is_full {
            // Recorded before the response is written, so that events caused by the response follow it in the log.
            self.log.record(Event::AttemptRejected { attempt });
            return stream.write_all(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
            );
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let is_completed = self.run(stream);
        self.running.fetch_sub(1, Ordering::Relaxed);
        if !is_completed? {
            self.log.record(Event::AttemptAborted { attempt });
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.completed.fetch_add(1, Ordering::Relaxed);
        self.log.record(Event::AttemptCompleted { attempt });
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    }

    fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// How long a request that begins now takes, at the current load and stage of the slow start.
    fn service_time(&self) -> Duration {
        let slow_start = self.config.slow_start_duration.as_secs_f64().max(0.001);
        let progress = self.started.elapsed().as_secs_f64() / slow_start;
        let slowdown = 1.0 + (self.config.initial_slowdown - 1.0) * (1.0 - progress).max(0.0);
        // Running requests share all cores equally.
        let requests_per_core = self.running().div_ceil(self.config.cores).max(1);
        self.config.service_time.mul_f64(slowdown)
            * u32::try_from(requests_per_core).unwrap_or(u32::MAX)
    }

    /// Runs a request for its service time, unless the connection ends before. Returns whether the request completed.
    fn run(&self, stream: &TcpStream) -> io::Result<bool> {
        // The read timeout makes `peek` both the check for a closed connection and the pause until the next check.
        stream.set_read_timeout(Some(Duration::from_millis(2)))?;
        let mut remaining = self.service_time();
        loop {
            let start = Instant::now();
            match stream.peek(&mut [0]) {
                Ok(0) => return Ok(false),
                // Bytes of a further request, which limiters never send before the response: `peek` returns at once, so the
                // loop sleeps instead.
                Ok(_) => thread::sleep(Duration::from_millis(1)),
                Err(error) if is_timeout(&error) => {}
                Err(_) => return Ok(false),
            }
            if self.is_paused.load(Ordering::Relaxed) {
                continue;
            }
            remaining = remaining.saturating_sub(start.elapsed());
            if remaining.is_zero() {
                return Ok(true);
            }
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
