//! How many processes this one holds anything of, by the number of limiters that the settings name. No list of members is
//! bounded by a constant that a larger fleet would outgrow; what bounds them guards the memory against a faulty process
//! that holds a key.

/// Records are remembered for an hour after their owner's last beat: a fleet that was replaced once in that time, at
/// other addresses, is held twice.
const OWNERS_PER_LIMITER: usize = 2;
/// Owners held whatever the settings name, so that a fleet may outgrow its settings for a while.
const LEAST_OWNERS: usize = 2048;
/// Signatures' numbers are remembered for five minutes after a sender's last datagram, also of senders whose records
/// are not held.
const SENDERS_PER_OWNER: usize = 2;

/// The bounds of this process's lists of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Processes of which records are held.
    pub owners: usize,
    /// Senders whose datagrams are told from repeats.
    pub senders: usize,
    /// Addresses taken for dead that are called again.
    pub dead: usize,
}

impl Capacity {
    /// Room for a fleet of so many limiters.
    pub fn for_limiters(limiters: usize) -> Capacity {
        let owners = limiters
            .saturating_mul(OWNERS_PER_LIMITER)
            .max(LEAST_OWNERS);
        Capacity {
            owners,
            senders: owners.saturating_mul(SENDERS_PER_OWNER),
            dead: owners,
        }
    }
}

#[cfg(test)]
mod tests;
