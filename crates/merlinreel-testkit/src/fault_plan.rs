//! Which faults are injected when: drawn from a seed, the same each time.

use crate::event_log::LinkId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

mod wide;

/// A terminated limiter is restarted after this time; where necessary it was killed before.
const RESTART_AFTER_TERMINATION: Duration = Duration::from_millis(2500);

/// One fault, or the end of one. Limiters and servers are identified by their numbers in the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A fault of a limiter's process or its surroundings.
    Limiter {
        /// The limiter.
        limiter: usize,
        /// What is done to it.
        fault: LimiterFault,
    },
    /// A fault of a server.
    Server {
        /// The server.
        server: usize,
        /// What is done to it.
        fault: ServerFault,
    },
    /// A fault of a link.
    Link {
        /// The link.
        link: LinkId,
        /// What is done to it.
        fault: LinkFault,
    },
}

/// What is done to a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimiterFault {
    /// Kills its process.
    Kill,
    /// Starts its process again.
    Start,
    /// Suspends its process with SIGSTOP.
    Suspend,
    /// Continues its process with SIGCONT.
    Continue,
    /// Sends SIGTERM, with SIGHUP between repeated signals; SIGKILL follows as early as the protocol allows.
    Terminate {
        /// How often SIGTERM is sent, 20 ms apart.
        signals: u32,
    },
    /// Has it reload a configuration that can't be read, and then the same one as before.
    Reload,
    /// Occupies all of its connection slots with connections that never send a request.
    StartConnectionBurst,
    /// Closes the connections of the burst.
    EndConnectionBurst,
    /// Its discovery stops responding.
    SilenceDiscovery,
    /// Its discovery responds again.
    RestoreDiscovery,
}

/// What is done to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFault {
    /// It drains, and discovery announces it.
    Drain,
    /// It accepts requests and makes no progress.
    Pause,
    /// It makes progress again.
    Resume,
}

/// What is done to a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing passes in either direction.
    Partition,
    /// Nothing passes from the server to the limiter.
    PartitionResponses,
    /// Everything passes late, and responses in small pieces.
    Slow,
    /// Everything passes again.
    Heal,
    /// Closes all open connections.
    CloseConnections,
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
        let mut generator = Generator::new(seed, limiters, servers);
        for _ in 0..fault_count {
            generator.draw(duration);
        }
        generator.into_plan()
    }

    /// The same faults, and as many that combine several (`fault_plan/wide.rs`).
    pub fn generate_wide(
        seed: u64,
        fault_count: usize,
        limiters: usize,
        servers: usize,
        duration: Duration,
    ) -> FaultPlan {
        let mut generator = Generator::new(seed, limiters, servers);
        for _ in 0..fault_count {
            generator.draw(duration);
            generator.draw_wide(duration);
        }
        generator.into_plan()
    }
}

impl Generator {
    fn new(seed: u64, limiters: usize, servers: usize) -> Generator {
        Generator {
            random: ChaCha8Rng::seed_from_u64(seed),
            servers,
            unavailable_until: vec![Duration::ZERO; limiters],
            faults: Vec::new(),
        }
    }

    /// The faults drawn so far, in the order of their times.
    fn into_plan(self) -> FaultPlan {
        let mut faults = self.faults;
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
        match self.random.random_range(0..12) {
            0 | 1 if is_available => self.draw_outage(limiter, start, end),
            8 | 9 if is_available => self.draw_termination(limiter, start),
            kind => {
                let (fault, recovery) = self.fault_of_kind(kind, LinkId { limiter, server });
                self.push(start, fault);
                self.push(end, recovery);
            }
        }
    }

    /// Kills or suspends a limiter's process.
    fn draw_outage(&mut self, limiter: usize, start: Duration, end: Duration) {
        self.unavailable_until[limiter] = end;
        let (fault, recovery) = if self.random.random_range(0..2) == 0 {
            (LimiterFault::Kill, LimiterFault::Start)
        } else {
            (LimiterFault::Suspend, LimiterFault::Continue)
        };
        self.push(start, Fault::Limiter { limiter, fault });
        let fault = recovery;
        self.push(end, Fault::Limiter { limiter, fault });
    }

    fn draw_termination(&mut self, limiter: usize, start: Duration) {
        let restart = start + RESTART_AFTER_TERMINATION;
        self.unavailable_until[limiter] = restart;
        let signals = self.random.random_range(1..4);
        let fault = LimiterFault::Terminate { signals };
        self.push(start, Fault::Limiter { limiter, fault });
        let fault = LimiterFault::Start;
        self.push(restart, Fault::Limiter { limiter, fault });
    }

    /// A fault beside those of processes, and its end.
    fn fault_of_kind(&self, kind: u32, link: LinkId) -> (Fault, Fault) {
        let LinkId { limiter, server } = link;
        let of_limiter = |fault| Fault::Limiter { limiter, fault };
        let of_link = |fault| Fault::Link { link, fault };
        match kind {
            2 => (
                Fault::Server {
                    server,
                    fault: ServerFault::Pause,
                },
                Fault::Server {
                    server,
                    fault: ServerFault::Resume,
                },
            ),
            3 => (of_link(LinkFault::Partition), of_link(LinkFault::Heal)),
            4 => (
                of_link(LinkFault::PartitionResponses),
                of_link(LinkFault::Heal),
            ),
            5 => (
                of_limiter(LimiterFault::SilenceDiscovery),
                of_limiter(LimiterFault::RestoreDiscovery),
            ),
            6 if self.servers > 3 => (
                Fault::Server {
                    server: self.servers - 1,
                    fault: ServerFault::Drain,
                },
                of_link(LinkFault::CloseConnections),
            ),
            10 => (
                of_limiter(LimiterFault::Reload),
                of_limiter(LimiterFault::Reload),
            ),
            11 => (
                of_limiter(LimiterFault::StartConnectionBurst),
                of_limiter(LimiterFault::EndConnectionBurst),
            ),
            _ => (
                of_link(LinkFault::CloseConnections),
                of_link(LinkFault::CloseConnections),
            ),
        }
    }

    fn push(&mut self, at: Duration, fault: Fault) {
        self.faults.push(PlannedFault { at, fault });
    }
}

#[cfg(test)]
mod tests;
