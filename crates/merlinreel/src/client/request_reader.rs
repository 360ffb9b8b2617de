//! Reads a complete request, passes it to the event loop, and responds to it.

use super::body::BodyDeadline;
use super::connection::ClientConnection;
use super::decode::{REQUEST_ID, decode};
use super::framing::{self, ObservedHead};
use super::in_flight::{DisconnectGuard, InFlightGuard};
use super::listener::ClientListener;
use super::response::{encode, with_connection_close};
use crate::admission::AdmissionPermit;
use crate::log;
use crate::messages::streaming_body::ResponseBody;
use crate::messages::{Event, IncomingRequest, UpstreamRequest};
use crate::net::text_response::text_response;
use crate::upstream::strip_hop_by_hop;
use http_body_util::{Either, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode, Uri};
use merlinreel_policy::Request;
use std::sync::atomic::Ordering;
use std::time::Instant;
use tokio::sync::oneshot;

/// The path of the platform's readiness check.
pub const UP_PATH: &str = "/up";

/// A request whose head is decoded and whose body is read completely.
struct CompleteRequest {
    request: Request,
    upstream_request: UpstreamRequest,
}

impl ClientListener {
    /// Reads a request and returns the response to it. The client's remaining time counts from `head_arrived_at`, the
    /// earliest time known here.
    pub(super) async fn respond(
        &self,
        request: hyper::Request<Incoming>,
        head: ObservedHead,
        head_arrived_at: Instant,
        client_connection: &ClientConnection,
    ) -> Response<ResponseBody> {
        if let Err(error) = framing::check(request.headers(), head) {
            log!("clients: request rejected with 400: {error}");
            let response = text_response(StatusCode::BAD_REQUEST, format!("{error}\n"));
            return with_connection_close(response).map(Either::Left);
        }
        if request.uri().path() == UP_PATH {
            return self.respond_to_up(client_connection).map(Either::Left);
        }
        // The request must be complete by then, whatever remaining time the client claims.
        let request_due = client_connection
            .request_due(&self.limits)
            .min(Instant::now() + self.limits.client.request_timeout);
        client_connection.mark_partial();
        let length = request.body().size_hint().exact();
        let read = self
            .read_request(request, head_arrived_at, request_due, client_connection)
            .await;
        let complete = match read {
            Ok(complete) => complete,
            Err(response) => return with_connection_close(response).map(Either::Left),
        };
        // A body of announced length ends that many bytes after its head, a chunked one where the HTTP library has read to.
        match length {
            Some(length) => client_connection.consume_body(length),
            None => client_connection.consume_delivered(),
        }
        let in_flight = InFlightGuard::new(self, client_connection);
        if in_flight.preceding >= self.limits.client.max_served_connections {
            self.metrics.count_excess_connection();
            return respond_too_many(client_connection).map(Either::Left);
        }
        // During a shutdown requests are answered by the shutdown deadline at the latest.
        let client_deadline = head_arrived_at + complete.request.remaining_time;
        let deadline = self
            .shutdown_deadline()
            .map_or(client_deadline, |deadline| client_deadline.min(deadline));
        self.submit(complete, deadline, client_connection).await
    }

    /// Responds to a readiness check: 200 if the limiter is serving, otherwise 503.
    fn respond_to_up(&self, client_connection: &ClientConnection) -> Response<Full<Bytes>> {
        let status = if self.is_serving() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        // Otherwise a shutdown would take the check for a partial request and wait for the rest of it.
        client_connection.mark_idle();
        text_response(status, String::new())
    }

    /// Decodes a request's head and reads its body. The request is admitted only once it is complete, so that a connection
    /// with an incomplete one can be evicted.
    ///
    /// # Errors
    ///
    /// The response to a request that is not accepted.
    async fn read_request(
        &self,
        request: hyper::Request<Incoming>,
        head_arrived_at: Instant,
        request_due: Instant,
        client_connection: &ClientConnection,
    ) -> Result<CompleteRequest, Response<Full<Bytes>>> {
        let (head, body) = request.into_parts();
        // A request keeps the settings that were active when its head was read, even if others are loaded later.
        let active_settings = self.active_settings.borrow().clone();
        let mut request = decode(&head, &active_settings.settings)
            .map_err(|error| text_response(StatusCode::BAD_REQUEST, format!("{error}\n")))?;
        let id_refusal = active_settings.settings.classes[request.class].id_refusal();
        request.class = active_settings.indices[request.class];
        let mut reserved = None;
        let body = if body.is_end_stream() {
            Bytes::new()
        } else {
            let allowed = head.method != Method::GET;
            let deadline = BodyDeadline {
                request_due,
                client_deadline: head_arrived_at + request.remaining_time,
                started: Instant::now(),
            };
            let buffered = self
                .read_body(body, allowed, deadline, client_connection)
                .await
                .map_err(|error| error.response())?;
            reserved = Some(buffered.reserved);
            buffered.bytes
        };
        let permit = head
            .headers
            .get(REQUEST_ID)
            .and_then(|id| self.permits.admit(id, id_refusal, reserved))
            .ok_or_else(respond_id_in_use)?;
        Ok(CompleteRequest {
            request,
            upstream_request: upstream_request(head, body, permit),
        })
    }

    /// Passes a request to the event loop and waits for the response.
    async fn submit(
        &self,
        complete: CompleteRequest,
        deadline: Instant,
        client_connection: &ClientConnection,
    ) -> Response<ResponseBody> {
        let request_id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (response_sender, response) = oneshot::channel();
        let incoming = IncomingRequest {
            request_id,
            request: complete.request,
            deadline,
            upstream_request: complete.upstream_request,
            response_sender,
        };
        let mut disconnect = DisconnectGuard::new(client_connection, request_id);
        let queued = self.queue.send(Event::Request(Box::new(incoming))).await;
        if queued.is_err() {
            let unavailable = text_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
            return with_connection_close(unavailable).map(Either::Left);
        }
        let response = response.await;
        disconnect.disarm();
        match response {
            Ok(response) => encode(response),
            // The event loop has ended; the request's outcome is unknown.
            Err(_) => {
                let bad_gateway = text_response(StatusCode::BAD_GATEWAY, String::new());
                with_connection_close(bad_gateway).map(Either::Left)
            }
        }
    }
}

/// The response above `max_served_connections`. The connection slots between that and `max_connections` serve to reject
/// clients at once. Pipelined requests each get this response, so only the last one announces the close.
fn respond_too_many(client_connection: &ClientConnection) -> Response<Full<Bytes>> {
    let response = text_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "too many connections\n".to_owned(),
    );
    if client_connection.has_pipelined_input() {
        response
    } else {
        with_connection_close(response)
    }
}

/// The response if a request with the same id is in flight, or has ended and may have run.
fn respond_id_in_use() -> Response<Full<Bytes>> {
    text_response(
        StatusCode::CONFLICT,
        "x-txn: such a job is open\n".to_owned(),
    )
}

/// The request as servers receive it. Its target is path and query only, also if the client sent an absolute URI.
fn upstream_request(mut head: Parts, body: Bytes, permit: AdmissionPermit) -> UpstreamRequest {
    strip_hop_by_hop(&mut head.headers);
    let uri = match head.uri.authority() {
        Some(_) => head
            .uri
            .path_and_query()
            .cloned()
            .map(Uri::from)
            .unwrap_or_default(),
        None => head.uri,
    };
    UpstreamRequest {
        method: head.method,
        uri,
        headers: head.headers,
        body,
        permit: Some(permit),
    }
}
