//! How much the limiters of a fleet know about each other.

use super::{Fleet, LIMITER_KIND, limiter_at};
use merlinreel_mesh::Member;

/// A fleet has nearly converged if each limiter knows at least this share of the other limiters and of their records.
const NEARLY_COMPLETE_FRACTION: f64 = 0.99;

/// Shares of the other limiters and their records that the limiters know, from 0 to 1. A limiter that is down knows
/// none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Knowledge {
    /// Mean share of the other members that a limiter knows.
    pub members: f64,
    /// Mean share of the other limiters' own records, in their current incarnation, that a limiter holds.
    pub records: f64,
    /// Share of the other members that is known by the limiter that knows the fewest.
    pub least_members: f64,
    /// Share of the other limiters' own records that is held by the limiter that holds the fewest.
    pub least_records: f64,
}

impl Knowledge {
    /// Whether each limiter knows at least 99 % of the others and of their records.
    pub fn is_nearly_complete(&self) -> bool {
        self.least_members >= NEARLY_COMPLETE_FRACTION
            && self.least_records >= NEARLY_COMPLETE_FRACTION
    }
}

/// Share of the other limiters, or of their records, that a limiter knows: mean and minimum over all limiters.
struct Shares {
    mean: f64,
    least: f64,
}

impl Fleet {
    /// How much the limiters know now.
    pub fn knowledge(&self) -> Knowledge {
        let members = self.shares(|limiter| self.members_known(limiter));
        let records = self.shares(|limiter| self.records_held(limiter));
        Knowledge {
            members: members.mean,
            records: records.mean,
            least_members: members.least,
            least_records: records.least,
        }
    }

    /// Mean and least share of the other limiters, from the number that each limiter knows.
    fn shares(&self, known: impl Fn(usize) -> usize) -> Shares {
        let limiters = self.setting.limiters;
        let others = (limiters - 1).max(1) as f64;
        let known: Vec<usize> = (0..limiters).map(known).collect();
        Shares {
            mean: known.iter().sum::<usize>() as f64 / limiters as f64 / others,
            least: known.iter().min().copied().unwrap_or(0) as f64 / others,
        }
    }

    /// Whether a limiter knows all others and holds their records.
    pub(super) fn knows_all(&self, limiter: usize) -> bool {
        let others = self.setting.limiters - 1;
        self.members_known(limiter) == others && self.records_held(limiter) == others
    }

    /// Number of running other limiters that a limiter knows in their current incarnation or a later one.
    fn members_known(&self, limiter: usize) -> usize {
        let Some(node) = &self.nodes[limiter] else {
            return 0;
        };
        node.members()
            .filter(|member| self.is_current(member))
            .count()
    }

    fn records_held(&self, limiter: usize) -> usize {
        let Some(node) = &self.nodes[limiter] else {
            return 0;
        };
        let held = node.view(self.now).raw(LIMITER_KIND).map(|held| held.owner);
        held.filter(|owner| *owner != node.own() && self.is_current(owner))
            .count()
    }

    fn is_current(&self, member: &Member) -> bool {
        let Some(limiter) = limiter_at(member.address) else {
            return false;
        };
        let limiter = limiter as usize;
        self.nodes[limiter].is_some() && member.incarnation >= self.incarnations[limiter]
    }
}
