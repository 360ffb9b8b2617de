//! What goes out: the decisions, through a trait that the caller implements.

use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::reject_reason::RejectReason;
use std::time::Duration;

/// Receives the decisions of a batch, in the order in which they are to be carried out.
pub trait Actions {
    /// Starts an attempt of the request at the server. With `within`, the attempt must reach the server in that time, or
    /// else must not be made.
    fn start_attempt(
        &mut self,
        request: RequestIndex,
        server: ServerIndex,
        within: Option<Duration>,
    );
    /// Rejects the request for that reason; the client may retry, after the given time where there is one.
    fn reject(
        &mut self,
        request: RequestIndex,
        reason: RejectReason,
        retry_after: Option<Duration>,
    );
    /// Fails the request; the client must not retry as if it never ran.
    fn fail(&mut self, request: RequestIndex);
    /// Cancels the attempt with this number among the request's attempts.
    fn cancel_attempt(&mut self, request: RequestIndex, attempt: u32);
    /// Checks the health of a server.
    fn start_health_check(&mut self, server: ServerIndex);
    /// Sends a message to another limiter.
    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]);
    /// Adds to the counter of the customer's window, which the service keeps for `keep`.
    fn increment_counter(&mut self, customer: u64, window: u64, amount: f64, keep: Duration);
    /// Asks for the endpoint list and its changes, or no longer does.
    fn set_endpoint_subscription(&mut self, on: bool);
    /// Asks for the endpoint list once.
    fn poll_endpoints(&mut self);
    /// Closes the idle connections to a server.
    fn close_idle_connections(&mut self, server: ServerIndex);
    /// Nothing is kept of this server any more: its index may be given to another one from now on.
    fn release_endpoint(&mut self, server: ServerIndex);
    /// Calls [`crate::Limiter::process`] again after this time, even if nothing came in.
    fn schedule_wakeup(&mut self, after: Duration);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
}
