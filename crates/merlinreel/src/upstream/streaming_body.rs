//! A server's long answer on its way to the client: what was read of it, then the server's body itself, pulled by
//! the client's connection, so that at most its beginning and the two connections' buffers are in memory whatever its
//! length. The server's connection is told when it has ended whole (`true`), broke off or was dropped (`false`).

use http_body_util::{Either, Full};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::oneshot;

/// What a client's answer carries: a body in hand, or one that flows.
pub type Reply = Either<Full<Bytes>, StreamingBody>;

pub struct StreamingBody {
    /// What was read of it; taken first.
    beginning: Option<Bytes>,
    body: Incoming,
    end: Option<oneshot::Sender<bool>>,
    /// What the client's side holds while the body flows, told and let go of at its end.
    held: Option<Box<dyn Held>>,
}

/// Held by a flow until its end, and told whether the body went on whole.
pub trait Held: Send + Sync {
    fn ended(self: Box<Self>, whole: bool);
}

impl std::fmt::Debug for StreamingBody {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        out.debug_struct("Flow")
            .field("body", &self.body)
            .finish_non_exhaustive()
    }
}

impl StreamingBody {
    /// The beginning of a body and the rest of it, and where its end is told.
    pub fn new(beginning: Bytes, body: Incoming) -> (StreamingBody, oneshot::Receiver<bool>) {
        let (end, ended) = oneshot::channel();
        (
            StreamingBody {
                beginning: Some(beginning),
                body,
                end: Some(end),
                held: None,
            },
            ended,
        )
    }

    /// Keeps `held` until the body has ended or is dropped.
    pub fn hold(&mut self, held: Box<dyn Held>) {
        self.held = Some(held);
    }

    fn tell(&mut self, whole: bool) {
        self.end.take().map(|end| end.send(whole));
        self.held
            .take()
            .into_iter()
            .for_each(|held| held.ended(whole));
    }
}

impl Body for StreamingBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        turn: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(beginning) = self.beginning.take() {
            return Poll::Ready(Some(Ok(Frame::data(beginning))));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(turn));
        match &frame {
            None => self.tell(true),
            // Guards the client against taking a part for the whole: the error ends its answer short.
            Some(Err(_)) => self.tell(false),
            // The client's connection asks no further where the length tells that this was the last.
            Some(Ok(_)) if self.is_end_stream() => self.tell(true),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.beginning.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (beginning, rest) = (
            self.beginning.as_ref().map_or(0, Bytes::len) as u64,
            self.body.size_hint(),
        );
        let mut whole = SizeHint::new();
        whole.set_lower(beginning + rest.lower());
        if let Some(upper) = rest.upper() {
            whole.set_upper(beginning + upper);
        }
        whole
    }
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        // A client that left, or an answer that the driver did not pass on.
        self.tell(false);
    }
}
