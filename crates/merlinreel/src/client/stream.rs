//! A client connection as a stream for the HTTP library.
//!
//! - It detects the client's disconnect while a request is in flight, also if more data follows that request.
//! - It closes gracefully: written data is sent, the limiter's side is shut down, and the stream waits for the client to
//!   close its side, without reading further data.
//! - It passes data to the HTTP library section by section, each up to a blank line, so that [`HeadScanner`] knows which
//!   head the library has read last.

use super::arrival_times::ArrivalTimes;
use super::connection::ClientConnection;
use super::framing::HeadScanner;
use crate::admission::AdmissionPermits;
use crate::config::limits::Limits;
use crate::net::observed_stream::{IoObserver, ObservedStream};
use crate::stall::StallMonitor;
use bytes::{Buf, Bytes, BytesMut};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Sleep, sleep};

/// Maximum number of bytes per read when reading ahead.
const READ_AHEAD_BYTES: usize = 4096;

/// A lingering close: the limiter's side is shut down and the client's side is not closed yet.
struct LingeringClose {
    /// Ends the wait if there is no unread data in the socket receive buffer.
    timeout: Pin<Box<Sleep>>,
    /// Ends the wait in any case.
    timeout_with_unread: Pin<Box<Sleep>>,
}

/// A client connection as the HTTP library reads and writes it; see the module documentation.
pub struct ClientStream {
    stream: ObservedStream<ClientConnection>,
    client_connection: Arc<ClientConnection>,
    scanner: HeadScanner,
    /// Data received and not yet passed to the HTTP library: what followed a blank line in a read, and what was read ahead
    /// while a request was in flight.
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that were received in reads of the HTTP library. The rest was read ahead.
    requested: usize,
    arrival_times: ArrivalTimes,
    stall_monitor: Arc<StallMonitor>,
    /// Maximum number of bytes read ahead.
    max_read_ahead: usize,
    /// Number of bytes read ahead that need no reservation in the memory for request bodies.
    unreserved_read_ahead: usize,
    permits: AdmissionPermits,
    reserved: Option<OwnedSemaphorePermit>,
    /// Set once more data arrived than may be read ahead. The excess is dropped, and the HTTP library gets nothing after it.
    overflowed: bool,
    /// How long a close waits for the client to close its side if there is no unread data in the socket receive buffer.
    linger_timeout: Duration,
    /// How long a close waits for the client if there is unread data in the socket receive buffer.
    linger_timeout_with_unread: Duration,
    lingering: Option<LingeringClose>,
}

impl ClientStream {
    /// Wraps an accepted connection. Memory for data read ahead is reserved from `permits`.
    pub fn new(
        stream: TcpStream,
        client_connection: Arc<ClientConnection>,
        limits: &Limits,
        permits: AdmissionPermits,
        stall_monitor: Arc<StallMonitor>,
    ) -> ClientStream {
        ClientStream {
            stream: ObservedStream::new(stream, client_connection.clone()),
            client_connection,
            scanner: HeadScanner::default(),
            buffer: BytesMut::new(),
            requested: 0,
            arrival_times: ArrivalTimes::default(),
            stall_monitor,
            max_read_ahead: limits.client.max_read_ahead_bytes,
            unreserved_read_ahead: limits.max_head_bytes,
            permits,
            reserved: None,
            overflowed: false,
            linger_timeout: limits.client.linger_timeout,
            linger_timeout_with_unread: limits
                .client
                .request_timeout
                .max(limits.client.linger_timeout),
            lingering: None,
        }
    }

    /// Whether data has arrived that the HTTP library has not read.
    pub fn has_unread(&self) -> bool {
        !self.buffer.is_empty() || self.stream.has_unread()
    }

    /// Puts back data that the HTTP library has read and not used, the beginning of a request.
    pub fn put_back(&mut self, bytes: Bytes) {
        if bytes.is_empty() {
            return;
        }
        let length = bytes.len();
        let mut buffer = BytesMut::from(bytes);
        buffer.extend_from_slice(&self.buffer);
        self.buffer = buffer;
        self.requested = self.buffer.len();
        self.scanner = HeadScanner::default();
        self.arrival_times.put_back(length);
        self.publish_buffered();
    }

    /// Closes the connection, waiting for the client to close its side. The wait ends early if the connection is evicted.
    pub async fn close(&mut self) {
        let client_connection = self.client_connection.clone();
        // Consumes an earlier close request, so that it does not count as an eviction during the close.
        tokio::select! {
            biased;
            () = client_connection.close_requested.notified() => {}
            () = std::future::ready(()) => {}
        }
        tokio::select! {
            _ = self.shutdown() => {}
            () = client_connection.close_requested.notified() => {}
        }
    }

    /// The earliest time at which data read now may have arrived. The client's remaining time counts from then.
    fn arrived_since(&self) -> Instant {
        self.stall_monitor.arrived_since(Instant::now())
    }

    /// Updates the connection's count of buffered bytes.
    fn publish_buffered(&self) {
        self.client_connection
            .buffered_bytes
            .store(self.buffer.len(), Ordering::Relaxed);
    }

    /// Number of bytes in the buffer that were read ahead of the HTTP library.
    fn read_ahead_bytes(&self) -> usize {
        self.buffer.len() - self.requested
    }

