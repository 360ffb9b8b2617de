//! Errors of the latency measurement.

use crate::ReadError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// An error of a latency measurement. The first request without the expected response ends the measurement.
#[derive(Debug, Error)]
pub enum LatencyError {
    /// The listening socket of the servers could not be opened.
    #[error("loopback servers cannot open a listening socket: {0}")]
    Listen(#[source] io::Error),
    /// A client connection could not be established.
    #[error("client cannot connect to {address}: {source}; check the limit of open descriptors")]
    Connect {
        /// Address of the server or limiter.
        address: SocketAddr,
        /// Error of the socket.
        source: io::Error,
    },
    /// A request could not be written.
    #[error("cannot write request {id}: {source}")]
    Send {
        /// Id of the request, sent as `X-Txn`.
        id: String,
        /// Error of the socket.
        source: io::Error,
    },
    /// A response is truncated or malformed, or did not arrive before the read timeout.
    #[error("cannot read the response to request {id}: {source}")]
    Receive {
        /// Id of the request, sent as `X-Txn`.
        id: String,
        /// Why no complete response was read.
        source: ReadError,
    },
    /// The limiter or server closed the connection before it responded.
    #[error("expected a response to request {id}, but the connection was closed")]
    ConnectionClosed {
        /// Id of the request, sent as `X-Txn`.
        id: String,
    },
    /// A response has a status other than 200.
    #[error("expected status 200 in the response to request {id}, found {status}")]
    Status {
        /// Id of the request, sent as `X-Txn`.
        id: String,
        /// Status code of the response.
        status: u16,
    },
    /// A response does not carry the id of the outstanding request.
    #[error("expected X-Txn {id} in the response, found {other}")]
    MismatchedResponse {
        /// Id of the request, sent as `X-Txn`.
        id: String,
        /// `X-Txn` of the response; `none` if it has no such header.
        other: String,
    },
    /// Bytes followed a response although no request was outstanding.
    #[error("unsolicited bytes arrived after the response to request {id}")]
    Unsolicited {
        /// Id of the request, sent as `X-Txn`.
        id: String,
    },
    /// The thread of a client connection panicked.
    #[error("the thread of a client connection panicked")]
    ClientPanicked,
    /// The histogram can't be created or does not accept a latency.
    #[error("cannot create the latency histogram or record a latency in it: {0}")]
    Histogram(String),
}
