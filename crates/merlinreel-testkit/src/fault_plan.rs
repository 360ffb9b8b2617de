//! Which faults are injected when: drawn from a seed, the same each time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A terminated limiter is restarted after this time; where necessary it was killed before.
const RESTART_AFTER_TERMINATION: Duration = Duration::from_millis(2500);

/// One fault, or the end of one. Limiters and servers are identified by their numbers in the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Fault {
    /// Kills the limiter's process.
    KillLimiter { limiter: usize },
    /// Starts the limiter's process again.
    StartLimiter { limiter: usize },
    /// Suspends the limiter's process with SIGSTOP.
    SuspendLimiter { limiter: usize },
    /// Continues the limiter's process with SIGCONT.
    ContinueLimiter { limiter: usize },
    /// Sends SIGTERM `signals` times, 20 ms apart, with SIGHUP between; SIGKILL follows as early as the protocol allows.
    TerminateLimiter { limiter: usize, signals: u32 },
    /// Has the limiter reload a configuration that can't be read, and then the same one as before.
    ReloadConfiguration { limiter: usize },
    /// Occupies all of the limiter's connection slots with connections that never send a request.
    StartConnectionBurst { limiter: usize },
    /// Closes the connections of the burst.
    EndConnectionBurst { limiter: usize },
    /// Discovery stops responding to the limiter.
    SilenceDiscovery { limiter: usize },
    /// Discovery responds to the limiter again.
    RestoreDiscovery { limiter: usize },
    /// The server drains, and discovery announces it.
    DrainServer { server: usize },
    /// The server accepts requests and makes no progress.
    PauseServer { server: usize },
    /// The server makes progress again.
    ResumeServer { server: usize },
    /// Nothing passes between the limiter and the server.
    PartitionLink { limiter: usize, server: usize },
    /// Nothing passes from the server to the limiter.
    PartitionResponses { limiter: usize, server: usize },
    /// Everything passes between the limiter and the server again.
    HealLink { limiter: usize, server: usize },
    /// Closes all connections between the limiter and the server.
    CloseConnections { limiter: usize, server: usize },
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time since the plan's start.
    pub at: Duration,
    /// What is injected.
    pub fault: Fault,
}

/// Faults in the order of their times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// The faults and their ends.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws `fault_count` faults within a duration, each of which also ends within it. A limiter's process has no two
    /// faults at a time, and server 0 has none, so that there is always one available.
    pub fn generate(
        seed: u64,
        fault_count: usize,
        limiters: usize,
        servers: usize,
        duration: Duration,
    ) -> FaultPlan {
        let mut generator = Generator {
            random: ChaCha8Rng::seed_from_u64(seed),
            servers,
            unavailable_until: vec![Duration::ZERO; limiters],
            faults: Vec::new(),
        };
        for _ in 0..fault_count {
            generator.draw(duration);
        }
        let mut faults = generator.faults;
        faults.sort_by_key(|planned| planned.at);
        FaultPlan { faults }
    }
}

struct Generator {
    random: ChaCha8Rng,
    servers: usize,
    /// By limiter, until when its process has a fault.
    unavailable_until: Vec<Duration>,
    faults: Vec<PlannedFault>,
}

impl Generator {
    /// Draws one fault and its end.
    fn draw(&mut self, duration: Duration) {
        let start = duration.mul_f64(self.random.random_range(0.05..0.6));
        let end = start + duration.mul_f64(self.random.random_range(0.1..0.3));
        let limiter = self.random.random_range(0..self.unavailable_until.len());
        let server = if self.servers > 1 {
            self.random.random_range(1..self.servers)
        } else {
            0
        };
        let is_available = start >= self.unavailable_until[limiter];
        let (fault, recovery) = match self.random.random_range(0..12) {
            0 | 1 if is_available => {
                self.unavailable_until[limiter] = end;
                self.draw_process_fault(limiter)
            }
            2 => (
                Fault::PauseServer { server },
                Fault::ResumeServer { server },
            ),
            3 => (
                Fault::PartitionLink { limiter, server },
                Fault::HealLink { limiter, server },
            ),
            4 => (
                Fault::PartitionResponses { limiter, server },
                Fault::HealLink { limiter, server },
            ),
            5 => (
                Fault::SilenceDiscovery { limiter },
                Fault::RestoreDiscovery { limiter },
            ),
            6 if self.servers > 3 => (
                Fault::DrainServer {
                    server: self.servers - 1,
                },
                Fault::CloseConnections { limiter, server },
            ),
            8 | 9 if is_available => {
                self.draw_termination(limiter, start);
                return;
            }
            10 => (
                Fault::ReloadConfiguration { limiter },
                Fault::ReloadConfiguration { limiter },
            ),
            11 => (
                Fault::StartConnectionBurst { limiter },
                Fault::EndConnectionBurst { limiter },
            ),
            _ => (
                Fault::CloseConnections { limiter, server },
                Fault::CloseConnections { limiter, server },
            ),
        };
        self.push(start, fault);
        self.push(end, recovery);
    }

    fn draw_process_fault(&mut self, limiter: usize) -> (Fault, Fault) {
        if self.random.random_range(0..2) == 0 {
            (
                Fault::KillLimiter { limiter },
                Fault::StartLimiter { limiter },
            )
        } else {
            (
                Fault::SuspendLimiter { limiter },
                Fault::ContinueLimiter { limiter },
            )
        }
    }

    fn draw_termination(&mut self, limiter: usize, start: Duration) {
        let restart = start + RESTART_AFTER_TERMINATION;
        self.unavailable_until[limiter] = restart;
        let signals = self.random.random_range(1..4);
        self.push(start, Fault::TerminateLimiter { limiter, signals });
        self.push(restart, Fault::StartLimiter { limiter });
    }

    fn push(&mut self, at: Duration, fault: Fault) {
        self.faults.push(PlannedFault { at, fault });
    }
}

#[cfg(test)]
mod tests;
