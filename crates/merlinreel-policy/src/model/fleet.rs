//! The limiters that share the quotas, and what they share them with.

/// The limiters that share the quotas, and this limiter's place among them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetConfig {
    /// Number of limiters.
    pub limiters: u32,
    /// Index of this limiter, below `limiters`.
    pub own_index: u32,
    /// Limiters may send messages to each other.
    pub peer_messages: bool,
    /// Peer messages per second that a limiter reads.
    pub peer_inbox_rate: f64,
    /// A counter service is configured.
    pub counter: bool,
    /// The units of a request are corrected by the response.
    pub settles_units: bool,
    /// The most units that one request counts.
    pub max_units: f64,
}
