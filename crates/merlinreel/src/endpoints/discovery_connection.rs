//! A connection to the discovery agent, and one call on it.

use super::open_calls::Progress;
use crate::net::late_deadline::timeout_caught_up;
use crate::net::observed_stream::{ObservedStream, Unobserved};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use merlinreel_discovery::{DiscoveryUpdate, MessageError, decode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Why a call to discovery brought no list.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection did not come up in time.
    #[error("no connection within {0:?}; see whether the agent on this machine runs")]
    NoConnection(Duration),
    /// The connection was refused, or failed in another way.
    #[error("{0}; see whether the agent on this machine runs")]
    Connection(#[from] std::io::Error),
    /// The response did not arrive in time.
    #[error("no answer within {0:?}; the agent is silent, or its discovery is down")]
    NoAnswer(Duration),
    /// The connection broke.
    #[error("{0}; the connection to the agent broke")]
    Broken(#[from] hyper::Error),
    /// The status is not 200.
    #[error("discovery answers {0}; see its own log")]
    Status(StatusCode),
    /// The list takes more memory than there is for it.
    #[error(
        "a list of more than {max_bytes} bytes, which is its share of limits.memory_mb; give the limiter more memory"
    )]
    TooLong {
        /// Bytes that a list may have.
        max_bytes: usize,
    },
    /// The list is malformed.
    #[error("{0}")]
    Message(#[from] MessageError),
    /// The request could not be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
}

/// A connection to the discovery agent; its task ends with it.
pub struct DiscoveryConnection {
    address: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for DiscoveryConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl DiscoveryConnection {
    /// Connects within this time.
    ///
    /// # Errors
    ///
    /// The agent does not accept the connection, or not in time.
    pub async fn open(
        address: SocketAddr,
        within: Duration,
    ) -> Result<DiscoveryConnection, DiscoveryError> {
        let stream = timeout_caught_up(within, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| DiscoveryError::NoConnection(within))??;
        let _ = stream.set_nodelay(true);
        let io = TokioIo::new(ObservedStream::new(stream, Arc::new(Unobserved)));
        let (sender, connection) = handshake(io).await?;
        let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(DiscoveryConnection {
            address,
            sender,
            task,
        })
    }

    /// Fetches the list at `path`, of `max_bytes` at most.
    ///
    /// # Errors
    ///
    /// The connection broke, or the response is no list.
    pub async fn fetch(
        &mut self,
        path: String,
        max_bytes: usize,
        progress: &Progress,
    ) -> Result<DiscoveryUpdate, DiscoveryError> {
        let request = Request::get(path)
            .header(HOST, self.address.to_string())
            .body(Empty::new())?;
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(response.status()));
        }
        let bytes = read_body(response.into_body(), max_bytes, progress).await?;
        Ok(decode(&bytes)?)
    }
}

/// All bytes of a list; one that is announced as too long is not read.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    progress: &Progress,
) -> Result<Vec<u8>, DiscoveryError> {
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Err(DiscoveryError::TooLong { max_bytes });
    }
    // Of the announced size from the start: a buffer that grows would hold a long list twice while it is copied.
    let mut bytes = Vec::with_capacity(usize::try_from(announced).unwrap_or(0));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            return Err(DiscoveryError::TooLong { max_bytes });
        }
        bytes.extend_from_slice(&data);
        progress.record(bytes.len());
    }
    Ok(bytes)
}
