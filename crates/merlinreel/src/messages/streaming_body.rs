//! A long response body that is passed from a server to the client: the part that was already read, then the rest, which the
//! client's connection polls from the server's. Whatever its length, only the first part and the buffers of the two
//! connections are in memory. A channel reports to the server's connection how the body ended. A body whose server stalls
//! ends incomplete, so that it does not hold both connections for ever.

use crate::log;
use crate::net::late_deadline::sleep_until_caught_up;
use http_body_util::{Either, Full};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::oneshot;

/// The body of a response to a client: complete, or streaming.
pub type ResponseBody = Either<Full<Bytes>, StreamingBody>;

/// How a streaming body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The client's connection took the whole body.
    Complete,
    /// The server's connection failed, its server stalled, or the body was dropped before its end.
    Incomplete,
}

/// Why a streaming body ended incomplete.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The server's connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// The server sent nothing for the longest pause that is allowed.
    #[error("the server sent nothing for {0:?}")]
    Stalled(Duration),
}

/// Is notified of the pauses and the end of a streaming body, which owns it until then.
pub trait StreamObserver: Send + Sync {
    /// Called with the current time when the client could receive more than has arrived from the server, and with `None`
    /// when more has arrived.
    fn waits_for_server(&self, since: Option<Instant>);
    /// Called once when the body has ended or was dropped.
    fn stream_ended(self: Box<Self>, end: StreamEnd);
}

/// A body that is passed on to the client while it is received from the server.
pub struct StreamingBody {
    /// The part that was already read; polled first.
    first_part: Option<Bytes>,
    rest: Incoming,
    max_pause: Duration,
    /// Completes when the server has paused for too long; `None` while it is not waited for.
    pause: Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>,
    end_sender: Option<oneshot::Sender<StreamEnd>>,
    observer: Option<Box<dyn StreamObserver>>,
}

impl fmt::Debug for StreamingBody {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter
            .debug_struct("StreamingBody")
            .field("rest", &self.rest)
            .finish_non_exhaustive()
    }
}

impl StreamingBody {
    /// Creates a body from the part that was already read and the rest, with a channel that reports how the body ended.
    /// The body ends incomplete if its server sends nothing for `max_pause` while the client could receive more.
    pub fn new(
        first_part: Bytes,
        rest: Incoming,
        max_pause: Duration,
    ) -> (StreamingBody, oneshot::Receiver<StreamEnd>) {
        let (end_sender, end_receiver) = oneshot::channel();
        let body = StreamingBody {
            first_part: Some(first_part),
            rest,
            max_pause,
            pause: None,
            end_sender: Some(end_sender),
            observer: None,
        };
        (body, end_receiver)
    }

    /// Sets the observer, which is notified when the body has ended or is dropped.
    pub fn set_observer(&mut self, observer: Box<dyn StreamObserver>) {
        self.observer = Some(observer);
    }

    /// Waits for the next frame from the server, and for no longer than the longest pause.
    fn poll_rest(
        &mut self,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(context) {
            if self.pause.take().is_some() {
                self.report_wait(None);
            }
            return Poll::Ready(frame.map(|result| result.map_err(StreamError::from)));
        }
        let max_pause = self.max_pause;
        if self.pause.is_none() {
            self.report_wait(Some(Instant::now()));
        }
        let pause = self
            .pause
            .get_or_insert_with(|| Box::pin(sleep_until_caught_up(Instant::now() + max_pause)));
        if pause.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        log!("servers: a response was cut off: its server sent nothing for {max_pause:?}");
        Poll::Ready(Some(Err(StreamError::Stalled(max_pause))))
    }

    fn report_wait(&self, since: Option<Instant>) {
        if let Some(observer) = &self.observer {
            observer.waits_for_server(since);
        }
    }

    fn report_end(&mut self, end: StreamEnd) {
        if let Some(end_sender) = self.end_sender.take() {
            // The server's connection may have closed meanwhile.
            let _ = end_sender.send(end);
        }
        if let Some(observer) = self.observer.take() {
            observer.stream_ended(end);
        }
    }
}

impl Body for StreamingBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(first_part) = self.first_part.take() {
            return Poll::Ready(Some(Ok(Frame::data(first_part))));
        }
        let frame = ready!(self.poll_rest(context));
        match &frame {
            None => self.report_end(StreamEnd::Complete),
            // The error makes the client's connection close before the announced end of the body, so that the client
            // does not take an incomplete body for a complete one.
            Some(Err(_)) => self.report_end(StreamEnd::Incomplete),
            // The client's connection does not poll again after the last byte of a body of known length.
            Some(Ok(_)) if self.is_end_stream() => self.report_end(StreamEnd::Complete),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.first_part.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first_part = self.first_part.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        let mut total = SizeHint::new();
        total.set_lower(first_part + rest.lower());
        if let Some(upper) = rest.upper() {
            total.set_upper(first_part + upper);
        }
        total
    }
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        // The client disconnected, or the event loop discarded the response.
        self.report_end(StreamEnd::Incomplete);
    }
}
