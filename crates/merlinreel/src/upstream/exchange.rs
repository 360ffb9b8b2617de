//! Sends one request on a connection and reads its response, and derives the outcome of an attempt that is interrupted.

use super::attempt::Attempt;
use super::connection::UpstreamConnection;
use super::message::{DecodedResponse, decode, encode, wire_length};
use super::open_connection::{OpenConnection, WriteObserver};
use super::response::{ReceivedBody, ReceivedResponse, receive};
use crate::log;
use crate::messages::streaming_body::StreamEnd;
use crate::net::late_deadline::sleep_until_caught_up;
use crate::telemetry::metrics::class_of;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use merlinreel_policy::AttemptOutcome;
use std::time::Instant;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

/// The response to an attempt, and whether its connection can be reused.
pub enum Exchange {
    /// The response was received completely.
    Complete {
        /// The response with its complete body.
        response: DecodedResponse,
        /// Whether the connection may carry another attempt; if not, it must be closed.
        reusable: bool,
    },
    /// The body is long and still arriving; the connection carries this response only, and closes at its end.
    Streaming {
        /// The response; its body streams to the client.
        response: DecodedResponse,
        /// Receives how the body ended.
        end: oneshot::Receiver<StreamEnd>,
    },
}

/// The range of a request in the bytes written to a connection since it opened.
#[derive(Clone, Copy)]
struct WriteRange {
    /// Bytes written before the request.
    start: u64,
    /// Bytes written up to and including the request's last byte.
    end: u64,
}

/// The outcome of an interrupted attempt. A server cannot have run a request whose last byte was not written.
fn interrupted_outcome(interruption: AttemptOutcome, fully_written: bool) -> AttemptOutcome {
    match interruption {
        _ if fully_written => interruption,
        // The server accepted the connection and closed it before it had the complete request: it is neither down nor
        // restarted.
        AttemptOutcome::ConnectionLost => AttemptOutcome::Rejected,
        _ => AttemptOutcome::NotSent,
    }
}

/// Completes at `write_deadline` if the request's last byte has not been written by then, otherwise never.
async fn wait_for_missed_write_deadline(
    write_deadline: Instant,
    observer: &WriteObserver,
    range: WriteRange,
) {
    sleep_until(write_deadline.into()).await;
    if observer.bytes_written() >= range.end {
        std::future::pending::<()>().await;
    }
}

impl UpstreamConnection {
    /// Makes an attempt on an open connection.
    ///
    /// # Errors
    ///
    /// The outcome of an attempt without a usable response; the connection must be closed.
    pub(super) async fn exchange(
        &mut self,
        open: &mut OpenConnection,
        attempt: &Attempt,
    ) -> Result<Exchange, AttemptOutcome> {
        // Checked against the clock, because a timer may fire a millisecond late.
        if attempt.effective_write_deadline() <= Instant::now() {
            return Err(AttemptOutcome::NotSent);
        }
        let remaining_time = attempt.deadline.saturating_duration_since(Instant::now());
        let request = encode(&attempt.upstream_request, remaining_time);
        let start = open.observer.bytes_written();
        let length = wire_length(&request, attempt.upstream_request.body.len());
        let range = WriteRange {
            start,
            end: start + length,
        };
        let result = self.await_response(open, attempt, request, range).await;
        // The connection is no longer polled, so nothing more is written.
        let fully_written = open.observer.bytes_written() >= range.end;
        if result.is_ok() || fully_written {
            self.metrics
                .count_attempt(class_of(attempt.upstream_request.uri.path()));
        }
        match result {
            Ok(response) => Ok(self.decode_response(response, open)),
            Err(interruption) => Err(interrupted_outcome(interruption, fully_written)),
        }
    }

    /// Sends the request and waits for its response, or until the attempt is interrupted.
    async fn await_response(
        &mut self,
        open: &mut OpenConnection,
        attempt: &Attempt,
        request: Request<Full<Bytes>>,
        range: WriteRange,
    ) -> Result<ReceivedResponse, AttemptOutcome> {
        let OpenConnection {
            sender,
            http,
            observer,
            ended,
        } = open;
        let memory = self.response_memory.clone();
        let max_bytes = self.limits.upstream.max_streaming_bytes;
        let max_pause = self.limits.upstream.max_streaming_pause;
        let response = async {
            sender.ready().await?;
            receive(
                sender.send_request(request).await?,
                &memory,
                max_bytes,
                max_pause,
            )
            .await
        };
        let deadline = sleep_until_caught_up(attempt.deadline);
        let write_deadline =
            wait_for_missed_write_deadline(attempt.effective_write_deadline(), observer, range);
        tokio::pin!(response, deadline, write_deadline);
        let has_started = || observer.bytes_written() > range.start;
        loop {
            tokio::select! {
                biased;
                () = self.wait_for_cancellation(attempt.attempt_id, has_started) => {
                    return Err(AttemptOutcome::Cancelled);
                }
                // Polled before the connection, so that nothing more is written once the deadline has passed: if the
                // connection opened late or takes the request in parts, a retry with an idempotency key must not arrive
                // after the servers have forgotten the key.
                () = &mut write_deadline => return Err(AttemptOutcome::DeadlineExceeded),
                // Polled before the response: polling the connection reads the response, which is then ready in the
                // same poll.
                result = http.as_mut(), if !*ended => {
                    self.record_connection_end(result);
                    *ended = true;
                }
                response = &mut response => return response.map_err(|error| {
                    let stage = if observer.bytes_written() < range.end { "before" } else { "after" };
                    log!(
                        "server at {}: attempt failed {stage} its last byte was written: {error}; \
                         the server can have run the request only if that byte was written",
                        self.address
                    );
                    AttemptOutcome::ConnectionLost
                }),
                () = &mut deadline => return Err(AttemptOutcome::DeadlineExceeded),
            }
        }
    }

    fn decode_response(&self, response: ReceivedResponse, open: &OpenConnection) -> Exchange {
        let carries_load = self.responses_carry_load;
        match response.body {
            ReceivedBody::Complete(body) => {
                open.observer.set_idle();
                Exchange::Complete {
                    response: decode(response.head, body, None, carries_load),
                    reusable: response.is_self_delimited,
                }
            }
            ReceivedBody::Streaming { body, end } => Exchange::Streaming {
                response: decode(response.head, Bytes::new(), Some(body), carries_load),
                end,
            },
        }
    }
}
