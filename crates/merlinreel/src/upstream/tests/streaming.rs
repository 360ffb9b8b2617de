//! Long responses that are forwarded while they are arriving.

use super::*;
use http_body_util::BodyExt;

/// The head of a long response.
const LONG_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 196608\r\n\r\n";
/// How much of its body is sent: more than is buffered.
const SENT_BYTES: usize = 128 << 10;

/// Starts an attempt whose server sends the beginning of a long response and then nothing. Returns the server's side of the
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
        .write_all(LONG_RESPONSE_HEAD.as_bytes())
        .await
        .expect("written");
    stream
        .write_all(&vec![b'x'; SENT_BYTES])
        .await
        .expect("written");
    (connection, stream)
}

/// A server that stops half way must not hold its connection and the client's for ever. The client can tell that the
/// response is incomplete.
#[tokio::test]
async fn streaming_response_of_a_stalled_server_ends_incomplete() {
    let (listener, address) = listener().await;
    let (mut pool, mut events) = pool(address, 4);
    pool.limits.upstream.max_streaming_pause = Duration::from_millis(100);
    let (_connection, mut stream) = start_stalling_attempt(&mut pool, &listener, LONG).await;
    let completion = next_completion(&mut events).await;
    let response = completion.upstream_response.expect("a response");
    let mut body = response.streaming_body.expect("a body that is arriving");
    let mut received_bytes = 0;
    while let Some(Ok(frame)) = timeout(LONG, body.frame()).await.expect("an end") {
        received_bytes += frame.data_ref().map_or(0, Bytes::len);
    }
    assert_eq!(received_bytes, SENT_BYTES);
    drop(body);
    let closed = timeout(LONG, stream.read(&mut [0])).await.expect("closed");
    assert!(matches!(closed, Ok(0) | Err(_)), "{closed:?}");
}
