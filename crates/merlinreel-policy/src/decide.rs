//! All decisions of a limiter. How to call it: `Limiter::new` once at start, then `Limiter::round`
//! with the clock, all that came in since the last round, and a `Writer` that takes the decisions.
//! The plain data and the writer are the interface, in `lib.rs`; `peer_message.rs` holds the bytes of a
//! batch between limiters. Docs: `docs/design.md`, `docs/on-call.md`.

mod quotas;
mod requests;
mod servers;
mod start_clock;

use crate::job::{Attempt, OpenJob};
use crate::peer_message::{self, Row};
use crate::remote_counts::Reading;
use crate::ring::Ring;
pub use crate::state::Limiter;
use crate::state::{Account, Listener, Server, secs, slot, span};
use crate::store::window_length;
use crate::*;
use nanorand::Rng;
pub(crate) use quotas::ASKED_OVER;
use servers::{next_level, reaches_none, watched};
pub(crate) use start_clock::StartClock;

/// Rows that surely fit into the one peer message that a peer's inbox takes: twelve bytes of head, nine a row.
const ROWS: usize = (peer_message::MOST_BYTES - 12) / 9;
/// Buckets of all rings: what is measured is then true to an eighth.
pub(crate) const BUCKETS: usize = 8;

impl Limiter {
    pub fn new(
        seed: u64,
        plans: Vec<Plan>,
        classes: Vec<Class>,
        peers: Peers,
        server_rules: ServerRules,
        job_rules: JobRules,
    ) -> Limiter {
        // Until answers are seen; two and a half of them do not bind then.
        let fifth = classes
            .iter()
            .map(|c| secs(c.target_time) / 5.0)
            .fold(1.0, f64::min);
        Limiter {
            usual: fifth,
            calm: fifth,
            level: 1.0,
            // Half a minute of buckets outlasts most surges.
            answers: Ring::new(Duration::from_secs(32)),
            answer_times: Ring::new(Duration::from_secs(32)),
            // As an inbox is measured.
            word: Ring::new(Duration::from_secs(1)),
            last_peer_message: vec![(0, 0); peers.limiters as usize],
            owing: vec![0; peers.limiters as usize],
            told_peer: vec![Duration::ZERO; peers.limiters as usize],
            // Starting value: a thousand a second over all limiters, little for a service made for it.
            calls: 20.0 / f64::from(peers.limiters),
            // Steps of a 128th are finer than retries spread and coarser than the way here varies.
            left_seen: vec![(vec![0.0; 130], 1.0); classes.len()],
            ..Limiter::empty(seed, plans, classes, peers, server_rules, job_rules)
        }
    }

    fn message_interval(&self) -> Duration {
        // As short as the peers' inboxes surely take: three quarters, never under 20 ms.
        let others = f64::from(self.peers.limiters.saturating_sub(1));
        span((others / (0.75 * self.peers.inbox_per_s.max(1.0))).max(0.02))
    }

    /// Counter answers come in a few ms; a tenth of a second is soon enough for what waits without.
    fn beat(&self) -> Duration {
        let most = Duration::from_millis(if self.peers.counter { 20 } else { 100 });
        most.min(self.message_interval())
    }

    /// A round of peer messages that takes longer than this leaves most readings older than a burst lasts.
    fn gathers(&self) -> bool {
        self.peers.peer_messages && self.message_interval() > Duration::from_millis(600)
    }

    pub fn round(&mut self, now: Duration, round: &Round, out: &mut dyn Writer) {
        self.discovery_lost |= self.started.is_none() && self.server_rules.discovery_on_request;
        self.started.get_or_insert(now);
        round
            .server_list
            .iter()
            .for_each(|server_list| self.follow(now, server_list));
        round
            .peer_messages
            .iter()
            .for_each(|peer_message| self.read_peer_message(now, peer_message));
        round
            .counts
            .iter()
            .for_each(|answer| self.read_count(now, answer));
        round
            .attempt_ends
            .iter()
            .for_each(|end| self.end_attempt(now, end, out));
        round
            .streaming
            .iter()
            .for_each(|&job| self.answer_begins(now, job));
        for job in round
            .jobs
            .iter()
            .filter(|job| !round.left.contains(&job.job))
        {
            self.take(now, job, out);
        }
        round.left.iter().for_each(|&job| self.close(job, out));
        if now >= self.beat_at {
            self.beat_at = now + self.beat();
            self.sync(now, out);
            // Half a second spares a server list that is pressed, and is far under what the rule allows.
            if self.discovery_lost && now >= self.discovery_at + Duration::from_millis(500) {
                self.discovery_at = now;
                out.follow_discovery(true);
            }
            self.watch(now, out);
            self.keep_regulars(now);
            self.gauge(now);
            self.forget(now, out);
        }
        self.dispatch(now, out);
        if self.woken_at <= now {
            self.woken_at = self.beat_at;
            out.wake(
                self.beat_at
                    .saturating_sub(now)
                    .max(Duration::from_millis(1)),
            );
        }
    }

    /// Drops what no window, job or peer message needs. Guards the memory against customers that come once, and
    /// servers replaced without end; half a minute spares those that come back.
    fn forget(&mut self, now: Duration, out: &mut dyn Writer) {
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
            server.quiet = if server.entry.standing == Standing::Gone {
                server.quiet + 1
            } else {
                0
            };
            server.quiet > 30
        };
        self.drop_servers(over)
            .into_iter()
            .for_each(|server| out.forget(server));
    }
}

#[cfg(test)]
mod tests;
