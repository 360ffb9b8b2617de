//! The requests of a load, their send times and connections, all planned before the first is sent.

use super::CLASS;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const NANOSECONDS_PER_SECOND: u128 = 1_000_000_000;
/// Customers that requests are drawn from.
const CUSTOMERS: u32 = 1_000;

/// A request and its time, counted from the start of the load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// The send time.
    pub at: Duration,
    /// The number of its connection.
    pub connection: usize,
    /// The value of `X-Txn`.
    pub id: String,
    /// The customer that sends it.
    pub customer: u32,
}

impl PlannedRequest {
    /// As it is written to the connection.
    pub fn text(&self) -> String {
        format!(
            "GET /{CLASS}?key={:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {}\r\nX-Lane: {CLASS}\r\n\
             X-Plan: team\r\nX-Remaining: 4000m\r\nX-Quota: units=1,spread=1,first=0\r\n\r\n",
            self.customer, self.id
        )
    }
}

/// Requests at a fixed rate, on the connections in turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestPlan {
    /// The requests by send time.
    pub requests: Vec<PlannedRequest>,
}

impl RequestPlan {
    /// A plan with evenly spaced send times, to the nanosecond, and customers drawn from the seed.
    pub fn new(per_second: u64, requests: u64, connections: usize, seed: u64) -> RequestPlan {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let planned = |number: u64| PlannedRequest {
            at: send_time(number, per_second),
            connection: number as usize % connections,
            id: format!("{number:08x}"),
            customer: random.random_range(0..CUSTOMERS),
        };
        RequestPlan {
            requests: (0..requests).map(planned).collect(),
        }
    }

    /// The last request's send time.
    pub fn last_at(&self) -> Duration {
        self.requests
            .last()
            .map(|request| request.at)
            .unwrap_or_default()
    }

    /// The requests of one connection, by send time.
    pub fn on_connection(&self, connection: usize) -> impl Iterator<Item = &PlannedRequest> {
        self.requests
            .iter()
            .filter(move |request| request.connection == connection)
    }
}

/// Computed from the number, so that rounding errors do not accumulate.
fn send_time(number: u64, per_second: u64) -> Duration {
    let nanoseconds = u128::from(number) * NANOSECONDS_PER_SECOND / u128::from(per_second);
    Duration::from_nanos(nanoseconds as u64)
}
