//! A toy to try the limiter with: a server that answers every job after a moment, and beside it a discovery
//! that lists this one server. Plain HTTP/1.1 by threads; not for service.
//!
//!     cargo run --example toy_server -- [SERVER DISCOVERY]     (127.0.0.1:9101 127.0.0.1:9102)

use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// One request: its first line and its body. None at the end of the connection.
fn read(from: &mut impl BufRead) -> io::Result<Option<(String, Vec<u8>)>> {
    let (mut first, mut length) = (String::new(), 0);
    if from.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(':') else {
            break;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().map_err(io::Error::other)?;
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    Ok(Some((first, body)))
}

fn serve(stream: TcpStream, answer: impl Fn(&str, &[u8]) -> String) -> io::Result<()> {
    let mut from = BufReader::new(stream.try_clone()?);
    let mut to = stream;
    while let Some((first, body)) = read(&mut from)? {
        let text = answer(&first, &body);
        write!(
            to,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        )?;
    }
    Ok(())
}

fn listen(
    at: &str,
    answer: impl Fn(&str, &[u8]) -> String + Clone + Send + 'static,
) -> io::Result<()> {
    for stream in TcpListener::bind(at)?.incoming() {
        let (stream, answer) = (stream?, answer.clone());
        thread::spawn(move || serve(stream, answer));
    }
    Ok(())
}

fn main() -> io::Result<()> {
    let mut words = std::env::args().skip(1);
    let server = words.next().unwrap_or_else(|| "127.0.0.1:9101".to_owned());
    let discovery = words.next().unwrap_or_else(|| "127.0.0.1:9102".to_owned());
    println!("a server at {server}, listed by a discovery at {discovery}");
    let list = format!(
        r#"{{"generation":1,"reset":true,"instances":[{{"instanceId":"toy","hostPort":"{server}","zone":"here",
        "cell":0,"lifecycle":"up","weight":1.0,"startedAtMs":0}}]}}"#
    );
    thread::spawn(move || {
        listen(&discovery, move |first, _| {
            // Nothing newer will ever come: a watch waits its time.
            if first.contains("after=1") {
                thread::sleep(Duration::from_secs(20));
            }
            list.clone()
        })
    });
    listen(&server, |first, body| {
        thread::sleep(Duration::from_millis(30));
        format!("done: {} ({} bytes)\n", first.trim(), body.len())
    })
}
