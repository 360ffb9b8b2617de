//! The record that each limiter publishes in the mesh, and the response of the admin endpoint under `/mesh`.

use merlinreel_mesh::runtime::Mesh;
use merlinreel_mesh::{Kind, Member, StoredRecord};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The kind under which a [`LimiterRecord`] is published.
pub(super) const LIMITER_KIND: Kind = 1;

/// The record that each limiter publishes about itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LimiterRecord {
    /// The limiter's name in its configuration.
    pub name: String,
    /// The program's version.
    #[serde(rename = "program")]
    pub version: String,
    /// Whether the limiter accepts requests: it is neither starting nor shutting down.
    #[serde(rename = "serves")]
    pub is_serving: bool,
}

/// The response under `/mesh`. Its counters count since the start.
#[derive(Serialize)]
struct MeshStatus {
    /// This limiter's address in the mesh.
    own: String,
    #[serde(rename = "others_alive")]
    alive_members: usize,
    limiters: Vec<LimiterStatus>,
    /// Number of limiter records that can't be decoded.
    #[serde(rename = "unread")]
    unreadable: usize,
    sent: u64,
    sent_bytes: u64,
    received: u64,
    held_back: u64,
    #[serde(rename = "no_room")]
    at_capacity: u64,
    dropped: BTreeMap<&'static str, u64>,
}

/// The stored record of one limiter, and whether the limiter is alive.
#[derive(Serialize)]
struct LimiterStatus {
    #[serde(rename = "at")]
    address: String,
    incarnation: u64,
    alive: bool,
    /// Age of the record in seconds, rounded to a tenth.
    age_s: f64,
    #[serde(flatten)]
    record: LimiterRecord,
}

impl LimiterStatus {
    fn new(record: StoredRecord<LimiterRecord>, own: Member, members: &[Member]) -> LimiterStatus {
        let owner = record.owner;
        LimiterStatus {
            address: owner.address.to_string(),
            incarnation: owner.incarnation,
            alive: owner == own || members.contains(&owner),
            age_s: (record.age.as_secs_f64() * 10.0).round() / 10.0,
            record: record.body,
        }
    }
}

/// The text under `/mesh`: members, stored records and counters, as a JSON object with sorted keys.
pub fn status_json(mesh: &Mesh) -> String {
    let own = mesh.own();
    let members = mesh.members();
    let known = mesh.records::<LimiterRecord>(LIMITER_KIND);
    let counters = mesh.counters();
    let status = MeshStatus {
        own: own.address.to_string(),
        alive_members: members.len(),
        limiters: known
            .records
            .into_iter()
            .map(|record| LimiterStatus::new(record, own, &members))
            .collect(),
        unreadable: known.unreadable,
        sent: counters.sent,
        sent_bytes: counters.sent_bytes,
        received: counters.received,
        held_back: counters.held_back,
        at_capacity: counters.at_capacity,
        dropped: counters.dropped,
    };
    // Numbers and texts always serialize. The conversion to a `Value` sorts the keys.
    serde_json::to_value(status).unwrap_or_default().to_string()
}
