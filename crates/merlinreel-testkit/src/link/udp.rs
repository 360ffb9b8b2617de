//! A link for datagrams between two processes.

use super::LinkDirection;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Applied by XOR to the link's seed, so that the two directions have different seeds.
const REVERSE_SEED_MASK: u64 = 0xb4c4;
/// Size of the receive buffer. No UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 65536;

/// Relays datagrams between a first and a second process. Each process reaches the other at an address of the link, and
/// receives the other's datagrams from that same address, so it can identify its peer by address.
#[derive(Debug)]
pub struct UdpLink {
    /// The link's address at which the first process reaches the second.
    pub address_for_first: SocketAddr,
    /// The link's address at which the second process reaches the first.
    pub address_for_second: SocketAddr,
    /// The direction from the first process to the second.
    pub forward: LinkDirection,
    /// The direction from the second process to the first.
    pub reverse: LinkDirection,
}

impl UdpLink {
    /// Starts a link between two processes that listen at these addresses. The seed determines the random draws of both
    /// directions.
    ///
    /// # Panics
    /// There is no free port.
    pub fn between(first: SocketAddr, second: SocketAddr, seed: u64) -> UdpLink {
        let bind = || Arc::new(UdpSocket::bind("127.0.0.1:0").expect("a free port"));
        let address =
            |socket: &UdpSocket| socket.local_addr().expect("the socket has a local address");
        let first_side = bind();
        let second_side = bind();
        let link = UdpLink {
            address_for_first: address(&first_side),
            address_for_second: address(&second_side),
            forward: LinkDirection::new(seed),
            reverse: LinkDirection::new(seed ^ REVERSE_SEED_MASK),
        };
        relay(
            first_side.clone(),
            second_side.clone(),
            second,
            link.forward.clone(),
        );
        relay(second_side, first_side, first, link.reverse.clone());
        link
    }
}

/// Starts a thread that sends each datagram received by `from` through `to` to `target`. The thread runs until the test's
/// process ends.
fn relay(from: Arc<UdpSocket>, to: Arc<UdpSocket>, target: SocketAddr, direction: LinkDirection) {
    thread::spawn(move || {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        // Datagrams by due time. The number keeps those with equal due times distinct and in order.
        let mut pending: BTreeMap<(Instant, u64), Vec<u8>> = BTreeMap::new();
        let mut number = 0;
        loop {
            let now = Instant::now();
            while let Some(entry) = pending.first_entry().filter(|entry| entry.key().0 <= now) {
                let _ = to.send_to(&entry.remove(), target);
            }
            let wait = pending
                .keys()
                .next()
                .map_or(Duration::from_secs(1), |(at, _)| *at - now);
            let _ = from.set_read_timeout(Some(wait.max(Duration::from_micros(100))));
            let Ok((length, _)) = from.recv_from(&mut buffer) else {
                continue;
            };
            for delay in direction.draw_copies() {
                number += 1;
                let datagram = buffer[..length].to_vec();
                pending.insert((Instant::now() + delay, number), datagram);
            }
        }
    });
}
