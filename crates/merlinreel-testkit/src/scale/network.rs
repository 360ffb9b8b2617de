//! An in-memory datagram network on a simulated clock, with delay and loss drawn from a seed, and with partitions.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Delay and loss of datagrams between endpoints that are not partitioned from each other.
#[derive(Clone, Copy, Debug)]
pub struct LinkConditions {
    /// Minimum delay.
    pub delay: Duration,
    /// Maximum of the random time that is added to the delay of each datagram.
    pub jitter: Duration,
    /// Probability that a datagram is lost.
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

/// Messages and bytes that an endpoint sent and received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent, including those lost.
    pub sent_messages: u64,
    /// Bytes sent, including those lost, without UDP and IP headers.
    pub sent_bytes: u64,
    /// Messages received from the network, whether or not the endpoint then drops them.
    pub received_messages: u64,
    /// Bytes received, without UDP and IP headers.
    pub received_bytes: u64,
}

/// A datagram in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Index of the endpoint that sent it.
    pub from: u32,
    /// Index of the endpoint that receives it.
    pub to: u32,
    /// Payload.
    pub bytes: Vec<u8>,
}

/// A network of endpoints with indices from 0.
pub struct Network {
    conditions: LinkConditions,
    random: ChaCha8Rng,
    /// Datagrams by time of arrival; the sequence number keeps those with equal times in the order of sending.
    in_flight: BTreeMap<(Duration, u64), Datagram>,
    last_sequence: u64,
    traffic: Vec<Traffic>,
    /// Groups of endpoints that reach only each other.
    partitions: Vec<BTreeSet<u32>>,
}

impl Network {
    /// Creates a network without partitions.
    pub fn new(endpoints: usize, seed: u64, conditions: LinkConditions) -> Network {
        Network {
            conditions,
            random: ChaCha8Rng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            traffic: vec![Traffic::default(); endpoints],
            partitions: Vec::new(),
        }
    }

    /// Traffic of each endpoint since the start or the last reset.
    pub fn traffic(&self) -> &[Traffic] {
        &self.traffic
    }

    /// Sets all traffic to 0.
    pub fn reset_traffic(&mut self) {
        self.traffic.fill(Traffic::default());
    }

    /// Partitions these endpoints from all others; datagrams sent between the two groups are dropped.
    pub fn partition(&mut self, endpoints: impl IntoIterator<Item = u32>) {
        self.partitions.push(endpoints.into_iter().collect());
    }

    /// Removes all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Sends a datagram, which may be lost.
    ///
    /// # Panics
    /// `from` is not an endpoint of the network.
    pub fn send(&mut self, now: Duration, from: u32, to: u32, bytes: Vec<u8>) {
        let sender = &mut self.traffic[from as usize];
        sender.sent_messages += 1;
        sender.sent_bytes += bytes.len() as u64;
        let is_lost = self.random.random_bool(self.conditions.loss);
        let jitter = self.conditions.jitter.mul_f64(self.random.random::<f64>());
        if is_lost || self.is_partitioned(from, to) {
            return;
        }
        self.last_sequence += 1;
        let at = now + self.conditions.delay + jitter;
        self.in_flight
            .insert((at, self.last_sequence), Datagram { from, to, bytes });
    }

    fn is_partitioned(&self, from: u32, to: u32) -> bool {
        self.partitions
            .iter()
            .any(|partition| partition.contains(&from) != partition.contains(&to))
    }

    /// Simulated time at which the next datagram arrives; `None` if none is in flight.
    pub fn next_due(&self) -> Option<Duration> {
        self.in_flight.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the next datagram that has arrived by `now`.
    ///
    /// # Panics
    /// The datagram's receiver is not an endpoint of the network.
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
