//! Counts how much time requests of a class have left when they arrive. Nothing is decided here.

/// Bins over the length of the deadline: narrower than the spread of clients' retries, wider than the variation of
/// network delay.
const BINS: usize = 128;

/// Histogram of a class's requests by the fraction of the deadline that remained when they arrived.
pub struct RemainingTimeHistogram {
    /// Requests by bin, with an empty bin at either end so that each bin has two neighbours.
    counts: Vec<f64>,
    /// Fraction of recent requests that are first attempts, 0 to 1: an exponential moving average.
    pub first_attempt_fraction: f64,
}

impl Default for RemainingTimeHistogram {
    fn default() -> RemainingTimeHistogram {
        RemainingTimeHistogram {
            counts: vec![0.0; BINS + 2],
            first_attempt_fraction: 1.0,
        }
    }
}

/// Position of a bin in the histogram, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bin(usize);

impl Bin {
    /// The bin of a fraction of the deadline; a fraction of 1 or more is in the last one.
    pub fn of(fraction: f64) -> Bin {
        let bin = (fraction * BINS as f64) as usize;
        Bin(1 + bin.min(BINS - 1))
    }
}

impl RemainingTimeHistogram {
    /// Number of requests in all bins; not whole after [`RemainingTimeHistogram::halve`].
    pub fn total(&self) -> f64 {
        self.counts.iter().sum()
    }

    /// Counts a request in a bin.
    pub fn add(&mut self, bin: Bin) {
        self.counts[bin.0] += 1.0;
    }

    /// Number of requests in a bin and its two neighbours.
    pub fn count_near(&self, bin: Bin) -> f64 {
        self.counts[bin.0 - 1..=bin.0 + 1].iter().sum()
    }

    /// Halves all counts, so that newer requests count more.
    pub fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2.0;
        }
    }
}
