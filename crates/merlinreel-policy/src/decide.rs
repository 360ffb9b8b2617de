//! All decisions of a limiter. How to call it: `Limiter::new` once at start, then `Limiter::round`
//! with the clock, all that came in since the last round, and a `Actions` that takes the decisions.
//! The plain data and the writer are the interface, in `lib.rs`; `peer_message.rs` holds the bytes of a
//! batch between limiters. Docs: `docs/design.md`, `docs/on-call.md`.

mod quotas;
mod requests;
mod servers;
mod start_clock;

use crate::peer_batch::{self, CounterRow};
use crate::remote_counts::QuotaSnapshot;
use crate::request::{Attempt, PendingRequest};
use crate::rolling_window::RollingWindow;
pub use crate::state::Limiter;
use crate::state::{Account, Server, Subscriber, secs, slot, span};
use crate::store::window_length;
use crate::*;
use nanorand::Rng;
pub(crate) use quotas::ASKED_OVER;
use servers::{next_level, reaches_none, watched};
pub(crate) use start_clock::StartClock;

/// Rows that surely fit into the one peer message that a peer's inbox takes: twelve bytes of head, nine a row.
const ROWS: usize = (peer_batch::MAX_BYTES - 12) / 9;

impl Limiter {
    pub fn new(
        seed: u64,
        plans: Vec<Plan>,
        classes: Vec<RequestClass>,
        fleet: FleetConfig,
        endpoint_config: EndpointConfig,
        request_limits: RequestLimits,
    ) -> Limiter {
        // Until answers are seen; two and a half of them do not bind then.
        let fifth = classes
            .iter()
            .map(|c| secs(c.latency_objective) / 5.0)
            .fold(1.0, f64::min);
        Limiter {
            usual: fifth,
            calm: fifth,
            level: 1.0,
            // Half a minute of buckets outlasts most surges.
            answers: RollingWindow::new(Duration::from_secs(32)),
            answer_times: RollingWindow::new(Duration::from_secs(32)),
            // As an inbox is measured.
            word: RollingWindow::new(Duration::from_secs(1)),
            last_peer_message: vec![(0, 0); fleet.limiters as usize],
            owing: vec![0; fleet.limiters as usize],
            told_peer: vec![Duration::ZERO; fleet.limiters as usize],
            // Starting value: a thousand a second over all limiters, little for a service made for it.
            calls: 20.0 / f64::from(fleet.limiters),
            // Steps of a 128th are finer than retries spread and coarser than the way here varies.
            left_seen: vec![(vec![0.0; 130], 1.0); classes.len()],
            ..Limiter::empty(seed, plans, classes, fleet, endpoint_config, request_limits)
        }
    }

    fn message_interval(&self) -> Duration {
        // As short as the peers' inboxes surely take: three quarters, never under 20 ms.
        let others = f64::from(self.fleet.limiters.saturating_sub(1));
        span((others / (0.75 * self.fleet.peer_inbox_rate.max(1.0))).max(0.02))
    }

    /// Counter answers come in a few ms; a tenth of a second is soon enough for what waits without.
    fn beat(&self) -> Duration {
        let most = Duration::from_millis(if self.fleet.counter { 20 } else { 100 });
        most.min(self.message_interval())
    }

    /// A round of peer messages that takes longer than this leaves most readings older than a burst lasts.
    fn gathers(&self) -> bool {
        self.fleet.peer_messages && self.message_interval() > Duration::from_millis(600)
    }

    pub fn round(&mut self, now: Duration, round: &EventBatch, actions: &mut dyn Actions) {
        self.discovery_lost |= self.started.is_none() && self.endpoint_config.endpoint_polling;
        self.started.get_or_insert(now);
        round
            .endpoint_updates
            .iter()
            .for_each(|endpoint_updates| self.follow(now, endpoint_updates));
        round
            .peer_messages
            .iter()
            .for_each(|peer_message| self.read_peer_message(now, peer_message));
        round
            .counter_replies
            .iter()
            .for_each(|answer| self.read_count(now, answer));
        round
            .attempt_results
            .iter()
            .for_each(|end| self.end_attempt(now, end, actions));
        round
            .streaming
            .iter()
            .for_each(|&request| self.answer_begins(now, request));
        for request in round
            .requests
            .iter()
            .filter(|request| !round.disconnects.contains(&request.id))
        {
            self.take(now, request, actions);
        }
        round
            .disconnects
            .iter()
            .for_each(|&request| self.close(request, actions));
        if now >= self.beat_at {
            self.beat_at = now + self.beat();
            self.sync(now, actions);
            // Half a second spares a server list that is pressed, and is far under what the rule allows.
            if self.discovery_lost && now >= self.discovery_at + Duration::from_millis(500) {
                self.discovery_at = now;
                actions.set_endpoint_subscription(true);
            }
            self.watch(now, actions);
            self.keep_regulars(now);
            self.gauge(now);
            self.forget(now, actions);
        }
        self.dispatch(now, actions);
        if self.woken_at <= now {
            self.woken_at = self.beat_at;
            actions.schedule_wakeup(
                self.beat_at
                    .saturating_sub(now)
                    .max(Duration::from_millis(1)),
            );
        }
    }

    /// Drops what no window, job or peer message needs. Guards the memory against customers that come once, and
    /// servers replaced without end; half a minute spares those that come back.
    fn forget(&mut self, now: Duration, actions: &mut dyn Actions) {
        if now < self.swept_at + Duration::from_secs(1) {
            return;
        }
        self.swept_at = now;
        self.drop_accounts(|account, plan| {
            account.quiet += 1;
            // Both windows over, and a store as full as a new one's.
            let quiet = f64::from(account.quiet) > (2.0 * window_length(plan)).max(30.0)
                && !account.stirred;
            quiet && account.calling.is_none() && account.listeners.is_empty() && {
                account.roll(now, plan);
                account.left(now, plan) >= plan.burst
            }
        });
        let over = |server: &mut Server| {
            server.quiet = if server.entry.state == EndpointState::Removed {
                server.quiet + 1
            } else {
                0
            };
            server.quiet > 30
        };
        self.drop_servers(over)
            .into_iter()
            .for_each(|server| actions.release_endpoint(server));
    }
}

#[cfg(test)]
mod tests;
