//! A long response body that is passed from a server to the client: the part that was already read, then the rest, which the
//! client's connection polls from the server's. Whatever its length, only the first part and the buffers of the two
//! connections are in memory. A channel reports to the server's connection how the body ended.

use http_body_util::{Either, Full};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::oneshot;

/// The body of a response to a client: complete, or streaming.
pub type ResponseBody = Either<Full<Bytes>, StreamingBody>;

/// How a streaming body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The client's connection took the whole body.
    Complete,
    /// The server's connection failed, or the body was dropped before its end.
    Incomplete,
}

/// Is notified of the end of a streaming body, which owns it until then.
pub trait StreamObserver: Send + Sync {
    /// Called once when the body has ended or was dropped.
    fn stream_ended(self: Box<Self>, end: StreamEnd);
}

/// A body that is passed on to the client while it is received from the server.
pub struct StreamingBody {
    /// The part that was already read; polled first.
    first_part: Option<Bytes>,
    rest: Incoming,
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
    pub fn new(first_part: Bytes, rest: Incoming) -> (StreamingBody, oneshot::Receiver<StreamEnd>) {
        let (end_sender, end_receiver) = oneshot::channel();
        let body = StreamingBody {
            first_part: Some(first_part),
            rest,
            end_sender: Some(end_sender),
            observer: None,
        };
        (body, end_receiver)
    }

    /// Sets the observer, which is notified when the body has ended or is dropped.
    pub fn set_observer(&mut self, observer: Box<dyn StreamObserver>) {
        self.observer = Some(observer);
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
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(first_part) = self.first_part.take() {
            return Poll::Ready(Some(Ok(Frame::data(first_part))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(context));
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
