//! A client's connection as a stream. It sees the client's end while a request of it is in hand, whatever was sent
//! behind that request, and it is closed in one way: what was written goes out, the limiter's side ends, and the
//! client's end is waited for without reading what still comes. The HTTP library gets what it reads section by section,
//! each up to a blank line, so that [`HeadScanner`] knows which head it has read last.

use super::arrival_times::Arrivals;
use super::connection::ClientConnection;
use super::framing::HeadScanner;
use crate::client::admission::AdmissionPermits;
use crate::config::limits::Limits;
use crate::net::observed_stream::{IoObserver, ObservedStream};
use bytes::{Buf, Bytes, BytesMut};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Sleep, sleep};

/// Read at once where it is dropped or kept for later.
const PIECE: usize = 4096;

/// A connection whose limiter's side has ended.
struct Closing {
    /// Over then, where nothing lies unread.
    lingered: Pin<Box<Sleep>>,
    /// Over then in any case.
    ends: Pin<Box<Sleep>>,
}

pub struct ClientStream {
    stream: ObservedStream<ClientConnection>,
    client_connection: Arc<ClientConnection>,
    scanner: HeadScanner,
    /// Came behind a blank line in one read of the library, or while a request was in hand: read before the rest.
    unread: BytesMut,
    /// So many of the unread bytes the library had room for itself; only those beyond were read ahead.
    had_room: usize,
    arrivals: Arrivals,
    /// What may be read ahead at all, and how much of that needs no place in the memory that bodies share.
    most_ahead: usize,
    free_ahead: usize,
    permits: AdmissionPermits,
    room: Option<OwnedSemaphorePermit>,
    /// More came than that: the rest is dropped, and nothing behind it is read.
    flooded: bool,
    /// How long the client's end is waited for once the limiter's side has ended, and where something lies unread.
    lingers: Duration,
    lingers_over_unread: Duration,
    closing: Option<Closing>,
}

impl ClientStream {
    pub fn new(
        stream: TcpStream,
        client_connection: Arc<ClientConnection>,
        limits: &Limits,
        permits: AdmissionPermits,
    ) -> ClientStream {
        ClientStream {
            stream: ObservedStream::new(stream, client_connection.clone()),
            client_connection,
            scanner: HeadScanner::default(),
            unread: BytesMut::new(),
            had_room: 0,
            arrivals: Arrivals::default(),
            most_ahead: limits.client.max_read_ahead_bytes,
            free_ahead: limits.max_head_bytes,
            permits,
            room: None,
            flooded: false,
            lingers: limits.client.linger_timeout,
            lingers_over_unread: limits
                .client
                .request_timeout
                .max(limits.client.linger_timeout),
            closing: None,
        }
    }

    /// Whether something came that nobody has read.
    pub fn waits(&self) -> bool {
        !self.unread.is_empty() || self.stream.waits()
    }

    /// Takes back what the HTTP library had read and not used: the beginning of a request.
    pub fn give_back(&mut self, bytes: Bytes) {
        if bytes.is_empty() {
            return;
        }
        let length = bytes.len();
        let mut unread = BytesMut::from(bytes);
        unread.extend_from_slice(&self.unread);
        self.unread = unread;
        self.had_room = self.unread.len();
        self.scanner = HeadScanner::default();
        self.arrivals.give_back(length);
        self.tell_ahead();
    }

    fn tell_ahead(&self) {
        self.client_connection
            .ahead
            .store(self.unread.len(), Ordering::Relaxed);
    }

    /// So many bytes were read ahead of the library.
    fn ahead(&self) -> usize {
        self.unread.len() - self.had_room
    }

    /// Takes a place for so many bytes read ahead, if the memory that bodies share has one.
    fn claim_room(&mut self, ahead: usize) -> bool {
        let held = self.free_ahead
            + self
                .room
                .as_ref()
                .map_or(0, OwnedSemaphorePermit::num_permits);
        let Some(more) = ahead.checked_sub(held).filter(|&more| more > 0) else {
            return true;
        };
        match &mut self.room {
            Some(room) => self.permits.grow(room, more),
            None => {
                self.room = self.permits.body(more);
                self.room.is_some()
            }
        }
    }

