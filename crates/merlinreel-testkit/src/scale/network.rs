//! An in-memory network of datagrams with delay, loss and partitions, drawn from a seed, on a simulated clock.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The conditions between endpoints that are not partitioned from each other.
#[derive(Clone, Copy, Debug)]
pub struct LinkConditions {
    /// The least delay.
    pub delay: Duration,
    /// The most that is added to the delay, drawn for each datagram.
    pub jitter: Duration,
    /// The share of datagrams that are lost.
    pub loss: f64,
}

impl Default for LinkConditions {
    fn default() -> LinkConditions {
        LinkConditions {
            delay: Duration::from_millis(1),
            jitter: Duration::from_millis(2),
            loss: 0.01,
        }
    }
}

/// What an endpoint sent and received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent, lost ones included.
    pub sent_messages: u64,
    /// Bytes sent, without headers.
    pub sent_bytes: u64,
    /// Messages received.
    pub received_messages: u64,
    /// Bytes received, without headers.
    pub received_bytes: u64,
}

/// A datagram in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The endpoint that sent it.
    pub from: u32,
    /// The endpoint that receives it.
    pub to: u32,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// A network of endpoints numbered from 0 on.
pub struct Network {
    conditions: LinkConditions,
    random: ChaCha8Rng,
    /// By the time at which it is received; the number keeps those of one moment in order.
    in_flight: BTreeMap<(Duration, u64), Datagram>,
    number: u64,
    traffic: Vec<Traffic>,
    /// Groups of endpoints that reach only each other.
    partitions: Vec<BTreeSet<u32>>,
}

impl Network {
    /// A network without partitions.
    pub fn new(endpoints: usize, seed: u64, conditions: LinkConditions) -> Network {
        Network {
            conditions,
            random: ChaCha8Rng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            number: 0,
            traffic: vec![Traffic::default(); endpoints],
            partitions: Vec::new(),
        }
    }

    /// By endpoint, the traffic since the start or the last reset.
    pub fn traffic(&self) -> &[Traffic] {
        &self.traffic
    }

    /// Sets all traffic to 0.
    pub fn reset_traffic(&mut self) {
        self.traffic.fill(Traffic::default());
    }

    /// Partitions these endpoints from all others.
    pub fn partition(&mut self, endpoints: impl IntoIterator<Item = u32>) {
        self.partitions.push(endpoints.into_iter().collect());
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Sends a datagram.
    ///
    /// # Panics
    /// `from` is no endpoint of the network.
    pub fn send(&mut self, now: Duration, from: u32, to: u32, bytes: Vec<u8>) {
        let sender = &mut self.traffic[from as usize];
        sender.sent_messages += 1;
        sender.sent_bytes += bytes.len() as u64;
        let is_lost = self.random.random_bool(self.conditions.loss);
        let jitter = self.conditions.jitter.mul_f64(self.random.random::<f64>());
        if is_lost || self.is_partitioned(from, to) {
            return;
        }
        self.number += 1;
        let at = now + self.conditions.delay + jitter;
        self.in_flight
            .insert((at, self.number), Datagram { from, to, bytes });
    }

    fn is_partitioned(&self, from: u32, to: u32) -> bool {
        self.partitions
            .iter()
            .any(|partition| partition.contains(&from) != partition.contains(&to))
    }

    /// When the next datagram can be received.
    pub fn next_due(&self) -> Option<Duration> {
        self.in_flight.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes the next datagram that has arrived by `now`.
    ///
    /// # Panics
    /// It was sent to no endpoint of the network.
    pub fn receive(&mut self, now: Duration) -> Option<Datagram> {
        let next = self
            .in_flight
            .first_entry()
            .filter(|next| next.key().0 <= now)?;
        let datagram = next.remove();
        let receiver = &mut self.traffic[datagram.to as usize];
        receiver.received_messages += 1;
        receiver.received_bytes += datagram.bytes.len() as u64;
        Some(datagram)
    }
}

#[cfg(test)]
mod tests;
