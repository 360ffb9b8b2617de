//! State of the calls to the counter service.

use std::time::Duration;

/// Budget of calls to the counter service.
#[derive(Debug)]
pub struct CounterClient {
    /// Calls added to the credit in each tick; adjusted to the replies.
    pub calls_per_tick: f64,
    /// Calls that may be made now; fractions accumulate.
    pub call_credit: f64,
    /// Time until which the counter service is considered unable to take all calls; zero if it always could.
    pub overloaded_until: Duration,
}

impl CounterClient {
    /// A client with this initial call rate and no credit yet.
    pub fn new(calls_per_tick: f64) -> CounterClient {
        CounterClient {
            calls_per_tick,
            call_credit: 0.0,
            overloaded_until: Duration::ZERO,
        }
    }
}
