//! A link for TCP connections from one process to another.

use super::LinkDirection;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Pause between two checks of a partitioned direction for the end of the partition.
const PARTITION_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the buffer of each direction, and so the maximum number of bytes relayed at a time.
const BUFFER_BYTES: usize = 16 * 1024;
/// Applied by XOR to the link's seed, so that the two directions have different seeds.
const REVERSE_SEED_MASK: u64 = 0xb4c4;

/// Relays each connection made to `address` to the target.
#[derive(Debug)]
pub struct TcpLink {
    /// The address at which the link listens.
    pub address: SocketAddr,
    /// The direction towards the target.
    pub forward: LinkDirection,
    /// The direction from the target.
    pub reverse: LinkDirection,
    /// The sockets on both sides of the relayed connections, for [`TcpLink::close_all`].
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl TcpLink {
    /// Starts a link to `target`. The seed determines the random draws of both directions.
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

    /// Closes all open connections on both sides.
    pub fn close_all(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.drain(..)
            .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }
}

/// What the thread of each relayed connection needs.
#[derive(Clone)]
struct Relay {
    target: SocketAddr,
    forward: LinkDirection,
    reverse: LinkDirection,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    /// Connects to the target and relays one connection until it ends. Waits first while the forward direction is
    /// partitioned.
    fn run(self, client_side: TcpStream) {
        while self.forward.conditions().partitioned {
            thread::sleep(PARTITION_CHECK_INTERVAL);
        }
        // If the target refuses, the client's connection is closed without a response.
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

/// Relays one direction of a connection under its conditions, including the end of the stream.
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
