//! Bounds on the number of processes that a process remembers, derived from the number of limiters in the settings.
//! Every list of members is bounded in this way: a fixed constant would limit the size of a fleet, and without a bound
//! a faulty process that holds a key could exhaust the memory.

/// Owners are remembered for an hour after their last heartbeat: if all processes of a fleet are replaced once within
/// that time, at other addresses, each limiter counts twice.
const OWNERS_PER_LIMITER: usize = 2;
/// Lower bound whatever the settings say, so that a fleet can exceed the number in its settings for a while.
const MIN_OWNERS: usize = 2048;
/// Senders are remembered for five minutes after their last datagram, whether or not their records are held.
const SENDERS_PER_OWNER: usize = 2;

/// Maximum lengths of this process's lists of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Processes whose records are held, this process included.
    pub owners: usize,
    /// Senders whose sequence numbers are remembered to detect replays.
    pub senders: usize,
    /// Addresses of departed members that are probed again.
    pub departed: usize,
}

impl Capacity {
    /// Capacity for a fleet of `limiters` limiters; 0 gives the minimum capacity.
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
