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
    let tree = merlinreel_settings::SettingsTree::from_json(
        &serde_json::json!({"rules": {"drainGraceS": 2}}),
    );
    let settings = tree
        .and_then(|tree| merlinreel_settings::Settings::read(&tree))
        .expect("valid settings");
    Limits::new(1024, 192, &settings).expect("enough memory")
}

/// The time limits of a watch's next call after `failed` consecutive calls without a response.
fn timing(limits: &Limits, failed: u32) -> CallTiming {
    CallTiming::new(CallKind::next(Some(1), false, failed), &limits.endpoints)
}

/// A change counts as reported to the limiter after 6 s. In the worst case it happens as the first of `silent`
/// consecutive calls without a response starts; the response to the next call must still arrive in time, here within
/// 5.5 s.
#[test_case(1 => true)]
#[test_case(5 => true)]
#[test_case(8 => true)]
#[test_case(9 => false)]
fn response_after_silent_calls_arrives_before_a_change_counts_as_reported(silent: u32) -> bool {
    let limits = limits();
    let each = |failed| timing(&limits, failed).silent_after;
    (0..silent).map(each).sum::<Duration>() + limits.endpoints.immediate_timeout
        < Duration::from_millis(5500)
}

/// However long an outage of discovery lasted, the next call starts within half the drain grace of its end: from the
/// end of the outage the agent's list counts as reported, and a drain ends after its grace.
#[test_case(2.0, 0.5 ; "long grace")]
#[test_case(0.5, 0.25 ; "short grace")]
fn end_of_an_outage_is_noticed_within_the_drain_grace(grace: f64, within: f64) {
    let settings = serde_json::json!({"rules": {"drainGraceS": grace}});
    let tree = merlinreel_settings::SettingsTree::from_json(&settings);
    let settings = tree
        .and_then(|tree| merlinreel_settings::Settings::read(&tree))
        .expect("valid settings");
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

/// The agent responds to a silent call, or to the one started beside it, only when both are open. Either response is
/// used: the older call was not given up, and the newer one's list does not wait for the older call.
#[test_case(true ; "the older call is answered")]
#[test_case(false ; "the newer call is answered")]
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

/// A call that was aborted because too many were open does not count as a result: the newest call still has its full
/// time. Otherwise calls would follow each other without a pause.
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

/// Calls to an agent that never responds use only a few of the limiter's descriptors.
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
    // One call more than the maximum makes the watch abort the first one, at the latest when the next call arrives.
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
    "instances[0].lifecycle: unknown value 'odd'" ; "unknown state")]
#[test_case("{", "EOF" ; "cut short")]
fn malformed_message_is_rejected(text: &str, begins: &str) {
    let error = decode(text.as_bytes()).expect_err("malformed").to_string();
    assert!(error.starts_with(begins), "{error}");
}

