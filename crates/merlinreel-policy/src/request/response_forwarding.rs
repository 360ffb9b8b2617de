//! Decides when a response that is still arriving is forwarded to its client.
//!
//! A short response is forwarded once it is complete, so that no client receives the beginning of one that breaks off
//! and another attempt can still be made. Of a long response only the first bytes have to be in time: its beginning is
//! held back for a while for the same reason, and then forwarded while the rest is arriving.

use crate::model::arriving_body::{ArrivingBody, BodyLength};
use std::time::Duration;

/// Longest time for which the beginning of a long response is held back. Clients may have to wait for bytes that have
/// arrived for less than 2 s.
const MAX_HOLD: Duration = Duration::from_secs(1);
/// Longest time for which the beginning of a response is held back that is probably long. An attempt whose response is
/// cancelled as overdue, because the response may be short, is cancelled before that.
const MAX_UNCERTAIN_HOLD: Duration = Duration::from_millis(1750);
/// How long before the attempt's deadline the beginning of a long response is forwarded at the latest. A limiter that is
/// busy still gets it to the client in time.
const START_MARGIN: Duration = Duration::from_millis(50);
/// A body of unknown length is probably long once this fraction of the buffer has arrived; ordinary bodies are smaller.
const PROBABLY_LONG_BUFFER_FRACTION: u64 = 8;

/// The decision on a response that is not complete yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarding {
    /// Wait until this time or until more of it arrives, whichever is first, and decide again.
    WaitUntil(Duration),
    /// Forward what has arrived, and the rest as it arrives.
    Start,
    /// Abandon the attempt: its deadline has passed.
    Abandon,
}

impl ArrivingBody {
    /// How long the body will be, given the size of the buffer in bytes.
    pub fn length(&self, buffer_bytes: u64) -> BodyLength {
        let known_bytes = self
            .received_bytes
            .max(self.announced_bytes.unwrap_or_default());
        match self.announced_bytes {
            _ if known_bytes > buffer_bytes => BodyLength::Long,
            Some(_) => BodyLength::Short,
            None if self.received_bytes >= buffer_bytes / PROBABLY_LONG_BUFFER_FRACTION => {
                BodyLength::ProbablyLong
            }
            None => BodyLength::Undetermined,
        }
    }

    /// Decides whether to forward the body before it is complete. `deadline` is the attempt's.
    ///
    /// A body that is probably long is forwarded in time however long its server pauses: what the server still gives must
    /// not be cut off, and a client can tell if the rest does not follow.
    pub fn forwarding(&self, now: Duration, deadline: Duration, buffer_bytes: u64) -> Forwarding {
        match self.start_at(deadline, buffer_bytes) {
            _ if self.received_bytes > buffer_bytes => Forwarding::Start,
            Some(start_at) if now < start_at => Forwarding::WaitUntil(start_at),
            Some(_) => Forwarding::Start,
            None if now < deadline => Forwarding::WaitUntil(deadline),
            None => Forwarding::Abandon,
        }
    }

    /// When the beginning of the body is forwarded; until then it is held back, in case it breaks off and another attempt
    /// can be made. `None` if the body counts as short: it is forwarded only once it is complete.
    fn start_at(&self, deadline: Duration, buffer_bytes: u64) -> Option<Duration> {
        let max_hold = match self.length(buffer_bytes) {
            BodyLength::Long => MAX_HOLD,
            BodyLength::ProbablyLong => MAX_UNCERTAIN_HOLD,
            // Two responses in a row that take so long are long rather than broken off.
            BodyLength::Undetermined if self.earlier_response_age.is_some() => MAX_UNCERTAIN_HOLD,
            BodyLength::Undetermined | BodyLength::Short => return None,
        };
        let held_until = self.first_bytes_at + max_hold;
        let latest = deadline.saturating_sub(START_MARGIN).min(held_until);
        let start_at = match self.earlier_response_age {
            // The client has been waiting for bytes since those of the cancelled attempt arrived.
            Some(age) => latest.min(MAX_UNCERTAIN_HOLD.saturating_sub(age)),
            None => latest,
        };
        Some(start_at)
    }
}
