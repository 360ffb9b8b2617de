mod wire;

use super::address_watch::{CallTasks, first_result};
use super::call_timing::{CallKind, CallTiming};
use super::discovery_connection::DiscoveryConnection;
use super::failure_log::FailureLog;
use super::open_calls::{OpenCalls, Progress};
use super::*;
use crate::messages::Event;
use merlinreel_discovery::{DiscoveryUpdate, decode};
use std::time::Duration;
use tokio::time::timeout;

use test_case::test_case;

fn limits() -> Limits {
    let paths = merlinreel_settings::SettingsTree::from_json(
        &serde_json::json!({"rules": {"drainGraceS": 2}}),
    );
    let settings = paths
        .and_then(|paths| merlinreel_settings::Settings::read(&paths))
        .expect("sound");
    Limits::new(1024, 192, &settings).expect("enough memory")
}

/// A watch's next call behind so many that failed or were silent.
fn timing(limits: &Limits, failed: u32) -> CallTiming {
    CallTiming::new(CallKind::next(Some(1), false, failed), &limits.endpoints)
}

/// From a watch's falling silent, at worst as it begins, to the response to a call that discovery takes, with
/// so many silent calls in between. A change counts as reported after 6 s.
#[test_case(1 => true)]
#[test_case(5 => true)]
#[test_case(8 => true)]
#[test_case(9 => false)]
fn response_after_silent_calls_arrives_within_the_list_s_time_limit(silent: u32) -> bool {
    let limits = limits();
    let each = |failed| timing(&limits, failed).silent_after;
    (0..silent).map(each).sum::<Duration>() + limits.endpoints.immediate_timeout
        < Duration::from_millis(5500)
}

/// However long an outage lasted, a call is made within half of a drain's grace of its end: the agent's list then counts
/// as reported at once, and a drain is over after its grace.
#[test_case(2.0, 0.5 ; "a long grace")]
#[test_case(0.5, 0.25 ; "a short one")]
fn end_of_an_outage_is_noticed_within_a_drain_s_grace(grace: f64, within: f64) {
    let settings = serde_json::json!({"rules": {"drainGraceS": grace}});
    let paths = merlinreel_settings::SettingsTree::from_json(&settings);
    let settings = paths
        .and_then(|paths| merlinreel_settings::Settings::read(&paths))
        .expect("sound");
    let limits = Limits::new(1024, 192, &settings).expect("enough memory");
    for failed in 1..40 {
        let call = timing(&limits, failed);
        assert!(
            call.silent_after
                <= Duration::from_secs_f64(within) + limits.endpoints.immediate_timeout,
            "{failed}"
        );
    }
}

/// An agent that is silent at first: the silent call is answered only once another one is open beside it. A list on its
/// way is not given up, and a list that is there does not wait for a call of the outage.
#[test_case(true ; "the older call is answered")]
#[test_case(false ; "the newer one")]
#[tokio::test]
async fn silent_call_is_kept_beside_the_next_one(older: bool) -> std::io::Result<()> {
    const LIST: &str = r#"{"generation":7,"reset":true,"instances":[]}"#;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    let limits = {
        let mut changed = limits();
        changed.endpoints.response_grace = Duration::from_millis(20);
        changed.endpoints.max_open_calls = 1000;
        changed
    };
    let (queue, mut events) = tokio::sync::mpsc::channel(4);
    let (first_list, _first) = oneshot::channel();
    let (_address_sender, address) = watch::channel(at);
    let watching = tokio::spawn(super::watch(address, None, limits, queue, first_list));
    let (mut one, _) = listener.accept().await?;
    let (mut other, _) = listener.accept().await?;
    let answering = if older { &mut one } else { &mut other };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}",
        LIST.len()
    );
    tokio::io::AsyncWriteExt::write_all(answering, answer.as_bytes()).await?;
    let list = timeout(Duration::from_secs(20), events.recv()).await;
    watching.abort();
    assert!(
        matches!(
            list,
            Ok(Some(Event::EndpointUpdate(DiscoveryUpdate {
                version: 7,
                ..
            })))
        ),
        "{list:?}"
    );
    Ok(())
}

