//! Why a latency measurement did not end.

use crate::ReadError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// A measurement with one request that failed tells nothing of the others: it ends.
#[derive(Debug, Error)]
pub enum LatencyError {
    #[error("the servers cannot listen: {0}")]
    Listen(#[source] io::Error),
    #[error("no connection to {address}: {source}; see that descriptors are enough")]
    Connect {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("request {txn} was not sent: {source}")]
    Send { txn: String, source: io::Error },
    #[error("request {txn} has no whole answer: {source}")]
    Receive { txn: String, source: ReadError },
    #[error("the connection ended before the answer to request {txn}")]
    Ended { txn: String },
    #[error("request {txn} was answered {status}, 200 was expected")]
    Status { txn: String, status: u16 },
    #[error("request {txn} got the answer to {got}")]
    OtherAnswer { txn: String, got: String },
    #[error("more came than was asked for, after the answer to request {txn}")]
    Unasked { txn: String },
    #[error("a client's thread panicked")]
    Panicked,
    #[error("the histogram does not take a value: {0}")]
    Histogram(String),
}
