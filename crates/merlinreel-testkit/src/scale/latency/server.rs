//! Servers on loopback addresses of their own that answer each request at once, but for one that a test may hold.

use super::LatencyError;
use crate::http::read;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Addresses are 127.1.x.y: so many for each x, from y = 1 on.
const ADDRESSES_A_ROW: usize = 250;
/// Requests whose answers are not counted carry no such header: readiness checks.
const TXN: &str = "x-txn";

/// One answer that is held until the test releases it.
#[derive(Debug)]
pub struct Hold {
    held: Receiver<()>,
    release: Sender<()>,
}

impl Hold {
    /// Waits until the request is there whose answer is held; false where none came.
    pub fn wait(&self) -> bool {
        self.held.recv_timeout(crate::PATIENCE).is_ok()
    }

    pub fn release(self) {
        // Where the server is gone, there is nothing to release.
        let _ = self.release.send(());
    }
}

/// The servers' side of a [`Hold`].
#[derive(Debug)]
struct HeldAnswer {
    txn: String,
    tell: Sender<()>,
    released: Mutex<Receiver<()>>,
}

#[derive(Debug)]
struct State {
    body: String,
    requests: AtomicU64,
    held: Option<HeldAnswer>,
}

/// They serve until the test's process ends.
#[derive(Debug)]
pub struct LoopbackServers {
    pub addresses: Vec<SocketAddr>,
    state: Arc<State>,
}

impl LoopbackServers {
    pub fn start(servers: usize, answer_bytes: usize) -> Result<LoopbackServers, LatencyError> {
        LoopbackServers::start_with(servers, answer_bytes, None)
    }

    /// The answer to the request of that id is held.
    pub fn start_holding(
        servers: usize,
        answer_bytes: usize,
        txn: &str,
    ) -> Result<(LoopbackServers, Hold), LatencyError> {
        let ((tell, held), (release, released)) = (channel(), channel());
        let answer = HeldAnswer {
            txn: txn.to_owned(),
            tell,
            released: Mutex::new(released),
        };
        let servers = LoopbackServers::start_with(servers, answer_bytes, Some(answer))?;
        Ok((servers, Hold { held, release }))
    }

    /// One listener for all addresses.
    fn start_with(
        servers: usize,
        answer_bytes: usize,
        held: Option<HeldAnswer>,
    ) -> Result<LoopbackServers, LatencyError> {
        let listener =
            TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).map_err(LatencyError::Listen)?;
        let port = listener.local_addr().map_err(LatencyError::Listen)?.port();
        let addresses = (0..servers)
            .map(|i| SocketAddr::from((loopback(i), port)))
            .collect();
        let state = Arc::new(State {
            body: "x".repeat(answer_bytes),
            requests: AtomicU64::new(0),
            held,
        });
        let serving = state.clone();
        thread::spawn(move || accept(&listener, &serving));
        Ok(LoopbackServers { addresses, state })
    }

    /// Requests that came, whichever way.
    pub fn requests(&self) -> u64 {
        self.state.requests.load(Ordering::Relaxed)
    }
}

fn loopback(number: usize) -> [u8; 4] {
    [
        127,
        1,
        (number / ADDRESSES_A_ROW) as u8,
        (number % ADDRESSES_A_ROW) as u8 + 1,
    ]
}

fn accept(listener: &TcpListener, state: &Arc<State>) {
    for stream in listener.incoming().flatten() {
        // Guards against strangers: the listener is bound to all addresses.
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
        let mut from = BufReader::new(stream.try_clone()?);
        while let Some(request) = read(&mut from, 0)? {
            let Some(txn) = request.header(TXN) else {
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            self.requests.fetch_add(1, Ordering::Relaxed);
            self.hold(txn);
            stream.write_all(self.answer(txn).as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, txn: &str) -> String {
        let length = self.body.len();
        format!(
            "HTTP/1.1 200 OK\r\nX-Txn: {txn}\r\nContent-Length: {length}\r\n\r\n{}",
            self.body
        )
    }

    /// Waits where this is the request whose answer is held.
    fn hold(&self, txn: &str) {
        let Some(held) = self.held.as_ref().filter(|held| held.txn == txn) else {
            return;
        };
        let _ = held.tell.send(());
        // An error where the test has ended without a release.
        let _ = held
            .released
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv();
    }
}
