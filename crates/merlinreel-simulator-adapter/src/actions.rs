//! Writes a limiter's actions as lines of the reply.

use crate::encoding::{CounterKey, encode_counter_name, encode_hex};
use crate::name_table::NameTable;
use crate::protocol::{WAKEUP_TIMER, action};
use crate::request_table::RequestTable;
use merlinreel_policy::{Actions, RejectReason, RequestIndex, ServerIndex};
use std::fmt::Arguments;
use std::fmt::Write as _;
use std::time::Duration;

/// Receives the limiter's actions and appends their lines to the reply, in the order in which they are decided.
pub struct ActionEncoder<'a> {
    /// The reply to the batch.
    pub output: &'a mut String,
    /// Names of the instance's endpoints.
    pub servers: &'a NameTable<ServerIndex>,
    /// The instance's requests; attempts that start and final responses are recorded here.
    pub requests: &'a mut RequestTable,
    /// Endpoints that the limiter released; their indices are freed after the batch.
    pub released_servers: &'a mut Vec<ServerIndex>,
}

impl ActionEncoder<'_> {
    fn write_line(&mut self, text: Arguments) {
        // Writing to a string cannot fail.
        let _ = self.output.write_fmt(text);
        self.output.push('\n');
    }
}

impl Actions for ActionEncoder<'_> {
    /// The last value of the line is a delay in seconds. It is always 0: the simulator starts the attempt at once, never later
    /// than `within`.
    fn start_attempt(
        &mut self,
        request: RequestIndex,
        server: ServerIndex,
        _within: Option<Duration>,
    ) {
        let _ = writeln!(
            self.output,
            "{} {} {} 0.000000",
            action::START_ATTEMPT,
            self.requests.name(request),
            self.servers.name(server)
        );
        self.requests.start_attempt(request);
    }

    fn reject(&mut self, request: RequestIndex, _: RejectReason, retry_after: Option<Duration>) {
        let seconds = retry_after.unwrap_or_default().as_secs_f64();
        let _ = writeln!(
            self.output,
            "{} {} {seconds:.6}",
            action::REJECT,
            self.requests.name(request)
        );
        self.requests.complete(request);
    }

    fn fail(&mut self, request: RequestIndex) {
        let _ = writeln!(
            self.output,
            "{} {}",
            action::FAIL,
            self.requests.name(request)
        );
        self.requests.complete(request);
    }

    fn cancel_attempt(&mut self, request: RequestIndex, attempt: u32) {
        let _ = writeln!(
            self.output,
            "{} {} {attempt}",
            action::CANCEL_ATTEMPT,
            self.requests.name(request)
        );
    }

    fn start_health_check(&mut self, server: ServerIndex) {
        let name = self.servers.name(server);
        self.write_line(format_args!("{} {name}", action::START_HEALTH_CHECK));
    }

    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]) {
        let content = encode_hex(peer_message);
        self.write_line(format_args!(
            "{} {limiter} {content}",
            action::SEND_PEER_MESSAGE
        ));
    }

    fn increment_counter(&mut self, customer: u64, window: u64, amount: f64, keep: Duration) {
        let name = encode_counter_name(CounterKey { customer, window });
        self.write_line(format_args!(
            "{} {:.6} {amount} {name}",
            action::INCREMENT_COUNTER,
            keep.as_secs_f64()
        ));
    }

    fn set_endpoint_subscription(&mut self, on: bool) {
        self.write_line(format_args!(
            "{} {}",
            action::SET_ENDPOINT_SUBSCRIPTION,
            u8::from(on)
        ));
    }

    fn poll_endpoints(&mut self) {
        self.write_line(format_args!("{}", action::POLL_ENDPOINTS));
    }

    fn close_idle_connections(&mut self, server: ServerIndex) {
        let name = self.servers.name(server);
        self.write_line(format_args!("{} {name}", action::CLOSE_IDLE_CONNECTIONS));
    }

    fn release_endpoint(&mut self, server: ServerIndex) {
        self.released_servers.push(server);
    }

    fn schedule_wakeup(&mut self, after: Duration) {
        self.write_line(format_args!(
            "{} {WAKEUP_TIMER} {:.6}",
            action::SCHEDULE_WAKEUP,
            after.as_secs_f64()
        ));
    }

    fn log(&mut self, text: &str) {
        let text = text.replace('\n', " ");
        self.write_line(format_args!("{} {text}", action::LOG));
    }
}

#[cfg(test)]
mod tests;
