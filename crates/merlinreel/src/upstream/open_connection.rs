//! A connection to a server that is up.

use super::unsolicited_bytes::UnsolicitedBytes;
use crate::config::limits::Limits;
use crate::log;
use crate::net::backoff::Backoff;
use crate::net::late_deadline::timeout_caught_up;
use crate::net::observed_stream::{IoObserver, ObservedStream};
use crate::net::system_errors::is_of_this_machine;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use merlinreel_policy::AttemptOutcome;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;

/// Counts the bytes that the kernel took, which proves that a request's last byte was not written.
pub struct WriteObserver {
    bytes_written: AtomicU64,
    /// The last response is complete, and nothing was written since.
    idle: AtomicBool,
    unsolicited_bytes: Arc<UnsolicitedBytes>,
}

impl WriteObserver {
    fn new(unsolicited_bytes: Arc<UnsolicitedBytes>) -> WriteObserver {
        WriteObserver {
            bytes_written: AtomicU64::new(0),
            idle: AtomicBool::new(false),
            unsolicited_bytes,
        }
    }

    /// Bytes written since the connection came up.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.load(Ordering::Relaxed)
    }

    /// The response is complete: until the next write nothing may arrive.
    pub fn set_idle(&self) {
        self.idle.store(true, Ordering::Relaxed);
    }
}

impl IoObserver for WriteObserver {
    fn on_read(&self, _: usize) {
        if self.idle.load(Ordering::Relaxed) {
            self.unsolicited_bytes.record();
        }
    }

    fn on_write(&self, bytes: usize) {
        self.bytes_written
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn starts_message(&self) -> bool {
        self.idle.swap(false, Ordering::Relaxed)
    }

    /// A response is due.
    fn expects_more(&self) -> bool {
        self.bytes_written() > 0 && !self.idle.load(Ordering::Relaxed)
    }
}

/// The HTTP library's connection, which makes progress only while it is polled.
type HttpConnection = Connection<TokioIo<ObservedStream<WriteObserver>>, Full<Bytes>>;

/// A connection that is up.
pub struct OpenConnection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Reads and writes while it is polled.
    pub http: Pin<Box<HttpConnection>>,
    /// Counts what was written.
    pub observer: Arc<WriteObserver>,
    /// It has ended; what it received before may still be read.
    pub ended: bool,
}

/// Connects within this time.
///
/// # Errors
///
/// What it proves about an attempt that no connection came up for it.
pub async fn connect(address: SocketAddr, within: Duration) -> Result<TcpStream, AttemptOutcome> {
    match timeout_caught_up(within, connect_with_retry(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => {
            log!("server at {address}: no connection: {error}");
            Err(match error.kind() {
                // The connection was up.
                ErrorKind::ConnectionReset => AttemptOutcome::Rejected,
                ErrorKind::ConnectionRefused => AttemptOutcome::ConnectionRefused,
                _ => AttemptOutcome::Unreachable,
            })
        }
        Err(_) => {
            log!("server at {address}: no connection within {within:?}");
            Err(AttemptOutcome::Unreachable)
        }
    }
}

/// Connects, and tries again while the fault is this machine's own: it says nothing about the server, and may be over in
/// a moment.
async fn connect_with_retry(address: SocketAddr) -> io::Result<TcpStream> {
    let mut backoff = Backoff::default();
    loop {
        match TcpStream::connect(address).await {
            Err(error) if is_of_this_machine(&error) => {
                log!("server at {address}: {error}; this machine can't connect, tried again");
                backoff.pause().await;
            }
            result => return result,
        }
    }
}

impl OpenConnection {
    /// Prepares a stream for requests.
    ///
    /// # Errors
    ///
    /// The HTTP library does not take the stream.
    pub async fn new(
        stream: TcpStream,
        limits: &Limits,
        unsolicited_bytes: Arc<UnsolicitedBytes>,
    ) -> hyper::Result<OpenConnection> {
        let _ = stream.set_nodelay(true);
        let observer = Arc::new(WriteObserver::new(unsolicited_bytes));
        let io = TokioIo::new(ObservedStream::new(stream, observer.clone()));
        let (sender, http) = Builder::new()
            .max_buf_size(limits.max_head_bytes)
            .handshake(io)
            .await?;
        Ok(OpenConnection {
            sender,
            http: Box::pin(http),
            observer,
            ended: false,
        })
    }
}
