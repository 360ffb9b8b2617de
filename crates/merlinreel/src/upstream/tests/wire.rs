//! Tests of the exact bytes that servers receive.

use super::*;
use merlinreel_policy::ServerIndex;
use test_case::test_case;

/// Reads the head of one message.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(
            timeout(LONG, stream.read_u8())
                .await
                .expect("in time")
                .expect("a byte"),
        );
    }
    String::from_utf8(head).expect("text")
}

#[tokio::test]
async fn forwarded_request_has_the_expected_bytes() {
    let (listener, address) = listener().await;
    let (mut pool, _events) = pool(address, 4);
    let _connection = pool
        .start_attempt(ServerIndex(0), attempt(1, 3, LONG))
        .expect("a connection");
    let mut stream = accept(&listener).await;
    let head = read_head(&mut stream).await;
    let (before, rest) = head
        .split_once("x-remaining: ")
        .expect("the remaining time");
    let (remaining, after) = rest.split_once("m\r\n").expect("milliseconds");
    let remaining: u64 = remaining.parse().expect("a number");
    assert!((1..=20_000).contains(&remaining), "{remaining}");
    assert_eq!(
        before,
        "POST /pay?key=07 HTTP/1.1\r\nx-txn: 9b\r\nhost: origin.svc\r\ncontent-length: 3\r\n"
    );
    assert_eq!(after, "\r\n");
    let mut body = [0; 3];
    stream.read_exact(&mut body).await.expect("the body");
    assert_eq!(&body, b"xxx");
}

#[test_case("answers", "/metrics/load" ; "load reports in all responses")]
#[test_case("probe", "/metrics/load" ; "load reports in health checks")]
#[test_case("none", "/alive" ; "no load reports")]
#[tokio::test]
async fn health_check_has_the_expected_bytes(report_mode: &str, path: &str) {
    let (listener, address) = listener().await;
    let (mut pool, _events) = pool_with_report_mode(report_mode, address, 4);
    pool.start_health_check(ServerIndex(0));
    let mut stream = accept(&listener).await;
    assert_eq!(
        read_head(&mut stream).await,
        format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n")
    );
}
