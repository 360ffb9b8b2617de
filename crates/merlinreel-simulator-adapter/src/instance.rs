//! An instance of the limiter, with its name tables and pending events.

use crate::actions::ActionEncoder;
use crate::name_table::NameTable;
use crate::request_table::RequestTable;
use merlinreel_policy::{EventBatch, Limiter, ServerIndex};
use std::time::Duration;

/// A limiter, the names of its endpoints and requests on the wire, and the events since its last batch.
pub struct Instance {
    /// Decides on the events of each batch; keeps its state between batches.
    pub limiter: Limiter,
    /// Names of the endpoints that the limiter has not released.
    pub servers: NameTable<ServerIndex>,
    /// Names and states of the requests in flight.
    pub requests: RequestTable,
    /// Events of the current batch.
    pub batch: EventBatch,
    /// Whether the current batch has an event for the instance, even a malformed one, or started it. Only then does the reply
    /// include the instance.
    pub is_addressed: bool,
}

impl Instance {
    /// An instance that has just started.
    pub fn new(limiter: Limiter) -> Instance {
        Instance {
            limiter,
            servers: NameTable::default(),
            requests: RequestTable::default(),
            batch: EventBatch::default(),
            is_addressed: true,
        }
    }

    /// Runs the limiter on the batch, appends its actions to `output` and starts an empty batch.
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