    /// Reads ahead while a request is in hand. Guards servers against jobs of clients that have gone: the HTTP library
    /// stops reading once there is anything behind a request, and so never sees the end. Where the memory has no place
    /// just then nothing is read; what is longer than any client's requests is dropped, and its answer tells the closing.
    fn look_ahead(&mut self, cx: &mut Context) -> io::Result<()> {
        let mut piece = [0; PIECE];
        while self.closing.is_none() && self.client_connection.busy.load(Ordering::Relaxed) {
            if !self.flooded && !self.claim_room(self.ahead() + PIECE) {
                return Ok(());
            }
            let mut into = ReadBuf::new(&mut piece);
            match Pin::new(&mut self.stream).poll_read(cx, &mut into) {
                Poll::Pending => return Ok(()),
                Poll::Ready(read) => read?,
            }
            if into.filled().is_empty() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if self.flooded || self.ahead() + into.filled().len() > self.most_ahead {
                self.flooded = true;
                self.client_connection
                    .flooded
                    .store(true, Ordering::Relaxed);
            } else {
                self.arrivals.came(into.filled().len(), Instant::now());
                self.unread.extend_from_slice(into.filled());
                self.tell_ahead();
            }
        }
        Ok(())
    }

    /// How many of these bytes, which the library reads next, lie in one section. Tells what the section's head showed
    /// where it ends.
    fn scan(&mut self, bytes: &[u8]) -> usize {
        let section = self.scanner.scan(bytes);
        let arrived = self.arrivals.take(section.length);
        if let Some(observed) = section.ended {
            self.client_connection
                .observe(observed, arrived.unwrap_or_else(Instant::now));
        }
        self.client_connection
            .handed
            .fetch_add(section.length as u64, Ordering::Relaxed);
        section.length
    }

    /// Hands over one section of the unread bytes. They count as heard where the kernel's would.
    fn read_unread(&mut self, into: &mut ReadBuf) {
        let mut unread = std::mem::take(&mut self.unread);
        let room = unread.len().min(into.remaining());
        let length = self.scan(&unread[..room]);
        into.put_slice(&unread[..length]);
        unread.advance(length);
        self.unread = unread;
        self.had_room = self.had_room.max(room) - length;
        if self.unread.is_empty() {
            (self.unread, self.room) = (BytesMut::new(), None);
        }
        self.tell_ahead();
        self.client_connection.read(length);
    }

    /// Keeps what the kernel gave beyond one section, from `before` on.
    fn hold_back(&mut self, into: &mut ReadBuf, before: usize) {
        self.arrivals
            .came(into.filled().len() - before, Instant::now());
        let length = self.scan(&into.filled()[before..]);
        self.unread
            .extend_from_slice(&into.filled()[before + length..]);
        self.had_room = self.unread.len();
        self.tell_ahead();
        into.set_filled(before + length);
    }
}

impl AsyncRead for ClientStream {
    /// At most one section.
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        into: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        if !self.unread.is_empty() {
            self.read_unread(into);
            return Poll::Ready(Ok(()));
        }
        if self.flooded && !self.client_connection.busy.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        let before = into.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, into))?;
        self.hold_back(into, before);
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
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The library flushes at each turn of the connection, so this is where each turn looks for the client's end.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.look_ahead(cx)?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// A lingering close. Guards the end of an answer against bytes that cross it: the kernel resets a connection that
    /// is closed over unread bytes, and the client's side may drop what it had not read. What comes now is not read: a
    /// request in it was read by nobody.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        if self.closing.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.client_connection
                .closing
                .store(true, Ordering::Relaxed);
            let lingered = Box::pin(sleep(self.lingers));
            self.closing = Some(Closing {
                lingered,
                ends: Box::pin(sleep(self.lingers_over_unread)),
            });
        }
        let ended = self.stream.poll_other_end(cx).is_ready();
        let ClientStream {
            stream,
            closing: Some(closing),
            ..
        } = &mut *self
        else {
            return Poll::Ready(Ok(()));
        };
        let lingered = closing.lingered.as_mut().poll(cx).is_ready() && !stream.waits();
        if ended || lingered || closing.ends.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }
}
