//! A request taken in: read whole, handed to the driver as a job, and answered.

use super::ClientListener;
use super::body::BodyPatience;
use super::connection::ClientConnection;
use super::framing::{self, ObservedHead};
use super::in_flight::{DisconnectGuard, InFlightGuard};
use crate::client::decode::{TXN, decode, encode, last, respond};
use crate::log;
use crate::messages::streaming_body::ResponseBody;
use crate::messages::{Event, IncomingRequest, UpstreamRequest};
use crate::net::observed_stream::IoObserver;
use crate::upstream::strip_hop_by_hop;
use http_body_util::{Either, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::{Method, Response, StatusCode, Uri};
use merlinreel_policy::Request;
use std::sync::atomic::Ordering;
use std::time::Instant;
use tokio::sync::oneshot;

impl ClientListener {
    /// The answer to a request, whose head showed what is `observed` and came at `sent`: the client's time runs from its
    /// sending, and that is the earliest that is known of it here.
    pub(super) async fn request(
        &self,
        request: hyper::Request<Incoming>,
        observed: ObservedHead,
        sent: Instant,
        client_connection: &ClientConnection,
    ) -> Response<ResponseBody> {
        if let Err(error) = framing::check(request.headers(), observed) {
            log!("clients: {error}: 400");
            return last(respond(StatusCode::BAD_REQUEST, format!("{error}\n"))).map(Either::Left);
        }
        if request.uri().path() == "/up" {
            let status = if self.is_serving() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            // It rests again: else a stop would wait for the rest of a request.
            client_connection.rest();
            return respond(status, String::new()).map(Either::Left);
        }
        // The whole request must be there by then, whatever time the client claims to have.
        let due = client_connection
            .due(&self.limits)
            .min(Instant::now() + self.limits.client.request_timeout);
        client_connection.read(0);
        let length = request.body().size_hint().exact();
        let (job, upstream_request) = match self.read(request, sent, due, client_connection).await {
            Ok(whole) => whole,
            Err(answer) => return last(answer).map(Either::Left),
        };
        // A body of told length was counted from its head on, one in chunks ends where the library stands.
        match length {
            Some(length) => client_connection.extend_consumed(length),
            None => client_connection.consume(),
        }
        let hand = InFlightGuard::take(self, client_connection);
        // The places beyond are kept to say so to whoever comes, at once.
        if hand.number >= self.limits.client.max_served_connections {
            let busy = respond(
                StatusCode::SERVICE_UNAVAILABLE,
                "too many connections\n".to_owned(),
            );
            // Guards what was read behind it against a close with no answer: it is told the same, in its turn.
            let answer = if client_connection.more_was_read() {
                busy
            } else {
                last(busy)
            };
            return answer.map(Either::Left);
        }
        // A stop has its own end: what comes late has its answer by then.
        let until = sent + job.remaining_time;
        let until = self.stops_at().map_or(until, |end| until.min(end));
        self.job(job, upstream_request, until, client_connection)
            .await
    }

    /// The whole of a request, or what is wrong with it. Until it is there nothing is taken, so that one that is
    /// never whole can give way to others.
    async fn read(
        &self,
        request: hyper::Request<Incoming>,
        sent: Instant,
        due: Instant,
        client_connection: &ClientConnection,
    ) -> Result<(Request, UpstreamRequest), Response<Full<Bytes>>> {
        let (mut head, body) = request.into_parts();
        // A job keeps the rules that were in force when it came, whatever is read later.
        let active_settings = self.active_settings.borrow().clone();
        let mut job = decode(&head, &active_settings.settings)
            .map_err(|what| respond(StatusCode::BAD_REQUEST, what + "\n"))?;
        job.class = active_settings.indices[job.class];
        let mut room = None;
        let body = if body.is_end_stream() {
            Bytes::new()
        } else {
            let allowed = head.method != Method::GET;
            let patience = BodyPatience {
                due,
                gone: sent + job.remaining_time,
                begun: Instant::now(),
            };
            let read = self.body(body, allowed, patience, client_connection).await;
            let (body, claimed) = read.map_err(|error| error.answer())?;
            room = Some(claimed);
            body
        };
        let id = head
            .headers
            .get(TXN)
            .and_then(|id| self.permits.open(id, room));
        let permit = id.ok_or_else(|| {
            respond(
                StatusCode::CONFLICT,
                "x-txn: such a job is open\n".to_owned(),
            )
        })?;
        strip_hop_by_hop(&mut head.headers);
        // UpstreamPool get the path alone, whichever form the client's target had.
        let uri = match head.uri.authority() {
            Some(_) => head
                .uri
                .path_and_query()
                .cloned()
                .map(Uri::from)
                .unwrap_or_default(),
            None => head.uri,
        };
        let permit = Some(permit);
        Ok((
            job,
            UpstreamRequest {
                method: head.method,
                uri,
                headers: head.headers,
                body,
                permit,
            },
        ))
    }

    async fn job(
        &self,
        job: Request,
        upstream_request: UpstreamRequest,
        until: Instant,
        client_connection: &ClientConnection,
    ) -> Response<ResponseBody> {
        let request_id = self.request_ids.fetch_add(1, Ordering::Relaxed);
        let (answer, answered) = oneshot::channel();
        let arrival = IncomingRequest {
            request_id,
            request: job,
            deadline: until,
            upstream_request,
            response_sender: answer,
        };
        let mut attending = DisconnectGuard {
            client_connection,
            request_id: Some(request_id),
        };
        if self
            .queue
            .send(Event::Request(Box::new(arrival)))
            .await
            .is_err()
        {
            return last(respond(StatusCode::SERVICE_UNAVAILABLE, String::new())).map(Either::Left);
        }
        let answer = answered.await;
        attending.request_id = None;
        match answer {
            Ok(answer) => encode(answer),
            // The driver has ended; nothing is known of the job.
            Err(_) => last(respond(StatusCode::BAD_GATEWAY, String::new())).map(Either::Left),
        }
    }
}
