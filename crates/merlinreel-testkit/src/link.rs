//! The path between two processes: traffic passes under network conditions that may change at any time.

mod tcp;
mod udp;

pub use tcp::TcpLink;
pub use udp::UdpLink;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How much later than others a reordered datagram arrives.
const REORDER_DELAY: Duration = Duration::from_millis(20);
/// How much later than the first copy a duplicate arrives.
const DUPLICATE_DELAY: Duration = Duration::from_millis(7);

/// The conditions of one direction of a link. By default everything passes at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkConditions {
    /// Nothing passes: open connections stay open and silent, new ones are accepted and stay silent.
    pub partitioned: bool,
    /// Share of datagrams that are lost, in percent.
    pub loss_percent: u32,
    /// Share of datagrams that arrive twice, in percent.
    pub duplicate_percent: u32,
    /// Share of datagrams that arrive behind later ones, in percent.
    pub reorder_percent: u32,
    /// The least delay.
    pub delay: Duration,
    /// The most that is added to the delay, drawn each time.
    pub jitter: Duration,
    /// The throughput of a connection in bytes per second, where it is limited.
    pub bytes_per_second: Option<u32>,
    /// The most bytes of a connection that pass at a time, where it is limited.
    pub chunk_bytes: Option<usize>,
}

#[derive(Debug)]
struct DirectionState {
    conditions: NetworkConditions,
    random: ChaCha8Rng,
}

/// One direction of a link; clones share its conditions and its random draws.
#[derive(Clone, Debug)]
pub struct LinkDirection {
    state: Arc<Mutex<DirectionState>>,
}

impl LinkDirection {
    /// A direction under default conditions that draws from the seed.
    pub fn new(seed: u64) -> LinkDirection {
        LinkDirection {
            state: Arc::new(Mutex::new(DirectionState {
                conditions: NetworkConditions::default(),
                random: ChaCha8Rng::seed_from_u64(seed),
            })),
        }
    }

    fn lock(&self) -> MutexGuard<'_, DirectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the conditions, also for open connections.
    pub fn set(&self, conditions: NetworkConditions) {
        self.lock().conditions = conditions;
    }

    /// The present conditions.
    pub fn conditions(&self) -> NetworkConditions {
        self.lock().conditions
    }

    /// Draws the delay of what passes next.
    fn draw_delay(&self) -> Duration {
        let DirectionState { conditions, random } = &mut *self.lock();
        conditions.delay + conditions.jitter.mul_f64(random.random_range(0.0..1.0))
    }

    /// Draws the delay of each copy of a datagram; none where it is lost.
    fn draw_copies(&self) -> Vec<Duration> {
        let delay = self.draw_delay();
        let DirectionState { conditions, random } = &mut *self.lock();
        let mut draw = |percent: u32| random.random_range(0..100) < percent;
        if conditions.partitioned || draw(conditions.loss_percent) {
            return Vec::new();
        }
        let first = if draw(conditions.reorder_percent) {
            delay + REORDER_DELAY
        } else {
            delay
        };
        let duplicate = draw(conditions.duplicate_percent).then(|| first + DUPLICATE_DELAY);
        [first].into_iter().chain(duplicate).collect()
    }
}

#[cfg(test)]
mod tests;
