//! How much the counter service is called. Nothing is decided here.

use std::time::Duration;

/// The budget of calls to the counter service.
#[derive(Debug)]
pub struct CounterClient {
    /// Calls per tick.
    pub calls_per_tick: f64,
    /// Calls that may be made now.
    pub call_credit: f64,
    /// Until then the counter counts as unable to take all calls.
    pub overloaded_until: Duration,
}

impl CounterClient {
    /// A client with so many calls per tick.
    pub fn new(calls_per_tick: f64) -> CounterClient {
        CounterClient {
            calls_per_tick,
            call_credit: 0.0,
            overloaded_until: Duration::ZERO,
        }
    }
}
