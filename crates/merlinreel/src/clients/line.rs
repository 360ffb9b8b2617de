//! A client's connection as a stream. It sees the client's end while a request of it is in hand, whatever was sent
//! behind that request, and it is closed in one way: what was written goes out, the limiter's side ends, and what
//! still comes is read and dropped for a while. The HTTP library gets what it reads section by section, each up to a
//! blank line, so that [`HeadScanner`] knows which head it has read last.

use super::connection::ClientConnection;
use super::framing::HeadScanner;
use crate::limits::Limits;
use crate::stream::{Tallied, Tally};
use bytes::{Buf, BytesMut};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Read at once where it is dropped or kept for later.
const PIECE: usize = 4096;

pub struct Line {
    stream: Tallied<ClientConnection>,
    client_connection: Arc<ClientConnection>,
    scanner: HeadScanner,
    /// Came behind a blank line in one read of the library, or while a request was in hand: read before the rest.
    unread: BytesMut,
    /// So many of the unread bytes the library had room for itself; only those beyond were read ahead.
    had_room: usize,
    most_ahead: usize,
    /// More came than any client of the protocol sends behind a request: it is dropped, and nothing behind it is read.
    flooded: bool,
    /// How long and how much of what comes is dropped once the limiter's side has ended.
    lingers: Duration,
    drops: usize,
    closing: Option<Pin<Box<Sleep>>>,
}

impl Line {
    pub fn new(stream: TcpStream, client_connection: Arc<ClientConnection>, limits: &Limits) -> Line {
        Line {
            stream: Tallied::new(stream, client_connection.clone()),
            client_connection,
            scanner: HeadScanner::default(),
            unread: BytesMut::new(),
            had_room: 0,
            most_ahead: limits.head,
            flooded: false,
            lingers: limits.client_lingers,
            drops: limits.client_drops,
            closing: None,
        }
    }

    /// Whether something came that nobody has read.
    pub fn waits(&self) -> bool {
        !self.unread.is_empty() || self.stream.waits()
    }

    /// Reads ahead while a request is in hand. Guards servers against jobs of clients that have gone: the HTTP library
    /// stops reading once there is anything behind a request, and so never sees the end.
    fn look_ahead(&mut self, cx: &mut Context) -> io::Result<()> {
        let mut piece = [0; PIECE];
        while self.closing.is_none() && self.client_connection.busy.load(Ordering::Relaxed) {
            let mut into = ReadBuf::new(&mut piece);
            match Pin::new(&mut self.stream).poll_read(cx, &mut into) {
                Poll::Pending => return Ok(()),
                Poll::Ready(read) => read?,
            }
            if into.filled().is_empty() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let ahead = self.unread.len() - self.had_room + into.filled().len();
            if self.flooded || ahead > self.most_ahead {
                // Its answer tells the closing.
                self.flooded = true;
                self.client_connection.evicted.store(true, Ordering::Relaxed);
            } else {
                self.unread.extend_from_slice(into.filled());
            }
        }
        Ok(())
    }

    /// How many of these bytes, which the library reads next, lie in one section. Tells what the section's head showed
    /// where it ends.
    fn scan(&mut self, bytes: &[u8]) -> usize {
        let section = self.scanner.scan(bytes);
        if let Some(observed) = section.ended {
            self.client_connection.observe(observed);
        }
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
        self.client_connection.read(length);
    }

    /// Keeps what the kernel gave beyond one section, from `before` on.
    fn hold_back(&mut self, into: &mut ReadBuf, before: usize) {
        let length = self.scan(&into.filled()[before..]);
        self.unread.extend_from_slice(&into.filled()[before + length..]);
        self.had_room = self.unread.len();
        into.set_filled(before + length);
    }
}

impl AsyncRead for Line {
    /// At most one section.
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: &mut ReadBuf) -> Poll<io::Result<()>> {
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

impl AsyncWrite for Line {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
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
    /// is closed over unread bytes, and the client's side drops what it had not read. What comes now is of no request.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        if self.closing.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.client_connection.closing.store(true, Ordering::Relaxed);
            self.closing = Some(Box::pin(sleep(self.lingers)));
        }
        let mut piece = [0; PIECE];
        while self.drops > 0 {
            let mut into = ReadBuf::new(&mut piece);
            match Pin::new(&mut self.stream).poll_read(cx, &mut into) {
                Poll::Ready(Ok(())) if !into.filled().is_empty() => {
                    self.drops = self.drops.saturating_sub(into.filled().len());
                }
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => {
                    let over = self.closing.as_mut().is_none_or(|over| over.as_mut().poll(cx).is_ready());
                    return if over { Poll::Ready(Ok(())) } else { Poll::Pending };
                }
            }
        }
        Poll::Ready(Ok(()))
    }
}
