//! A token bucket of the bytes that a process may send. What exceeds it is not sent; every message of the mesh is
//! repeated by later rounds of the protocol.

use std::time::Duration;

/// Share of the bucket that only membership messages may use.
const RESERVED_FOR_MEMBERSHIP: f64 = 0.1;
/// Share of the bucket that routine messages must leave.
const RESERVED_FROM_ROUTINE: f64 = 0.3;

/// Which part of the bucket a message may use: each priority leaves a reserve to those above it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Membership messages, without which every member would be declared dead.
    Membership,
    /// Urgent records.
    Urgent,
    /// Digests, requests and routine records.
    Routine,
}

/// A token bucket of bytes.
#[derive(Debug)]
pub struct SendBudget {
    bytes_per_second: f64,
    capacity_bytes: f64,
    available_bytes: f64,
    refilled_at: Duration,
}

impl SendBudget {
    /// A full bucket that refills by `bytes_per_second` up to `capacity_bytes`.
    pub fn new(bytes_per_second: u32, capacity_bytes: u32, now: Duration) -> SendBudget {
        SendBudget {
            bytes_per_second: bytes_per_second.into(),
            capacity_bytes: capacity_bytes.into(),
            available_bytes: capacity_bytes.into(),
            refilled_at: now,
        }
    }

    /// Whether that many bytes may be sent now; if so they are taken from the bucket.
    pub fn try_take(&mut self, bytes: usize, priority: Priority, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.available_bytes =
            (self.available_bytes + self.bytes_per_second * elapsed).min(self.capacity_bytes);
        self.refilled_at = self.refilled_at.max(now);
        let reserved = match priority {
            Priority::Membership => 0.0,
            Priority::Urgent => self.capacity_bytes * RESERVED_FOR_MEMBERSHIP,
            Priority::Routine => self.capacity_bytes * RESERVED_FROM_ROUTINE,
        };
        let fits = self.available_bytes - bytes as f64 >= reserved;
        if fits {
            self.available_bytes -= bytes as f64;
        }
        fits
    }
}

#[cfg(test)]
mod tests;
