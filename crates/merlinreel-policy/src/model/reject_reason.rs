//! Reasons for rejections, as counted in the operators' metrics.

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The customer's quota, its ceiling or its number of requests in progress is used up.
    Quota,
    /// The limiter has as many accounts as its memory allows, and none for this customer.
    TooManyCustomers,
    /// The request was a client's retry that arrived too late to be worth serving.
    LateArrival,
    /// No server could take the request early enough for a response in time.
    NoServerInTime,
    /// All attempts ended without a final response, and no other attempt is possible.
    AttemptsFailed,
}
