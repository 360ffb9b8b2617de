//! The tasks of this limiter's membership in the mesh.

use super::config::MeshConfig;
use super::status::{LIMITER_KIND, LimiterRecord};
use crate::log;
use merlinreel_mesh::runtime::{self, Mesh, unix_now};
use merlinreel_mesh::{Capacity, Event, Member, MeshError, NodeConfig, Urgency};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How long this limiter's record stays valid without being renewed.
pub(super) const LIMITER_TTL: Duration = Duration::from_secs(60);
/// Interval at which this limiter's record is published again, which costs nothing if the record has not changed.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(2);
/// Time to send the last datagrams before the process ends.
const LEAVE_GRACE: Duration = Duration::from_millis(30);
/// Size of a burst, as the time in which the send budget refills by the same amount.
const BURST_SECONDS: u32 = 4;

/// The tasks of a limiter that is a member of the mesh.
#[derive(Debug)]
pub struct MeshTasks {
    mesh: Mesh,
    event_loop: JoinHandle<()>,
    publisher: JoinHandle<()>,
}

impl MeshTasks {
    /// Joins the mesh as `name`. `random_seed` is the seed of the node's random choices. `is_serving` is called before each
    /// publication of this limiter's record and returns whether requests are accepted.
    ///
    /// # Errors
    ///
    /// The keys can't be read, or the socket can't be bound.
    pub async fn start(
        config: &MeshConfig,
        name: String,
        random_seed: u64,
        is_serving: impl Fn() -> bool + Send + 'static,
    ) -> Result<MeshTasks, MeshError> {
        let incarnation = u64::try_from(unix_now().as_millis()).unwrap_or(u64::MAX);
        let node_config = NodeConfig {
            own: Member {
                address: config.advertised.unwrap_or(config.listen),
                incarnation,
            },
            seeds: config.seeds.clone(),
            keys: config.read_keys()?,
            random_seed,
            bytes_per_second: config.bytes_per_second,
            burst_bytes: config.bytes_per_second.saturating_mul(BURST_SECONDS),
            capacity: Capacity::for_limiters(config.limiters),
        };
        let routes = config.routes.clone();
        let bound = runtime::bind(node_config, config.listen.into(), routes).await?;
        let mesh = bound.mesh;
        Ok(MeshTasks {
            event_loop: tokio::spawn(bound.event_loop.run(log_event)),
            publisher: tokio::spawn(publish_own_record(mesh.clone(), name, is_serving)),
            mesh,
        })
    }

    /// The handle to this limiter's node.
    pub fn handle(&self) -> &Mesh {
        &self.mesh
    }

    /// Announces to the other limiters that this one leaves, and ends the tasks.
    pub async fn stop(self) {
        self.publisher.abort();
        self.mesh.leave();
        sleep(LEAVE_GRACE).await;
        self.event_loop.abort();
    }
}

fn log_event(event: Event) {
    match event {
        Event::MemberUp(member) => log!("mesh: {member} joined"),
        Event::MemberDown(member) => log!("mesh: {member} left or is unresponsive"),
        Event::RecordsUpdated(_) => {}
        Event::AtCapacity(times) => log!(
            "mesh: no capacity for another process ({times} times so far); check whether setting balancers is too low"
        ),
    }
}

async fn publish_own_record(mesh: Mesh, name: String, is_serving: impl Fn() -> bool) {
    loop {
        let record = LimiterRecord {
            name: name.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            is_serving: is_serving(),
        };
        let published = mesh.publish(LIMITER_KIND, &record, LIMITER_TTL, Urgency::Routine);
        if let Err(error) = published {
            log!("mesh: this limiter's record was not published: {error}; trying again");
        }
        sleep(PUBLISH_INTERVAL).await;
    }
}
