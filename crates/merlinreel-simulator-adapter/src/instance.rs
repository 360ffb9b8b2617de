//! One limiter with what belongs to it.

use crate::actions::ActionEncoder;
use crate::name_table::NameTable;
use crate::request_table::RequestTable;
use merlinreel_policy::{EventBatch, Limiter, ServerIndex};
use std::time::Duration;

/// A limiter, the names of its endpoints and requests on the wire, and the events since its last batch.
pub struct Instance {
    /// The limiter.
    pub limiter: Limiter,
    /// The endpoints it knows.
    pub servers: NameTable<ServerIndex>,
    /// Its requests in flight.
    pub requests: RequestTable,
    /// Events of the present batch.
    pub batch: EventBatch,
    /// Whether the present batch has a message for it. Only then the reply names it.
    pub is_addressed: bool,
}

impl Instance {
    /// A limiter that has just started.
    pub fn new(limiter: Limiter) -> Instance {
        Instance {
            limiter,
            servers: NameTable::default(),
            requests: RequestTable::default(),
            batch: EventBatch::default(),
            is_addressed: true,
        }
    }

    /// Runs the limiter on the batch and writes its actions to `output`.
    pub fn run_batch(&mut self, now: Duration, output: &mut String) {
        let batch = std::mem::take(&mut self.batch);
        let mut released_servers = Vec::new();
        let mut actions = ActionEncoder {
            output,
            servers: &self.servers,
            requests: &mut self.requests,
            released_servers: &mut released_servers,
        };
        self.limiter.process(now, &batch, &mut actions);
        for server in released_servers {
            self.servers.remove(server);
        }
        self.requests.free_unused();
    }
}
