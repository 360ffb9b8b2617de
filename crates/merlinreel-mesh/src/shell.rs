//! The socket round a [`Node`], and the hold that the rest of the process has on it. All decisions are the node's.

use crate::error::{MeshError, PublishError};
use crate::member::Member;
use crate::node::{Counts, Event, Node, Part};
use crate::records::{Held, Kind};
use crate::seal::{Keys, MOST_BYTES};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::time::sleep_until;

/// Datagrams taken in a row before the node's own work has a turn.
const IN_A_ROW: usize = 64;

/// The time that all processes agree on.
pub fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

#[derive(Debug)]
struct Shared {
    node: Mutex<Node>,
    started: Instant,
    wake: Notify,
    changes: watch::Sender<u64>,
}

impl Shared {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn node(&self) -> MutexGuard<'_, Node> {
        // A node is never left half changed by a panic of its holder: every call on it is whole or not begun.
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A hold on this process's part in the mesh.
#[derive(Clone, Debug)]
pub struct Mesh {
    shared: Arc<Shared>,
}

/// A record of a kind that `T` reads, and what can't be read so.
#[derive(Debug)]
pub struct Known<T> {
    pub held: Vec<Held<T>>,
    pub unread: usize,
}

impl Mesh {
    pub fn own(&self) -> Member {
        self.shared.node().own()
    }

    /// The others that live as far as is known, by address.
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.shared.node().members().collect();
        members.sort_unstable();
        members
    }

    pub fn counts(&self) -> Counts {
        self.shared.node().counts().clone()
    }

    /// Writes this process's record of that kind as JSON. It is good for `life` without a sign of this process; an
    /// `urgent` one goes out at once. What it said before, said again, costs nothing.
    pub fn publish<T: Serialize>(
        &self,
        kind: Kind,
        what: &T,
        life: Duration,
        urgent: bool,
    ) -> Result<(), PublishError> {
        let body = serde_json::to_vec(what)
            .map_err(|error| PublishError::Unwritable(error.to_string()))?;
        let now = self.shared.now();
        self.shared.node().publish(kind, body, life, urgent, now)?;
        self.shared.wake.notify_one();
        Ok(())
    }

    /// Takes this process's record of that kind back.
    pub fn take_back(&self, kind: Kind) -> Result<(), PublishError> {
        let now = self.shared.now();
        self.shared
            .node()
            .publish(kind, Vec::new(), Duration::from_secs(60), false, now)?;
        self.shared.wake.notify_one();
        Ok(())
    }

    /// All records of a kind, this process's own among them, with their ages.
    pub fn known<T: DeserializeOwned>(&self, kind: Kind) -> Known<T> {
        let (held, unread) = self.shared.node().view(self.shared.now()).read(kind);
        Known { held, unread }
    }

    /// Other keys from now on.
    pub fn rekey(&self, keys: Keys) {
        self.shared.node().rekey(keys);
    }

    /// Tells the others that this process ends; nothing is sent or taken after it.
    pub fn leave(&self) {
        let now = self.shared.now();
        self.shared.node().leave(now);
        self.shared.wake.notify_one();
    }

    /// Counts up at each change of who takes part or what is known.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changes.subscribe()
    }
}

/// The socket, to be run by a task of its own.
#[derive(Debug)]
pub struct Socket {
    shared: Arc<Shared>,
    socket: UdpSocket,
    routes: HashMap<SocketAddrV4, SocketAddr>,
}

/// Binds `listen` and begins. `part.own.at` is what others call this process, the same as `listen` unless addresses
/// are translated on the way; `routes` says where datagrams for a process go if not to its own address.
pub async fn open(
    part: Part,
    listen: SocketAddr,
    routes: HashMap<SocketAddrV4, SocketAddr>,
) -> Result<(Mesh, Socket), MeshError> {
    let socket = UdpSocket::bind(listen)
        .await
        .map_err(|error| MeshError::Listen { at: listen, error })?;
    let shared = Arc::new(Shared {
        node: Mutex::new(Node::new(part, Duration::ZERO, unix_now())),
        started: Instant::now(),
        wake: Notify::new(),
        changes: watch::channel(0).0,
    });
    Ok((
        Mesh {
            shared: shared.clone(),
        },
        Socket {
            shared,
            socket,
            routes,
        },
    ))
}

impl Socket {
    /// Runs without end. `hear` is told of each event, in order.
    pub async fn run(self, hear: impl Fn(Event) + Send) {
        let shared = &self.shared;
        let mut buffer = [0; MOST_BYTES + 1];
        loop {
            let (outgoing, events, wakes_at) = {
                let mut node = shared.node();
                node.turn(shared.now(), unix_now());
                let outgoing: Vec<_> = std::iter::from_fn(|| node.outgoing()).collect();
                let events: Vec<_> = std::iter::from_fn(|| node.event()).collect();
                (outgoing, events, node.wakes_at())
            };
            for (to, bytes) in outgoing {
                let to = self.routes.get(&to).copied().unwrap_or(SocketAddr::V4(to));
                // One that can't leave at once is lost, as any may be.
                let _ = self.socket.try_send_to(&bytes, to);
            }
            if !events.is_empty() {
                events.into_iter().for_each(&hear);
                shared.changes.send_modify(|n| *n = n.wrapping_add(1));
            }
            tokio::select! {
                readable = self.socket.readable() => {
                    if readable.is_ok() {
                        self.take(&mut buffer);
                    }
                }
                () = shared.wake.notified() => {}
                () = sleep_until((shared.started + wakes_at).into()) => {}
            }
        }
    }

    fn take(&self, buffer: &mut [u8]) {
        for _ in 0..IN_A_ROW {
            // What the network says of a process that is away is no trouble of this socket's.
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
