//! A customer's quota as a store counted by windows: what was used here and elsewhere, and what that leaves. Counting
//! only; who is let in is decided in `decide`.

use crate::rolling_window::RollingWindow;
use crate::state::{Account, secs, span};
use crate::{FleetConfig, Plan};
use std::time::Duration;

/// The window's length starts as the design has it: the store's size over its rate.
pub fn window_length(plan: &Plan) -> f64 {
    if plan.rate > 0.0 {
        (plan.burst / plan.rate).max(0.1)
    } else {
        1.0
    }
}

impl Account {
    pub fn new(
        customer: u64,
        plan_index: usize,
        plan: &Plan,
        fleet: FleetConfig,
        now: Duration,
        asked_over: Duration,
    ) -> Account {
        let window = (secs(now) / window_length(plan)) as u64;
        let refill = secs(now) - window as f64 * window_length(plan);
        Account {
            customer,
            plan: plan_index,
            me: fleet.me as usize,
            window,
            carried: plan.burst - plan.rate * refill,
            ceiling_at: now,
            asked_units: RollingWindow::new(asked_over),
            ..Account::default()
        }
    }

    /// What the quota leaves at this moment: a store counted by windows (see `roll`).
    pub fn left(&self, now: Duration, plan: &Plan) -> f64 {
        let into = secs(now) - self.window as f64 * window_length(plan);
        self.carried - self.spilled + plan.rate * into - self.own[0] - self.others(0)
    }

    /// Departure from the fixed windows: guards against all limiters opening together at an edge. Unused
    /// allowance is carried over and refill comes evenly: the store of rate and burst that a quota is.
    pub fn roll(&mut self, now: Duration, plan: &Plan) {
        let length = window_length(plan);
        let window = (secs(now) / length) as u64;
        if window > self.window {
            let edge = span((self.window + 1) as f64 * length);
            let passed = (window - self.window - 1) as f64;
            self.carried = (self.left(edge, plan) + passed * plan.rate * length).min(plan.burst);
            self.due = [
                false,
                self.shift(window) && (self.due[0] || self.own[1] != 0.0 || self.others(1) != 0.0),
            ];
        }
        let over = self.left(now, plan) - plan.burst;
        if over > 0.0 {
            self.spilled += over;
        }
    }

    pub fn add_own(&mut self, window: u64, units: f64) {
        let Some(i) = self.place(window) else {
            self.carried -= units;
            return;
        };
        self.own[i] += units;
        self.carried -= units * i as f64;
        // Told twice: a lost batch is made good by the next, and totals make repeats harmless.
        (self.news[i], self.due[i]) = (2, true);
    }

    /// A peer's total of a window. What was admitted past an empty store took nothing from it.
    pub fn hear(
        &mut self,
        now: Duration,
        plan: &Plan,
        from: usize,
        window: u64,
        total: f64,
        floor: f64,
    ) {
        self.roll(now, plan);
        let Some(i) = self.place(window) else { return };
        let before = self.others(i);
        self.note(i, from, total);
        let units = self.others(i) - before;
        self.carried -= units * i as f64;
        let left = self.left(now, plan);
        if units > 0.0 && left < -floor {
            self.spilled -= (-floor - left).min(units);
        }
        self.split_until = Duration::ZERO;
    }
}
