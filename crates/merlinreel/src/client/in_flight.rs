//! What is in hand at a client's connection: a request, or a long answer that flows.

use super::ClientListener;
use super::connection::{ClientConnection, lock};
use crate::messages::Event;
use crate::messages::streaming_body::{StreamEnd, StreamObserver};
use crate::telemetry::metrics::Outcome;

use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Tells the driver that the client has left, unless its job has been answered.
pub struct DisconnectGuard<'a> {
    pub client_connection: &'a ClientConnection,
    pub request_id: Option<u64>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(request_id) = self.request_id
            && let Some(place) = lock(&self.client_connection.leaving).take()
        {
            place.send(Event::ClientDisconnected(request_id));
        }
    }
}

/// A request in hand, answered or left at its end.
pub struct InFlightGuard<'a> {
    client_listener: &'a ClientListener,
    client_connection: &'a ClientConnection,
    /// How many there were before it.
    pub number: usize,
}

impl<'a> InFlightGuard<'a> {
    pub fn take(
        client_listener: &'a ClientListener,
        client_connection: &'a ClientConnection,
    ) -> InFlightGuard<'a> {
        client_connection.busy.store(true, Ordering::Relaxed);
        client_connection.requests.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            client_listener,
            client_connection,
            number: client_listener.in_flight.fetch_add(1, Ordering::Relaxed),
        }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.client_listener.let_go(self.client_connection);
    }
}

/// Keeps a client's connection busy, and its answer in hand, while a long answer flows on it. Guards the answer
/// against a connection that looks idle once its request is answered at the head, and is closed under the body,
/// and against a stop that ends the process with nothing else in hand.
pub struct Flowing {
    client_listener: Arc<ClientListener>,
    client_connection: Arc<ClientConnection>,
    class: String,
}

impl Flowing {
    pub fn new(
        client_listener: Arc<ClientListener>,
        client_connection: Arc<ClientConnection>,
        class: String,
    ) -> Flowing {
        client_connection.busy.store(true, Ordering::Relaxed);
        client_listener.in_flight.fetch_add(1, Ordering::Relaxed);
        Flowing {
            client_listener,
            client_connection,
            class,
        }
    }
}

impl StreamObserver for Flowing {
    /// An answer that the limiter began and could not complete has failed.
    fn stream_ended(self: Box<Self>, end: StreamEnd) {
        let outcome = match end {
            StreamEnd::Complete => Outcome::Served,
            StreamEnd::Incomplete => Outcome::Failed,
        };
        self.client_listener.metrics.answered(&self.class, outcome);
    }
}

impl Drop for Flowing {
    fn drop(&mut self) {
        self.client_listener.let_go(&self.client_connection);
    }
}
