//! Guards for what is in flight on a client connection: a request, or a response that is still streaming.

use super::connection::ClientConnection;
use super::listener::ClientListener;
use crate::messages::Event;
use crate::messages::streaming_body::{StreamEnd, StreamObserver};
use crate::sync::lock;
use crate::telemetry::metrics::ResponseOutcome;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// Reports on drop that the client has disconnected, unless disarmed.
pub struct DisconnectGuard<'a> {
    client_connection: &'a ClientConnection,
    request_id: Option<u64>,
}

impl<'a> DisconnectGuard<'a> {
    /// Guards a request that is not answered yet.
    pub fn new(client_connection: &'a ClientConnection, request_id: u64) -> DisconnectGuard<'a> {
        DisconnectGuard {
            client_connection,
            request_id: Some(request_id),
        }
    }

    /// Disarms the guard, as the request is answered.
    pub fn disarm(&mut self) {
        self.request_id = None;
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(request_id) = self.request_id
            && let Some(disconnect_event) = lock(&self.client_connection.disconnect_event).take()
        {
            disconnect_event.send(Event::ClientDisconnected(request_id));
        }
    }
}

/// Counts a request as in flight until the guard is dropped.
pub struct InFlightGuard<'a> {
    client_listener: &'a ClientListener,
    client_connection: &'a ClientConnection,
    /// How many requests were in flight before this one.
    pub preceding: usize,
}

impl<'a> InFlightGuard<'a> {
    /// Counts a request that was received completely on the connection.
    pub fn new(
        client_listener: &'a ClientListener,
        client_connection: &'a ClientConnection,
    ) -> InFlightGuard<'a> {
        client_connection.busy.store(true, Ordering::Relaxed);
        client_connection.requests.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            client_listener,
            client_connection,
            preceding: client_listener.in_flight.fetch_add(1, Ordering::Relaxed),
        }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.client_listener
            .complete_request(self.client_connection);
    }
}

/// Counts a streaming response as in flight until the guard is dropped. Otherwise the connection would look idle once the
/// head is written: it could be closed, or a shutdown could end the process, before the end of the body.
pub struct StreamingGuard {
    client_listener: Arc<ClientListener>,
    client_connection: Arc<ClientConnection>,
    class: String,
}

impl StreamingGuard {
    /// Counts a streaming response to a request of `class`, the name under which its outcome is counted.
    pub fn new(
        client_listener: Arc<ClientListener>,
        client_connection: Arc<ClientConnection>,
        class: String,
    ) -> StreamingGuard {
        client_connection.busy.store(true, Ordering::Relaxed);
        client_listener.in_flight.fetch_add(1, Ordering::Relaxed);
        StreamingGuard {
            client_listener,
            client_connection,
            class,
        }
    }
}

impl StreamObserver for StreamingGuard {
    fn waits_for_server(&self, since: Option<Instant>) {
        lock(&self.client_connection.times).waits_for_server_since = since;
    }

    /// Counts the response's outcome: a response that was begun and not completed has failed.
    fn stream_ended(self: Box<Self>, end: StreamEnd) {
        let outcome = match end {
            StreamEnd::Complete => ResponseOutcome::Success,
            StreamEnd::Incomplete => ResponseOutcome::Failed,
        };
        self.client_listener
            .metrics
            .count_response(&self.class, outcome);
    }
}

impl Drop for StreamingGuard {
    fn drop(&mut self) {
        self.waits_for_server(None);
        self.client_listener
            .complete_request(&self.client_connection);
    }
}