/// A call that was ended, as too many were open, is no response: the newest one still has its time. Else call would follow
/// call without a pause.
#[tokio::test]
async fn aborted_call_has_no_result() {
    let mut calls = CallTasks::new();
    calls.spawn(std::future::pending()).abort();
    calls.spawn(std::future::pending());
    tokio::task::yield_now().await;
    let result = timeout(
        Duration::from_millis(30),
        first_result(&mut calls, Duration::from_secs(20)),
    )
    .await;
    assert!(result.is_err());
}

/// An agent that never responds holds only a few of this limiter's descriptors.
#[tokio::test]
async fn silent_calls_are_bounded() -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let limits = {
        let mut changed = limits();
        changed.endpoints.response_grace = Duration::from_millis(5);
        changed
    };
    let max_open = limits.endpoints.max_open_calls;
    let (queue, _events) = tokio::sync::mpsc::channel(4);
    let (first_list, _first) = oneshot::channel();
    let (_address_sender, address) = watch::channel(listener.local_addr()?);
    let watching = tokio::spawn(super::watch(address, None, limits, queue, first_list));
    let mut calls = Vec::new();
    // One more than the maximum has arrived: the first one was ended for it, at the latest as the next one arrives.
    for _ in 0..max_open + 2 {
        calls.push(listener.accept().await?.0);
    }
    let mut rest = Vec::new();
    let ended = tokio::io::AsyncReadExt::read_to_end(&mut calls[0], &mut rest);
    let ended = timeout(Duration::from_secs(20), ended).await;
    watching.abort();
    assert!(ended.is_ok());
    Ok(())
}

#[test_case(r#"{"reset":true}"#, "missing field `generation`" ; "no version")]
#[test_case(r#"{"generation":1,"instances":[{"instanceId":"s","hostPort":"x","lifecycle":"up"}]}"#,
    "instances[0].hostPort: 'x'" ; "no address")]
#[test_case(r#"{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"odd"}]}"#,
    "instances[0].lifecycle: unknown 'odd'" ; "unknown state")]
#[test_case("{", "EOF" ; "cut short")]
fn malformed_message_is_rejected(text: &str, begins: &str) {
    let error = decode(text.as_bytes()).expect_err("malformed").to_string();
    assert!(error.starts_with(begins), "{error}");
}

/// A list of that many servers as discovery writes it, indented as some agents do.
fn long_list(servers: u32) -> String {
    let address = |i: u32| SocketAddr::from(([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 9000));
    let endpoint = |i| merlinreel_testkit::instance(&format!("server-{i:06}"), address(i), "up");
    let servers: Vec<_> = (0..servers).map(endpoint).collect();
    serde_json::to_string_pretty(&merlinreel_testkit::full_list(7, &servers)).expect("a list")
}

/// A discovery on a socket of its own; each connection's calls are answered by `answer`, with the connection's number.
async fn discovery<F, A>(answer: F) -> std::io::Result<SocketAddr>
where
    F: Fn(usize, tokio::net::TcpStream) -> A + Send + 'static,
    A: Future<Output = std::io::Result<()>> + Send + 'static,
{
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    tokio::spawn(async move {
        let mut connections = 0;
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(connections, stream));
            connections += 1;
        }
    });
    Ok(at)
}

/// Reads a call up to its head's end.
async fn call(stream: &mut tokio::net::TcpStream) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(tokio::io::AsyncReadExt::read_u8(stream).await?);
    }
    Ok(())
}

fn with_length(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn in_chunks(body: &str) -> String {
    let chunks = body
        .as_bytes()
        .chunks(1000)
        .map(|chunk| String::from_utf8_lossy(chunk));
    let chunks: String = chunks
        .map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()))
        .collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
}

