//! The task of one connection to a server: one attempt at a time, and what each attempt's end proves.

use super::message::{DecodedResponse, decode, encode, wire_length};
use super::response::{Answer, receive};
use super::unsolicited::{UnaskedBytes, is_unasked};
use super::{Attempt, Command};
use crate::config::limits::Limits;
use crate::log;
use crate::messages::{AttemptCompletion, Event, Queue};
use crate::net::backoff::Backoff;
use crate::net::observed_stream::{IoObserver, ObservedStream};
use crate::net::system_errors::is_of_this_machine;
use crate::telemetry::metrics::{Metrics, class_of};
use crate::upstream::response_memory::AnswerMemory;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use merlinreel_policy::AttemptOutcome;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::{sleep, sleep_until, timeout};

/// Counts what the kernel took, as proof that a request's last byte was not written.
struct Sent {
    bytes: AtomicU64,
    /// The last answer is whole, and nothing was written since.
    resting: AtomicBool,
    unasked: Arc<UnaskedBytes>,
}

impl Sent {
    fn new(unasked: Arc<UnaskedBytes>) -> Sent {
        Sent {
            bytes: AtomicU64::new(0),
            resting: AtomicBool::new(false),
            unasked,
        }
    }

    fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl IoObserver for Sent {
    fn on_read(&self, _: usize) {
        if self.resting.load(Ordering::Relaxed) {
            self.unasked.note();
        }
    }

    fn on_write(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn starts_message(&self) -> bool {
        self.resting.swap(false, Ordering::Relaxed)
    }

    /// An answer is owed.
    fn expects_more(&self) -> bool {
        self.bytes() > 0 && !self.resting.load(Ordering::Relaxed)
    }
}

type Wire = Connection<TokioIo<ObservedStream<Sent>>, Full<Bytes>>;

/// Connects, again and again while this machine can't: a fault of its own says nothing of the server, and may be over in
/// a moment.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut backoff = Backoff::default();
    loop {
        match TcpStream::connect(address).await {
            Err(error) if is_of_this_machine(&error) => {
                log!("server at {address}: {error}; this machine can't connect, tried again");
                backoff.pause().await;
            }
            result => return result,
        }
    }
}

/// Told when an answer that flows has ended: whole, or not.
type Ended = tokio::sync::oneshot::Receiver<bool>;

/// An attempt whose answer may go to the client.
enum Answered {
    /// Whole; the connection may carry another attempt, or ends.
    Whole {
        said: DecodedResponse,
        reusable: bool,
    },
    /// Long: its connection serves it alone until its end.
    Flows { said: DecodedResponse, ended: Ended },
}

/// A connection that is up.
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    connection: Pin<Box<Wire>>,
    sent: Arc<Sent>,
    /// It has ended; what it still brought may be read.
    over: bool,
}

/// One connection to a server: its commands, and where its news go.
pub struct UpstreamConnection {
    pub commands: mpsc::Receiver<Command>,
    pub address: SocketAddr,
    pub limits: Limits,
    pub loads: bool,
    pub memory: AnswerMemory,
    pub queue: Queue,
    pub metrics: Arc<Metrics>,
    pub unasked: Arc<UnaskedBytes>,
}

