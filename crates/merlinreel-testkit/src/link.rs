//! Links between two processes: relays for TCP connections and UDP datagrams under network conditions that can be changed
//! at any time.

mod tcp;
mod udp;

pub use tcp::TcpLink;
pub use udp::UdpLink;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Additional delay of a reordered datagram.
const REORDER_DELAY: Duration = Duration::from_millis(20);
/// Delay of a duplicate after the first copy.
const DUPLICATE_DELAY: Duration = Duration::from_millis(7);

/// The conditions in one direction of a link. The default passes everything at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkConditions {
    /// Whether nothing passes. Open connections stay open and silent; new ones are accepted and stay silent. Bytes of
    /// connections are held until the partition ends, datagrams are lost.
    pub partitioned: bool,
    /// Percentage of datagrams that are lost.
    pub loss_percent: u32,
    /// Percentage of datagrams that arrive twice.
    pub duplicate_percent: u32,
    /// Percentage of datagrams that are delayed by a further 20 ms, so that later ones may overtake them.
    pub reorder_percent: u32,
    /// Minimum delay.
    pub delay: Duration,
    /// Maximum addition to the delay, drawn uniformly for each datagram or piece of a connection.
    pub jitter: Duration,
    /// Throughput of each connection; `None` for no limit. Does not apply to datagrams.
    pub bytes_per_second: Option<u32>,
    /// Maximum number of bytes of a connection that pass at a time; `None` for the relay's buffer size. Does not apply to
    /// datagrams.
    pub chunk_bytes: Option<usize>,
}

#[derive(Debug)]
struct DirectionState {
    conditions: NetworkConditions,
    random: ChaCha8Rng,
}

/// One direction of a link. Clones share the conditions and the random generator.
#[derive(Clone, Debug)]
pub struct LinkDirection {
    state: Arc<Mutex<DirectionState>>,
}

impl LinkDirection {
    /// Creates a direction with default conditions and a random generator with this seed.
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

    /// Sets the conditions, including those of open connections.
    pub fn set(&self, conditions: NetworkConditions) {
        self.lock().conditions = conditions;
    }

    /// The current conditions.
    pub fn conditions(&self) -> NetworkConditions {
        self.lock().conditions
    }

    /// Draws the delay of the next datagram, or of the next piece of a connection.
    fn draw_delay(&self) -> Duration {
        let DirectionState { conditions, random } = &mut *self.lock();
        conditions.delay + conditions.jitter.mul_f64(random.random_range(0.0..1.0))
    }

    /// Draws the delay of each copy of a datagram. Empty if the datagram is lost.
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
