//! What befalls whom, and when: drawn from a seed, the same each time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A process that was asked to stop is started again so long after: it was killed before, where it had to be.
const STOP_TAKES: Duration = Duration::from_millis(2500);

/// One thing that is done to the processes or to the ways between them. Limiters and workers go by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deed {
    Kill(usize),
    Start(usize),
    Stop(usize),
    Wake(usize),
    Drain(usize),
    Pause(usize),
    Resume(usize),
    /// From a limiter to a worker: both ways, one way, and whole again.
    Cut(usize, usize),
    CutBack(usize, usize),
    Heal(usize, usize),
    /// All open connections between them end.
    Break(usize, usize),
    Silence(usize),
    Speak(usize),
    /// SIGTERM so many times, 20 ms apart, with SIGHUP between; then SIGKILL as early as the protocol allows.
    Terminate(usize, u32),
    /// A configuration that can't be read, and then the same as before, each with SIGHUP.
    Reload(usize),
    /// Clients that never ask fill a limiter's places, and go.
    Crowd(usize),
    Disperse(usize),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    pub deeds: Vec<(Duration, Deed)>,
}

impl Script {
    /// So many troubles within a span, each ended again within it; no two at a time on one limiter's process, and worker
    /// 0 is left alone, so that there is always one to go to.
    pub fn drawn(
        seed: u64,
        troubles: usize,
        limiters: usize,
        workers: usize,
        span: Duration,
    ) -> Script {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut deeds = Vec::new();
        let mut away: Vec<Duration> = vec![Duration::ZERO; limiters];
        for _ in 0..troubles {
            let begins = span.mul_f64(chance.random_range(0.05..0.6));
            let ends = begins + span.mul_f64(chance.random_range(0.1..0.3));
            let limiter = chance.random_range(0..limiters);
            let worker = if workers > 1 {
                chance.random_range(1..workers)
            } else {
                0
            };
            let (first, last) = match chance.random_range(0..12) {
                0 | 1 if begins >= away[limiter] => {
                    away[limiter] = ends;
                    let killed = chance.random_range(0..2) == 0;
                    if killed {
                        (Deed::Kill(limiter), Deed::Start(limiter))
                    } else {
                        (Deed::Stop(limiter), Deed::Wake(limiter))
                    }
                }
                2 => (Deed::Pause(worker), Deed::Resume(worker)),
                3 => (Deed::Cut(limiter, worker), Deed::Heal(limiter, worker)),
                4 => (Deed::CutBack(limiter, worker), Deed::Heal(limiter, worker)),
                5 => (Deed::Silence(limiter), Deed::Speak(limiter)),
                6 if workers > 3 => (Deed::Drain(workers - 1), Deed::Break(limiter, worker)),
                8 | 9 if begins >= away[limiter] => {
                    let restart = begins + STOP_TAKES;
                    away[limiter] = restart;
                    deeds.extend([
                        (begins, Deed::Terminate(limiter, chance.random_range(1..4))),
                        (restart, Deed::Start(limiter)),
                    ]);
                    continue;
                }
                10 => (Deed::Reload(limiter), Deed::Reload(limiter)),
                11 => (Deed::Crowd(limiter), Deed::Disperse(limiter)),
                _ => (Deed::Break(limiter, worker), Deed::Break(limiter, worker)),
            };
            deeds.extend([(begins, first), (ends, last)]);
        }
        deeds.sort_by_key(|(at, _)| *at);
        Script { deeds }
    }
}

#[cfg(test)]
mod tests;
