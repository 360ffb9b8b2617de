//! The watch of discovery, for the list of servers. Silence keeps the list.

mod failure_log;
mod open_calls;

use crate::config::limits::Limits;
use crate::log;
use crate::messages::{Event, Queue};
use crate::net::observed_stream::{ObservedStream, Unobserved};
use failure_log::FailureLog;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use merlinreel_discovery::{DiscoveryUpdate, MessageError, decode};
use open_calls::{OpenCalls, Progress};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

/// Why a call to discovery brought no list. The list before stands.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    #[error("no connection within {0:?}; see whether the agent on this machine runs")]
    NoConnection(Duration),
    #[error("{0}; see whether the agent on this machine runs")]
    Connection(#[from] std::io::Error),
    #[error("no answer within {0:?}; the agent is silent, or its discovery is down")]
    NoAnswer(Duration),
    #[error("{0}; the connection to the agent broke")]
    Broken(#[from] hyper::Error),
    #[error("discovery answers {0}; see its own log")]
    Status(StatusCode),
    #[error(
        "a list of more than {most} bytes, which is what limits.memory_mb leaves room for; give the limiter more"
    )]
    TooLong { most: usize },
    #[error("{0}")]
    Message(#[from] MessageError),
    #[error("{0}")]
    Call(#[from] hyper::http::Error),
}

/// The connection to discovery; its task ends with it.
struct Line {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn dial(discovery: SocketAddr, within: Duration) -> Result<Line, DiscoveryError> {
    let stream = timeout(within, TcpStream::connect(discovery)).await;
    let stream = stream.map_err(|_| DiscoveryError::NoConnection(within))??;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(ObservedStream::new(
        stream,
        Arc::new(Unobserved),
    )))
    .await?;
    let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    Ok(Line { sender, task })
}

async fn ask(
    line: &mut Line,
    discovery: SocketAddr,
    path: String,
    most: usize,
    progress: &Progress,
) -> Result<DiscoveryUpdate, DiscoveryError> {
    let request = Request::get(path)
        .header(HOST, discovery.to_string())
        .body(Empty::new())?;
    line.sender.ready().await?;
    let answer = line.sender.send_request(request).await?;
    if answer.status() != StatusCode::OK {
        return Err(DiscoveryError::Status(answer.status()));
    }
    let bytes = whole(answer.into_body(), most, progress).await?;
    Ok(decode(&bytes)?)
}

/// All of a list's bytes, `most` at most; one that is told to be longer is not read.
async fn whole(
    mut body: Incoming,
    most: usize,
    progress: &Progress,
) -> Result<Vec<u8>, DiscoveryError> {
    let told = body.size_hint().lower();
    if told > most as u64 {
        return Err(DiscoveryError::TooLong { most });
    }
    // What is told comes, or the connection breaks: guards against a list held twice while its room grows.
    let mut bytes = Vec::with_capacity(usize::try_from(told).unwrap_or(0));
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else {
            continue;
        };
        if bytes.len() + piece.len() > most {
            return Err(DiscoveryError::TooLong { most });
        }
        bytes.extend_from_slice(&piece);
        progress.reached(bytes.len());
    }
    Ok(bytes)
}

/// Watches without end, at the address that is told; where that changes, the open call is dropped and the
/// other address is asked for the full list at once, as its versions may be others. `first` hears of the first answer,
/// once the driver's queue has it.
pub async fn watch(
    mut discovery: watch::Receiver<SocketAddr>,
    mut version: Option<u64>,
    limits: Limits,
    queue: Queue,
    first: oneshot::Sender<()>,
) {
    let mut first = Some(first);
    loop {
        let at = *discovery.borrow_and_update();
        tokio::select! {
            biased;
            turned = discovery.changed() => match turned {
                Ok(()) => version = None,
                // Nobody is left to tell another.
                Err(_) => return watch_at(at, version, &limits, &queue, &mut first).await,
            },
            () = watch_at(at, version, &limits, &queue, &mut first) => {}
        }
    }
}

/// How long discovery may wait with its answer, and when another call is made beside one that is silent.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Call {
    wait: Duration,
    silent: Duration,
}

