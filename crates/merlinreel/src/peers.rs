//! Peer messages between limiters: datagrams, whose sender is known by its address.

use crate::log;
use crate::messages::{Event, Queue};
use crate::net::backoff::Backoff;
use merlinreel_policy::PeerMessage;
use merlinreel_policy::peer_batch::MAX_BYTES;
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;

/// Who may bind the address of peer messages.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PortSharing {
    /// This process alone; a second holder is an error.
    Exclusive,
    /// Processes that follow each other, with `SO_REUSEPORT`: in an upgrade the new process starts while the old one still
    /// holds the address.
    Shared,
}

/// The socket for peer messages.
#[derive(Clone)]
pub struct PeerSender {
    socket: Arc<UdpSocket>,
    /// By the limiter's index, this one's included.
    peers: Arc<[SocketAddr]>,
}

impl PeerSender {
    /// Binds the address `at`; `peers` are the addresses of all limiters by their index.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn open(
        at: SocketAddr,
        peers: &[SocketAddr],
        sharing: PortSharing,
    ) -> io::Result<PeerSender> {
        let socket = match sharing {
            PortSharing::Exclusive => UdpSocket::bind(at).await?,
            PortSharing::Shared => bind_shared(at)?,
        };
        Ok(PeerSender {
            socket: Arc::new(socket),
            peers: peers.into(),
        })
    }

    /// Sends a message to a limiter. One that can't leave at once is lost, as any datagram may be.
    pub fn send(&self, limiter: u32, peer_message: &[u8]) {
        let Some(&to) = self.peers.get(limiter as usize) else {
            return;
        };
        if peer_message.len() > MAX_BYTES {
            let length = peer_message.len();
            log!("peer messages: one of {length} bytes was not sent");
            return;
        }
        if let Err(error) = self.socket.try_send_to(peer_message, to)
            && error.kind() != io::ErrorKind::WouldBlock
        {
            log!("peer messages: to limiter {limiter}: {error}");
        }
    }

    /// Passes received messages on to the queue until it is dropped. Messages of unknown senders are dropped, as are those
    /// that find the queue full.
    pub async fn receive(self, queue: Queue) {
        let senders: HashMap<SocketAddr, u32> = self.peers.iter().copied().zip(0..).collect();
        let mut buffer = [0; MAX_BYTES + 1];
        let mut backoff = Backoff::default();
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, sender)) if length <= MAX_BYTES => {
                    backoff.reset();
                    if let Some(&from) = senders.get(&sender) {
                        let bytes = buffer[..length].to_vec();
                        let _ = queue.try_send(Event::PeerMessage(PeerMessage { from, bytes }));
                    }
                }
                Ok(_) => {}
                // The network reports a peer that is down here; the socket is still usable.
                Err(error) => {
                    log!("peer messages: {error}");
                    // An error that stays must not take the processor.
                    backoff.pause().await;
                }
            }
        }
    }
}

fn bind_shared(at: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    UdpSocket::from_std(socket.into())
}

#[cfg(test)]
mod tests;
