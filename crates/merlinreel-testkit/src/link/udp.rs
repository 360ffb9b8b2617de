//! Datagrams between two processes, which know one another by the link's two addresses.

use super::Sky;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Both ways between `one` and `other`. Each sees the other at an address of the link's own, and its datagrams come
/// from there, so that a process which knows its peers by their addresses knows this one.
#[derive(Debug)]
pub struct UdpLink {
    /// Where `one` finds the other, and `other` finds the one.
    pub for_one: SocketAddr,
    pub for_other: SocketAddr,
    /// From one to the other, and back.
    pub there: Sky,
    pub back: Sky,
}

impl UdpLink {
    pub fn between(one: SocketAddr, other: SocketAddr, seed: u64) -> UdpLink {
        let socket = || Arc::new(UdpSocket::bind("127.0.0.1:0").expect("a free port"));
        let (near_one, near_other) = (socket(), socket());
        let at = |socket: &UdpSocket| socket.local_addr().expect("bound");
        let (for_one, for_other) = (at(&near_one), at(&near_other));
        let (there, back) = (Sky::new(seed), Sky::new(seed ^ 0xb4c4));
        pass(near_one.clone(), near_other.clone(), other, there.clone());
        pass(near_other, near_one, one, back.clone());
        UdpLink {
            for_one,
            for_other,
            there,
            back,
        }
    }
}

/// What comes at one socket leaves from the other, in a thread that lives as long as the test's process.
fn pass(from: Arc<UdpSocket>, to: Arc<UdpSocket>, target: SocketAddr, sky: Sky) {
    thread::spawn(move || {
        let mut buffer = [0; 65536];
        let mut due: BTreeMap<(Instant, u64), Vec<u8>> = BTreeMap::new();
        let mut number = 0;
        loop {
            let now = Instant::now();
            while let Some(entry) = due.first_entry().filter(|entry| entry.key().0 <= now) {
                let _ = to.send_to(&entry.remove(), target);
            }
            let wait = due
                .keys()
                .next()
                .map_or(Duration::from_secs(1), |(at, _)| *at - now);
            let _ = from.set_read_timeout(Some(wait.max(Duration::from_micros(100))));
            let Ok((length, _)) = from.recv_from(&mut buffer) else {
                continue;
            };
            for late in sky.fates() {
                number += 1;
                due.insert((Instant::now() + late, number), buffer[..length].to_vec());
            }
        }
    });
}
