//! Peer messages between limiters: UDP datagrams, whose senders are identified by their addresses.

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

/// Which processes may bind the address for peer messages at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PortSharing {
    /// Only this process; binding fails if another one holds the address.
    Exclusive,
    /// The old and the new process of an upgrade, by `SO_REUSEPORT`: the new one starts while the old one still holds
    /// the address.
    Shared,
}

/// The socket that sends and receives peer messages.
#[derive(Clone)]
pub struct PeerSocket {
    socket: Arc<UdpSocket>,
    /// Addresses of all limiters by index, this one included.
    peers: Arc<[SocketAddr]>,
}

impl PeerSocket {
    /// Binds the address `at`; `peers` are the addresses of all limiters by index.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn open(
        at: SocketAddr,
        peers: &[SocketAddr],
        sharing: PortSharing,
    ) -> io::Result<PeerSocket> {
        let socket = match sharing {
            PortSharing::Exclusive => UdpSocket::bind(at).await?,
            PortSharing::Shared => bind_shared(at)?,
        };
        Ok(PeerSocket {
            socket: Arc::new(socket),
            peers: peers.into(),
        })
    }

    /// Sends a message to the limiter with this index. The message is dropped if the limiter is unknown, the message is
    /// too long or the socket's send buffer is full: peers have to cope with lost datagrams in any case.
    pub fn send(&self, limiter: u32, peer_message: &[u8]) {
        let Some(&to) = self.peers.get(limiter as usize) else {
            return;
        };
        if peer_message.len() > MAX_BYTES {
            let length = peer_message.len();
            log!(
                "peer messages: a message of {length} bytes exceeds the maximum of {MAX_BYTES}; it was dropped"
            );
            return;
        }
        if let Err(error) = self.socket.try_send_to(peer_message, to)
            && error.kind() != io::ErrorKind::WouldBlock
        {
            log!(
                "peer messages: sending to limiter {limiter} failed: {error}; the message was dropped"
            );
        }
    }

    /// Sends received messages to the queue until the future is dropped. Messages from unknown senders, messages that
    /// are too long and messages that arrive while the queue is full are dropped.
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
                // The error may report that a peer is down; the socket stays usable.
                Err(error) => {
                    log!("peer messages: receiving failed: {error}; trying again");
                    // A persistent error must not keep the processor busy.
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
