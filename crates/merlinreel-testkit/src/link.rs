//! The way between two processes: what passes fares as the weather says, which may change at any time.

mod tcp;
mod udp;

pub use tcp::TcpLink;
pub use udp::UdpLink;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How one direction of a link fares. Fair by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// Nothing passes; connections stay open and silent, new ones come up and say nothing.
    pub cut: bool,
    /// In a hundred datagrams so many are lost, come twice, or come behind later ones.
    pub lose: u32,
    pub repeat: u32,
    pub reorder: u32,
    /// What passes is so late, and up to so much more.
    pub delay: Duration,
    pub jitter: Duration,
    /// Bytes a second of a connection, where that is bounded; pieces of so many bytes, where it trickles.
    pub bytes_a_second: Option<u32>,
    pub piece: Option<usize>,
}

/// Weather that its holders share, with the direction's own chance.
#[derive(Clone, Debug)]
pub struct Sky {
    held: Arc<Mutex<(Weather, ChaCha8Rng)>>,
}

impl Sky {
    pub fn new(seed: u64) -> Sky {
        Sky {
            held: Arc::new(Mutex::new((
                Weather::default(),
                ChaCha8Rng::seed_from_u64(seed),
            ))),
        }
    }

    fn lock(&self) -> MutexGuard<'_, (Weather, ChaCha8Rng)> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set(&self, weather: Weather) {
        self.lock().0 = weather;
    }

    pub fn weather(&self) -> Weather {
        self.lock().0
    }

    /// How late the next thing that passes is.
    fn late(&self) -> Duration {
        let (weather, chance) = &mut *self.lock();
        weather.delay + weather.jitter.mul_f64(chance.random_range(0.0..1.0))
    }

    /// The fates of a datagram: how late each of its copies comes; none if it is lost.
    fn fates(&self) -> Vec<Duration> {
        let late = self.late();
        let (weather, chance) = &mut *self.lock();
        let mut falls = |percent: u32| chance.random_range(0..100) < percent;
        if weather.cut || falls(weather.lose) {
            return Vec::new();
        }
        // Behind what comes in the next moments.
        let first = if falls(weather.reorder) {
            late + Duration::from_millis(20)
        } else {
            late
        };
        let again = falls(weather.repeat).then(|| first + Duration::from_millis(7));
        [first].into_iter().chain(again).collect()
    }
}

#[cfg(test)]
mod tests;