/// A full list of `servers` endpoints as discovery writes it, indented as by some agents.
fn long_list(servers: u32) -> String {
    let address = |i: u32| SocketAddr::from(([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 9000));
    let endpoint = |i| merlinreel_testkit::instance(&format!("server-{i:06}"), address(i), "up");
    let servers: Vec<_> = (0..servers).map(endpoint).collect();
    serde_json::to_string_pretty(&merlinreel_testkit::full_list(7, &servers)).expect("a list")
}

/// Starts a stub of discovery and returns its address; `answer` serves each connection, given the connection's number
/// from 0.
async fn start_stub_discovery<F, A>(answer: F) -> std::io::Result<SocketAddr>
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

/// Reads a request up to the end of its head.
async fn read_request(stream: &mut tokio::net::TcpStream) -> std::io::Result<()> {
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

/// With the default memory, lists of the expected sizes are read completely.
#[test_case(1_500 ; "more than a thousand servers")]
#[test_case(20_000 ; "large list")]
#[test_case(160_000 ; "largest expected list")]
#[tokio::test]
async fn long_list_is_read_completely(servers: u32) -> std::io::Result<()> {
    let list = std::sync::Arc::new(with_length(&long_list(servers)));
    let at = start_stub_discovery(move |_, mut stream| {
        let list = list.clone();
        async move {
            read_request(&mut stream).await?;
            tokio::io::AsyncWriteExt::write_all(&mut stream, list.as_bytes()).await
        }
    });
    let at = at.await?;
    let (queue, mut events) = tokio::sync::mpsc::channel(4);
    let (first_list, _first) = oneshot::channel();
    let (_address_sender, address) = watch::channel(at);
    // The grace is so long that no call counts as silent, even on a slow test machine.
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

/// A list of exactly the maximum length is accepted and one of a byte more is rejected, with `Content-Length` and in
/// chunks alike.
#[test_case(with_length, 0 => true ; "maximum length")]
#[test_case(with_length, 1 => false ; "one byte too many")]
#[test_case(in_chunks, 0 => true ; "in chunks, maximum length")]
#[test_case(in_chunks, 1 => false ; "in chunks, one byte too many")]
#[tokio::test]
async fn list_is_accepted_up_to_the_memory_for_it(
    written: fn(&str) -> String,
    excess: usize,
) -> bool {
    let list = long_list(40);
    let max = list.len() - excess;
    let answer = written(&list);
    let at = start_stub_discovery(move |_, mut stream| {
        let answer = answer.clone();
        async move {
            read_request(&mut stream).await?;
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

/// A list over the maximum length leaves the last one in use; the next valid list is used.
#[tokio::test]
async fn too_long_list_changes_nothing() -> std::io::Result<()> {
    let answers = [
        r#"{"generation":1,"reset":true}"#.to_owned(),
        long_list(40),
        long_list(1),
    ];
    let next = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let at = start_stub_discovery(move |_, mut stream| {
        let (answers, next) = (answers.clone(), next.clone());
        async move {
            loop {
                read_request(&mut stream).await?;
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

/// An agent sends each list in many small parts, one part for each further call, so that many more calls are made than
/// may be open at once. The call that has received the most is kept; otherwise every call would be aborted for one that
/// starts again.
#[tokio::test]
async fn slow_list_is_read_completely_in_the_end() -> std::io::Result<()> {
    const PARTS: usize = 24;
    let (step, steps) = watch::channel(0);
    let at = start_stub_discovery(move |number, mut stream| {
        step.send_replace(number + 1);
        let mut steps = steps.clone();
        async move {
            read_request(&mut stream).await?;
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

/// One of five calls is aborted: the oldest, or the second oldest if the oldest has received the most and has not
/// stalled.
#[test_case(&[0, 0, 0, 0, 0] => 0 ; "all are silent")]
#[test_case(&[9, 0, 3, 0, 0] => 1 ; "the oldest has received the most")]
#[test_case(&[3, 0, 9, 0, 0] => 0 ; "another has received the most")]
fn oldest_call_is_aborted_unless_it_has_received_the_most(received: &[usize]) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let mut open = OpenCalls::default();
        let tasks: Vec<_> = received
            .iter()
            .map(|_| tokio::spawn(std::future::pending::<()>()))
            .collect();
        for (task, &bytes) in tasks.iter().zip(received) {
            let progress = Progress::default();
            if bytes > 0 {
                progress.record(bytes);
            }
            open.add(
                task.abort_handle(),
                progress,
                received.len() - 1,
                Duration::from_secs(20),
            );
        }
        tokio::task::yield_now().await;
        tasks
            .iter()
            .position(tokio::task::JoinHandle::is_finished)
            .expect("one call was aborted")
    })
}

/// A call that has received the most but has stalled is aborted like any other.
#[tokio::test]
async fn stalled_call_is_aborted() {
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

/// During an outage each kind of failure is logged once, whatever was logged before it.
#[test]
fn repeated_failure_is_logged_once() {
    let mut failure_log = FailureLog::default();
    let (silent, long) = (
        DiscoveryError::NoResponse(Duration::ZERO),
        DiscoveryError::TooLong { max_bytes: 9 },
    );
    let logged =
        [&silent, &silent, &long, &silent, &long].map(|error| failure_log.should_log(error));
    assert_eq!(logged, [true, false, true, false, false]);
}
