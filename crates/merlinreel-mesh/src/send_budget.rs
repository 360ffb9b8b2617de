//! A token bucket that limits the bytes a process sends. A message that exceeds it is not sent; later rounds of the
//! protocol repeat every message of the mesh.

use std::time::Duration;

/// Fraction of the bucket that only membership messages may use.
const RESERVED_FOR_MEMBERSHIP_FRACTION: f64 = 0.1;
/// Fraction of the bucket that routine messages may not use, the reserve of membership messages included.
const RESERVED_FROM_ROUTINE_FRACTION: f64 = 0.3;

/// Priority of a message. A lower priority must leave a reserve in the bucket to the higher ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Membership messages, without which every member would be declared dead.
    Membership,
    /// Urgent records.
    Urgent,
    /// Digests, requests and routine records.
    Routine,
}

/// A token bucket of bytes. Times are the node's monotonic time.
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

    /// Returns whether `bytes` may be sent now, and takes them from the bucket if so.
    pub fn try_take(&mut self, bytes: usize, priority: Priority, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.available_bytes =
            (self.available_bytes + self.bytes_per_second * elapsed).min(self.capacity_bytes);
        self.refilled_at = self.refilled_at.max(now);
        let reserved = match priority {
            Priority::Membership => 0.0,
            Priority::Urgent => self.capacity_bytes * RESERVED_FOR_MEMBERSHIP_FRACTION,
            Priority::Routine => self.capacity_bytes * RESERVED_FROM_ROUTINE_FRACTION,
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
