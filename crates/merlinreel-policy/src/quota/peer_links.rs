//! What this limiter keeps of the messages to and from each other limiter. Nothing is decided here.

use crate::actions::Actions;
use crate::model::fleet::FleetConfig;
use crate::peer_batch::{self, BatchHeader, CounterRow};
use crate::rolling_window::RollingWindow;
use std::time::Duration;

/// Peer inboxes are limited by the second.
const INBOX_WINDOW: Duration = Duration::from_secs(1);

/// The link to one other limiter.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLink {
    /// Incarnation of the last message received.
    pub incarnation: u64,
    /// Its number in that incarnation.
    pub sequence: u64,
    /// Reports sent since its last message.
    pub unanswered: u32,
    /// When it was sent a message last by an aggregating fleet.
    pub sent_at: Duration,
}

/// The links to all other limiters.
pub struct PeerLinks {
    /// The link to each limiter, by its index.
    pub links: Vec<PeerLink>,
    /// When this limiter started, which distinguishes its incarnations.
    pub started_at: Option<Duration>,
    /// Messages sent by this incarnation.
    pub sent: u64,
    /// Messages that an aggregating fleet's limiter may send now.
    pub message_credit: f64,
    /// Messages received lately that hold an aggregator's estimate.
    pub estimates_received: RollingWindow,
    /// When the next batch is due where limiters report to each other directly.
    pub next_broadcast_at: Duration,
}

impl PeerLinks {
    /// Links over which nothing was sent yet.
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
