use super::*;

use test_case::test_case;

fn limits() -> Limits {
    let paths = merlinreel_settings::SettingsTree::from_json(
        &serde_json::json!({"rules": {"drainGraceS": 2}}),
    );
    let terms = paths
        .and_then(|paths| merlinreel_settings::Settings::read(&paths))
        .expect("sound");
    Limits::new(1024, 192, &terms).expect("room")
}

/// From a watch's falling silent, at worst as it begins, to the answer of a call that discovery takes: so many
/// calls are silent in a row. Guards the clock of 6 s by which a change counts as told.
#[test_case(1 => true)]
#[test_case(5 => true)]
#[test_case(8 => true)]
#[test_case(9 => false)]
fn an_answer_comes_within_the_list_s_clock(silent: u32) -> bool {
    let limits = limits();
    let each = |failed| Call::next(&limits, true, false, failed).silent;
    (0..silent).map(each).sum::<Duration>() + limits.watch_again < Duration::from_millis(5500)
}

/// However long an outage lasted, a call is made within half of a drain's grace of its end: what the agent gets then
/// counts as told at once, and a drain is over after its grace.
#[test_case(2.0, 0.5 ; "a long grace")]
#[test_case(0.5, 0.25 ; "a short one")]
fn an_outage_s_end_is_noticed_within_a_drain_s_grace(grace: f64, within: f64) {
    let settings = serde_json::json!({"rules": {"drainGraceS": grace}});
    let paths = merlinreel_settings::SettingsTree::from_json(&settings);
    let terms = paths
        .and_then(|paths| merlinreel_settings::Settings::read(&paths))
        .expect("sound");
    let limits = Limits::new(1024, 192, &terms).expect("room");
    for failed in 1..40 {
        let call = Call::next(&limits, true, false, failed);
        assert!(
            call.silent <= Duration::from_secs_f64(within) + limits.watch_again,
            "{failed}"
        );
    }
}

/// An agent that says nothing at first: the call that was silent is answered only once another has come beside it.
/// Guards a list on its way against being given up, and one that is there against a call of the outage.
#[test_case(true ; "the older call is answered")]
#[test_case(false ; "the newer one")]
#[tokio::test]
async fn a_silent_call_is_kept_beside_the_next(older: bool) -> std::io::Result<()> {
    const LIST: &str = r#"{"generation":7,"reset":true,"instances":[]}"#;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    let limits = Limits {
        watch_slack: Duration::from_millis(20),
        watch_calls: 1000,
        ..limits()
    };
    let (queue, mut news) = tokio::sync::mpsc::channel(4);
    let (told, _first) = oneshot::channel();
    let (_turn, discovery) = watch::channel(at);
    let watching = tokio::spawn(super::watch(discovery, None, limits, queue, told));
    let (mut one, _) = listener.accept().await?;
    let (mut other, _) = listener.accept().await?;
    let answering = if older { &mut one } else { &mut other };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}",
        LIST.len()
    );
    tokio::io::AsyncWriteExt::write_all(answering, answer.as_bytes()).await?;
    let list = timeout(Duration::from_secs(20), news.recv()).await;
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

/// A call that was ended, for there were too many, is no answer: the newest still has its time. Guards discovery, and this
/// limiter's processor, against call upon call with no pause between them.
#[tokio::test]
async fn a_call_that_was_ended_brings_nothing() {
    let mut calls = Calls::new();
    calls.spawn(std::future::pending()).abort();
    calls.spawn(std::future::pending());
    tokio::task::yield_now().await;
    let brought = timeout(
        Duration::from_millis(30),
        answered(&mut calls, Duration::from_secs(20)),
    )
    .await;
    assert!(brought.is_err());
}

