//! This limiter's part in the mesh of all limiters: what it is started with, what it tells of itself, and what the
//! operators' door says of it. Off unless the configuration has the section.

use crate::log;
use merlinreel_mesh::shell::{self, Mesh, unix_now};
use merlinreel_mesh::{Capacity, Event, Keys, Kind, Member, MeshError, Part};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// What each limiter tells of itself as long as it runs.
const LIMITER: Kind = 1;
/// A limiter of which nothing was heard for so long is no longer counted on.
const LIMITER_LIFE: Duration = Duration::from_secs(60);
/// How often it is written anew where something in it changed.
const TELL_EVERY: Duration = Duration::from_secs(2);
/// Time for the last word to leave before the process ends.
const LAST_WORD: Duration = Duration::from_millis(30);

/// The section `mesh` of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Ground {
    pub listen: SocketAddrV4,
    /// What others call this process, where addresses are translated on the way.
    #[serde(rename = "as")]
    pub called: Option<SocketAddrV4>,
    /// Limiters to ask for the others; the same list everywhere will do.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    pub keys: Vec<KeyFile>,
    /// The id of the key that signs; the first where it is left out.
    pub sign_with: Option<u8>,
    /// Where datagrams for a process go, if not to what it is called.
    #[serde(default)]
    pub routes: HashMap<SocketAddrV4, SocketAddr>,
    /// Bytes that may be sent a second, over four seconds at most.
    #[serde(default = "bytes_a_second")]
    pub bytes_a_second: u32,
    /// Limiters that the settings name: what is held of others is bounded by it.
    #[serde(skip)]
    pub limiters: usize,
}

fn bytes_a_second() -> u32 {
    8000
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct KeyFile {
    pub id: u8,
    pub file: PathBuf,
}

impl Ground {
    /// Reads the key files.
    pub fn keys(&self) -> Result<Keys, MeshError> {
        let files: Vec<_> = self.keys.iter().map(|key| (key.id, &key.file)).collect();
        Keys::read(&files, self.sign_with)
    }
}

/// What a limiter tells of itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Limiter {
    pub name: String,
    pub program: String,
    /// Whether it takes jobs: neither starting nor stopping.
    pub serves: bool,
}

/// Takes part, until `end` is called.
#[derive(Debug)]
pub struct Taking {
    pub mesh: Mesh,
    socket: JoinHandle<()>,
    telling: JoinHandle<()>,
}

impl Taking {
    /// Begins as `name`; `serves` is asked for what is told of this limiter.
    pub async fn begin(
        ground: &Ground,
        name: String,
        seed: u64,
        serves: impl Fn() -> bool + Send + 'static,
    ) -> Result<Taking, MeshError> {
        let incarnation = u64::try_from(unix_now().as_millis()).unwrap_or(u64::MAX);
        let part = Part {
            own: Member {
                at: ground.called.unwrap_or(ground.listen),
                incarnation,
            },
            seeds: ground.seeds.clone(),
            keys: ground.keys()?,
            seed,
            bytes_a_second: ground.bytes_a_second,
            bytes_at_once: ground.bytes_a_second.saturating_mul(4),
            capacity: Capacity::for_limiters(ground.limiters),
        };
        let (mesh, socket) = shell::open(part, ground.listen.into(), ground.routes.clone()).await?;
        let socket = tokio::spawn(socket.run(|event| match event {
            Event::Up(member) => log!("mesh: {member} takes part"),
            Event::Down(member) => log!("mesh: {member} has gone or is silent"),
            Event::Records(_) => {}
            Event::NoRoom(times) => {
                log!(
                    "mesh: no room for another process, {times} times so far; is setting balancers too low?"
                );
            }
        }));
        let teller = mesh.clone();
        let telling = tokio::spawn(async move {
            loop {
                let program = env!("CARGO_PKG_VERSION").to_owned();
                let own = Limiter {
                    name: name.clone(),
                    program,
                    serves: serves(),
                };
                if let Err(error) = teller.publish(LIMITER, &own, LIMITER_LIFE, false) {
                    log!("mesh: what this limiter tells of itself: {error}");
                }
                sleep(TELL_EVERY).await;
            }
        });
        Ok(Taking {
            mesh,
            socket,
            telling,
        })
    }

    /// Tells the others that this limiter ends.
    pub async fn end(self) {
        self.telling.abort();
        self.mesh.leave();
        sleep(LAST_WORD).await;
        self.socket.abort();
    }
}

/// What the door says under `/mesh`.
pub fn told(mesh: &Mesh) -> Value {
    let (members, known, counts) = (
        mesh.members(),
        mesh.known::<Limiter>(LIMITER),
        mesh.counts(),
    );
    let limiters: Vec<Value> = known
        .held
        .iter()
        .map(|held| {
            json!({"at": held.owner.at.to_string(), "incarnation": held.owner.incarnation,
                "alive": held.owner == mesh.own() || members.contains(&held.owner),
                "age_s": (held.age.as_secs_f64() * 10.0).round() / 10.0,
                "name": held.body.name, "program": held.body.program, "serves": held.body.serves})
        })
        .collect();
    json!({"own": mesh.own().at.to_string(), "others_alive": members.len(), "limiters": limiters,
        "unread": known.unread, "sent": counts.sent, "sent_bytes": counts.sent_bytes,
        "received": counts.received, "held_back": counts.held_back, "no_room": counts.no_room,
        "dropped": counts.dropped})
}

#[cfg(test)]
mod tests;
