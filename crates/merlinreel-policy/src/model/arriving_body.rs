//! The body of a response that is still arriving: its length, as far as known, and its progress.

use super::index::RequestIndex;
use std::time::Duration;

/// How long a body will be, as far as that is known before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The announced length fits into the buffer.
    Short,
    /// No length is announced, and so little has arrived that the body may be of any length.
    Undetermined,
    /// No length is announced, and more has arrived than ordinary bodies have.
    ProbablyLong,
    /// The announced length does not fit into the buffer, or more has arrived than the buffer holds.
    Long,
}

/// The part of a successful response's body that has arrived. All times are counted from the start of its attempt.
#[derive(Clone, Copy, Debug)]
pub struct ArrivingBody {
    /// Announced length in bytes; `None` if its end is marked by chunks or by the end of the connection.
    pub announced_bytes: Option<u64>,
    /// Number of bytes that have arrived; at least one.
    pub received_bytes: u64,
    /// When the first bytes arrived.
    pub first_bytes_at: Duration,
    /// How long before the attempt's start the first bytes of a response to an earlier attempt of the same request arrived;
    /// `None` if there was no such response.
    pub earlier_response_age: Option<Duration>,
}

/// Reports that more of the body of a successful response has arrived, which is not complete yet.
#[derive(Clone, Copy, Debug)]
pub struct ResponseProgress {
    /// Index of the request.
    pub request: RequestIndex,
    /// Number of the attempt among the request's attempts, from 0.
    pub attempt: u32,
    /// How long the body will be; never [`BodyLength::Short`].
    pub length: BodyLength,
}
