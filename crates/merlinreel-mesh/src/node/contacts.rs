//! Addresses at which members may be found that are not known to be alive.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// The seeds, and the addresses of members that were declared dead or left.
#[derive(Debug)]
pub struct Contacts {
    seeds: Vec<SocketAddrV4>,
    /// The one that departed first is in front.
    departed: VecDeque<SocketAddrV4>,
    max_departed: usize,
}

impl Contacts {
    /// Knows these seeds, and remembers up to `max_departed` departed members.
    pub fn new(seeds: Vec<SocketAddrV4>, max_departed: usize) -> Contacts {
        Contacts {
            seeds,
            departed: VecDeque::new(),
            max_departed,
        }
    }

    /// The seeds, without this process itself.
    pub fn seeds(&self) -> &[SocketAddrV4] {
        &self.seeds
    }

    /// Remembers a departed member; above the maximum the one that departed first is forgotten.
    pub fn add_departed(&mut self, address: SocketAddrV4) {
        if self.departed.contains(&address) {
            return;
        }
        if self.departed.len() >= self.max_departed {
            self.departed.pop_front();
        }
        self.departed.push_back(address);
    }

    /// Forgets a departed member that came back.
    pub fn remove_departed(&mut self, address: SocketAddrV4) {
        self.departed.retain(|departed| *departed != address);
    }

    /// A departed member or seed that is not alive, chosen at random.
    pub fn choose(&self, alive: &[SocketAddrV4], random: &mut ChaCha8Rng) -> Option<SocketAddrV4> {
        let mut candidates: Vec<SocketAddrV4> =
            self.departed.iter().chain(&self.seeds).copied().collect();
        candidates.sort_unstable();
        candidates.dedup();
        candidates.retain(|address| !alive.contains(address));
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[random.random_range(0..candidates.len())])
    }
}