/// With the default memory lists of the sizes in sight are read completely.
#[test_case(1_500 ; "more than a thousand")]
#[test_case(20_000 ; "a large one")]
#[test_case(160_000 ; "the largest in sight")]
#[tokio::test]
async fn long_list_is_read_completely(servers: u32) -> std::io::Result<()> {
    let list = std::sync::Arc::new(with_length(&long_list(servers)));
    let at = discovery(move |_, mut stream| {
        let list = list.clone();
        async move {
            call(&mut stream).await?;
            tokio::io::AsyncWriteExt::write_all(&mut stream, list.as_bytes()).await
        }
    });
    let at = at.await?;
    let (queue, mut events) = tokio::sync::mpsc::channel(4);
    let (first_list, _first) = oneshot::channel();
    let (_address_sender, address) = watch::channel(at);
    // However slow the machine that tests is, no call counts as silent.
    let limits = {
        let mut changed = limits();
        changed.endpoints.response_grace = Duration::from_secs(60);
        changed
    };
    let watching = tokio::spawn(super::watch(address, None, limits, queue, first_list));
    let list = timeout(Duration::from_secs(60), events.recv()).await;
    watching.abort();
    let Ok(Some(Event::EndpointUpdate(list))) = list else {
        panic!("no list")
    };
    assert_eq!((list.version, list.endpoints.len()), (7, servers as usize));
    Ok(())
}

/// A list is rejected at its first byte too many, whether its length is announced or not, and accepted at the last byte that
/// there is memory for.
#[test_case(with_length, 0 => true ; "just in")]
#[test_case(with_length, 1 => false ; "one byte too many")]
#[test_case(in_chunks, 0 => true ; "in chunks, just in")]
#[test_case(in_chunks, 1 => false ; "in chunks, one byte too many")]
#[tokio::test]
async fn list_is_accepted_up_to_the_memory_for_it(
    written: fn(&str) -> String,
    excess: usize,
) -> bool {
    let list = long_list(40);
    let max = list.len() - excess;
    let answer = written(&list);
    let at = discovery(move |_, mut stream| {
        let answer = answer.clone();
        async move {
            call(&mut stream).await?;
            tokio::io::AsyncWriteExt::write_all(&mut stream, answer.as_bytes()).await
        }
    });
    let at = at.await.expect("a free port");
    let mut connection = DiscoveryConnection::open(at, Duration::from_secs(20))
        .await
        .expect("a connection");
    match connection
        .fetch("/discovery/hosts".to_owned(), max, &Progress::default())
        .await
    {
        Ok(list) => list.endpoints.len() == 40,
        Err(DiscoveryError::TooLong { max_bytes }) if max_bytes == max => false,
        Err(other) => panic!("{other}"),
    }
}

/// A list over the bound leaves the last one in place; the next valid one is taken.
#[tokio::test]
async fn too_long_list_changes_nothing() -> std::io::Result<()> {
    let answers = [
        r#"{"generation":1,"reset":true}"#.to_owned(),
        long_list(40),
        long_list(1),
    ];
    let next = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let at = discovery(move |_, mut stream| {
        let (answers, next) = (answers.clone(), next.clone());
        async move {
            loop {
                call(&mut stream).await?;
                let position = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some(answer) = answers.get(position) else {
                    return std::future::pending().await;
                };
                tokio::io::AsyncWriteExt::write_all(&mut stream, with_length(answer).as_bytes())
                    .await?;
            }
        }
    });
    let at = at.await?;
    let (queue, mut events) = tokio::sync::mpsc::channel(4);
    let (first_list, _first) = oneshot::channel();
    let (_address_sender, address) = watch::channel(at);
    let limits = {
        let mut changed = limits();
        changed.endpoints.max_list_bytes = 1000;
        changed.endpoints.response_grace = Duration::from_secs(60);
        changed
    };
    let watching = tokio::spawn(super::watch(address, None, limits, queue, first_list));
    for (version, servers) in [(1, 0), (7, 1)] {
        let list = timeout(Duration::from_secs(20), events.recv()).await;
        let Ok(Some(Event::EndpointUpdate(list))) = list else {
            panic!("no list")
        };
        assert_eq!((list.version, list.endpoints.len()), (version, servers));
    }
    watching.abort();
    Ok(())
}

