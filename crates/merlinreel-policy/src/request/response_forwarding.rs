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
/// Longest time for which the beginning of a response is held back that is probably long: long enough to see whether its
/// server stalls.
const MAX_UNCERTAIN_HOLD: Duration = Duration::from_millis(1500);
/// How long before the attempt's deadline the beginning of a long response is forwarded at the latest. A limiter that is
/// busy still gets it to the client in time.
const START_MARGIN: Duration = Duration::from_millis(50);
/// A body of unknown length is probably long once this fraction of the buffer has arrived; ordinary bodies are smaller.
const PROBABLY_LONG_BUFFER_FRACTION: u64 = 8;
/// Longest pause within a body that is probably long; after a longer one its server counts as stalled.
pub const MAX_BODY_PAUSE: Duration = Duration::from_secs(1);

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
    pub fn forwarding(&self, now: Duration, deadline: Duration, buffer_bytes: u64) -> Forwarding {
        let hold_until = self.hold_until(deadline, buffer_bytes);
        if self.received_bytes > buffer_bytes {
            Forwarding::Start
        } else if now < hold_until {
            Forwarding::WaitUntil(hold_until)
        } else if self.may_start(now, buffer_bytes) {
            Forwarding::Start
        } else if now < deadline {
            Forwarding::WaitUntil(deadline)
        } else {
            Forwarding::Abandon
        }
    }

    /// Until when the beginning of the body is held back, in case it breaks off and another attempt can be made.
    fn hold_until(&self, deadline: Duration, buffer_bytes: u64) -> Duration {
        let max_hold = match self.length(buffer_bytes) {
            BodyLength::Long => MAX_HOLD,
            BodyLength::ProbablyLong => MAX_UNCERTAIN_HOLD,
            BodyLength::Undetermined | BodyLength::Short => return deadline,
        };
        deadline
            .saturating_sub(START_MARGIN)
            .min(self.first_bytes_at + max_hold)
    }

    /// Whether the beginning of the body may be forwarded. The beginning of a body that is only probably long is not,
    /// once its server has stalled: the body may be a short one that has broken off.
    fn may_start(&self, now: Duration, buffer_bytes: u64) -> bool {
        match self.length(buffer_bytes) {
            BodyLength::Long => true,
            BodyLength::ProbablyLong => now < self.last_bytes_at + MAX_BODY_PAUSE,
            BodyLength::Undetermined | BodyLength::Short => false,
        }
    }
}
