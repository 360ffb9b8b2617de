//! Why a request is rejected, for the operators' metrics.

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The customer's quota, its ceiling or its number of requests in progress is used up.
    Quota,
    /// Its client had too little time left as it arrived.
    LateArrival,
    /// No server could take it while a response would have been in time.
    NoServerInTime,
    /// Its attempts brought no response, and no further one is possible.
    AttemptsFailed,
}
