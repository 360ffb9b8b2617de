//! A TCP stream that tells what passes through it, and looks before it writes to a connection at rest.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Hears of all bytes that the kernel gave or took.
pub trait Tally {
    fn read(&self, _bytes: usize) {}
    fn wrote(&self, _bytes: usize) {}
    /// The kernel takes no more for now: something is still to be written.
    fn held_up(&self) {}
    /// Whether the next write begins something new, on a connection where nothing may be waiting; asked once
    /// a write.
    fn begins(&self) -> bool {
        false
    }
}

pub struct Tallied<T> {
    stream: TcpStream,
    tally: Arc<T>,
}

impl<T: Tally> Tallied<T> {
    pub fn new(stream: TcpStream, tally: Arc<T>) -> Tallied<T> {
        Tallied { stream, tally }
    }

    /// Whether the kernel holds bytes that nobody has read.
    pub fn waits(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        matches!(peeked, Ok(1..))
    }

    /// Guards against bytes behind the last answer, which would be read as the next one's: asks the kernel, as
    /// the poller may not have told of them yet.
    fn clear(&self) -> io::Result<()> {
        if !self.tally.begins() {
            return Ok(());
        }
        match socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(0) => Err(io::ErrorKind::ConnectionAborted.into()),
            Ok(_) => Err(io::Error::other("more than the last answer came")),
        }
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

impl<T: Tally> AsyncRead for Tallied<T> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(cx, into);
        if into.filled().len() > before {
            self.tally.read(into.filled().len() - before);
        }
        done
    }
}

impl<T: Tally> AsyncWrite for Tallied<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.clear()?;
        let done = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.count(done)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.clear()?;
        let done = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
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
