//! The exact bytes of the requests to discovery.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn read_head(stream: &mut tokio::net::TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// The first call requests the complete list; each further one waits for changes after the version received last.
#[tokio::test]
async fn discovery_calls_have_these_bytes() -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    let limits = {
        let mut changed = limits();
        changed.endpoints.response_grace = Duration::from_secs(60);
        changed
    };
    let (queue, _events) = tokio::sync::mpsc::channel(4);
    let (first_list, _first) = oneshot::channel();
    let (_address_sender, address) = watch::channel(at);
    let watching = tokio::spawn(super::super::watch(
        address, None, limits, queue, first_list,
    ));
    let (mut stream, _) = listener.accept().await?;
    let targets = [
        "/discovery/hosts",
        "/discovery/hosts?after=7&wait_ms=1000",
        "/discovery/hosts?after=8&wait_ms=1000",
    ];
    for (version, target) in (7..).zip(targets) {
        assert_eq!(
            read_head(&mut stream).await?,
            format!("GET {target} HTTP/1.1\r\nhost: {at}\r\n\r\n")
        );
        let list = with_length(&format!(r#"{{"generation":{version},"reset":true}}"#));
        stream.write_all(list.as_bytes()).await?;
    }
    watching.abort();
    Ok(())
}

/// A process with a cached list first requests the changes since that list's version, with a short wait.
#[tokio::test]
async fn first_call_with_a_known_version_has_these_bytes() -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    let (queue, _events) = tokio::sync::mpsc::channel(4);
    let (first_list, _first) = oneshot::channel();
    let (_address_sender, address) = watch::channel(at);
    let watching = tokio::spawn(super::super::watch(
        address,
        Some(5),
        limits(),
        queue,
        first_list,
    ));
    let (mut stream, _) = listener.accept().await?;
    assert_eq!(
        read_head(&mut stream).await?,
        format!("GET /discovery/hosts?after=5&wait_ms=10 HTTP/1.1\r\nhost: {at}\r\n\r\n")
    );
    watching.abort();
    Ok(())
}
