//! Drives a [`Node`] with a UDP socket and a clock, and gives the rest of the process a handle to it. The protocol
//! itself is implemented by the node.

use crate::authenticator::MAX_DATAGRAM_BYTES;
use crate::error::{MeshError, PublishError};
use crate::keys::Keys;
use crate::member::Member;
use crate::node::{Counters, Datagram, Event, Node, NodeConfig};
use crate::records::{Kind, KindRecords, Urgency};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Maximum number of datagrams received before the node's due work is done and its datagrams are sent.
const MAX_RECEIVES_PER_TICK: usize = 64;

/// The machine's Unix time; zero if its clock is before 1970. The clocks of all members must agree within a minute.
pub fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// State shared by the handles and the event loop.
#[derive(Debug)]
struct Shared {
    node: Mutex<Node>,
    /// Origin of the node's monotonic time.
    started_at: Instant,
    /// Wakes the event loop after a call through a handle.
    wakeup: Notify,
}

impl Shared {
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn node(&self) -> MutexGuard<'_, Node> {
        // A panic while the lock is held leaves no half-made change: each call of the node is either complete or not
        // begun.
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A handle to this process's node. Clones refer to the same node.
#[derive(Clone, Debug)]
pub struct Mesh {
    shared: Arc<Shared>,
}

impl Mesh {
    /// This process in its current incarnation.
    pub fn own(&self) -> Member {
        self.shared.node().own()
    }

    /// The other members that are alive or suspected, sorted by address.
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.shared.node().members().collect();
        members.sort_unstable();
        members
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> Counters {
        self.shared.node().counters().clone()
    }

    /// Publishes this process's record of that kind as JSON. At another member it is valid while that member considers
    /// this process alive, and until `ttl` after the last heartbeat that confirmed it there. Publishing the same value
    /// with the same TTL again has no effect.
    ///
    /// # Errors
    ///
    /// If the value can't be serialized, its JSON has more than 900 bytes, or the process has 16 kinds of records
    /// already.
    pub fn publish<T: Serialize>(
        &self,
        kind: Kind,
        value: &T,
        ttl: Duration,
        urgency: Urgency,
    ) -> Result<(), PublishError> {
        let body = serde_json::to_vec(value)
            .map_err(|error| PublishError::Serialization(error.to_string()))?;
        let now = self.shared.now();
        self.shared.node().publish(kind, body, ttl, urgency, now)?;
        self.shared.wakeup.notify_one();
        Ok(())
    }

    /// All valid records of a kind, this process's own included.
    pub fn records<T: DeserializeOwned>(&self, kind: Kind) -> KindRecords<T> {
        self.shared.node().view(self.shared.now()).decode(kind)
    }

    /// Replaces the keys that sign and verify datagrams.
    pub fn replace_keys(&self, keys: Keys) {
        self.shared.node().replace_keys(keys);
    }

    /// Announces to the other members that this process leaves. Datagrams received and work due afterwards are ignored.
    pub fn leave(&self) {
        let now = self.shared.now();
        self.shared.node().leave(now);
        self.shared.wakeup.notify_one();
    }
}

/// The event loop that sends and receives datagrams. The caller runs it in its own task.
#[derive(Debug)]
pub struct EventLoop {
    shared: Arc<Shared>,
    socket: UdpSocket,
    routes: HashMap<SocketAddrV4, SocketAddr>,
}

/// A node whose socket is bound.
#[derive(Debug)]
pub struct BoundMesh {
    /// The handle to the node.
    pub mesh: Mesh,
    /// The event loop, which the caller must run.
    pub event_loop: EventLoop,
}

/// Binds a UDP socket to `listen` and creates a node. `config.own.address` is the address at which other members reach
/// this process, the same as `listen` unless addresses are translated on the way. Datagrams for a member listed in
/// `routes` are sent to the address given there, all others to the member's own address.
///
/// # Errors
///
/// [`MeshError::Listen`] if the socket can't be bound.
pub async fn bind(
    config: NodeConfig,
    listen: SocketAddr,
    routes: HashMap<SocketAddrV4, SocketAddr>,
) -> Result<BoundMesh, MeshError> {
    let socket = UdpSocket::bind(listen)
        .await
        .map_err(|source| MeshError::Listen {
            address: listen,
            source,
        })?;
    let shared = Arc::new(Shared {
        node: Mutex::new(Node::new(config, Duration::ZERO, unix_now())),
        started_at: Instant::now(),
        wakeup: Notify::new(),
    });
    let mesh = Mesh {
        shared: shared.clone(),
    };
    let event_loop = EventLoop {
        shared,
        socket,
        routes,
    };
    Ok(BoundMesh { mesh, event_loop })
}

impl EventLoop {
    /// Runs until the task is aborted, and calls `on_event` with each event in order.
    pub async fn run(self, on_event: impl Fn(Event) + Send) {
        let shared = &self.shared;
        // One byte longer than the longest valid datagram, so that a longer one is detected.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let (datagrams, events, next_tick) = {
                let mut node = shared.node();
                node.tick(shared.now(), unix_now());
                let datagrams: Vec<Datagram> =
                    std::iter::from_fn(|| node.next_datagram()).collect();
                let events: Vec<Event> = std::iter::from_fn(|| node.next_event()).collect();
                (datagrams, events, node.next_tick())
            };
            for datagram in datagrams {
                self.send(&datagram);
            }
            events.into_iter().for_each(&on_event);
            tokio::select! {
                readable = self.socket.readable() => {
                    if readable.is_ok() {
                        self.receive(&mut buffer);
                    }
                }
                () = shared.wakeup.notified() => {}
                () = sleep_until((shared.started_at + next_tick).into()) => {}
            }
        }
    }

    fn send(&self, datagram: &Datagram) {
        let route = self.routes.get(&datagram.to).copied();
        let to = route.unwrap_or(SocketAddr::V4(datagram.to));
        // A datagram that can't be sent without waiting is dropped: the protocol tolerates lost datagrams.
        let _ = self.socket.try_send_to(&datagram.bytes, to);
    }

    fn receive(&self, buffer: &mut [u8]) {
        for _ in 0..MAX_RECEIVES_PER_TICK {
            // An error means that no datagram is left, or that the network reported an unreachable member. The socket
            // stays usable.
            let Ok((length, _)) = self.socket.try_recv_from(buffer) else {
                return;
            };
            let now = self.shared.now();
            self.shared
                .node()
                .receive(&buffer[..length], now, unix_now());
        }
    }
}
