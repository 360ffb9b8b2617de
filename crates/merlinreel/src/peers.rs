//! Peer messages between limiters: datagrams, known by the address they come from.

use crate::log;
use crate::messages::{Event, Queue};
use crate::net::backoff::Backoff;
use merlinreel_policy::PeerMessage;
use merlinreel_policy::peer_batch::MAX_BYTES;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;

#[derive(Clone)]
pub struct PeerSender {
    socket: Arc<UdpSocket>,
    peers: Arc<[SocketAddr]>,
}

impl PeerSender {
    /// Where the process that follows is to share the address (`beside`), both bind it with `SO_REUSEPORT`; guards
    /// against an upgrade that ends at start as the one before holds the port. Elsewhere a second holder is an error.
    pub async fn open(
        at: SocketAddr,
        peers: &[SocketAddr],
        beside: bool,
    ) -> io::Result<PeerSender> {
        let socket = if beside {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::DGRAM, None)?;
            socket.set_reuse_port(true)?;
            socket.set_nonblocking(true)?;
            socket.bind(&at.into())?;
            UdpSocket::from_std(socket.into())?
        } else {
            UdpSocket::bind(at).await?
        };
        Ok(PeerSender {
            socket: Arc::new(socket),
            peers: peers.into(),
        })
    }

    /// A peer message that can't leave at once is lost, as any may be.
    pub fn tell(&self, limiter: u32, peer_message: &[u8]) {
        let Some(&to) = self.peers.get(limiter as usize) else {
            return;
        };
        if peer_message.len() > MAX_BYTES {
            log!(
                "peer messages: one of {} bytes was not sent",
                peer_message.len()
            );
            return;
        }
        if let Err(error) = self.socket.try_send_to(peer_message, to)
            && error.kind() != io::ErrorKind::WouldBlock
        {
            log!("peer messages: to limiter {limiter}: {error}");
        }
    }

    /// Takes peer messages in without end; a stranger's are dropped, as are those that find the queue full.
    pub async fn receive(self, queue: Queue) {
        let senders: HashMap<SocketAddr, u32> = self.peers.iter().copied().zip(0..).collect();
        let mut buffer = [0; MAX_BYTES + 1];
        let mut backoff = Backoff::default();
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) if length <= MAX_BYTES => {
                    backoff.reset();
                    if let Some(&from) = senders.get(&from) {
                        let bytes = buffer[..length].to_vec();
                        let _ = queue.try_send(Event::PeerMessage(PeerMessage { from, bytes }));
                    }
                }
                Ok(_) => {}
                // What the network says of a peer that is away is no trouble of this socket's.
                Err(error) => {
                    log!("peer messages: {error}");
                    // Guards the processor against one that stays.
                    backoff.pause().await;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
