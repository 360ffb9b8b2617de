//! Which requests are sent when, on which connection: fixed before the first is sent.

use super::CATEGORY;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const NANOSECONDS: u128 = 1_000_000_000;
/// Customers that requests are drawn from.
const CUSTOMERS: u32 = 1_000;

/// A request and its time, counted from the start of the load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    pub at: Duration,
    pub connection: usize,
    pub txn: String,
    pub customer: u32,
}

impl PlannedRequest {
    /// As it is written to the connection.
    pub fn text(&self) -> String {
        format!(
            "GET /{CATEGORY}?key={:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {}\r\nX-Lane: {CATEGORY}\r\n\
             X-Plan: team\r\nX-Remaining: 4000m\r\nX-Quota: units=1,spread=1,first=0\r\n\r\n",
            self.customer, self.txn
        )
    }
}

/// Requests at a fixed arrival rate, on their connections in turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestPlan {
    pub requests: Vec<PlannedRequest>,
}

impl RequestPlan {
    /// The seed draws the customers; send times are evenly spaced, to the nanosecond.
    pub fn new(per_second: u64, requests: u64, connections: usize, seed: u64) -> RequestPlan {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let planned = |number: u64| PlannedRequest {
            at: send_time(number, per_second),
            connection: number as usize % connections,
            txn: format!("{number:08x}"),
            customer: chance.random_range(0..CUSTOMERS),
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

    /// Those of one connection, in the order of their times.
    pub fn on_connection(&self, connection: usize) -> impl Iterator<Item = &PlannedRequest> {
        self.requests
            .iter()
            .filter(move |request| request.connection == connection)
    }
}

/// Computed from the number, so that no rounding adds up.
fn send_time(number: u64, per_second: u64) -> Duration {
    let nanoseconds = u128::from(number) * NANOSECONDS / u128::from(per_second);
    Duration::from_nanos(nanoseconds as u64)
}
