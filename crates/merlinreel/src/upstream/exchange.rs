//! Sends one request on a connection and reads its response, and derives the outcome of an attempt that is interrupted.

use super::attempt::Attempt;
use super::body_buffer::{BodyError, ResponseReader};
use super::connection::UpstreamConnection;
use super::message::{DecodedResponse, decode, encode, wire_length};
use super::open_connection::{OpenConnection, WriteObserver};
use super::response::{
    ReceivedBody, ReceivedResponse, ResponseError, ResponseLimits, receive, within,
};
use crate::log;
use crate::messages::streaming_body::StreamEnd;
use crate::messages::{AttemptId, AttemptProgress, Event};
use crate::telemetry::metrics::class_of;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use merlinreel_policy::{AttemptOutcome, BodyLength};
use std::time::{Duration, Instant};
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
        /// Time from the start of the attempt until the first bytes of the body arrived.
        latency: Duration,
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
            Ok(response) => Ok(self.decode_response(response, open, attempt.started)),
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
        let limits = self.response_limits();
        let report_progress = self.progress_reporter(attempt.attempt_id);
        let reader = ResponseReader {
            started: attempt.started,
            deadline: attempt.deadline,
            earlier_response_age: attempt.earlier_response_age,
            report_progress: &report_progress,
        };
        let head = async {
            sender.ready().await?;
            sender.send_request(request).await
        };
        let response = async {
            let response = within(attempt.deadline, head).await??;
            receive(response, &limits, &reader).await
        };
        let write_deadline =
            wait_for_missed_write_deadline(attempt.effective_write_deadline(), observer, range);
        tokio::pin!(response, write_deadline);
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
                    if matches!(error, ResponseError::Body(BodyError::DeadlineExceeded)) {
                        return AttemptOutcome::DeadlineExceeded;
                    }
                    let stage = if observer.bytes_written() < range.end { "before" } else { "after" };
                    log!(
                        "server at {}: attempt failed {stage} its last byte was written: {error}; \
                         the server can have run the request only if that byte was written",
                        self.address
                    );
                    AttemptOutcome::ConnectionLost
                }),
            }
        }
    }

    fn response_limits(&self) -> ResponseLimits {
        ResponseLimits {
            memory: self.response_memory.clone(),
            max_buffered_bytes: self.limits.max_body_bytes,
            max_announced_bytes: self.limits.upstream.max_streaming_bytes,
            max_pause: self.limits.upstream.max_streaming_pause,
        }
    }

    /// Reports to the event loop that more of an attempt's response has arrived, unless its queue is full.
    fn progress_reporter(
        &self,
        attempt_id: AttemptId,
    ) -> impl Fn(BodyLength) -> bool + Sync + use<> {
        let queue = self.queue.clone();
        move |length| {
            let progress = AttemptProgress { attempt_id, length };
            queue.try_send(Event::ResponseProgress(progress)).is_ok()
        }
    }

    fn decode_response(
        &self,
        response: ReceivedResponse,
        open: &OpenConnection,
        started: Instant,
    ) -> Exchange {
        let carries_load = self.responses_carry_load;
        match response.body {
            ReceivedBody::Complete(body) => {
                open.observer.set_idle();
                Exchange::Complete {
                    response: decode(response.head, body, None, carries_load),
                    reusable: response.is_self_delimited,
                }
            }
            ReceivedBody::Streaming {
                body,
                end,
                first_bytes_at,
            } => Exchange::Streaming {
                response: decode(response.head, Bytes::new(), Some(body), carries_load),
                latency: first_bytes_at.saturating_duration_since(started),
                end,
            },
        }
    }
}
