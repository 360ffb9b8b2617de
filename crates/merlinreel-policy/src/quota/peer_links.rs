//! State of the message exchange with each other limiter.

use crate::actions::Actions;
use crate::model::fleet::FleetConfig;
use crate::peer_batch::{self, BatchHeader, CounterRow};
use crate::rolling_window::RollingWindow;
use std::time::Duration;

/// Window over which received estimates are counted: inbox limits are rates per second.
const INBOX_WINDOW: Duration = Duration::from_secs(1);

/// State of the message exchange with one other limiter.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLink {
    /// Incarnation of the sender in its last message; 0 before the first.
    pub incarnation: u64,
    /// Sequence number of the sender's last message; 0 before the first.
    pub sequence: u64,
    /// Messages with reports that were sent to the other limiter, as an aggregator, since its last message arrived.
    pub unanswered: u32,
    /// Time of the last message to it, where reports go through aggregators; zero before the first.
    pub sent_at: Duration,
}

/// The links to all other limiters.
pub struct PeerLinks {
    /// The link to each limiter, by its index.
    pub links: Vec<PeerLink>,
    /// Time at which this limiter first processed events, from which its incarnation is made; `None` before.
    pub started_at: Option<Duration>,
    /// Number of messages sent since the start, to all limiters.
    pub sent: u64,
    /// Messages that may be sent now, where reports go through aggregators.
    pub message_credit: f64,
    /// Messages received in the last second that hold an estimate from an aggregator.
    pub estimates_received: RollingWindow,
    /// When the next batch is due where limiters report to each other directly.
    pub next_broadcast_at: Duration,
}

impl PeerLinks {
    /// Links over which no message has been sent or received yet.
    pub fn new(fleet: &FleetConfig) -> PeerLinks {
        PeerLinks {
            links: vec![PeerLink::default(); fleet.limiters as usize],
            started_at: None,
            sent: 0,
            message_credit: 0.0,
            estimates_received: RollingWindow::new(INBOX_WINDOW),
            next_broadcast_at: Duration::ZERO,
        }
    }

    /// The link to a limiter.
    pub fn link_mut(&mut self, limiter: u32) -> &mut PeerLink {
        &mut self.links[limiter as usize]
    }

    /// Sends rows to a limiter, in as many messages as they need.
    pub fn send(&mut self, now: Duration, to: u32, rows: &[CounterRow], actions: &mut dyn Actions) {
        let header = BatchHeader {
            incarnation: self.started_at.unwrap_or(now).as_millis() as u64,
            sequence: self.sent + 1,
        };
        for peer_message in peer_batch::encode(header, rows) {
            self.sent += 1;
            actions.send_peer_message(to, &peer_message);
        }
    }
}
