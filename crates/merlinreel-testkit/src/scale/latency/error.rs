//! Why a latency measurement failed.

use crate::ReadError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a latency measurement failed: one request that is not answered as expected ends it.
#[derive(Debug, Error)]
pub enum LatencyError {
    /// The servers have no listener.
    #[error("the servers cannot listen: {0}")]
    Listen(#[source] io::Error),
    /// A client's connection was not established.
    #[error("no connection to {address}: {source}; check the limit of open descriptors")]
    Connect {
        /// Where the client connected to.
        address: SocketAddr,
        /// Why it failed.
        source: io::Error,
    },
    /// A request could not be written.
    #[error("request {id} was not sent: {source}")]
    Send {
        /// The request.
        id: String,
        /// Why it failed.
        source: io::Error,
    },
    /// A response is incomplete, malformed or late.
    #[error("request {id} has no complete response: {source}")]
    Receive {
        /// The request.
        id: String,
        /// Why it failed.
        source: ReadError,
    },
    /// The connection ended before a response.
    #[error("the connection ended before the response to request {id}")]
    Ended {
        /// The request.
        id: String,
    },
    /// A response has another status than 200.
    #[error("request {id} was answered {status}, 200 was expected")]
    Status {
        /// The request.
        id: String,
        /// The status code of its response.
        status: u16,
    },
    /// A response belongs to another request.
    #[error("request {id} got the response to {other}")]
    OtherResponse {
        /// The request.
        id: String,
        /// The request that the response names.
        other: String,
    },
    /// Bytes arrived after a response.
    #[error("unsolicited bytes arrived after the response to request {id}")]
    Unsolicited {
        /// The request.
        id: String,
    },
    /// A client's thread panicked.
    #[error("a client's thread panicked")]
    Panicked,
    /// The histogram can't be created or does not accept a value.
    #[error("the histogram does not accept a value: {0}")]
    Histogram(String),
}
