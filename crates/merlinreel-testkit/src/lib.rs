//! A test kit that runs several real processes of the program on loopback and injects faults into and between them. For
//! tests and measured fault campaigns only: the program never depends on it.
//!
//! Stubs written from the published protocol ([`StubServer`], [`StubDiscovery`], [`Client`]) stand in for the program's
//! environment, and what they observe is recorded in an [`EventLog`]. Traffic between two processes may pass through a
//! [`link`], which can drop, delay, jitter, duplicate, reorder, partition, throttle or split it. Processes are killed,
//! suspended, continued and restarted ([`Program`]). Faults follow a [`FaultPlan`], which is reproducible from its seed.
//! [`find_violations`] checks the log against the five rules of the protocol. The checks are invariants with tolerances:
//! none depends on the speed of the machine.

#![warn(missing_docs)]

mod checker;
mod client;
mod cluster;
mod config;
mod event_log;
mod fault_plan;
mod http;
pub mod link;
mod load_client;
mod process;
pub mod scale;
mod scripted_server;
mod stub_discovery;
mod stub_server;

pub use checker::{AdvertisedTime, QuotaBound, Tolerances, Violation, find_violations};
pub use client::{Client, request};
pub use cluster::Cluster;
pub use config::{config, free_address, full_list, instance, list_changes};
pub use event_log::{Event, EventLog, LinkId, LogEntry, RequestId};
pub use fault_plan::{Fault, FaultPlan, LimiterFault, LinkFault, PlannedFault, ServerFault};
pub use http::{Message, ReadError, read as read_message};
pub use load_client::{LoadClient, RequestPattern};
pub use merlinreel_policy::EndpointState;
pub use process::{ExitReport, Program};
pub use scripted_server::{
    CloseTiming, ConnectionEnd, Piece, PiecesEnd, PiecewiseResponse, Reaction, ScriptedServer,
    Trickle, TruncatedResponse, discovery, holding_server, ok_response, response,
};
pub use stub_discovery::StubDiscovery;
pub use stub_server::{StubServer, StubServerConfig};

use std::time::Duration;

/// Upper bound of every wait for something that must happen. Normally reached only by a failing test: no check measures a
/// time against it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
