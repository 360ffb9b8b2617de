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
mod tests;
