//! What a limiter knows of a customer's quota from others, with its age by its own clock: the gatherer's reading, told by
//! itself or passed on by another. Nothing is decided here.

use crate::Plan;
use crate::state::{Account, secs};
use std::time::Duration;

/// A reading of a customer's quota: what was left, the units asked for a second, and how old that is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSnapshot {
    pub left: f64,
    pub pace: f64,
    pub age: Duration,
}

impl Account {
    /// What one that was told must think is left: refill that others take is none it could use.
    pub fn thought(&self, now: Duration, plan: &Plan) -> f64 {
        let refill = plan.rate - self.pace.unwrap_or(0.0).min(plan.rate);
        (self.told_left + refill * secs(now.saturating_sub(self.told_at))).min(plan.burst)
    }

    /// The pace last told, where that is no older than `known`.
    pub fn pace_known(&self, now: Duration, known: Duration) -> Option<f64> {
        self.pace.filter(|_| now < self.told_at + known)
    }

    /// A reading that another passes on, where it is newer than the one held and no older than `known`.
    pub fn overhear(
        &mut self,
        now: Duration,
        plan: &Plan,
        reading: QuotaSnapshot,
        known: Duration,
    ) {
        let at = now.saturating_sub(reading.age);
        if at > self.told_at && now < at + known {
            (self.told_left, self.pace, self.told_at) = (reading.left, Some(reading.pace), at);
            self.spilled += self.left(now, plan) - self.thought(now, plan);
        }
    }

    /// The reading held: at the gatherer its own, else what it was told, if ever.
    pub fn reading(
        &mut self,
        now: Duration,
        gathers: bool,
        asked_over: Duration,
        plan: &Plan,
    ) -> Option<QuotaSnapshot> {
        if gathers {
            let (left, pace) = (self.left(now, plan), self.asked(now, asked_over));
            return Some(QuotaSnapshot {
                left,
                pace,
                age: Duration::ZERO,
            });
        }
        let age = now.saturating_sub(self.told_at);
        self.pace.map(|pace| QuotaSnapshot {
            left: self.told_left,
            pace,
            age,
        })
    }

    /// Units asked for in a second of late.
    pub fn asked(&mut self, now: Duration, over: Duration) -> f64 {
        self.asked_units.sum(now) / secs(over)
    }
}
