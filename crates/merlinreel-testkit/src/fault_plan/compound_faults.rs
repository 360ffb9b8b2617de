//! Compound faults: several short suspensions in a row, a slow link, a discovery outage during a restart, a connection
//! burst before and during a shutdown, reloads after a server begins to drain.

use super::{Fault, Generator, LimiterFault, LinkFault, RESTART_DELAY_AFTER_SIGTERM, ServerFault};
use crate::event_log::LinkId;
use rand::RngExt;
use std::time::Duration;

/// Number of suspensions in a row.
const SUSPENSION_COUNT: u32 = 3;
/// Time from the start of one suspension to the start of the next. Longer than any suspension.
const SUSPENSION_INTERVAL: Duration = Duration::from_millis(600);
/// Time between successive steps of a restart during a discovery outage: discovery stops responding, the limiter is
/// killed, the limiter is restarted, discovery responds again.
const OUTAGE_STEP_INTERVAL: Duration = Duration::from_millis(300);
/// Time from the start of a connection burst to the SIGTERM of the shutdown.
const BURST_LEAD_TIME: Duration = Duration::from_millis(200);
/// Time from the start of the drain to the first reload, and from one reload to the next.
const RELOAD_INTERVAL: Duration = Duration::from_millis(100);

impl Generator {
    /// Draws one compound fault. If it would affect the process of a limiter that already has a process fault, a link is
    /// slowed instead.
    pub(super) fn draw_compound_fault(&mut self, duration: Duration) {
        let start = duration.mul_f64(self.random.random_range(0.1..0.5));
        let limiter = self.random.random_range(0..self.process_faulty_until.len());
        let server = self.random.random_range(0..self.servers);
        let is_available = start >= self.process_faulty_until[limiter];
        match self.random.random_range(0..5) {
            0 if is_available => self.suspend_repeatedly(limiter, start),
            1 if is_available => self.restart_during_discovery_outage(limiter, start),
            2 if is_available => self.shut_down_during_burst(limiter, start),
            3 => self.reload_during_drain(limiter, start),
            _ => self.slow_link(LinkId { limiter, server }, start, duration.mul_f64(0.2)),
        }
    }

    fn push_limiter_fault(&mut self, limiter: usize, at: Duration, fault: LimiterFault) {
        self.push(at, Fault::Limiter { limiter, fault });
    }

    fn suspend_repeatedly(&mut self, limiter: usize, start: Duration) {
        for number in 0..SUSPENSION_COUNT {
            let at = start + SUSPENSION_INTERVAL * number;
            let length = Duration::from_millis(self.random.random_range(120..400));
            self.push_limiter_fault(limiter, at, LimiterFault::Suspend);
            self.push_limiter_fault(limiter, at + length, LimiterFault::Continue);
        }
        self.process_faulty_until[limiter] = start + SUSPENSION_INTERVAL * SUSPENSION_COUNT;
    }

    fn restart_during_discovery_outage(&mut self, limiter: usize, start: Duration) {
        let killed_at = start + OUTAGE_STEP_INTERVAL;
        let restarted_at = killed_at + OUTAGE_STEP_INTERVAL;
        let restored_at = restarted_at + OUTAGE_STEP_INTERVAL;
        self.push_limiter_fault(limiter, start, LimiterFault::SilenceDiscovery);
        self.push_limiter_fault(limiter, killed_at, LimiterFault::Kill);
        self.push_limiter_fault(limiter, restarted_at, LimiterFault::Start);
        self.push_limiter_fault(limiter, restored_at, LimiterFault::RestoreDiscovery);
        self.process_faulty_until[limiter] = restored_at;
    }

    fn shut_down_during_burst(&mut self, limiter: usize, start: Duration) {
        let shutdown_at = start + BURST_LEAD_TIME;
        let restarted_at = shutdown_at + RESTART_DELAY_AFTER_SIGTERM;
        let shutdown = LimiterFault::Terminate { signals: 1 };
        self.push_limiter_fault(limiter, start, LimiterFault::StartConnectionBurst);
        self.push_limiter_fault(limiter, shutdown_at, shutdown);
        self.push_limiter_fault(limiter, restarted_at, LimiterFault::EndConnectionBurst);
        self.push_limiter_fault(limiter, restarted_at, LimiterFault::Start);
        self.process_faulty_until[limiter] = restarted_at;
    }

    /// Reloads the limiter's configuration three times. With more than three servers, the last server begins to drain
    /// before the first reload.
    fn reload_during_drain(&mut self, limiter: usize, start: Duration) {
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

    fn slow_link(&mut self, link: LinkId, start: Duration, length: Duration) {
        let fault = LinkFault::Slow;
        self.push(start, Fault::Link { link, fault });
        let fault = LinkFault::Heal;
        self.push(start + length, Fault::Link { link, fault });
    }
}
