//! What is known of the body of a response while it is still arriving.

use super::index::RequestIndex;
use std::time::Duration;

/// How long a body will be, as far as that is known before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// It fits into the buffer: its announced length is small enough.
    Short,
    /// Its length is not announced, and so little of it has arrived that it may be of any length.
    Undetermined,
    /// Its length is not announced, and more of it has arrived than ordinary bodies have.
    ProbablyLong,
    /// It does not fit into the buffer: its announced length is too large, or too much of it has arrived.
    Long,
}

/// The part of a successful response's body that has arrived. All times are on the same clock.
#[derive(Clone, Copy, Debug)]
pub struct ArrivingBody {
    /// Its announced length in bytes; `None` if its end is marked by chunks or by the end of the connection.
    pub announced_bytes: Option<u64>,
    /// Number of bytes that have arrived; at least one.
    pub received_bytes: u64,
    /// When the first bytes arrived.
    pub first_bytes_at: Duration,
    /// When the latest bytes arrived.
    pub last_bytes_at: Duration,
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
