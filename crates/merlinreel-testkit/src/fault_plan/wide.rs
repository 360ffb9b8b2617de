//! Faults of several parts: short suspensions in a row, links that are slow, an outage of discovery across a restart, a
//! connection burst into a shutdown, reloads while a server drains.

use super::{Fault, Generator, LimiterFault, LinkFault, RESTART_AFTER_TERMINATION, ServerFault};
use crate::event_log::LinkId;
use rand::RngExt;
use std::time::Duration;

/// Suspensions in a row.
const SUSPENSIONS: u32 = 3;
/// The time from one of them to the next.
const SUSPENSION_INTERVAL: Duration = Duration::from_millis(600);
/// Discovery is silent for this long before a kill and after the restart.
const SILENCE_AROUND_RESTART: Duration = Duration::from_millis(300);
/// A connection burst begins this long before a shutdown.
const BURST_BEFORE_SHUTDOWN: Duration = Duration::from_millis(200);
/// The time from one reload to the next.
const RELOAD_INTERVAL: Duration = Duration::from_millis(100);

impl Generator {
    /// Draws one fault of several parts. Those of a process are left out where it has another one.
    pub(super) fn draw_wide(&mut self, duration: Duration) {
        let start = duration.mul_f64(self.random.random_range(0.1..0.5));
        let limiter = self.random.random_range(0..self.unavailable_until.len());
        let server = self.random.random_range(0..self.servers);
        let is_available = start >= self.unavailable_until[limiter];
        match self.random.random_range(0..5) {
            0 if is_available => self.suspend_repeatedly(limiter, start),
            1 if is_available => self.restart_in_silence(limiter, start),
            2 if is_available => self.shut_down_in_a_burst(limiter, start),
            3 => self.reload_in_a_drain(limiter, start),
            _ => self.slow_down(LinkId { limiter, server }, start, duration.mul_f64(0.2)),
        }
    }

    fn push_limiter_fault(&mut self, limiter: usize, at: Duration, fault: LimiterFault) {
        self.push(at, Fault::Limiter { limiter, fault });
    }

    fn suspend_repeatedly(&mut self, limiter: usize, start: Duration) {
        for number in 0..SUSPENSIONS {
            let at = start + SUSPENSION_INTERVAL * number;
            let length = Duration::from_millis(self.random.random_range(120..400));
            self.push_limiter_fault(limiter, at, LimiterFault::Suspend);
            self.push_limiter_fault(limiter, at + length, LimiterFault::Continue);
        }
        self.unavailable_until[limiter] = start + SUSPENSION_INTERVAL * SUSPENSIONS;
    }

    fn restart_in_silence(&mut self, limiter: usize, start: Duration) {
        let killed_at = start + SILENCE_AROUND_RESTART;
        let restarted_at = killed_at + SILENCE_AROUND_RESTART;
        let restored_at = restarted_at + SILENCE_AROUND_RESTART;
        self.push_limiter_fault(limiter, start, LimiterFault::SilenceDiscovery);
        self.push_limiter_fault(limiter, killed_at, LimiterFault::Kill);
        self.push_limiter_fault(limiter, restarted_at, LimiterFault::Start);
        self.push_limiter_fault(limiter, restored_at, LimiterFault::RestoreDiscovery);
        self.unavailable_until[limiter] = restored_at;
    }

    fn shut_down_in_a_burst(&mut self, limiter: usize, start: Duration) {
        let shutdown_at = start + BURST_BEFORE_SHUTDOWN;
        let restarted_at = shutdown_at + RESTART_AFTER_TERMINATION;
        let shutdown = LimiterFault::Terminate { signals: 1 };
        self.push_limiter_fault(limiter, start, LimiterFault::StartConnectionBurst);
        self.push_limiter_fault(limiter, shutdown_at, shutdown);
        self.push_limiter_fault(limiter, restarted_at, LimiterFault::EndConnectionBurst);
        self.push_limiter_fault(limiter, restarted_at, LimiterFault::Start);
        self.unavailable_until[limiter] = restarted_at;
    }

    fn reload_in_a_drain(&mut self, limiter: usize, start: Duration) {
        let server = self.servers - 1;
        if server > 2 {
            let fault = ServerFault::Drain;
            self.push(start, Fault::Server { server, fault });
        }
        for number in 1..=3 {
            let at = start + RELOAD_INTERVAL * number;
            self.push_limiter_fault(limiter, at, LimiterFault::Reload);
        }
    }

    fn slow_down(&mut self, link: LinkId, start: Duration, length: Duration) {
        let fault = LinkFault::Slow;
        self.push(start, Fault::Link { link, fault });
        let fault = LinkFault::Heal;
        self.push(start + length, Fault::Link { link, fault });
    }
}
