//! A test bed of several real processes of the program on loopback, with faults between them. For tests and measured
//! campaigns only: the program never depends on it.
//!
//! Stand-ins written from the published protocol ([`Worker`], [`Agent`], [`Client`]) tell a [`Record`] what they saw; each
//! way between two processes may lie over a [`link`], which loses, delays, jitters, repeats, cuts, throttles or trickles
//! what passes; processes are killed, stopped, woken and started again ([`Program`]). Faults come from a [`Script`], the
//! same for the same seed. [`check`] holds the record against the five rules. Verdicts are invariants with bounds: none
//! turns on how quick the machine is.

mod agent;
mod asking;
mod checker;
mod client;
mod config;
mod field;
mod http;
pub mod link;
mod process;
mod record;
pub mod scale;
mod script;
mod standin;
mod worker;

pub use agent::{Agent, Standing};
pub use asking::{Asking, Manner};
pub use checker::{Bounds, Broken, check};
pub use client::{Client, request};
pub use config::{config, free_address, listed, server_list};
pub use field::Field;
pub use http::{Message, ReadError};
pub use process::Program;
pub use record::{Entry, Record, RequestId, What};
pub use script::{Deed, Script};
pub use standin::{
    BreakOff, BreakWhen, ConnectionEnd, React, StandIn, Trickle, answer, discovery, fine, holding,
};
pub use worker::{Worker, WorkerKind};

use std::time::Duration;

/// Long enough for anything; no verdict measures by it.
pub const PATIENCE: Duration = Duration::from_secs(20);
