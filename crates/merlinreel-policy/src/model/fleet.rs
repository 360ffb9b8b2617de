//! The limiters that share the quotas, and the means by which they report usage to each other.

/// The limiters that share the quotas, this limiter's index among them, and how they exchange usage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetConfig {
    /// Number of limiters, this one included.
    pub limiters: u32,
    /// Index of this limiter, below `limiters`.
    pub own_index: u32,
    /// Limiters may send messages to each other.
    pub peer_messages: bool,
    /// Maximum number of peer messages per second that a limiter reads.
    pub peer_inbox_rate: f64,
    /// A counter service is configured.
    pub counter: bool,
    /// The units charged for a request are replaced by those that the response reports.
    pub settles_units: bool,
    /// Maximum number of units of one request.
    pub max_units: f64,
}
