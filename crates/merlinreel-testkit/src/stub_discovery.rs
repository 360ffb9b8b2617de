//! A stub of one limiter's discovery agent: lists, watches, silence and changes of state.

use crate::EndpointState;
use crate::event_log::{Event, EventLog, LinkId};
use crate::http::{Message, read};
use serde_json::Value;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How often a watch checks for a change.
const WATCH_INTERVAL: Duration = Duration::from_millis(3);

#[derive(Debug)]
struct ListedServer {
    address: SocketAddr,
    state: EndpointState,
}

#[derive(Debug)]
struct State {
    generation: u64,
    is_silent: bool,
    is_indented: bool,
    servers: Vec<ListedServer>,
    /// The list that was announced last.
    announced: Option<Value>,
}

impl State {
    /// The complete list as discovery writes it.
    fn message(&self) -> Value {
        let instances: Vec<Value> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| server.state != EndpointState::Removed)
            .map(|(number, server)| {
                let lifecycle = if server.state == EndpointState::Ready {
                    "up"
                } else {
                    "draining"
                };
                crate::instance(&format!("s-{number}"), server.address, lifecycle)
            })
            .collect();
        crate::full_list(self.generation, &instances)
    }

    fn text(&self) -> String {
        let message = self.message();
        let text = if self.is_indented {
            serde_json::to_string_pretty(&message)
        } else {
            serde_json::to_string(&message)
        };
        text.unwrap_or_default()
    }
}

/// A stub discovery, which serves until the test's process ends.
#[derive(Debug)]
pub struct StubDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StubDiscovery {
    /// Starts the discovery of that limiter, which reaches its servers at these addresses.
    ///
    /// # Panics
    /// There is no free port.
    pub fn start(limiter: usize, servers: Vec<SocketAddr>, log: &EventLog) -> StubDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let servers = servers
            .into_iter()
            .map(|address| ListedServer {
                address,
                state: EndpointState::Ready,
            })
            .collect();
        let state = Arc::new(Mutex::new(State {
            generation: 1,
            is_silent: false,
            is_indented: false,
            servers,
            announced: None,
        }));
        let (shared, log) = (state.clone(), log.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, log) = (shared.clone(), log.clone());
                thread::spawn(move || serve(limiter, stream, &state, &log));
            }
        });
        StubDiscovery { address, state }
    }

    /// Changes a server's state, which the next response announces.
    pub fn set_state(&self, server: usize, endpoint_state: EndpointState) {
        let mut state = lock(&self.state);
        state.generation += 1;
        state.servers[server].state = endpoint_state;
    }

    /// While silent, connections stay open and no response is sent.
    pub fn set_silent(&self, is_silent: bool) {
        lock(&self.state).is_silent = is_silent;
    }

    /// The list that the limiter was told last: what a new process of it is given as known.
    pub fn last_announced(&self) -> Option<Value> {
        lock(&self.state).announced.clone()
    }

    /// Writes indented JSON from now on.
    pub fn indent_responses(&self) {
        lock(&self.state).is_indented = true;
    }
}

fn serve(
    limiter: usize,
    mut stream: TcpStream,
    state: &Mutex<State>,
    log: &EventLog,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read(&mut reader, 0)? {
        let text = wait_for_response(limiter, &request, state, log);
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        )?;
    }
    Ok(())
}

/// The response to a request, which waits for a newer generation as long as its query says.
fn wait_for_response(
    limiter: usize,
    request: &Message,
    state: &Mutex<State>,
    log: &EventLog,
) -> String {
    let parameter = |name: &str| -> Option<u64> {
        let digits = request.first.split(name).nth(1)?;
        digits.split(['&', ' ']).next()?.parse().ok()
    };
    let known_generation = parameter("after=");
    let wait = Duration::from_millis(parameter("wait_ms=").unwrap_or(0));
    let start = Instant::now();
    loop {
        let mut state = lock(state);
        let is_new = known_generation.is_none_or(|known| state.generation > known);
        let is_due = start.elapsed() >= wait;
        if !state.is_silent && (is_new || is_due) {
            // Recorded before the response is written, so that no attempt after it precedes it in the log.
            for (server, listed) in state.servers.iter().enumerate() {
                if listed.state != EndpointState::Ready {
                    log.record(Event::DrainAnnounced(LinkId { limiter, server }));
                }
            }
            state.announced = Some(state.message());
            return state.text();
        }
        drop(state);
        thread::sleep(WATCH_INTERVAL);
    }
}
