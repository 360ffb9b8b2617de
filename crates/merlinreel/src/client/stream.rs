//! A client connection as a stream. It notices the client's disconnect while a request is in flight, whatever was sent
//! behind that request, and it is closed in one way: what was written goes out, the limiter's side ends, and the
//! client's end is waited for without reading what still comes. The HTTP library gets what it reads section by section,
//! each up to a blank line, so that [`HeadScanner`] knows which head it has read last.

use super::arrival_times::ArrivalTimes;
use super::connection::ClientConnection;
use super::framing::HeadScanner;
use crate::admission::AdmissionPermits;
use crate::config::limits::Limits;
use crate::hold_up::HoldUpMonitor;
use crate::net::observed_stream::{IoObserver, ObservedStream};
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

/// Bytes that are read ahead at once.
const READ_AHEAD_BYTES: usize = 4096;

/// A close whose limiter's side has ended, and that waits for the client's side.
struct LingeringClose {
    /// The end of the wait where nothing lies unread.
    timeout: Pin<Box<Sleep>>,
    /// The end of the wait in any case.
    timeout_with_unread: Pin<Box<Sleep>>,
}

/// A client connection as the HTTP library reads and writes it.
pub struct ClientStream {
    stream: ObservedStream<ClientConnection>,
    client_connection: Arc<ClientConnection>,
    scanner: HeadScanner,
    /// Arrived behind a blank line in one read of the library, or while a request was in flight: read before the rest.
    buffer: BytesMut,
    /// So many bytes of the buffer the library had asked for itself; only those after them were read ahead.
    requested: usize,
    arrival_times: ArrivalTimes,
    hold_ups: Arc<HoldUpMonitor>,
    /// Bytes that may be read ahead.
    max_read_ahead: usize,
    /// Bytes of them that take no memory from that of request bodies.
    unreserved_read_ahead: usize,
    permits: AdmissionPermits,
    reserved: Option<OwnedSemaphorePermit>,
    /// More arrived than may be read ahead: the rest is dropped, and nothing behind it is read.
    overflowed: bool,
    /// How long a close waits for the client's end.
    linger_timeout: Duration,
    /// The same, where something lies unread.
    linger_timeout_with_unread: Duration,
    lingering: Option<LingeringClose>,
}

impl ClientStream {
    /// The stream of a connection; bytes read ahead take memory from `permits`.
    pub fn new(
        stream: TcpStream,
        client_connection: Arc<ClientConnection>,
        limits: &Limits,
        permits: AdmissionPermits,
        hold_ups: Arc<HoldUpMonitor>,
    ) -> ClientStream {
        ClientStream {
            stream: ObservedStream::new(stream, client_connection.clone()),
            client_connection,
            scanner: HeadScanner::default(),
            buffer: BytesMut::new(),
            requested: 0,
            arrival_times: ArrivalTimes::default(),
            hold_ups,
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

    /// Whether something arrived that the library has not read.
    pub fn has_unread(&self) -> bool {
        !self.buffer.is_empty() || self.stream.has_unread()
    }

    /// Puts back what the HTTP library had read and not used: the beginning of a request.
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

    /// Closes the connection and waits for the client's end, until it is over or the connection is evicted.
    pub async fn close(&mut self) {
        let client_connection = self.client_connection.clone();
        // A request to close that came before is fulfilled by this.
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

    /// The earliest time at which bytes that are read now can have arrived. Their clients' time counts from then.
    fn arrived_since(&self) -> Instant {
        self.hold_ups.arrived_since(Instant::now())
    }

    fn publish_buffered(&self) {
        self.client_connection
            .buffered_bytes
            .store(self.buffer.len(), Ordering::Relaxed);
    }

    /// Bytes of the buffer that were read ahead of the library.
    fn read_ahead_bytes(&self) -> usize {
        self.buffer.len() - self.requested
    }

    /// Reserves memory for so many bytes read ahead, and returns whether there was enough.
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

    /// Reads ahead while a request is in flight, to notice a disconnect: the HTTP library stops reading once there is anything
    /// behind a request, and servers would work on requests that nobody waits for. Nothing is read while the memory is in
    /// use; what is longer than any client's requests is dropped, and the response announces the close.
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

    /// How many of these bytes, which the library reads next, lie in one section. Records what the section's head showed
    /// where it ends.
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

    /// Gives the library one section of the buffer. It counts as read where the kernel's bytes would.
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

    /// Keeps what the kernel gave after one section, from `start` on.
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
    /// At most one section.
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

    /// The library flushes whenever the connection is polled, so this is where each poll looks for the client's end.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.read_ahead(cx)?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// A lingering close. The kernel resets a connection that is closed over unread bytes, and the client's side may then
    /// drop the end of a response that it had not read. What arrives now is not read: nobody has read a request in it.
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
        let client_ended = self.stream.poll_peer_closed(cx).is_ready();
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
