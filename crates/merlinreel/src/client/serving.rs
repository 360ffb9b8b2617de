//! Serves one client connection, request by request, until it ends or is closed between requests.

use super::connection::ClientConnection;
use super::in_flight::StreamingGuard;
use super::listener::ClientListener;
use super::request_reader::UP_PATH;
use super::stream::ClientStream;
use crate::log;
use crate::messages::streaming_body::ResponseBody;
use crate::net::late_deadline::EXTRA_POLL_TIME;
use crate::sync::lock;
use crate::telemetry::metrics::{ResponseOutcome, class_of};
use http_body_util::Either;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// A client connection as the HTTP library reads and writes it.
type HttpStream = TokioIo<ClientStream>;

/// Maximum number of times a connection that reads a body is polled before other tasks run.
const MAX_POLLS_PER_TURN: usize = 32;

impl ClientListener {
    /// Serves a connection until it has ended or is closed.
    pub(super) async fn serve_connection(
        self: &Arc<ClientListener>,
        stream: TcpStream,
        client_connection: Arc<ClientConnection>,
    ) {
        let _ = stream.set_nodelay(true);
        let mut stream = TokioIo::new(ClientStream::new(
            stream,
            client_connection.clone(),
            &self.limits,
            self.permits.clone(),
            self.stall_monitor.clone(),
        ));
        while let Some(mut idle) = self.serve_until_idle(stream, &client_connection).await {
            // The socket itself is checked last, as the close must not cut off data that the poller has not reported yet.
            if !idle.inner().has_unread() {
                return idle.inner_mut().close().await;
            }
            stream = idle;
        }
    }

    /// Serves a connection until its end, or until it is to be closed between requests. In that case the stream is
    /// returned: the caller closes it, or serves it again if data has arrived, in which case the response announces the
    /// close.
    async fn serve_until_idle(
        self: &Arc<ClientListener>,
        stream: HttpStream,
        client_connection: &Arc<ClientConnection>,
    ) -> Option<HttpStream> {
        let mut connection = Builder::new()
            .header_read_timeout(None)
            .max_buf_size(self.limits.max_head_bytes)
            .serve_connection(
                stream,
                service_fn(|request| self.accept_request(request, client_connection)),
            );
        let close_timer = sleep(Duration::ZERO);
        // One timer per connection that checks its last use costs less than one timer per request.
        let idle_timer = sleep(self.limits.client.request_timeout);
        tokio::pin!(close_timer, idle_timer);
        let mut is_closing = false;
        // A connection is polled once more before it is closed, as a request may have arrived and not been read.
        let poll_end = || tokio::time::Instant::now() + EXTRA_POLL_TIME;
        loop {
            tokio::select! {
                biased;
                () = poll_fn(|cx| poll_connection(&mut connection, client_connection, cx)) => return None,
                () = &mut close_timer, if is_closing => {
                    if client_connection.closing.load(Ordering::Relaxed) {
                        // The connection was evicted during its lingering close.
                        return None;
                    }
                    if client_connection.is_evictable(&self.limits) {
                        let parts = connection.into_parts();
                        return reclaim_idle(parts.io, parts.read_buf, client_connection).await;
                    }
                    // The connection is no longer idle; the response to its request announces the close. The HTTP
                    // library's graceful shutdown is not used: it would end a connection with half a head, and never one
                    // that sent nothing.
                    is_closing = false;
                }
                () = &mut idle_timer, if !is_closing => {
                    let now = Instant::now();
                    let request_due = client_connection.request_due(&self.limits);
                    if request_due <= now && client_connection.is_evictable(&self.limits) {
                        is_closing = true;
                        close_timer.as_mut().reset(poll_end());
                    }
                    idle_timer.as_mut().reset(self.next_idle_check(now, request_due).into());
                }
                () = client_connection.close_requested.notified(), if !is_closing => {
                    is_closing = true;
                    close_timer.as_mut().reset(poll_end());
                }
            }
        }
    }

    /// When a connection is checked again: often enough that a partial request, which may begin at any time, ends on time.
    fn next_idle_check(&self, now: Instant, request_due: Instant) -> Instant {
        let latest = now + self.limits.client.request_timeout / 4;
        if request_due > now {
            request_due.min(latest)
        } else {
            latest
        }
    }

    /// Accepts a request that the HTTP library hands over. The observations of its head are copied here and not when the
    /// future is first polled, as the library may have read the next head by then.
    fn accept_request(
        self: &Arc<ClientListener>,
        request: Request<Incoming>,
        client_connection: &Arc<ClientConnection>,
    ) -> impl Future<Output = Result<Response<ResponseBody>, Infallible>> + use<> {
        let client_listener = self.clone();
        let client_connection = client_connection.clone();
        let head = client_connection.last_head();
        let head_arrived_at = client_connection.head_arrived_at();
        client_connection.consume_delivered();
        async move {
            let class = class_of(request.uri().path()).to_owned();
            let is_counted = request.uri().path() != UP_PATH;
            let mut response = client_listener
                .respond(request, head, head_arrived_at, &client_connection)
                .await;
            let outcome = ResponseOutcome::from_status(response.status());
            match response.body_mut() {
                Either::Right(streaming) => streaming.set_observer(Box::new(StreamingGuard::new(
                    client_listener.clone(),
                    client_connection.clone(),
                    class,
                ))),
                Either::Left(_) if is_counted => {
                    client_listener.metrics.count_response(&class, outcome);
                }
                Either::Left(_) => {}
            }
            if client_listener.announces_close(&client_connection) {
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response)
        }
    }

    /// Whether a response announces that its connection closes, so that the client sends no further request into the close.
    /// With pipelined requests only the last response does, so that each is answered, unless pipelined data was dropped
    /// or the shutdown's response grace is over.
    fn announces_close(&self, client_connection: &ClientConnection) -> bool {
        let must_close = self.announcing_close.load(Ordering::Relaxed)
            || client_connection.evicted.load(Ordering::Relaxed);
        let grace_is_over = self.shutdown_deadline().is_some_and(|deadline| {
            deadline + self.limits.shutdown.response_grace <= Instant::now()
        });
        client_connection.overflowed.load(Ordering::Relaxed)
            || must_close && (grace_is_over || !client_connection.has_pipelined_input())
    }
}

/// Polls a connection repeatedly while it reads body data that has already arrived: the HTTP library passes on one frame
/// per poll, and a scheduler turn for each would cost more than the frame.
fn poll_connection<E>(
    mut connection: impl Future<Output = Result<(), E>> + Unpin,
    client_connection: &ClientConnection,
    cx: &mut Context,
) -> Poll<()> {
    for _ in 0..MAX_POLLS_PER_TURN {
        if Pin::new(&mut connection).poll(cx).is_ready() {
            return Poll::Ready(());
        }
        if !client_connection.take_body_progress() {
            break;
        }
    }
    // The HTTP library wakes this task for the remaining frames.
    Poll::Pending
}

/// Takes an idle connection back from the HTTP library. A connection with a partial request, whose time is over, is closed
/// and `None` returned.
async fn reclaim_idle(
    mut stream: HttpStream,
    read_buffer: Bytes,
    client_connection: &ClientConnection,
) -> Option<HttpStream> {
    let is_partial = lock(&client_connection.times).partial_since.is_some();
    if is_partial {
        log!("clients: request incomplete at its deadline; closing the connection");
        stream.inner_mut().close().await;
        return None;
    }
    stream.inner_mut().put_back(read_buffer);
    Some(stream)
}
