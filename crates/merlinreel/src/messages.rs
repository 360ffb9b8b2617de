//! What passes between the driver and the tasks round it. Nothing here knows who sends or takes it, so that no task
//! needs the driver's own module, nor another's.

use crate::client::admission::Claim;
use crate::upstream::streaming_body::Flow;
use hyper::body::Bytes;
use hyper::{HeaderMap, Method, Uri};
use merlinreel_discovery::DiscoveryNews;
use merlinreel_policy::{Ending, Job, Load, PeerMessage, ProbeAnswer};
use merlinreel_settings::Terms;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// What a client sent and a server is to get, whatever the protocol that brought it.
#[derive(Debug)]
pub struct Parcel {
    pub method: Method,
    pub uri: Uri,
    /// End-to-end headers only.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Its id and its place among the bodies in hand, given back with it.
    pub claim: Option<Claim>,
}

/// A server's good answer.
#[derive(Debug)]
pub struct Delivery {
    pub headers: HeaderMap,
    pub body: Bytes,
    /// A long body that goes on as it comes, in `body`'s place.
    pub flow: Option<Box<Flow>>,
}

#[derive(Debug)]
pub enum Answer {
    Served(Delivery),
    Refused(Option<Duration>),
    Failed,
}

/// A job that a client's connection took whole.
#[derive(Debug)]
pub struct Arrival {
    /// Names it until it has its answer.
    pub ticket: u64,
    /// Its index and the time left are filled in by the driver.
    pub job: Job,
    /// When the client gives up.
    pub until: Instant,
    pub parcel: Parcel,
    pub answer: oneshot::Sender<Answer>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptNews {
    pub serial: u64,
    pub ending: Ending,
    pub took: Duration,
    pub units: Option<f64>,
    pub load: Load,
    pub delivery: Option<Delivery>,
    /// Its connection can carry another attempt.
    pub reusable: bool,
}

#[derive(Debug)]
pub enum News {
    Arrival(Box<Arrival>),
    /// The client of this ticket has left.
    Left(u64),
    Attempt(AttemptNews),
    Probe(ProbeAnswer),
    ServerList(DiscoveryNews),
    PeerMessage(PeerMessage),
    /// Settings read again, found sound.
    Retune(Box<Terms>),
}

pub type Queue = mpsc::Sender<News>;

/// The settings in force at the door, and each of their classes' index in the module.
#[derive(Debug)]
pub struct Tuned {
    pub terms: Terms,
    pub indices: Vec<usize>,
}

impl Tuned {
    pub fn first(terms: Terms) -> Tuned {
        Tuned {
            indices: (0..terms.classes.len()).collect(),
            terms,
        }
    }
}
