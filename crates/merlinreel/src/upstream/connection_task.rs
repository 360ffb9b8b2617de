//! The task of one connection to a server: makes one attempt at a time and reports the result of each.

use super::attempt::{Attempt, Command};
use super::connection::UpstreamConnection;
use super::exchange::Exchange;
use super::message::DecodedResponse;
use super::open_connection::{OpenConnection, connect};
use crate::messages::streaming_body::StreamEnd;
use crate::messages::{AttemptCompletion, AttemptId, Event};
use merlinreel_policy::AttemptOutcome;
use std::pin::pin;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::{sleep, sleep_until};

/// The parts of an attempt that its result needs, kept after the request is dropped.
#[derive(Clone, Copy)]
struct StartedAttempt {
    attempt_id: AttemptId,
    started: Instant,
}

impl StartedAttempt {
    fn of(attempt: &Attempt) -> StartedAttempt {
        StartedAttempt {
            attempt_id: attempt.attempt_id,
            started: attempt.started,
        }
    }
}

impl UpstreamConnection {
    /// Makes `attempt` and the attempts that follow it, until the connection closes. The permit is released at that
    /// time.
    pub async fn run(mut self, mut attempt: Attempt, _permit: OwnedSemaphorePermit) {
        let mut idle: Option<OpenConnection> = None;
        loop {
            let started = StartedAttempt::of(&attempt);
            let mut open = match idle.take() {
                Some(open) => open,
                None => match self.open(&attempt).await {
                    Ok(open) => open,
                    Err(outcome) => return self.report_outcome(started, outcome).await,
                },
            };
            let written_before = open.observer.bytes_written();
            let result = match self.exchange(&mut open, &attempt).await {
                // The server closed the connection while it was idle, or sent unsolicited bytes on it, and none of this
                // request was written: the attempt is made on a new connection.
                Err(AttemptOutcome::Rejected)
                    if written_before > 0 && open.observer.bytes_written() == written_before =>
                {
                    continue;
                }
                result => result,
            };
            // Frees the request's memory before the connection becomes idle.
            drop(attempt);
            match result {
                Ok(Exchange::Complete { response, reusable }) => {
                    self.report(started, response, started.started.elapsed(), reusable)
                        .await;
                    if !reusable {
                        return;
                    }
                }
                Ok(Exchange::Streaming {
                    response,
                    latency,
                    end,
                }) => {
                    self.report(started, response, latency, false).await;
                    return drive_until_stream_ends(open, end).await;
                }
                Err(outcome) => {
                    // The connection is closed before the result is reported, and so before the next attempt starts.
                    drop(open);
                    return self.report_outcome(started, outcome).await;
                }
            }
            let Some(next) = self.wait_for_attempt(&mut open).await else {
                return;
            };
            attempt = next;
            if !open.ended {
                idle = Some(open);
            }
        }
    }

    /// Opens a connection for an attempt; the error is the attempt's outcome.
    async fn open(&mut self, attempt: &Attempt) -> Result<OpenConnection, AttemptOutcome> {
        let connecting = connect(self.address, self.limits.connect_timeout);
        let stream = tokio::select! {
            biased;
            () = self.wait_for_cancellation(attempt.attempt_id, || false) => {
                return Err(AttemptOutcome::NotSent);
            }
            result = connecting => result?,
            () = sleep_until(attempt.effective_write_deadline().into()) => {
                return Err(match attempt.write_deadline {
                    Some(_) => AttemptOutcome::NotSent,
                    None => AttemptOutcome::Unreachable,
                });
            }
        };
        OpenConnection::new(stream, &self.limits, self.unsolicited_bytes.clone())
            .await
            .map_err(|_| AttemptOutcome::Unreachable)
    }

    /// Waits for the next attempt, until the connection ends or has reached its idle timeout. `None` if no attempt
    /// follows.
    async fn wait_for_attempt(&mut self, open: &mut OpenConnection) -> Option<Attempt> {
        let idle_timeout = sleep(self.limits.upstream.idle_timeout);
        tokio::pin!(idle_timeout);
        loop {
            tokio::select! {
                biased;
                result = open.http.as_mut(), if !open.ended => {
                    self.record_connection_end(result);
                    open.ended = true;
                }
                command = self.commands.recv(), if !open.ended => match command? {
                    Command::Start(attempt) => return Some(attempt),
                    Command::Cancel(_) | Command::CancelIfNotStarted(_) => {}
                },
                () = &mut idle_timeout, if !open.ended => open.ended = true,
                else => break,
            }
        }
        self.take_queued_attempt().await
    }

    /// Returns an attempt that was commanded while the connection was ending; it is made on a new connection. If there
    /// is none, closes the command channel, and reports an attempt that arrived before it was closed as not sent.
    async fn take_queued_attempt(&mut self) -> Option<Attempt> {
        while let Ok(command) = self.commands.try_recv() {
            if let Command::Start(attempt) = command {
                return Some(attempt);
            }
        }
        self.commands.close();
        while let Some(command) = self.commands.recv().await {
            if let Command::Start(attempt) = command {
                self.report_outcome(StartedAttempt::of(&attempt), AttemptOutcome::NotSent)
                    .await;
            }
        }
        None
    }

    /// Reports an attempt that ended without a response.
    async fn report_outcome(&self, attempt: StartedAttempt, outcome: AttemptOutcome) {
        let response = DecodedResponse::without_response(outcome);
        self.report(attempt, response, attempt.started.elapsed(), false)
            .await;
    }

    async fn report(
        &self,
        attempt: StartedAttempt,
        response: DecodedResponse,
        latency: Duration,
        reusable: bool,
    ) {
        let completion = AttemptCompletion {
            attempt_id: attempt.attempt_id,
            outcome: response.outcome,
            latency,
            units: response.units,
            load: response.load,
            upstream_response: response.upstream_response,
            reusable,
        };
        let _ = self.queue.send(Event::AttemptCompleted(completion)).await;
    }
}

/// Keeps reading from the connection until the client has received the complete response or has disconnected, which can
/// take minutes; then closes the connection.
async fn drive_until_stream_ends(mut open: OpenConnection, end: oneshot::Receiver<StreamEnd>) {
    let mut end = pin!(end);
    while !open.ended {
        tokio::select! {
            _ = &mut end => return,
            _ = open.http.as_mut() => open.ended = true,
        }
    }
}
