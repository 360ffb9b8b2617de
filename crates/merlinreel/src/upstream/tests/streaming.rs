//! Long responses that are forwarded while they are arriving.

use super::*;
use http_body_util::BodyExt;
use merlinreel_policy::BodyLength;

/// The head of a long response and the first byte of its body.
const LONG_RESPONSE_START: &str = "HTTP/1.1 200 OK\r\nContent-Length: 196608\r\n\r\nx";

/// Starts an attempt whose server sends [`LONG_RESPONSE_START`] and then nothing. Returns the server's side of the
/// connection.
async fn start_stalling_attempt(
    pool: &mut UpstreamPool,
    listener: &TcpListener,
    within: Duration,
) -> (ConnectionHandle, TcpStream) {
    let connection = pool
        .start_attempt(ServerIndex(0), attempt(1, 1, within))
        .expect("a connection");
    let mut stream = accept(listener).await;
    read_request(&mut stream).await;
    stream
        .write_all(LONG_RESPONSE_START.as_bytes())
        .await
        .expect("written");
    (connection, stream)
}

/// The time for which the limiter holds back the beginning of a response must not count as the server's latency, and the
/// policy learns that the response is long while it is held back.
#[tokio::test]
async fn latency_of_a_long_response_is_that_of_its_first_bytes() {
    const WITHIN: Duration = Duration::from_millis(900);
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    let started = Instant::now();
    let (_connection, _stream) = start_stalling_attempt(&mut pool, &listener, WITHIN).await;
    let sent_after = started.elapsed();
    match timeout(LONG, events.recv()).await {
        Ok(Some(Event::ResponseProgress(progress))) => assert_eq!(
            (progress.attempt_id, progress.length),
            (AttemptId(1), BodyLength::Long)
        ),
        other => panic!("{other:?}"),
    }
    let completion = next_completion(&mut events).await;
    let held_until = started.elapsed();
    assert_eq!(completion.outcome, AttemptOutcome::Success);
    assert!(held_until > WITHIN * 8 / 10, "{held_until:?}");
    assert!(
        completion.latency < (sent_after + held_until) / 2,
        "{:?} of {held_until:?}",
        completion.latency
    );
}

/// A server that stops half way must not hold its connection and the client's for ever. The client can tell that the
/// response is incomplete.
#[tokio::test]
async fn streaming_response_of_a_stalled_server_ends_incomplete() {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    pool.limits.upstream.max_streaming_pause = Duration::from_millis(100);
    let within = Duration::from_millis(300);
    let (_connection, mut stream) = start_stalling_attempt(&mut pool, &listener, within).await;
    let completion = next_completion(&mut events).await;
    let response = completion.upstream_response.expect("a response");
    let mut body = response.streaming_body.expect("a body that is arriving");
    let first = body.frame().await.expect("a frame").expect("no error");
    assert_eq!(first.data_ref().map(|data| &data[..]), Some(&b"x"[..]));
    let end = timeout(LONG, body.frame()).await.expect("an end");
    assert!(end.is_some_and(|frame| frame.is_err()));
    drop(body);
    let closed = timeout(LONG, stream.read(&mut [0])).await.expect("closed");
    assert!(matches!(closed, Ok(0) | Err(_)), "{closed:?}");
}
