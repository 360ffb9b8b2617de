//! Output: the decisions, passed to a trait that the caller implements.

use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::reject_reason::RejectReason;
use std::time::Duration;

/// Receives the decisions of a batch, in the order in which they must be carried out.
pub trait Actions {
    /// Starts an attempt of the request at the server. If `within` is given, the attempt must reach the server within
    /// that time or not be made at all.
    fn start_attempt(
        &mut self,
        request: RequestIndex,
        server: ServerIndex,
        within: Option<Duration>,
    );
    /// Rejects the request. The client may retry it, after `retry_after` if that is given.
    fn reject(
        &mut self,
        request: RequestIndex,
        reason: RejectReason,
        retry_after: Option<Duration>,
    );
    /// Fails the request. It may have run, so the client must not retry as if it had not.
    fn fail(&mut self, request: RequestIndex);
    /// Cancels an attempt of the request, given by its number among the request's attempts, from 0.
    fn cancel_attempt(&mut self, request: RequestIndex, attempt: u32);
    /// Starts a health check of the server.
    fn start_health_check(&mut self, server: ServerIndex);
    /// Sends an encoded message to another limiter, given by its index.
    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]);
    /// Adds units to the counter service's counter of the customer's window, which the service keeps for `lifetime`.
    fn increment_counter(&mut self, customer: u64, window: u64, amount: f64, lifetime: Duration);
    /// Subscribes to the endpoint list and its changes, or ends the subscription.
    fn set_endpoint_subscription(&mut self, subscribed: bool);
    /// Requests the endpoint list once, without its changes.
    fn poll_endpoints(&mut self);
    /// Closes the idle connections to the server.
    fn close_idle_connections(&mut self, server: ServerIndex);
    /// Releases the index of a server that the limiter has dropped: it may be reused for another server from now on.
    fn release_endpoint(&mut self, server: ServerIndex);
    /// Schedules the next call of [`crate::Limiter::process`] after this time, even if there are no events.
    fn schedule_wakeup(&mut self, after: Duration);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
}
