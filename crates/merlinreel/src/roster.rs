//! The roster: watches discovery, and decodes what it tells. Silence keeps the list.

use crate::limits::Limits;
use crate::log;
use crate::messages::{Listed, News, Queue, RosterNews};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use merlinreel_core::Standing;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// Why a call to discovery brought no list. The list before stands.
#[derive(Debug, Error)]
pub enum RosterError {
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
    #[error("{0}; the agent's answer broke off, or is longer than any list may be")]
    Body(String),
    #[error("{0}; the agent's answer is no list")]
    Malformed(#[from] serde_json::Error),
    #[error("{0}")]
    Call(#[from] hyper::http::Error),
    #[error("instances[{place}].hostPort: '{given}' is no address and port")]
    Address { place: usize, given: String },
    #[error("instances[{place}].lifecycle: unknown '{given}'; up, draining and removed are known")]
    Lifecycle { place: usize, given: String },
}

/// A message of discovery as it stands on the wire.
#[derive(Deserialize)]
pub struct Message {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: u32,
    lifecycle: String,
    weight: Option<f64>,
    #[serde(default)]
    started_at_ms: u64,
}

impl TryFrom<Message> for RosterNews {
    type Error = RosterError;

    fn try_from(message: Message) -> Result<RosterNews, RosterError> {
        let listed = |(i, one): (usize, Instance)| {
            let standing = match one.lifecycle.as_str() {
                "up" => Standing::Up,
                "draining" => Standing::Draining,
                "removed" => Standing::Gone,
                other => return Err(RosterError::Lifecycle { place: i, given: other.to_owned() }),
            };
            let address = one.host_port.parse();
            let address =
                address.map_err(|_| RosterError::Address { place: i, given: one.host_port.clone() })?;
            Ok(Listed {
                name: one.instance_id,
                address,
                zone: one.zone,
                cell: one.cell,
                standing,
                weight: one.weight.unwrap_or(1.0),
                up_since: Some(Duration::from_millis(one.started_at_ms)).filter(|at| !at.is_zero()),
            })
        };
        let servers = message.instances.into_iter().enumerate().map(listed).collect::<Result<_, _>>()?;
        Ok(RosterNews { version: message.generation, whole: message.reset, servers })
    }
}

pub fn decode(bytes: &[u8]) -> Result<RosterNews, RosterError> {
    let message: Message = serde_json::from_slice(bytes)?;
    message.try_into()
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

async fn dial(discovery: SocketAddr, within: Duration) -> Result<Line, RosterError> {
    let stream = timeout(within, TcpStream::connect(discovery)).await;
    let stream = stream.map_err(|_| RosterError::NoConnection(within))??;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    Ok(Line { sender, task })
}

async fn ask(
    line: &mut Line,
    discovery: SocketAddr,
    path: String,
    most: usize,
) -> Result<RosterNews, RosterError> {
    let request = Request::get(path).header(HOST, discovery.to_string()).body(Empty::new())?;
    line.sender.ready().await?;
    let answer = line.sender.send_request(request).await?;
    if answer.status() != StatusCode::OK {
        return Err(RosterError::Status(answer.status()));
    }
    let body = Limited::new(answer.into_body(), most).collect().await;
    let body = body.map_err(|error| RosterError::Body(error.to_string()))?;
    decode(&body.to_bytes())
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

/// How a call is made: how long discovery may wait with its answer, and when a silent call counts as broken.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Call {
    wait: Duration,
    late: Duration,
}

impl Call {
    /// A watch waits, but not the first call of a process, nor one behind a call that broke: what is known there is
    /// wanted at once. The more calls broke in a row, the longer the next may take, which guards a list that never
    /// was there in time. What a silent watch misses counts as told 6 s after it fell silent: four calls that break
    /// in a row leave 0.6 s of that.
    fn next(limits: &Limits, watches: bool, first: bool, failed: u32) -> Call {
        let wait = match (watches, first || failed > 0) {
            (false, _) => Duration::ZERO,
            (true, true) => limits.watch_again,
            (true, false) => limits.watch,
        };
        Call { wait, late: wait + limits.watch_slack * 2u32.pow(failed.saturating_sub(1).min(2)) }
    }
}

/// Each call follows the last answer at once, as a watch lapses where it does not; after a failure the list
/// stands, and the next call comes soon, on a connection of its own.
async fn watch_at(
    discovery: SocketAddr,
    mut version: Option<u64>,
    limits: &Limits,
    queue: &Queue,
    first: &mut Option<oneshot::Sender<()>>,
) {
    let mut line = None;
    // Calls in a row that failed.
    let mut failed = 0;
    loop {
        let call = Call::next(limits, version.is_some(), first.is_some(), failed);
        let path = match version {
            Some(version) => format!("/discovery/hosts?after={version}&wait_ms={}", call.wait.as_millis()),
            None => "/discovery/hosts".to_owned(),
        };
        let answer = async {
            let mut at = match line.take() {
                Some(line) => line,
                None => dial(discovery, limits.connect).await?,
            };
            let news = ask(&mut at, discovery, path, limits.roster).await?;
            Ok((at, news))
        };
        match timeout(call.late, answer).await.unwrap_or(Err(RosterError::NoAnswer(call.late))) {
            Ok((at, news)) => {
                line = Some(at);
                version = Some(news.version);
                if failed > 0 {
                    log!("roster: discovery answers again");
                }
                failed = 0;
                if !news.servers.is_empty() || news.whole {
                    let _ = queue.send(News::Roster(news)).await;
                }
                let _ = first.take().map(|first| first.send(()));
            }
            Err(what) => {
                if failed == 0 {
                    log!("roster: {what}; the list stands");
                }
                failed = failed.saturating_add(1);
                sleep(limits.watch_retry).await;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test]
    fn a_message_is_decoded() {
        let news = decode(
            br#"{"generation":43,"reset":false,"new":1,"instances":[{"instanceId":"s-5b","hostPort":"127.1.0.18:9000",
            "zone":"b","machineType":"m2","cell":3,"lifecycle":"draining","weight":1.5,"startedAtMs":1800000000250}]}"#,
        );
        let listed = Listed {
            name: "s-5b".to_owned(),
            address: SocketAddr::from(([127, 1, 0, 18], 9000)),
            zone: "b".to_owned(),
            cell: 3,
            standing: Standing::Draining,
            weight: 1.5,
            up_since: Some(Duration::from_millis(1_800_000_000_250)),
        };
        assert_eq!(news.ok(), Some(RosterNews { version: 43, whole: false, servers: vec![listed] }));
    }

    /// From a watch's falling silent, at worst as it begins, to the answer of a call that discovery takes: so many
    /// calls break in a row, each after all of its time. Guards the clock of 6 s by which a change counts as told.
    #[test_case(1 => true)]
    #[test_case(4 => true)]
    #[test_case(5 => false)]
    fn an_answer_comes_within_the_list_s_clock(broken: u32) -> bool {
        let paths = merlinreel_settings::Paths::from_json(&serde_json::json!({}));
        let terms = paths.and_then(|paths| merlinreel_settings::Terms::read(&paths)).expect("sound");
        let limits = Limits::new(1024, 192, &terms).expect("room");
        let each = |failed| Call::next(&limits, true, false, failed).late + limits.watch_retry;
        (0..broken).map(each).sum::<Duration>() + limits.watch_again < Duration::from_millis(5500)
    }

    #[test_case(r#"{"reset":true}"#, "missing field `generation`" ; "no version")]
    #[test_case(r#"{"generation":1,"instances":[{"instanceId":"s","hostPort":"x","lifecycle":"up"}]}"#,
        "instances[0].hostPort: 'x'" ; "no address")]
    #[test_case(r#"{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"odd"}]}"#,
        "instances[0].lifecycle: unknown 'odd'" ; "unknown state")]
    #[test_case("{", "EOF" ; "cut short")]
    fn a_malformed_message_is_not_taken(text: &str, begins: &str) {
        let complaint = decode(text.as_bytes()).expect_err("malformed").to_string();
        assert!(complaint.starts_with(begins), "{complaint}");
    }
}
