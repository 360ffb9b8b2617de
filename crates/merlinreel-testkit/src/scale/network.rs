//! An in-memory network of datagrams: delay, loss and cuts, drawn from a seed, on the test's clock.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How datagrams fare that are not on a cut way.
#[derive(Clone, Copy, Debug)]
pub struct Ways {
    pub delay: Duration,
    /// Up to so much more, drawn for each.
    pub jitter: Duration,
    /// Share that is lost.
    pub loss: f64,
}

impl Default for Ways {
    fn default() -> Ways {
        Ways {
            delay: Duration::from_millis(1),
            jitter: Duration::from_millis(2),
            loss: 0.01,
        }
    }
}

/// What an endpoint sent and got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub sent_messages: u64,
    pub sent_bytes: u64,
    pub received_messages: u64,
    pub received_bytes: u64,
}

/// A datagram on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    pub from: u32,
    pub to: u32,
    pub bytes: Vec<u8>,
}

/// Endpoints are numbers from 0 on.
pub struct Network {
    ways: Ways,
    chance: ChaCha8Rng,
    /// By time of arrival; the number keeps those of one moment in order.
    on_their_way: BTreeMap<(Duration, u64), Delivery>,
    number: u64,
    traffic: Vec<Traffic>,
    /// Groups of endpoints that hear nobody outside.
    islands: Vec<BTreeSet<u32>>,
}

impl Network {
    pub fn new(endpoints: usize, seed: u64, ways: Ways) -> Network {
        Network {
            ways,
            chance: ChaCha8Rng::seed_from_u64(seed),
            on_their_way: BTreeMap::new(),
            number: 0,
            traffic: vec![Traffic::default(); endpoints],
            islands: Vec::new(),
        }
    }

    /// What was counted since the start or the last reset.
    pub fn traffic(&self) -> &[Traffic] {
        &self.traffic
    }

    pub fn reset_traffic(&mut self) {
        self.traffic.fill(Traffic::default());
    }

    /// These hear only one another from now on, and nobody else hears them.
    pub fn cut_off(&mut self, endpoints: impl IntoIterator<Item = u32>) {
        self.islands.push(endpoints.into_iter().collect());
    }

    pub fn heal(&mut self) {
        self.islands.clear();
    }

    pub fn send(&mut self, now: Duration, from: u32, to: u32, bytes: Vec<u8>) {
        let sender = &mut self.traffic[from as usize];
        sender.sent_messages += 1;
        sender.sent_bytes += bytes.len() as u64;
        let lost = self.chance.random_bool(self.ways.loss);
        let jitter = self.ways.jitter.mul_f64(self.chance.random::<f64>());
        if lost || self.is_cut(from, to) {
            return;
        }
        self.number += 1;
        let at = now + self.ways.delay + jitter;
        self.on_their_way
            .insert((at, self.number), Delivery { from, to, bytes });
    }

    fn is_cut(&self, from: u32, to: u32) -> bool {
        self.islands
            .iter()
            .any(|island| island.contains(&from) != island.contains(&to))
    }

    /// When the next datagram arrives.
    pub fn next_at(&self) -> Option<Duration> {
        self.on_their_way.first_key_value().map(|((at, _), _)| *at)
    }

    /// The next datagram that has arrived by `now`.
    pub fn arrived(&mut self, now: Duration) -> Option<Delivery> {
        let next = self
            .on_their_way
            .first_entry()
            .filter(|next| next.key().0 <= now)?;
        let delivery = next.remove();
        let receiver = &mut self.traffic[delivery.to as usize];
        receiver.received_messages += 1;
        receiver.received_bytes += delivery.bytes.len() as u64;
        Some(delivery)
    }
}

#[cfg(test)]
mod tests;
