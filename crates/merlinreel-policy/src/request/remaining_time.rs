//! How much time clients leave to the requests of a class. Nothing is decided here.

/// Steps of the deadline: finer than clients' retries are spread, coarser than the time on the network varies.
const STEPS: usize = 128;

/// Requests of a class by the share of the deadline that remained when they arrived.
pub struct RemainingTimeHistogram {
    /// Requests by step; an empty step on either side lets each have two neighbours.
    requests: Vec<f64>,
    /// Share of the requests that are first attempts.
    pub first_attempt_share: f64,
}

impl Default for RemainingTimeHistogram {
    fn default() -> RemainingTimeHistogram {
        RemainingTimeHistogram {
            requests: vec![0.0; STEPS + 2],
            first_attempt_share: 1.0,
        }
    }
}

/// Position of a step in a histogram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step(usize);

impl Step {
    /// The step of a share of the deadline.
    pub fn of(share: f64) -> Step {
        let step = (share * STEPS as f64) as usize;
        Step(1 + step.min(STEPS - 1))
    }
}

impl RemainingTimeHistogram {
    /// All requests counted.
    pub fn total(&self) -> f64 {
        self.requests.iter().sum()
    }

    /// Counts a request.
    pub fn add(&mut self, step: Step) {
        self.requests[step.0] += 1.0;
    }

    /// Requests counted in a step and its two neighbours.
    pub fn near(&self, step: Step) -> f64 {
        self.requests[step.0 - 1..=step.0 + 1].iter().sum()
    }

    /// Halves all counts.
    pub fn halve(&mut self) {
        for requests in &mut self.requests {
            *requests /= 2.0;
        }
    }
}
