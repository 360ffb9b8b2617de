//! A stub server for trying the program: it responds to every request after a short delay. A stub discovery beside it lists
//! this one server. Both speak plain HTTP/1.1 with a thread per connection; not for production.
//!
//!     cargo run --example toy_server -- [SERVER DISCOVERY]     (default: 127.0.0.1:9101 127.0.0.1:9102)

use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Time after which a watch gets a response; the list never changes.
const WATCH_DURATION: Duration = Duration::from_secs(20);

struct Request {
    request_line: String,
    body: Vec<u8>,
}

/// Reads the next request; `None` at the end of the connection.
fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut request_line = String::new();
    if reader.read_line(&mut request_line)? == 0 {
        return Ok(None);
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(':') else {
            break;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().map_err(io::Error::other)?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { request_line, body }))
}

fn serve(mut stream: TcpStream, respond: impl Fn(&Request) -> String) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        let text = respond(&request);
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        )?;
    }
    Ok(())
}

fn listen(
    address: &str,
    respond: impl Fn(&Request) -> String + Clone + Send + 'static,
) -> io::Result<()> {
    for stream in TcpListener::bind(address)?.incoming() {
        let stream = stream?;
        let respond = respond.clone();
        thread::spawn(move || serve(stream, respond));
    }
    Ok(())
}

fn main() -> io::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let server = arguments
        .next()
        .unwrap_or_else(|| "127.0.0.1:9101".to_owned());
    let discovery = arguments
        .next()
        .unwrap_or_else(|| "127.0.0.1:9102".to_owned());
    println!("toy_server: serving at {server}; discovery at {discovery} lists it");
    let list = format!(
        r#"{{"generation":1,"reset":true,"instances":[{{"instanceId":"toy","hostPort":"{server}","zone":"here",
        "cell":0,"lifecycle":"up","weight":1.0,"startedAtMs":0}}]}}"#
    );
    thread::spawn(move || {
        listen(&discovery, move |request| {
            if request.request_line.contains("after=1") {
                thread::sleep(WATCH_DURATION);
            }
            list.clone()
        })
    });
    listen(&server, |request| {
        thread::sleep(SERVICE_TIME);
        let line = request.request_line.trim();
        format!("done: {line} ({} bytes)\n", request.body.len())
    })
}
