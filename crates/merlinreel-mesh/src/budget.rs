//! How many bytes a process may send: so many a second on, and as many at once as a few seconds bring. What does not
//! fit is not sent; all of it is told again by itself.

use std::time::Duration;

/// What may not wait goes first: of the store, the others leave it a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weight {
    /// The membership's own, without which everybody looks dead.
    Membership,
    Urgent,
    Routine,
}

#[derive(Debug)]
pub struct Budget {
    a_second: f64,
    most: f64,
    left: f64,
    at: Duration,
}

impl Budget {
    /// A store that fills by `a_second` bytes a second, up to `most`.
    pub fn new(a_second: u32, most: u32, now: Duration) -> Budget {
        Budget {
            a_second: a_second.into(),
            most: most.into(),
            left: most.into(),
            at: now,
        }
    }

    /// Whether that many bytes may go now; if so they count.
    pub fn takes(&mut self, bytes: usize, weight: Weight, now: Duration) -> bool {
        self.left =
            (self.left + self.a_second * now.saturating_sub(self.at).as_secs_f64()).min(self.most);
        self.at = self.at.max(now);
        let kept = match weight {
            Weight::Membership => 0.0,
            Weight::Urgent => self.most * 0.1,
            Weight::Routine => self.most * 0.3,
        };
        let fits = self.left - bytes as f64 >= kept;
        if fits {
            self.left -= bytes as f64;
        }
        fits
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Over any span, no more goes than the store and what came in meanwhile.
        #[test]
        fn what_goes_is_bounded(sends in proptest::collection::vec((0..1200usize, 0..200u64, 0..3u8), 1..300)) {
            let (mut budget, mut now, mut sent) = (Budget::new(4000, 12000, Duration::ZERO), 0, 0);
            for (bytes, later, weight) in sends {
                now += later;
                let weight = [Weight::Membership, Weight::Urgent, Weight::Routine][usize::from(weight)];
                if budget.takes(bytes, weight, Duration::from_millis(now)) {
                    sent += bytes;
                }
                prop_assert!(sent as f64 <= 12000.0 + 4.0 * now as f64 + 0.001);
            }
        }
    }

    /// Routine alone can't take what the membership needs.
    #[test]
    fn the_membership_always_has_its_part() {
        let mut budget = Budget::new(0, 10_000, Duration::ZERO);
        while budget.takes(500, Weight::Routine, Duration::ZERO) {}
        assert!(budget.takes(1000, Weight::Urgent, Duration::ZERO));
        while budget.takes(500, Weight::Urgent, Duration::ZERO) {}
        assert!(budget.takes(1000, Weight::Membership, Duration::ZERO));
    }
}
