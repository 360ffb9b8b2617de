//! Servers on distinct loopback addresses that respond to each request at once. A test may hold back one response.

use super::LatencyError;
use crate::http::read;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Server addresses are 127.1.x.y, with this many values of y for each x, from 1 on.
const ADDRESSES_PER_X: usize = 250;
/// Carries the request id. Health checks have no such header and are not counted.
const REQUEST_ID_HEADER: &str = "x-txn";

/// A response that the servers hold back until the test releases it.
#[derive(Debug)]
pub struct Hold {
    received: Receiver<()>,
    release: Sender<()>,
}

impl Hold {
    /// Waits until the request with the held response arrives. Returns whether it arrived within the test timeout.
    pub fn wait_for_request(&self) -> bool {
        self.received.recv_timeout(crate::TEST_TIMEOUT).is_ok()
    }

    /// Lets the server send the response.
    pub fn release(self) {
        // Fails only if the servers' end is gone; the test then fails for lack of a response.
        let _ = self.release.send(());
    }
}

/// The servers' end of a [`Hold`].
#[derive(Debug)]
struct HeldResponse {
    id: String,
    received: Sender<()>,
    released: Mutex<Receiver<()>>,
}

#[derive(Debug)]
struct State {
    body: String,
    requests: AtomicU64,
    held: Option<HeldResponse>,
}

/// Loopback servers, which run until the process ends.
#[derive(Debug)]
pub struct LoopbackServers {
    /// The address of each server.
    pub addresses: Vec<SocketAddr>,
    state: Arc<State>,
}

impl LoopbackServers {
    /// Starts servers whose response bodies have this length.
    ///
    /// # Errors
    /// The listening socket can't be opened.
    pub fn start(servers: usize, response_bytes: usize) -> Result<LoopbackServers, LatencyError> {
        LoopbackServers::start_with(servers, response_bytes, None)
    }

    /// Starts servers that hold back the response to the request with this id.
    ///
    /// # Errors
    /// The listening socket can't be opened.
    pub fn start_holding(
        servers: usize,
        response_bytes: usize,
        id: &str,
    ) -> Result<(LoopbackServers, Hold), LatencyError> {
        let (received_sender, received) = channel();
        let (release, released) = channel();
        let response = HeldResponse {
            id: id.to_owned(),
            received: received_sender,
            released: Mutex::new(released),
        };
        let servers = LoopbackServers::start_with(servers, response_bytes, Some(response))?;
        Ok((servers, Hold { received, release }))
    }

    /// Starts one listener for the addresses of all servers.
    fn start_with(
        servers: usize,
        response_bytes: usize,
        held: Option<HeldResponse>,
    ) -> Result<LoopbackServers, LatencyError> {
        let listener =
            TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).map_err(LatencyError::Listen)?;
        let port = listener.local_addr().map_err(LatencyError::Listen)?.port();
        let addresses = (0..servers)
            .map(|number| SocketAddr::from((loopback_address(number), port)))
            .collect();
        let state = Arc::new(State {
            body: "x".repeat(response_bytes),
            requests: AtomicU64::new(0),
            held,
        });
        let accept_state = state.clone();
        thread::spawn(move || accept(&listener, &accept_state));
        Ok(LoopbackServers { addresses, state })
    }

    /// Number of requests received, directly and through limiters, without health checks.
    pub fn requests(&self) -> u64 {
        self.state.requests.load(Ordering::Relaxed)
    }
}

fn loopback_address(number: usize) -> [u8; 4] {
    [
        127,
        1,
        (number / ADDRESSES_PER_X) as u8,
        (number % ADDRESSES_PER_X) as u8 + 1,
    ]
}

fn accept(listener: &TcpListener, state: &Arc<State>) {
    for stream in listener.incoming().flatten() {
        // The listener is bound to all addresses of the machine; only connections over loopback are served.
        if !stream.peer_addr().is_ok_and(|peer| peer.ip().is_loopback()) {
            continue;
        }
        let state = state.clone();
        thread::spawn(move || state.serve(stream));
    }
}

impl State {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read(&mut reader, 0)? {
            let Some(id) = request.header(REQUEST_ID_HEADER) else {
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            self.requests.fetch_add(1, Ordering::Relaxed);
            self.wait_for_release(id);
            stream.write_all(self.response(id).as_bytes())?;
        }
        Ok(())
    }

    fn response(&self, id: &str) -> String {
        let length = self.body.len();
        format!(
            "HTTP/1.1 200 OK\r\nX-Txn: {id}\r\nContent-Length: {length}\r\n\r\n{}",
            self.body
        )
    }

    /// If the response to this request is held, reports its arrival and waits for the release.
    fn wait_for_release(&self, id: &str) {
        let Some(held) = self.held.as_ref().filter(|held| held.id == id) else {
            return;
        };
        let _ = held.received.send(());
        // Fails if the test ended without releasing the response.
        let _ = held
            .released
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv();
    }
}
