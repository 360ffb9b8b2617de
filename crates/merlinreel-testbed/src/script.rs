//! What befalls whom, and when: drawn from a seed, the same each time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

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
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    pub deeds: Vec<(Duration, Deed)>,
}

impl Script {
    /// So many troubles within a span, each ended again within it; no two at a time on one limiter's process, and worker
    /// 0 is left alone, so that there is always one to go to.
    pub fn drawn(seed: u64, troubles: usize, limiters: usize, workers: usize, span: Duration) -> Script {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut deeds = Vec::new();
        let mut away: Vec<Duration> = vec![Duration::ZERO; limiters];
        for _ in 0..troubles {
            let begins = span.mul_f64(chance.random_range(0.05..0.6));
            let ends = begins + span.mul_f64(chance.random_range(0.1..0.3));
            let limiter = chance.random_range(0..limiters);
            let worker = if workers > 1 { chance.random_range(1..workers) } else { 0 };
            let (first, last) = match chance.random_range(0..8) {
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
                _ => (Deed::Break(limiter, worker), Deed::Break(limiter, worker)),
            };
            deeds.extend([(begins, first), (ends, last)]);
        }
        deeds.sort_by_key(|(at, _)| *at);
        Script { deeds }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Every trouble ends, and a seed gives one script.
    #[test]
    fn what_begins_ends() {
        for seed in 0..200 {
            let span = Duration::from_secs(10);
            let script = Script::drawn(seed, 6, 3, 4, span);
            assert_eq!(script, Script::drawn(seed, 6, 3, 4, span));
            let count =
                |wanted: fn(&Deed) -> bool| script.deeds.iter().filter(|(_, deed)| wanted(deed)).count();
            assert_eq!(count(|d| matches!(d, Deed::Kill(_))), count(|d| matches!(d, Deed::Start(_))));
            assert_eq!(count(|d| matches!(d, Deed::Stop(_))), count(|d| matches!(d, Deed::Wake(_))));
            assert!(script.deeds.iter().all(|(at, _)| *at <= span));
            let mut dead = [false; 3];
            for (_, deed) in &script.deeds {
                match *deed {
                    Deed::Kill(i) | Deed::Stop(i) => assert!(!std::mem::replace(&mut dead[i], true)),
                    Deed::Start(i) | Deed::Wake(i) => assert!(std::mem::replace(&mut dead[i], false)),
                    _ => {}
                }
            }
        }
    }
}