impl UpstreamConnection {
    pub async fn run(mut self, mut attempt: Attempt, _slot: OwnedSemaphorePermit) {
        let mut up: Option<OpenConnection> = None;
        loop {
            let (attempt_id, started) = (attempt.attempt_id, attempt.started);
            let mut open = match up.take() {
                Some(open) => open,
                None => match self.open(&attempt).await {
                    Ok(open) => open,
                    Err(outcome) => {
                        return self
                            .report(
                                attempt_id,
                                started,
                                DecodedResponse::nothing(outcome),
                                false,
                            )
                            .await;
                    }
                },
            };
            let before = open.sent.bytes();
            let said = match self.exchange(&mut open, &attempt).await {
                // The server closed while it was idle, and nothing of this attempt was written: it starts anew.
                Err(AttemptOutcome::Rejected) if before > 0 && open.sent.bytes() == before => {
                    continue;
                }
                said => said,
            };
            // Nothing of the request stays with a connection that rests.
            drop(attempt);
            match said {
                Ok(Answered::Whole { said, reusable }) => {
                    self.report(attempt_id, started, said, reusable).await;
                    if !reusable {
                        return;
                    }
                }
                Ok(Answered::Flows { said, ended }) => {
                    self.report(attempt_id, started, said, false).await;
                    // Guards the answer against a connection closed under it: kept and read until the client has
                    // all of it or has gone, then closed, as one client may read for minutes.
                    let mut ended = std::pin::pin!(ended);
                    while !open.over {
                        tokio::select! {
                            _ = &mut ended => break,
                            _ = open.connection.as_mut() => open.over = true,
                        }
                    }
                    return;
                }
                Err(outcome) => {
                    // Closed before anybody hears of it, and so before a next attempt starts.
                    drop(open);
                    return self
                        .report(
                            attempt_id,
                            started,
                            DecodedResponse::nothing(outcome),
                            false,
                        )
                        .await;
                }
            }
            let Some(next) = self.rest(&mut open).await else {
                return;
            };
            attempt = next;
            if !open.over {
                up = Some(open);
            }
        }
    }

    /// A command to give this attempt up, or the driver's end. One to withdraw it counts as long as it has not begun.
    async fn abandoned(&mut self, attempt_id: u64, begun: impl Fn() -> bool) {
        while let Some(command) = self.commands.recv().await {
            match command {
                Command::Abandon(which) if which == attempt_id => return,
                Command::Withdraw(which) if which == attempt_id && !begun() => return,
                _ => {}
            }
        }
    }

