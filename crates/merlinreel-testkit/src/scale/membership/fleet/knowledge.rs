//! How much each limiter of a fleet knows of the others.

use super::{Fleet, LIMITER_KIND, limiter_at};
use merlinreel_mesh::Member;

/// The share of the others that each limiter knows in a fleet that has nearly converged.
const NEARLY_COMPLETE: f64 = 0.99;

/// How much of what each limiter should know is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Knowledge {
    /// Share of the other members, over all limiters.
    pub members: f64,
    /// Share of the limiters' own records in their present incarnation, over all limiters.
    pub records: f64,
    /// Share of the other members at the limiter that knows the fewest.
    pub least_members: f64,
    /// Share of the limiters' own records at the limiter that holds the fewest.
    pub least_records: f64,
}

impl Knowledge {
    /// Whether each limiter knows 99 % of the others and of their records.
    pub fn is_nearly_complete(&self) -> bool {
        self.least_members >= NEARLY_COMPLETE && self.least_records >= NEARLY_COMPLETE
    }
}

/// Shares of what limiters should know.
struct Shares {
    mean: f64,
    least: f64,
}

impl Fleet {
    /// How much is known over all limiters.
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

    /// Shares of what all limiters should know of the others, from what each knows.
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

    /// Others that run, in their present incarnation or a later one.
    fn members_known(&self, limiter: usize) -> usize {
        let Some(node) = &self.nodes[limiter] else {
            return 0;
        };
        node.members()
            .filter(|member| self.is_present(member))
            .count()
    }

    fn records_held(&self, limiter: usize) -> usize {
        let Some(node) = &self.nodes[limiter] else {
            return 0;
        };
        let held = node.view(self.now).raw(LIMITER_KIND).map(|held| held.owner);
        held.filter(|owner| *owner != node.own() && self.is_present(owner))
            .count()
    }

    fn is_present(&self, member: &Member) -> bool {
        let Some(limiter) = limiter_at(member.address) else {
            return false;
        };
        let limiter = limiter as usize;
        self.nodes[limiter].is_some() && member.incarnation >= self.incarnations[limiter]
    }
}
