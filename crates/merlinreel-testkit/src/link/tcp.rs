//! Connections from one process to another.

use super::Sky;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How long a cut direction rests before it looks again.
const LOOK: Duration = Duration::from_millis(5);
const BUFFER: usize = 16 * 1024;

/// Connections that are made to `address` go on to the target.
#[derive(Debug)]
pub struct TcpLink {
    pub address: SocketAddr,
    pub there: Sky,
    pub back: Sky,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl TcpLink {
    pub fn to(target: SocketAddr, seed: u64) -> TcpLink {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (there, back) = (Sky::new(seed), Sky::new(seed ^ 0xb4c4));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let link = TcpLink {
            address,
            there: there.clone(),
            back: back.clone(),
            open: open.clone(),
        };
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let (there, back, open) = (there.clone(), back.clone(), open.clone());
                thread::spawn(move || {
                    while there.weather().cut {
                        thread::sleep(LOOK);
                    }
                    // Refused there is refused here: the connection ends with nothing said.
                    let Ok(far) = TcpStream::connect(target) else {
                        return;
                    };
                    let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else {
                        return;
                    };
                    if let (Ok(one), Ok(two)) = (near.try_clone(), far.try_clone()) {
                        let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
                        open.retain(|stream| stream.peer_addr().is_ok());
                        open.extend([one, two]);
                    }
                    thread::spawn(move || pump(far_too, near_too, &back));
                    pump(near, far, &there);
                });
            }
        });
        link
    }

    /// Ends all connections that are open.
    pub fn break_all(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.drain(..)
            .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }
}

/// One direction of a connection. Its end is passed on like its bytes.
fn pump(mut from: TcpStream, mut to: TcpStream, sky: &Sky) {
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let mut buffer = vec![0; BUFFER];
    loop {
        let most = sky.weather().piece.unwrap_or(BUFFER).clamp(1, BUFFER);
        let read = from.read(&mut buffer[..most]).unwrap_or(0);
        let late = sky.late();
        if !late.is_zero() {
            thread::sleep(late);
        }
        while sky.weather().cut {
            thread::sleep(LOOK);
        }
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            let _ = from.shutdown(Shutdown::Read);
            return;
        }
        if let Some(rate) = sky.weather().bytes_a_second {
            thread::sleep(Duration::from_secs_f64(
                read as f64 / f64::from(rate.max(1)),
            ));
        }
    }
}