/// An agent that never says anything holds no more of this limiter's descriptors than a few.
#[tokio::test]
async fn silent_calls_are_few() -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let limits = Limits {
        watch_slack: Duration::from_millis(5),
        ..limits()
    };
    let most = limits.watch_calls;
    let (queue, _news) = tokio::sync::mpsc::channel(4);
    let (told, _first) = oneshot::channel();
    let (_turn, discovery) = watch::channel(listener.local_addr()?);
    let watching = tokio::spawn(super::watch(discovery, None, limits, queue, told));
    let mut calls = Vec::new();
    // The one after the most has come: the first was ended for it, at the latest as the next one comes.
    for _ in 0..most + 2 {
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
fn a_malformed_message_is_not_taken(text: &str, begins: &str) {
    let complaint = decode(text.as_bytes()).expect_err("malformed").to_string();
    assert!(complaint.starts_with(begins), "{complaint}");
}

/// A list of that many servers as discovery writes it, each indented as some agents do.
fn long_list(servers: u32) -> String {
    let address = |i: u32| SocketAddr::from(([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 9000));
    let listed = |i| merlinreel_testkit::listed(&format!("server-{i:06}"), address(i), "up");
    let servers: Vec<_> = (0..servers).map(listed).collect();
    serde_json::to_string_pretty(&merlinreel_testkit::server_list(7, true, &servers))
        .expect("a list")
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

fn in_pieces(body: &str) -> String {
    let pieces = body
        .as_bytes()
        .chunks(1000)
        .map(|piece| String::from_utf8_lossy(piece));
    let pieces: String = pieces
        .map(|piece| format!("{:x}\r\n{piece}\r\n", piece.len()))
        .collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{pieces}0\r\n\r\n")
}

/// Lists of the size that is coming are taken whole with the memory that is usual.
#[test_case(1_500 ; "more than a thousand")]
#[test_case(20_000 ; "a large one")]
#[test_case(160_000 ; "the largest in sight")]
#[tokio::test]
async fn a_long_list_is_taken_whole(servers: u32) -> std::io::Result<()> {
    let list = std::sync::Arc::new(with_length(&long_list(servers)));
    let at = discovery(move |_, mut stream| {
        let list = list.clone();
        async move {
            call(&mut stream).await?;
            tokio::io::AsyncWriteExt::write_all(&mut stream, list.as_bytes()).await
        }
    });
    let at = at.await?;
    let (queue, mut news) = tokio::sync::mpsc::channel(4);
    let (told, _first) = oneshot::channel();
    let (_turn, discovery) = watch::channel(at);
    // However slow the machine that tests is, no call counts as silent.
    let limits = Limits {
        watch_slack: Duration::from_secs(60),
        ..limits()
    };
    let watching = tokio::spawn(super::watch(discovery, None, limits, queue, told));
    let list = timeout(Duration::from_secs(60), news.recv()).await;
    watching.abort();
    let Ok(Some(Event::EndpointUpdate(list))) = list else {
        panic!("no list")
    };
    assert_eq!((list.version, list.servers.len()), (7, servers as usize));
    Ok(())
}

/// A list is refused by name at its first byte too many, whether its length is told or not, and taken at its last that
/// there is room for.
#[test_case(with_length, 0 => true ; "just in")]
#[test_case(with_length, 1 => false ; "one byte too many")]
#[test_case(in_pieces, 0 => true ; "in pieces, just in")]
#[test_case(in_pieces, 1 => false ; "in pieces, one byte too many")]
#[tokio::test]
async fn a_list_is_as_long_as_there_is_room_for(
    written: fn(&str) -> String,
    beyond: usize,
) -> bool {
    let list = long_list(40);
    let most = list.len() - beyond;
    let answer = written(&list);
    let at = discovery(move |_, mut stream| {
        let answer = answer.clone();
        async move {
            call(&mut stream).await?;
            tokio::io::AsyncWriteExt::write_all(&mut stream, answer.as_bytes()).await
        }
    });
    let at = at.await.expect("a free port");
    let mut line = dial(at, Duration::from_secs(20))
        .await
        .expect("a connection");
    match ask(
        &mut line,
        at,
        "/discovery/hosts".to_owned(),
        most,
        &Progress::default(),
    )
    .await
    {
        Ok(list) => list.servers.len() == 40,
        Err(DiscoveryError::TooLong { most: told }) if told == most => false,
        Err(other) => panic!("{other}"),
    }
}

/// A list beyond the bound leaves the one before it standing; the next sound one is taken.
#[tokio::test]
async fn a_list_that_is_too_long_changes_nothing() -> std::io::Result<()> {
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
                let turn = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some(answer) = answers.get(turn) else {
                    return std::future::pending().await;
                };
                tokio::io::AsyncWriteExt::write_all(&mut stream, with_length(answer).as_bytes())
                    .await?;
            }
        }
    });
    let at = at.await?;
    let (queue, mut news) = tokio::sync::mpsc::channel(4);
    let (told, _first) = oneshot::channel();
    let (_turn, discovery) = watch::channel(at);
    let limits = Limits {
        endpoint_list_bytes: 1000,
        watch_slack: Duration::from_secs(60),
        ..limits()
    };
    let watching = tokio::spawn(super::watch(discovery, None, limits, queue, told));
    for (version, servers) in [(1, 0), (7, 1)] {
        let list = timeout(Duration::from_secs(20), news.recv()).await;
        let Ok(Some(Event::EndpointUpdate(list))) = list else {
            panic!("no list")
        };
        assert_eq!((list.version, list.servers.len()), (version, servers));
    }
    watching.abort();
    Ok(())
}

