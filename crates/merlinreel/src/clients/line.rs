//! A client's connection as a stream. It sees the client's end while a request of it is in hand, whatever was sent
//! behind that request, and it is closed in one way: what was written goes out, the limiter's side ends, and what
//! still comes is read and dropped for a while.

use super::guest::Guest;
use crate::limits::Limits;
use crate::stream::Tallied;
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
    stream: Tallied<Guest>,
    guest: Arc<Guest>,
    /// Came while a request was in hand: read before the rest.
    ahead: Vec<u8>,
    most_ahead: usize,
    /// More came than any client of the protocol sends behind a request: it is dropped, and nothing behind it is read.
    flooded: bool,
    /// How long and how much of what comes is dropped once the limiter's side has ended.
    lingers: Duration,
    drops: usize,
    closing: Option<Pin<Box<Sleep>>>,
}

impl Line {
    pub fn new(stream: TcpStream, guest: Arc<Guest>, limits: &Limits) -> Line {
        Line {
            stream: Tallied::new(stream, guest.clone()),
            guest,
            ahead: Vec::new(),
            most_ahead: limits.head,
            flooded: false,
            lingers: limits.client_lingers,
            drops: limits.client_drops,
            closing: None,
        }
    }

    /// Whether something came that nobody has read.
    pub fn waits(&self) -> bool {
        !self.ahead.is_empty() || self.stream.waits()
    }

    /// Reads ahead while a request is in hand. Guards servers against jobs of clients that have gone: the HTTP library
    /// stops reading once there is anything behind a request, and so never sees the end.
    fn look_ahead(&mut self, cx: &mut Context) -> io::Result<()> {
        let mut piece = [0; PIECE];
        while self.closing.is_none() && self.guest.busy.load(Ordering::Relaxed) {
            let mut into = ReadBuf::new(&mut piece);
            match Pin::new(&mut self.stream).poll_read(cx, &mut into) {
                Poll::Pending => return Ok(()),
                Poll::Ready(read) => read?,
            }
            if into.filled().is_empty() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if self.flooded || self.ahead.len() + into.filled().len() > self.most_ahead {
                // Its answer tells the closing.
                self.flooded = true;
                self.guest.evicted.store(true, Ordering::Relaxed);
            } else {
                self.ahead.extend_from_slice(into.filled());
            }
        }
        Ok(())
    }
}

impl AsyncRead for Line {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: &mut ReadBuf) -> Poll<io::Result<()>> {
        if !self.ahead.is_empty() {
            let length = self.ahead.len().min(into.remaining());
            into.put_slice(&self.ahead[..length]);
            self.ahead.drain(..length);
            return Poll::Ready(Ok(()));
        }
        if self.flooded && !self.guest.busy.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_read(cx, into)
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
            self.guest.closing.store(true, Ordering::Relaxed);
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
