//! A TCP stream that reports its reads and writes, and checks an idle connection before it writes to it.
//!
//! Calls that a signal interrupts are repeated. After a read or write of fewer bytes than requested the runtime assumes that
//! the kernel has no more data or no more space (epoll(7)) and waits for the poller. If more is expected, the kernel is
//! asked once more without the poller, so that a call that was cut short causes no delay.

use socket2::SockRef;
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Receives the reads and writes of an [`ObservedStream`].
pub trait IoObserver {
    /// Called after a read of at least one byte, with the number of bytes.
    fn on_read(&self, _bytes: usize) {}
    /// Called after a successful write, with the number of bytes.
    fn on_write(&self, _bytes: usize) {}
    /// Called when a write would block: the socket send buffer is full and data remains to be written.
    fn on_write_blocked(&self) {}
    /// Whether the next write starts a message on an idle connection, whose socket receive buffer must then be empty. Called
    /// once per write.
    fn starts_message(&self) -> bool {
        false
    }
    /// Whether more data of an incomplete message is expected; true if unknown.
    fn expects_more(&self) -> bool {
        true
    }
}

/// An observer that ignores all reads and writes.
#[derive(Debug)]
pub struct Unobserved;

impl IoObserver for Unobserved {}

/// A TCP stream that reports its reads and writes to an observer.
pub struct ObservedStream<T> {
    stream: TcpStream,
    observer: Arc<T>,
    /// The last read returned fewer bytes than requested, or was made without the poller and did not block.
    short_read: bool,
    /// The last write took fewer bytes than requested, or was made without the poller and did not block.
    short_write: bool,
}

fn is_interrupted<T>(result: &Poll<io::Result<T>>) -> bool {
    matches!(result, Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted)
}

/// Makes a system call without the poller and repeats it if a signal interrupts it; `None` if it would block.
fn unless_blocked<T>(mut call: impl FnMut() -> io::Result<T>) -> Option<io::Result<T>> {
    loop {
        return match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
            result => Some(result),
        };
    }
}

impl<T: IoObserver> ObservedStream<T> {
    /// Wraps `stream`; reports its reads and writes to `observer`.
    pub fn new(stream: TcpStream, observer: Arc<T>) -> ObservedStream<T> {
        ObservedStream {
            stream,
            observer,
            short_read: false,
            short_write: false,
        }
    }

    /// Looks for unread data in the socket receive buffer without consuming it: 1 if there is any, 0 at the end of the
    /// stream, `None` if a read would block.
    fn peek(&self) -> Option<io::Result<usize>> {
        unless_blocked(|| SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]))
    }

    /// Whether the socket receive buffer holds unread data.
    pub fn has_unread(&self) -> bool {
        matches!(self.peek(), Some(Ok(1..)))
    }

    /// Waits until the remote end has closed its side or the connection has failed. Consumes no received data.
    pub fn poll_remote_closed(&self, cx: &mut Context) -> Poll<()> {
        loop {
            if ready!(self.stream.poll_read_ready(cx)).is_err() || self.remote_has_closed() {
                return Poll::Ready(());
            }
            // There is unread data: clears the readiness, so that the poller reports the next event.
            let _ = self.stream.try_io(Interest::READABLE, || {
                Err::<(), _>(io::ErrorKind::WouldBlock.into())
            });
        }
    }

    /// Whether the remote end has closed its side. If unread data precedes the end of the stream, only the poller shows it;
    /// otherwise a peek at the socket receive buffer does too.
    fn remote_has_closed(&self) -> bool {
        let ready = pin!(self.stream.ready(Interest::READABLE))
            .poll(&mut Context::from_waker(Waker::noop()));
        match ready {
            Poll::Ready(Ok(ready)) if !ready.is_read_closed() => {
                matches!(self.peek(), Some(Ok(0) | Err(_)))
            }
            Poll::Ready(_) => true,
            Poll::Pending => false,
        }
    }

    /// Checks that the socket receive buffer is empty before a message is written to an idle connection: unread data would
    /// be taken for the response to that message. Asks the kernel, as the poller may not have reported the data yet.
    fn check_idle(&self) -> io::Result<()> {
        if !self.observer.starts_message() {
            return Ok(());
        }
        match self.peek() {
            None => Ok(()),
            Some(Err(error)) => Err(error),
            Some(Ok(0)) => Err(io::ErrorKind::ConnectionAborted.into()),
            Some(Ok(_)) => Err(io::Error::other(
                "unsolicited bytes after the last response",
            )),
        }
    }

    /// Reads without waiting for the poller.
    fn read_directly(&mut self, into: &mut ReadBuf) -> Poll<io::Result<()>> {
        let read =
            unless_blocked(|| (&*SockRef::from(&self.stream)).read(into.initialize_unfilled()));
        self.short_read = read.is_some();
        match read {
            Some(Ok(bytes)) => {
                into.advance(bytes);
                Poll::Ready(Ok(()))
            }
            Some(Err(error)) => Poll::Ready(Err(error)),
            None => Poll::Pending,
        }
    }

    /// Writes without waiting for the poller.
    fn write_directly(&mut self, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = unless_blocked(|| (&*SockRef::from(&self.stream)).write(bytes));
        self.short_write = written.is_some();
        written.map_or(Poll::Pending, Poll::Ready)
    }

    /// Reports the result of a write to the observer, except an error.
    fn report_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match result {
            Poll::Ready(Ok(bytes)) => self.observer.on_write(bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.observer.on_write_blocked(),
        }
        result
    }
}

impl<T: IoObserver> AsyncRead for ObservedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        into: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        let requested = into.remaining();
        let mut result = Pin::new(&mut self.stream).poll_read(cx, into);
        while is_interrupted(&result) {
            result = Pin::new(&mut self.stream).poll_read(cx, into);
        }
        if result.is_ready() {
            self.short_read = into.filled().len() - before < requested;
        } else if self.short_read && self.observer.expects_more() {
            result = self.read_directly(into);
        }
        if into.filled().len() > before {
            self.observer.on_read(into.filled().len() - before);
        }
        result
    }
}

impl<T: IoObserver> AsyncWrite for ObservedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_idle()?;
        let mut result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        while is_interrupted(&result) {
            result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        }
        match result {
            Poll::Ready(Ok(written)) => self.short_write = written < bytes.len(),
            Poll::Pending if self.short_write => result = self.write_directly(bytes),
            _ => {}
        }
        self.report_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        slices: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.check_idle()?;
        let mut result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        while is_interrupted(&result) {
            result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        }
        self.report_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
