//! A TCP stream that tells what passes through it, and looks before it writes to a connection at rest.
//!
//! Calls that a signal interrupts are made again. A read or write that moved less than was asked for usually means that the
//! kernel has no more, or no more room (epoll(7)), and the runtime then waits for the poller. Where more is expected all
//! the same the kernel is asked once more, so that a call cut short holds nothing up.

use socket2::SockRef;
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Hears of all bytes that the kernel gave or took.
pub trait IoObserver {
    fn read(&self, _bytes: usize) {}
    fn wrote(&self, _bytes: usize) {}
    /// The kernel takes no more for now: something is still to be written.
    fn held_up(&self) {}
    /// Whether the next write begins something new, on a connection where nothing may be waiting; asked once
    /// a write.
    fn begins(&self) -> bool {
        false
    }
    /// Whether a message has begun to come and is not whole, as far as is known.
    fn expects_more(&self) -> bool {
        true
    }
}

/// For streams of which nothing needs to be known.
#[derive(Debug)]
pub struct Unobserved;

impl IoObserver for Unobserved {}

pub struct ObservedStream<T> {
    stream: TcpStream,
    tally: Arc<T>,
    /// The last read, or write, moved less than was asked for.
    short_read: bool,
    short_write: bool,
}

fn is_interrupted<T>(done: &Poll<io::Result<T>>) -> bool {
    matches!(done, Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted)
}

/// What a call made beside the poller brought; none where the kernel has nothing to give or take.
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
    pub fn new(stream: TcpStream, tally: Arc<T>) -> ObservedStream<T> {
        ObservedStream {
            stream,
            tally,
            short_read: false,
            short_write: false,
        }
    }

    /// How many bytes the kernel holds that nobody has read, one at most: none at the other side's end. `None` where it
    /// has nothing to tell.
    fn peek(&self) -> Option<io::Result<usize>> {
        unless_blocked(|| SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]))
    }

    /// Whether the kernel holds bytes that nobody has read.
    pub fn waits(&self) -> bool {
        matches!(self.peek(), Some(Ok(1..)))
    }

    /// Waits for the other side's end, and reads nothing of what it sent before.
    pub fn poll_other_end(&self, cx: &mut Context) -> Poll<()> {
        loop {
            if ready!(self.stream.poll_read_ready(cx)).is_err() || self.other_has_ended() {
                return Poll::Ready(());
            }
            // Bytes lie there unread: the poller tells of the next event.
            let _ = self.stream.try_io(Interest::READABLE, || {
                Err::<(), _>(io::ErrorKind::WouldBlock.into())
            });
        }
    }

    /// Seen by the poller, where bytes lie unread before the end, or by the kernel where none do.
    fn other_has_ended(&self) -> bool {
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

    /// Guards against bytes behind the last answer, which would be read as the next one's: asks the kernel, as
    /// the poller may not have told of them yet.
    fn clear(&self) -> io::Result<()> {
        if !self.tally.begins() {
            return Ok(());
        }
        match self.peek() {
            None => Ok(()),
            Some(Err(error)) => Err(error),
            Some(Ok(0)) => Err(io::ErrorKind::ConnectionAborted.into()),
            Some(Ok(_)) => Err(io::Error::other("more than the last answer came")),
        }
    }

    /// A read beside the poller.
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

    /// A write beside the poller.
    fn write_directly(&mut self, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = unless_blocked(|| (&*SockRef::from(&self.stream)).write(bytes));
        self.short_write = wrote.is_some();
        wrote.map_or(Poll::Pending, Poll::Ready)
    }

    fn count(&self, done: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match done {
            Poll::Ready(Ok(bytes)) => self.tally.wrote(bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.tally.held_up(),
        }
        done
    }
}

impl<T: IoObserver> AsyncRead for ObservedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        into: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let (before, room) = (into.filled().len(), into.remaining());
        let mut done = Pin::new(&mut self.stream).poll_read(cx, into);
        while is_interrupted(&done) {
            done = Pin::new(&mut self.stream).poll_read(cx, into);
        }
        if done.is_ready() {
            self.short_read = into.filled().len() - before < room;
        } else if self.short_read && self.tally.expects_more() {
            done = self.read_directly(into);
        }
        if into.filled().len() > before {
            self.tally.read(into.filled().len() - before);
        }
        done
    }
}

impl<T: IoObserver> AsyncWrite for ObservedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.clear()?;
        let mut done = Pin::new(&mut self.stream).poll_write(cx, bytes);
        while is_interrupted(&done) {
            done = Pin::new(&mut self.stream).poll_write(cx, bytes);
        }
        match done {
            Poll::Ready(Ok(wrote)) => self.short_write = wrote < bytes.len(),
            Poll::Pending if self.short_write => done = self.write_directly(bytes),
            _ => {}
        }
        self.count(done)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.clear()?;
        let mut done = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        while is_interrupted(&done) {
            done = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        }
        self.count(done)
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
