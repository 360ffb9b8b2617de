//! Bounds on the number of other processes held, derived from the number of limiters in the settings. Every list of
//! members is bounded in this way: a fixed constant would limit the size of a fleet, and no bound at all would let a
//! faulty process that holds a key fill the memory.

/// Records are kept for an hour after their owner's last heartbeat: a fleet that is replaced once in that time, at
/// other addresses, is held twice.
const OWNERS_PER_LIMITER: usize = 2;
/// Owners held whatever the settings say, so that a fleet may outgrow its settings for a while.
const MIN_OWNERS: usize = 2048;
/// Sequence numbers are remembered for five minutes after a sender's last datagram, including those of senders whose
/// records are not held.
const SENDERS_PER_OWNER: usize = 2;

/// The bounds of this process's lists of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Processes whose records are held.
    pub owners: usize,
    /// Senders whose sequence numbers are remembered to detect replays.
    pub senders: usize,
    /// Addresses of departed members that are probed again.
    pub departed: usize,
}

impl Capacity {
    /// Capacity for a fleet of that many limiters.
    pub fn for_limiters(limiters: usize) -> Capacity {
        let owners = limiters.saturating_mul(OWNERS_PER_LIMITER).max(MIN_OWNERS);
        Capacity {
            owners,
            senders: owners.saturating_mul(SENDERS_PER_OWNER),
            departed: owners,
        }
    }
}

#[cfg(test)]
mod tests;