/// An agent so slow that many more calls are made than may be open at once, each of which it answers as slowly, a part
/// at each further call: the list that is furthest on is waited for. Else each call would be ended for one that starts
/// again.
#[tokio::test]
async fn slow_list_is_read_completely_in_the_end() -> std::io::Result<()> {
    const PARTS: usize = 24;
    let (step, steps) = watch::channel(0);
    let at = discovery(move |number, mut stream| {
        step.send_replace(number + 1);
        let mut steps = steps.clone();
        async move {
            call(&mut stream).await?;
            let answer = with_length(&long_list(40));
            for part in answer.as_bytes().chunks(answer.len().div_ceil(PARTS)) {
                tokio::io::AsyncWriteExt::write_all(&mut stream, part).await?;
                let _ = steps.changed().await;
            }
            std::future::pending().await
        }
    });
    let at = at.await?;
    let limits = {
        let mut changed = limits();
        changed.endpoints.watch_timeout = Duration::from_secs(20);
        changed.endpoints.response_grace = Duration::from_millis(20);
        changed
    };
    assert!(limits.endpoints.max_open_calls < PARTS / 2);
    let (queue, mut events) = tokio::sync::mpsc::channel(4);
    let (first_list, _first) = oneshot::channel();
    let (_address_sender, address) = watch::channel(at);
    let watching = tokio::spawn(super::watch(address, None, limits, queue, first_list));
    let list = timeout(Duration::from_secs(20), events.recv()).await;
    watching.abort();
    assert!(matches!(list, Ok(Some(Event::EndpointUpdate(list))) if list.endpoints.len() == 40));
    Ok(())
}

/// Of five calls one is ended: the oldest, but not where its response is furthest on and still arriving.
#[test_case(&[0, 0, 0, 0, 0] => 0 ; "all are silent")]
#[test_case(&[9, 0, 3, 0, 0] => 1 ; "the oldest is furthest on")]
#[test_case(&[3, 0, 9, 0, 0] => 0 ; "another is")]
fn oldest_call_is_ended_unless_it_is_furthest_on(reached: &[usize]) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let mut open = OpenCalls::default();
        let tasks: Vec<_> = reached
            .iter()
            .map(|_| tokio::spawn(std::future::pending::<()>()))
            .collect();
        for (task, &bytes) in tasks.iter().zip(reached) {
            let progress = Progress::default();
            if bytes > 0 {
                progress.record(bytes);
            }
            open.add(
                task.abort_handle(),
                progress,
                reached.len() - 1,
                Duration::from_secs(20),
            );
        }
        tokio::task::yield_now().await;
        tasks
            .iter()
            .position(tokio::task::JoinHandle::is_finished)
            .expect("one ended")
    })
}

/// A call that is furthest on but has stalled is ended like any other.
#[tokio::test]
async fn stalled_call_is_ended() {
    let mut open = OpenCalls::default();
    let (first, second) = (
        tokio::spawn(std::future::pending::<()>()),
        tokio::spawn(std::future::pending::<()>()),
    );
    let progress = Progress::default();
    progress.record(9);
    open.add(first.abort_handle(), progress, 1, Duration::ZERO);
    open.add(
        second.abort_handle(),
        Progress::default(),
        1,
        Duration::ZERO,
    );
    assert!(first.await.is_err_and(|error| error.is_cancelled()) && !second.is_finished());
}

/// In an outage each kind of failure is logged once, whatever came before it.
#[test]
fn repeated_failure_is_logged_once() {
    let mut failure_log = FailureLog::default();
    let (silent, long) = (
        DiscoveryError::NoAnswer(Duration::ZERO),
        DiscoveryError::TooLong { max_bytes: 9 },
    );
    let logged = [&silent, &silent, &long, &silent, &long].map(|error| failure_log.admits(error));
    assert_eq!(logged, [true, false, true, false, false]);
}