    async fn open(&mut self, attempt: &Attempt) -> Result<OpenConnection, AttemptOutcome> {
        let (address, within) = (self.address, self.limits.connect_timeout);
        let head = self.limits.max_head_bytes;
        let stream = tokio::select! {
            biased;
            () = self.abandoned(attempt.attempt_id, || false) => return Err(AttemptOutcome::NotSent),
            stream = timeout(within, connect(address)) => stream,
            () = sleep_until(attempt.written_by().into()) => return Err(match attempt.begins_by {
                Some(_) => AttemptOutcome::NotSent,
                None => AttemptOutcome::Unreachable,
            }),
        };
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log!("server at {address}: no connection: {error}");
                return Err(match error.kind() {
                    // It was up.
                    ErrorKind::ConnectionReset => AttemptOutcome::Rejected,
                    ErrorKind::ConnectionRefused => AttemptOutcome::ConnectionRefused,
                    _ => AttemptOutcome::Unreachable,
                });
            }
            Err(_) => {
                log!("server at {address}: no connection within {within:?}");
                return Err(AttemptOutcome::Unreachable);
            }
        };
        let _ = stream.set_nodelay(true);
        let sent = Arc::new(Sent::new(self.unasked.clone()));
        let io = TokioIo::new(ObservedStream::new(stream, sent.clone()));
        let shaken = Builder::new().max_buf_size(head).handshake(io).await;
        let (sender, connection) = shaken.map_err(|_| AttemptOutcome::Unreachable)?;
        Ok(OpenConnection {
            sender,
            connection: Box::pin(connection),
            sent,
            over: false,
        })
    }

    /// Makes the attempt. On an error the connection must be closed.
    async fn exchange(
        &mut self,
        up: &mut OpenConnection,
        attempt: &Attempt,
    ) -> Result<Answered, AttemptOutcome> {
        // Asked of the clock itself: a timer may be a millisecond late.
        if attempt.written_by() <= Instant::now() {
            return Err(AttemptOutcome::NotSent);
        }
        let request = encode(
            &attempt.upstream_request,
            attempt.until.saturating_duration_since(Instant::now()),
        );
        let before = up.sent.bytes();
        let whole = before + wire_length(&request, attempt.upstream_request.body.len());
        let OpenConnection {
            sender,
            connection,
            sent,
            over,
        } = up;
        let (memory, most, loads) = (
            self.memory.clone(),
            self.limits.upstream.max_streaming_bytes,
            self.loads,
        );
        // Counted once its last byte is written: the class is the first part of the path.
        let attempted = {
            let metrics = self.metrics.clone();
            let class = class_of(attempt.upstream_request.uri.path()).to_owned();
            move || metrics.count_attempt(&class)
        };
        let answer = async {
            sender.ready().await?;
            receive(sender.send_request(request).await?, &memory, most).await
        };
        let limit = sleep_until(attempt.until.into());
        let written_by = sleep_until(attempt.written_by().into());
        tokio::pin!(answer, limit, written_by);
        let outcome = loop {
            tokio::select! {
                biased;
                () = self.abandoned(attempt.attempt_id, || sent.bytes() > before) => break AttemptOutcome::Cancelled,
                // Before anything more is written. Guards keyed jobs against a repeat that comes after its servers
                // have forgotten the key, where the connection came up late or takes the request in parts.
                () = &mut written_by, if sent.bytes() < whole => break AttemptOutcome::DeadlineExceeded,
                // First, as what it reads is the answer: that saves a turn.
                ended = connection.as_mut(), if !*over => *over = self.over(ended),
                answer = &mut answer => match answer {
                    Ok(Answer { head, body, flow: None, framed }) => {
                        attempted();
                        sent.resting.store(true, Ordering::Relaxed);
                        let said = decode(head, body, None, loads);
                        return Ok(Answered::Whole { said, reusable: framed });
                    }
                    Ok(Answer { head, body, flow: Some((flow, ended)), .. }) => {
                        attempted();
                        let said = decode(head, body, Some(Box::new(flow)), loads);
                        return Ok(Answered::Flows { said, ended });
                    }
                    Err(error) => {
                        let part = if sent.bytes() < whole { "before" } else { "after" };
                        log!("server at {}: connection broke {part} an attempt's last byte: {error}", self.address);
                        break AttemptOutcome::ConnectionLost;
                    }
                },
                () = &mut limit => break AttemptOutcome::DeadlineExceeded,
            }
        };
        // Nothing is written any more: short of the last byte, no server can have run it.
        let never_ran = sent.bytes() < whole;
        if !never_ran {
            attempted();
        }
        Err(match outcome {
            // Guards a server that lives against being taken for a dead one, and for a cold one after that: it
            // took the connection and would not have the attempt.
            AttemptOutcome::ConnectionLost if never_ran => AttemptOutcome::Rejected,
            _ if never_ran => AttemptOutcome::NotSent,
            outcome => outcome,
        })
    }

    /// A connection has ended, maybe for what its server sent behind an answer.
    fn over(&self, ended: hyper::Result<()>) -> bool {
        if ended.is_err_and(|error| is_unasked(&error)) {
            self.unasked.note();
        }
        true
    }

    /// Waits for the next attempt, as long as the connection is good.
    async fn rest(&mut self, up: &mut OpenConnection) -> Option<Attempt> {
        let idle = sleep(self.limits.upstream.idle_timeout);
        tokio::pin!(idle);
        loop {
            tokio::select! {
                biased;
                ended = up.connection.as_mut(), if !up.over => up.over = self.over(ended),
                command = self.commands.recv(), if !up.over => match command? {
                    Command::Send(attempt) => return Some(attempt),
                    Command::Abandon(_) | Command::Withdraw(_) => {}
                },
                () = &mut idle, if !up.over => up.over = true,
                else => break,
            }
        }
        // An attempt may have been ordered meanwhile: it goes by a new connection.
        while let Ok(command) = self.commands.try_recv() {
            if let Command::Send(attempt) = command {
                return Some(attempt);
            }
        }
        self.commands.close();
        while let Some(command) = self.commands.recv().await {
            if let Command::Send(attempt) = command {
                self.report(
                    attempt.attempt_id,
                    attempt.started,
                    DecodedResponse::nothing(AttemptOutcome::NotSent),
                    false,
                )
                .await;
            }
        }
        None
    }

    async fn report(
        &self,
        attempt_id: u64,
        started: Instant,
        said: DecodedResponse,
        reusable: bool,
    ) {
        let events = AttemptCompletion {
            attempt_id,
            outcome: said.outcome,
            latency: started.elapsed(),
            units: said.units,
            load: said.load,
            upstream_response: said.upstream_response,
            reusable,
        };
        let _ = self.queue.send(Event::AttemptCompleted(events)).await;
    }
}
