//! Opens connections to servers, and counts the bytes written to them.

use super::unsolicited_bytes::UnsolicitedBytes;
use crate::config::limits::Limits;
use crate::log;
use crate::net::backoff::Backoff;
use crate::net::late_deadline::timeout_caught_up;
use crate::net::observed_stream::{IoObserver, ObservedStream};
use crate::net::system_errors::is_local_error;
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

/// Counts the bytes that the kernel has accepted, which proves that an attempt whose last byte was not written never
/// ran. Also records bytes that arrive while the connection is idle.
pub struct WriteObserver {
    bytes_written: AtomicU64,
    /// The last response is complete, and nothing has been written since.
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

    /// Bytes written since the connection was opened.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.load(Ordering::Relaxed)
    }

    /// Marks the response as complete: any bytes that arrive before the next write are unsolicited.
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

    /// A response is outstanding.
    fn expects_more(&self) -> bool {
        self.bytes_written() > 0 && !self.idle.load(Ordering::Relaxed)
    }
}

/// The HTTP library's connection, which makes progress only when it is polled.
type HttpConnection = Connection<TokioIo<ObservedStream<WriteObserver>>, Full<Bytes>>;

/// An open HTTP connection to a server.
pub struct OpenConnection {
    /// Passes requests to `http`.
    pub sender: SendRequest<Full<Bytes>>,
    /// Reads from and writes to the socket when polled.
    pub http: Pin<Box<HttpConnection>>,
    /// Counts the bytes written.
    pub observer: Arc<WriteObserver>,
    /// The connection has ended or reached its idle timeout, and `http` is not polled any more. A response that was
    /// received before can still be read.
    pub ended: bool,
}

/// Opens a TCP connection, unless that takes longer than `within`.
///
/// # Errors
///
/// The outcome of the attempt that the connection was for.
pub async fn connect(address: SocketAddr, within: Duration) -> Result<TcpStream, AttemptOutcome> {
    match timeout_caught_up(within, connect_with_retry(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => {
            log!("server at {address}: connection failed: {error}; the attempt was not sent");
            Err(match error.kind() {
                // The server accepted the connection and then reset it, so it is not down.
                ErrorKind::ConnectionReset => AttemptOutcome::Rejected,
                ErrorKind::ConnectionRefused => AttemptOutcome::ConnectionRefused,
                _ => AttemptOutcome::Unreachable,
            })
        }
        Err(_) => {
            log!(
                "server at {address}: connection not established within {within:?}; the attempt was not sent"
            );
            Err(AttemptOutcome::Unreachable)
        }
    }
}

/// Opens a TCP connection, retrying after errors of this machine: they say nothing about the server, and may be
/// short-lived.
async fn connect_with_retry(address: SocketAddr) -> io::Result<TcpStream> {
    let mut backoff = Backoff::default();
    loop {
        match TcpStream::connect(address).await {
            Err(error) if is_local_error(&error) => {
                log!(
                    "server at {address}: connection failed on this machine: {error}; trying again"
                );
                backoff.pause().await;
            }
            result => return result,
        }
    }
}

impl OpenConnection {
    /// Sets up HTTP on an established TCP connection.
    ///
    /// # Errors
    ///
    /// The HTTP library's handshake failed.
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
