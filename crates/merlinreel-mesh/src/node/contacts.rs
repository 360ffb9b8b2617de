//! Addresses at which a member may be reachable although none is known to be alive there.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// The seeds, and the addresses of members that were declared dead or left.
#[derive(Debug)]
pub struct Contacts {
    seeds: Vec<SocketAddrV4>,
    /// Ordered by departure, the earliest first.
    departed: VecDeque<SocketAddrV4>,
    max_departed: usize,
}

impl Contacts {
    /// Contacts with these seeds, which remember up to `max_departed` departed members.
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

    /// Adds a departed member; if the maximum is reached, the one that departed first is removed.
    pub fn add_departed(&mut self, address: SocketAddrV4) {
        if self.departed.contains(&address) {
            return;
        }
        if self.departed.len() >= self.max_departed {
            self.departed.pop_front();
        }
        self.departed.push_back(address);
    }

    /// Removes a departed member that is alive again.
    pub fn remove_departed(&mut self, address: SocketAddrV4) {
        self.departed.retain(|departed| *departed != address);
    }

    /// Chooses a random departed member or seed that is not in `alive`; `None` if there is none.
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
