//! Plans the requests of a load, with their send times and connections, before the first one is sent.

use super::CLASS;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const NANOSECONDS_PER_SECOND: u128 = 1_000_000_000;
/// Number of customers, one of which is drawn for each request.
const CUSTOMERS: u32 = 1_000;

/// A request with its planned send time and connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Send time, relative to the start of the load.
    pub send_time: Duration,
    /// Index of the client connection that sends it.
    pub connection: usize,
    /// Value of `X-Txn`, unique in the plan.
    pub id: String,
    /// Number of the customer, sent as `key`.
    pub customer: u32,
}

impl PlannedRequest {
    /// The request as it is written to the connection.
    pub fn text(&self) -> String {
        format!(
            "GET /{CLASS}?key={:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {}\r\nX-Lane: {CLASS}\r\n\
             X-Plan: team\r\nX-Remaining: 4000m\r\nX-Quota: units=1,spread=1,first=0\r\n\r\n",
            self.customer, self.id
        )
    }
}

/// Requests at a fixed rate, assigned to the connections in turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestPlan {
    /// The requests in order of send time.
    pub requests: Vec<PlannedRequest>,
}

impl RequestPlan {
    /// Plans requests with evenly spaced send times, rounded down to a nanosecond, and customers drawn from the seed.
    pub fn new(per_second: u64, requests: u64, connections: usize, seed: u64) -> RequestPlan {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let planned = |number: u64| PlannedRequest {
            send_time: send_time(number, per_second),
            connection: number as usize % connections,
            id: format!("{number:08x}"),
            customer: random.random_range(0..CUSTOMERS),
        };
        RequestPlan {
            requests: (0..requests).map(planned).collect(),
        }
    }

    /// Send time of the last request; zero if there are no requests.
    pub fn last_send_time(&self) -> Duration {
        self.requests
            .last()
            .map(|request| request.send_time)
            .unwrap_or_default()
    }

    /// The requests of one connection, in order of send time.
    pub fn on_connection(&self, connection: usize) -> impl Iterator<Item = &PlannedRequest> {
        self.requests
            .iter()
            .filter(move |request| request.connection == connection)
    }
}

/// Send time of a request. Computed from the request's number, so that rounding errors do not accumulate.
fn send_time(number: u64, per_second: u64) -> Duration {
    let nanoseconds = u128::from(number) * NANOSECONDS_PER_SECOND / u128::from(per_second);
    Duration::from_nanos(nanoseconds as u64)
}
