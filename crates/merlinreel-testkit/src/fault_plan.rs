//! Fault plans: randomly generated schedules of faults, reproducible from a seed.

use crate::event_log::LinkId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

mod compound_faults;

/// Time from SIGTERM to the restart of a limiter. It is longer than the time after which the cluster sends SIGKILL, so
/// the old process no longer runs by then.
const RESTART_DELAY_AFTER_SIGTERM: Duration = Duration::from_millis(2500);

/// A fault, or the recovery from one. Limiters and servers are identified by their indices in the cluster, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A fault of a limiter's process, its configuration, its clients or its discovery.
    Limiter {
        /// Index of the limiter.
        limiter: usize,
        /// The action on the limiter.
        fault: LimiterFault,
    },
    /// A fault of a server.
    Server {
        /// Index of the server.
        server: usize,
        /// The action on the server.
        fault: ServerFault,
    },
    /// A fault of the network between a limiter and a server.
    Link {
        /// The affected link.
        link: LinkId,
        /// The action on the link.
        fault: LinkFault,
    },
}

/// A fault of a limiter, or the recovery from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimiterFault {
    /// Kills the process with SIGKILL.
    Kill,
    /// Starts a new process after a kill or termination.
    Start,
    /// Suspends the process with SIGSTOP.
    Suspend,
    /// Continues the process with SIGCONT.
    Continue,
    /// Sends SIGTERM, with SIGHUP before each repetition. SIGKILL follows as early as the protocol allows.
    Terminate {
        /// How many times SIGTERM is sent, at intervals of 20 ms.
        signals: u32,
    },
    /// Makes the limiter reload a configuration that can't be parsed, and then its previous configuration again. Skipped for
    /// a limiter that is shutting down or not running.
    Reload,
    /// Occupies all connection slots with connections that never send a complete request.
    StartConnectionBurst,
    /// Closes the connections that [`LimiterFault::StartConnectionBurst`] opened.
    EndConnectionBurst,
    /// Makes the limiter's discovery stop responding. Connections to it stay open.
    SilenceDiscovery,
    /// Makes the limiter's discovery respond again.
    RestoreDiscovery,
}

/// A fault of a server, or the recovery from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFault {
    /// Makes the server reject new requests, and every discovery list it as draining. The server never leaves this state.
    Drain,
    /// Makes the server accept requests without making progress.
    Pause,
    /// Lets the server make progress again.
    Resume,
}

/// A fault of a link, or the recovery from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Stops traffic in both directions.
    Partition,
    /// Stops traffic from the server to the limiter only.
    PartitionResponses,
    /// Delays traffic in both directions and splits responses into small pieces.
    Slow,
    /// Restores undelayed traffic in both directions.
    Heal,
    /// Closes all open connections of the link. New connections can be made.
    CloseConnections,
}

/// A fault and the time at which it is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time since the start of the run.
    pub at: Duration,
    /// The fault to inject, or the recovery from an earlier one.
    pub fault: Fault,
}

/// A schedule of faults to inject during a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// The faults and recoveries in chronological order.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws `fault_count` faults that begin and end within `duration`. Process faults of one limiter do not overlap. With
    /// more than one server, server 0 and its links have no faults, so that one server is always available.
    ///
    /// A restart after termination takes a fixed time, so in plans shorter than 6.25 s it may lie beyond `duration`.
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

    /// Draws `fault_count` single faults like [`FaultPlan::generate`], and as many compound faults, which combine several
    /// (`fault_plan/compound_faults.rs`). Links to server 0 may be slow.
    pub fn generate_with_compound_faults(
        seed: u64,
        fault_count: usize,
        limiters: usize,
        servers: usize,
        duration: Duration,
    ) -> FaultPlan {
        let mut generator = Generator::new(seed, limiters, servers);
        for _ in 0..fault_count {
            generator.draw(duration);
            generator.draw_compound_fault(duration);
        }
        generator.into_plan()
    }
}

impl Generator {
    fn new(seed: u64, limiters: usize, servers: usize) -> Generator {
        Generator {
            random: ChaCha8Rng::seed_from_u64(seed),
            servers,
            process_faulty_until: vec![Duration::ZERO; limiters],
            faults: Vec::new(),
        }
    }

    /// Sorts the drawn faults by time.
    fn into_plan(self) -> FaultPlan {
        let mut faults = self.faults;
        faults.sort_by_key(|planned| planned.at);
        FaultPlan { faults }
    }
}

struct Generator {
    random: ChaCha8Rng,
    servers: usize,
    /// For each limiter, the time from which its process may have another fault.
    process_faulty_until: Vec<Duration>,
    faults: Vec<PlannedFault>,
}

impl Generator {
    /// Draws one fault and its recovery.
    fn draw(&mut self, duration: Duration) {
        let start = duration.mul_f64(self.random.random_range(0.05..0.6));
        let end = start + duration.mul_f64(self.random.random_range(0.1..0.3));
        let limiter = self.random.random_range(0..self.process_faulty_until.len());
        let server = if self.servers > 1 {
            self.random.random_range(1..self.servers)
        } else {
            0
        };
        let is_available = start >= self.process_faulty_until[limiter];
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

    /// Draws whether the limiter's process is killed or suspended from `start` to `end`.
    fn draw_outage(&mut self, limiter: usize, start: Duration, end: Duration) {
        self.process_faulty_until[limiter] = end;
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
        let restart = start + RESTART_DELAY_AFTER_SIGTERM;
        self.process_faulty_until[limiter] = restart;
        let signals = self.random.random_range(1..4);
        let fault = LimiterFault::Terminate { signals };
        self.push(start, Fault::Limiter { limiter, fault });
        let fault = LimiterFault::Start;
        self.push(restart, Fault::Limiter { limiter, fault });
    }

    /// Returns the fault with this drawn number and its recovery, for faults that leave processes running. Numbers with no
    /// fault of their own, or whose fault is not possible now, close connections.
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