    /// Makes sure that `bytes` bytes may be read ahead: memory is reserved for those beyond `unreserved_read_ahead`. Returns
    /// false if too little is free.
    fn reserve_read_ahead(&mut self, bytes: usize) -> bool {
        let reserved = self
            .reserved
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        let available = self.unreserved_read_ahead + reserved;
        let Some(missing) = bytes.checked_sub(available).filter(|&missing| missing > 0) else {
            return true;
        };
        if let Some(reserved) = &mut self.reserved {
            self.permits.extend_body(reserved, missing)
        } else {
            self.reserved = self.permits.reserve_body(missing);
            self.reserved.is_some()
        }
    }

    /// Reads ahead while a request is in flight, to detect a disconnect: the HTTP library stops reading once data follows a
    /// request, and servers would process requests that no client waits for. Nothing is read while too little memory is
    /// free. Data beyond `max_read_ahead`, which is longer than any client's pipelined requests, is dropped, and the response
    /// announces the close.
    fn read_ahead(&mut self, cx: &mut Context) -> io::Result<()> {
        if !self.client_connection.busy.load(Ordering::Relaxed) {
            return Ok(());
        }
        let mut piece = [0; READ_AHEAD_BYTES];
        while self.lingering.is_none() && self.client_connection.busy.load(Ordering::Relaxed) {
            let wanted = self.read_ahead_bytes() + READ_AHEAD_BYTES;
            if !self.overflowed && !self.reserve_read_ahead(wanted) {
                return Ok(());
            }
            let mut into = ReadBuf::new(&mut piece);
            match Pin::new(&mut self.stream).poll_read(cx, &mut into) {
                Poll::Pending => return Ok(()),
                Poll::Ready(read) => read?,
            }
            let bytes = into.filled();
            if bytes.is_empty() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if self.overflowed || self.read_ahead_bytes() + bytes.len() > self.max_read_ahead {
                self.overflowed = true;
                self.client_connection
                    .overflowed
                    .store(true, Ordering::Relaxed);
            } else {
                self.arrival_times.record(bytes.len(), self.arrived_since());
                self.buffer.extend_from_slice(bytes);
                self.publish_buffered();
            }
        }
        Ok(())
    }

    /// Returns how many of the bytes that the HTTP library reads next belong to the current section. If the section ends,
    /// records what was observed of its head.
    fn scan_section(&mut self, bytes: &[u8]) -> usize {
        let section = self.scanner.scan(bytes);
        let arrived_at = self.arrival_times.take(section.length);
        if let Some(head) = section.head {
            self.client_connection
                .record_head(head, arrived_at.unwrap_or_else(|| self.arrived_since()));
        }
        self.client_connection
            .delivered_bytes
            .fetch_add(section.length as u64, Ordering::Relaxed);
        section.length
    }

    /// Passes data of at most one section from the buffer to the HTTP library, and reports it as read like data from the
    /// socket.
    fn read_buffered(&mut self, into: &mut ReadBuf) {
        let mut buffer = std::mem::take(&mut self.buffer);
        let available = buffer.len().min(into.remaining());
        let length = self.scan_section(&buffer[..available]);
        into.put_slice(&buffer[..length]);
        buffer.advance(length);
        self.buffer = buffer;
        self.requested = self.requested.max(available) - length;
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            self.reserved = None;
        }
        self.publish_buffered();
        self.client_connection.on_read(length);
    }

    /// Leaves at most one section of the data read from `start` on in `into`, and moves the rest to the buffer.
    fn buffer_excess(&mut self, into: &mut ReadBuf, start: usize) {
        let arrived_since = self.arrived_since();
        self.arrival_times
            .record(into.filled().len() - start, arrived_since);
        let length = self.scan_section(&into.filled()[start..]);
        self.buffer
            .extend_from_slice(&into.filled()[start + length..]);
        self.requested = self.buffer.len();
        self.publish_buffered();
        into.set_filled(start + length);
    }
}

impl AsyncRead for ClientStream {
    /// Reads at most one section.
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        into: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        self.client_connection.set_awaits_input(false);
        if !self.buffer.is_empty() {
            self.read_buffered(into);
            return Poll::Ready(Ok(()));
        }
        if self.overflowed && !self.client_connection.busy.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        let start = into.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, into);
        self.client_connection.set_awaits_input(read.is_pending());
        ready!(read)?;
        self.buffer_excess(into, start);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        slices: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes whenever the connection is polled, so each poll reads ahead here and detects a disconnect.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.read_ahead(cx)?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// A lingering close. The kernel resets a connection that is closed with unread data, and the client's kernel may then
    /// drop the end of a response that the client has not read. Data that arrives now is never read, so no request in it
    /// is processed and the client may send it again.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        if self.lingering.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.client_connection
                .closing
                .store(true, Ordering::Relaxed);
            self.lingering = Some(LingeringClose {
                timeout: Box::pin(sleep(self.linger_timeout)),
                timeout_with_unread: Box::pin(sleep(self.linger_timeout_with_unread)),
            });
        }
        let client_ended = self.stream.poll_remote_closed(cx).is_ready();
        let ClientStream {
            stream,
            lingering: Some(lingering),
            ..
        } = &mut *self
        else {
            return Poll::Ready(Ok(()));
        };
        let lingered = lingering.timeout.as_mut().poll(cx).is_ready() && !stream.has_unread();
        if client_ended || lingered || lingering.timeout_with_unread.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }
}
