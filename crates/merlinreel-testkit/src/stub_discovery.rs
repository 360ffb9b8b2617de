//! A stub of one limiter's discovery agent. Serves server lists and watches; tests can silence it and change the state of
//! servers.

use crate::EndpointState;
use crate::event_log::{Event, EventLog, LinkId};
use crate::http::{Message, read};
use serde_json::Value;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two checks of a waiting request for a change.
const WATCH_INTERVAL: Duration = Duration::from_millis(3);

/// A server of the list. Its index in the list is its index in the cluster.
#[derive(Debug)]
struct ListedServer {
    address: SocketAddr,
    state: EndpointState,
}

/// What tests and the threads of connections share.
#[derive(Debug)]
struct State {
    /// Generation of the list, increased by each change.
    generation: u64,
    is_silent: bool,
    /// Whether responses are indented JSON.
    is_indented: bool,
    servers: Vec<ListedServer>,
    /// The list that was sent last; `None` before the first response.
    announced: Option<Value>,
}

impl State {
    /// The complete list as a discovery message. Removed servers are left out; all others that are not ready are listed
    /// as draining.
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

    /// The complete list as JSON text.
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

/// A stub discovery. Serves until the test's process ends.
#[derive(Debug)]
pub struct StubDiscovery {
    /// The address at which the stub listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StubDiscovery {
    /// Starts the discovery of the limiter with this index, and lists the servers at these addresses as ready.
    ///
    /// # Panics
    /// There is no free port.
    pub fn start(limiter: usize, servers: Vec<SocketAddr>, log: &EventLog) -> StubDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener
            .local_addr()
            .expect("the listener has a local address");
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

    /// Changes the state of the server with this index. Later responses announce it.
    pub fn set_state(&self, server: usize, endpoint_state: EndpointState) {
        let mut state = lock(&self.state);
        state.generation += 1;
        state.servers[server].state = endpoint_state;
    }

    /// Sets whether the stub is silent: connections stay open, but no response is sent.
    pub fn set_silent(&self, is_silent: bool) {
        lock(&self.state).is_silent = is_silent;
    }

    /// The list that was last sent to the limiter; `None` if there is none. A restarted limiter starts from it.
    pub fn last_announced(&self) -> Option<Value> {
        lock(&self.state).announced.clone()
    }

    /// Makes all later responses indented JSON.
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

/// Returns the body of the response to a request. Waits for a generation newer than the query's `after`, at most for its
/// `wait_ms`, and in any case until the stub is not silent.
fn wait_for_response(
    limiter: usize,
    request: &Message,
    state: &Mutex<State>,
    log: &EventLog,
) -> String {
    let parameter = |name: &str| -> Option<u64> {
        let digits = request.start_line.split(name).nth(1)?;
        digits.split(['&', ' ']).next()?.parse().ok()
    };
    let known_generation = parameter("after=");
    let wait = Duration::from_millis(parameter("wait_ms=").unwrap_or(0));
    let start = Instant::now();
    loop {
        let mut state = lock(state);
        let is_new = known_generation.is_none_or(|known| state.generation > known);
        let wait_is_over = start.elapsed() >= wait;
        if !state.is_silent && (is_new || wait_is_over) {
            // Recorded before the response is written, so that attempts made after the response follow it in the log.
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