/// An agent so slow that many more calls are made than may be out at once, each of which it answers as slowly, a piece
/// at each further call: the list that is furthest on is waited for. Guards against a list that never comes whole, as
/// each call is ended for one that begins anew.
#[tokio::test]
async fn a_list_that_trickles_comes_whole_at_last() -> std::io::Result<()> {
    const PIECES: usize = 24;
    let (step, steps) = watch::channel(0);
    let at = discovery(move |number, mut stream| {
        step.send_replace(number + 1);
        let mut steps = steps.clone();
        async move {
            call(&mut stream).await?;
            let answer = with_length(&long_list(40));
            for piece in answer.as_bytes().chunks(answer.len().div_ceil(PIECES)) {
                tokio::io::AsyncWriteExt::write_all(&mut stream, piece).await?;
                let _ = steps.changed().await;
            }
            std::future::pending().await
        }
    });
    let at = at.await?;
    let limits = Limits {
        watch: Duration::from_secs(20),
        watch_slack: Duration::from_millis(20),
        ..limits()
    };
    assert!(limits.watch_calls < PIECES / 2);
    let (queue, mut news) = tokio::sync::mpsc::channel(4);
    let (told, _first) = oneshot::channel();
    let (_turn, discovery) = watch::channel(at);
    let watching = tokio::spawn(super::watch(discovery, None, limits, queue, told));
    let list = timeout(Duration::from_secs(20), news.recv()).await;
    watching.abort();
    assert!(matches!(list, Ok(Some(Event::EndpointUpdate(list))) if list.servers.len() == 40));
    Ok(())
}

/// Of five calls one gives way: the oldest, but not where its answer is furthest on and still comes.
#[test_case(&[0, 0, 0, 0, 0] => 0 ; "all are silent")]
#[test_case(&[9, 0, 3, 0, 0] => 1 ; "the oldest is furthest on")]
#[test_case(&[3, 0, 9, 0, 0] => 0 ; "another is")]
fn which_call_gives_way(reached: &[usize]) -> usize {
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
                progress.reached(bytes);
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

/// One that is furthest on but has stalled gives way like any other.
#[tokio::test]
async fn a_call_that_has_stalled_gives_way() {
    let mut open = OpenCalls::default();
    let (first, second) = (
        tokio::spawn(std::future::pending::<()>()),
        tokio::spawn(std::future::pending::<()>()),
    );
    let progress = Progress::default();
    progress.reached(9);
    open.add(first.abort_handle(), progress, 1, Duration::ZERO);
    open.add(
        second.abort_handle(),
        Progress::default(),
        1,
        Duration::ZERO,
    );
    assert!(first.await.is_err_and(|error| error.is_cancelled()) && !second.is_finished());
}

/// In an outage each kind of trouble is told once, whatever came before it.
#[test]
fn trouble_that_repeats_is_told_once() {
    let mut failure_log = FailureLog::default();
    let (silent, long) = (
        DiscoveryError::NoAnswer(Duration::ZERO),
        DiscoveryError::TooLong { most: 9 },
    );
    let told = [&silent, &silent, &long, &silent, &long].map(|what| failure_log.tells(what));
    assert_eq!(told, [true, false, true, false, false]);
}
