//! A connection to the discovery agent, and the calls made on it.

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

/// Why a call to discovery failed.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection was not established within this time.
    #[error(
        "no connection to the agent within {0:?}; check that the agent on this machine is running"
    )]
    NoConnection(Duration),
    /// Connecting failed, for example because the connection was refused.
    #[error("connecting to the agent failed: {0}; check that the agent on this machine is running")]
    Connection(#[from] std::io::Error),
    /// No open call had a response within this time.
    #[error(
        "no response from the agent within {0:?}; check that the agent is responsive and that its discovery service is up"
    )]
    NoResponse(Duration),
    /// The connection failed before the response was complete.
    #[error("connection to the agent failed: {0}")]
    Broken(#[from] hyper::Error),
    /// The status is not 200.
    #[error("expected status 200 from the agent, received {0}; see the agent's log")]
    Status(StatusCode),
    /// The list is longer than the memory set aside for it.
    #[error(
        "endpoint list exceeds {max_bytes} bytes, its share of limits.memory_mb; give the limiter more memory"
    )]
    TooLong {
        /// Maximum length of a list, in bytes.
        max_bytes: usize,
    },
    /// The list is malformed; the text names the first fault.
    #[error("malformed endpoint list: {0}")]
    Message(#[from] MessageError),
    /// The request could not be built.
    #[error("request to the agent could not be built: {0}")]
    Request(#[from] hyper::http::Error),
}

/// A connection to the discovery agent; dropping it aborts the task that drives the connection.
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
    /// Connects to the agent at `address` within the given time.
    ///
    /// # Errors
    ///
    /// The connection fails or is not established in time.
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

    /// Requests `path` and decodes the response, of at most `max_bytes`. `progress` is kept up to date while the body
    /// arrives.
    ///
    /// # Errors
    ///
    /// The connection failed, the status is not 200, or the body is too long or malformed.
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

/// Reads a body of at most `max_bytes`. A body whose `Content-Length` is greater is rejected without being read.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    progress: &Progress,
) -> Result<Vec<u8>, DiscoveryError> {
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Err(DiscoveryError::TooLong { max_bytes });
    }
    // Allocated at the announced size: a growing buffer would hold a long list in memory twice while it is copied.
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
