//! A link for connections from one process to another.

use super::LinkDirection;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How often a partitioned direction checks whether it has healed.
const PARTITION_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 16 * 1024;
/// Makes the seeds of the two directions differ.
const REVERSE_SEED_MASK: u64 = 0xb4c4;

/// Relays each connection made to `address` to the target.
#[derive(Debug)]
pub struct TcpLink {
    /// Where the link listens.
    pub address: SocketAddr,
    /// Towards the target.
    pub forward: LinkDirection,
    /// From the target.
    pub reverse: LinkDirection,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl TcpLink {
    /// Starts a link to the target.
    ///
    /// # Panics
    /// There is no free port.
    pub fn to(target: SocketAddr, seed: u64) -> TcpLink {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let relay = Relay {
            target,
            forward: LinkDirection::new(seed),
            reverse: LinkDirection::new(seed ^ REVERSE_SEED_MASK),
            open: Arc::default(),
        };
        let link = TcpLink {
            address,
            forward: relay.forward.clone(),
            reverse: relay.reverse.clone(),
            open: relay.open.clone(),
        };
        thread::spawn(move || {
            for client_side in listener.incoming().flatten() {
                let relay = relay.clone();
                thread::spawn(move || relay.run(client_side));
            }
        });
        link
    }

    /// Closes all open connections.
    pub fn close_all(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.drain(..)
            .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }
}

#[derive(Clone)]
struct Relay {
    target: SocketAddr,
    forward: LinkDirection,
    reverse: LinkDirection,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    /// Relays one connection until it ends.
    fn run(self, client_side: TcpStream) {
        while self.forward.conditions().partitioned {
            thread::sleep(PARTITION_CHECK_INTERVAL);
        }
        // Where the target refuses, the client's connection is closed without a byte.
        let Ok(target_side) = TcpStream::connect(self.target) else {
            return;
        };
        let (Ok(reverse_to), Ok(reverse_from)) = (client_side.try_clone(), target_side.try_clone())
        else {
            return;
        };
        if let (Ok(client), Ok(target)) = (client_side.try_clone(), target_side.try_clone()) {
            let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
            open.retain(|stream| stream.peer_addr().is_ok());
            open.extend([client, target]);
        }
        let reverse = self.reverse;
        thread::spawn(move || relay(reverse_from, reverse_to, &reverse));
        relay(client_side, target_side, &self.forward);
    }
}

/// Relays one direction of a connection; its end is relayed like its bytes.
fn relay(mut from: TcpStream, mut to: TcpStream, direction: &LinkDirection) {
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let chunk_bytes = direction.conditions().chunk_bytes;
        let length = chunk_bytes.unwrap_or(BUFFER_BYTES).clamp(1, BUFFER_BYTES);
        let read = from.read(&mut buffer[..length]).unwrap_or(0);
        let delay = direction.draw_delay();
        if !delay.is_zero() {
            thread::sleep(delay);
        }
        while direction.conditions().partitioned {
            thread::sleep(PARTITION_CHECK_INTERVAL);
        }
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            let _ = from.shutdown(Shutdown::Read);
            return;
        }
        if let Some(rate) = direction.conditions().bytes_per_second {
            let seconds = read as f64 / f64::from(rate.max(1));
            thread::sleep(Duration::from_secs_f64(seconds));
        }
    }
}