impl Call {
    /// A watch waits, but not the first call of a process, nor one behind a call that broke or is silent: what is known
    /// there is wanted at once.
    fn next(limits: &Limits, watches: bool, first: bool, failed: u32) -> Call {
        let wait = match (watches, first || failed > 0) {
            (false, _) => Duration::ZERO,
            (true, true) => limits.endpoints.immediate_timeout,
            (true, false) => limits.endpoints.watch_timeout,
        };
        Call {
            wait,
            silent: wait + limits.endpoints.response_grace,
        }
    }
}

/// How long discovery is left alone after a call that brought no list. One that was silent has taken its time already, and
/// a list that is too long is not asked for again as often as it can be sent.
fn pause_after(what: &DiscoveryError, limits: &Limits) -> Duration {
    match what {
        DiscoveryError::NoAnswer(_) => Duration::ZERO,
        DiscoveryError::TooLong { .. } => limits.endpoints.watch_timeout,
        _ => limits.endpoints.retry_delay,
    }
}

type Calls = JoinSet<Result<(Line, DiscoveryUpdate), DiscoveryError>>;

/// What the first call brings that ends by itself, within the time after which the newest is silent. Calls that were ended
/// here bring nothing: guards discovery against a call at once, and so without end, for each of those.
async fn answered(
    calls: &mut Calls,
    silent: Duration,
) -> Result<(Line, DiscoveryUpdate), DiscoveryError> {
    let first = async {
        loop {
            match calls.join_next().await {
                Some(Ok(answer)) => return answer,
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    };
    timeout(silent, first)
        .await
        .unwrap_or(Err(DiscoveryError::NoAnswer(silent)))
}

/// Each call follows the last answer at once, as a watch lapses where it does not. Where a call fails or stays silent the
/// list stands, and another is made on a connection of its own, beside those that are silent: the first answer of any
/// counts and ends all others, so that none comes late. Where there are too many, one gives way (see [`OpenCalls`]). Guards the list against a discovery that is back and answers
/// while a call of the outage is waited for, and one that is slow against calls given up just short of their answer.
async fn watch_at(
    discovery: SocketAddr,
    mut version: Option<u64>,
    limits: &Limits,
    queue: &Queue,
    first: &mut Option<oneshot::Sender<()>>,
) {
    let mut line = None;
    // Calls in a row that failed or were silent.
    let mut failed = 0;
    let mut calls = Calls::new();
    let mut open = OpenCalls::default();
    let mut failure_log = FailureLog::default();
    loop {
        let call = Call::next(limits, version.is_some(), first.is_some(), failed);
        let path = match version {
            Some(version) => format!(
                "/discovery/hosts?after={version}&wait_ms={}",
                call.wait.as_millis()
            ),
            None => "/discovery/hosts".to_owned(),
        };
        let (rested, connect, most) = (
            line.take(),
            limits.connect_timeout,
            limits.endpoints.max_list_bytes,
        );
        let progress = Progress::default();
        let told = progress.clone();
        let task = calls.spawn(async move {
            let mut at = match rested {
                Some(line) => line,
                None => dial(discovery, connect).await?,
            };
            let events = ask(&mut at, discovery, path, most, &told).await?;
            Ok((at, events))
        });
        open.add(
            task,
            progress,
            limits.endpoints.max_open_calls,
            limits.endpoints.watch_timeout,
        );
        match answered(&mut calls, call.silent).await {
            Ok((at, events)) => {
                calls.shutdown().await;
                open.clear();
                line = Some(at);
                version = Some(events.version);
                if failed > 0 {
                    log!("discovery: discovery answers again");
                }
                failed = 0;
                failure_log = FailureLog::default();
                if !events.servers.is_empty() || events.complete {
                    let _ = queue.send(Event::EndpointUpdate(events)).await;
                }
                let _ = first.take().map(|first| first.send(()));
            }
            Err(what) => {
                failed = failed.saturating_add(1);
                if failure_log.tells(&what) {
                    log!(
                        "discovery: {what}; the list stands ({failed} calls in a row without one)"
                    );
                }
                sleep(pause_after(&what, limits)).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
