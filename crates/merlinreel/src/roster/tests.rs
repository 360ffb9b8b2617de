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

fn limits() -> Limits {
    let paths = merlinreel_settings::Paths::from_json(&serde_json::json!({"rules": {"drainGraceS": 2}}));
    let terms = paths.and_then(|paths| merlinreel_settings::Terms::read(&paths)).expect("sound");
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
    let paths = merlinreel_settings::Paths::from_json(&settings);
    let terms = paths.and_then(|paths| merlinreel_settings::Terms::read(&paths)).expect("sound");
    let limits = Limits::new(1024, 192, &terms).expect("room");
    for failed in 1..40 {
        let call = Call::next(&limits, true, false, failed);
        assert!(call.silent <= Duration::from_secs_f64(within) + limits.watch_again, "{failed}");
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
    let limits = Limits { watch_slack: Duration::from_millis(20), watch_calls: 1000, ..limits() };
    let (queue, mut news) = tokio::sync::mpsc::channel(4);
    let (told, _first) = oneshot::channel();
    let (_turn, discovery) = watch::channel(at);
    let watching = tokio::spawn(super::watch(discovery, None, limits, queue, told));
    let (mut one, _) = listener.accept().await?;
    let (mut other, _) = listener.accept().await?;
    let answering = if older { &mut one } else { &mut other };
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len());
    tokio::io::AsyncWriteExt::write_all(answering, answer.as_bytes()).await?;
    let list = timeout(Duration::from_secs(20), news.recv()).await;
    watching.abort();
    assert!(matches!(list, Ok(Some(News::Roster(RosterNews { version: 7, .. })))), "{list:?}");
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
    let brought = timeout(Duration::from_millis(30), answered(&mut calls, Duration::from_secs(20))).await;
    assert!(brought.is_err());
}

/// An agent that never says anything holds no more of this limiter's descriptors than a few.
#[tokio::test]
async fn silent_calls_are_few() -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let limits = Limits { watch_slack: Duration::from_millis(5), ..limits() };
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
