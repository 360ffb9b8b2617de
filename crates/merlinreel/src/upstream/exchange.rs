//! One request and its response on a connection, and what the end of an attempt proves.

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

/// An attempt whose response may go to the client.
pub enum Exchange {
    /// Complete.
    Complete {
        /// The response.
        response: DecodedResponse,
        /// The connection may carry another attempt; else it closes.
        reusable: bool,
    },
    /// Long and still arriving: the connection serves this response alone until its end.
    Streaming {
        /// The response.
        response: DecodedResponse,
        /// Receives how the body ended.
        end: oneshot::Receiver<StreamEnd>,
    },
}

/// Where a request lies among the bytes that are written to a connection.
#[derive(Clone, Copy)]
struct WriteRange {
    /// Bytes written before it.
    start: u64,
    /// Bytes written with its last one.
    end: u64,
}

/// What an interrupted attempt proves. Short of the last byte no server can have run the request.
fn interrupted_outcome(interruption: AttemptOutcome, fully_written: bool) -> AttemptOutcome {
    match interruption {
        _ if fully_written => interruption,
        // The server took the connection and would not have the attempt: it is neither down nor restarted.
        AttemptOutcome::ConnectionLost => AttemptOutcome::Rejected,
        _ => AttemptOutcome::NotSent,
    }
}

/// Waits until `written_by`, and further without end where the last byte was written by then.
async fn wait_for_unwritten(written_by: Instant, observer: &WriteObserver, range: WriteRange) {
    sleep_until(written_by.into()).await;
    if observer.bytes_written() >= range.end {
        std::future::pending::<()>().await;
    }
}

impl UpstreamConnection {
    /// Makes an attempt on a connection that is up.
    ///
    /// # Errors
    ///
    /// The outcome of an attempt without a response; the connection must be closed.
    pub(super) async fn exchange(
        &mut self,
        open: &mut OpenConnection,
        attempt: &Attempt,
    ) -> Result<Exchange, AttemptOutcome> {
        // The clock itself is read, as a timer may fire a millisecond late.
        if attempt.written_by() <= Instant::now() {
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
        // Nothing is written any more.
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

    /// Sends the request and waits for its response, or for what interrupts the attempt.
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
        let response = async {
            sender.ready().await?;
            receive(sender.send_request(request).await?, &memory, max_bytes).await
        };
        let deadline = sleep_until_caught_up(attempt.deadline);
        let write_deadline = wait_for_unwritten(attempt.written_by(), observer, range);
        tokio::pin!(response, deadline, write_deadline);
        let has_started = || observer.bytes_written() > range.start;
        loop {
            tokio::select! {
                biased;
                () = self.wait_for_cancellation(attempt.attempt_id, has_started) => {
                    return Err(AttemptOutcome::Cancelled);
                }
                // Before anything more is written: where the connection came up late or takes the request in parts, a
                // retry with an idempotency key must not arrive after the servers have forgotten the key.
                () = &mut write_deadline => return Err(AttemptOutcome::DeadlineExceeded),
                // Before the response, as that is what it reads: the response is then there in the same poll.
                result = http.as_mut(), if !*ended => {
                    self.record_connection_end(result);
                    *ended = true;
                }
                response = &mut response => return response.map_err(|error| {
                    let part = if observer.bytes_written() < range.end { "before" } else { "after" };
                    log!("server at {}: connection broke {part} an attempt's last byte: {error}", self.address);
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
