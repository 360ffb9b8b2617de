//! Servers and discoveries that respond to each request as a test says.

use crate::TEST_TIMEOUT;
use crate::http::{Message, read};
use socket2::SockRef;
use std::io::{self, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

mod unread_bytes;

/// The pause between two look-ups in the kernel's table is doubled from the first to the second: each look-up takes
/// milliseconds of processor time.
const MIN_LOOKUP_PAUSE: Duration = Duration::from_millis(1);
const MAX_LOOKUP_PAUSE: Duration = Duration::from_millis(100);

/// What a scripted server does with a request.
pub enum Reaction {
    /// Sends a complete response.
    Respond(String),
    /// Closes the connection without a response.
    Close,
    /// Sends the beginning of a response and ends the connection.
    Truncate(TruncatedResponse),
    /// Sends a response in small pieces, and closes the connection after the last.
    Trickle(Trickle),
    /// Sends nothing.
    Hang,
}

/// The beginning of a response, and the connection's end after it.
#[derive(Clone, Debug)]
pub struct TruncatedResponse {
    /// What is sent.
    pub text: String,
    /// When the connection ends.
    pub when: CloseTiming,
    /// How the connection ends.
    pub end: ConnectionEnd,
}

/// When a connection with a truncated response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseTiming {
    /// As soon as the text is written: a reset may overtake it.
    Written,
    /// Once the other side's process has read all of the text from its socket.
    Read,
    /// This long after the request was received, once the text is read.
    Delayed(Duration),
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// RST: the other side's read fails.
    Reset,
    /// FIN: the other side reads the end of the stream.
    Orderly,
}

/// A response that is sent slowly: the head at once, then the pieces with a pause before each.
#[derive(Clone, Debug)]
pub struct Trickle {
    /// The status line and headers, and as much of the body as is sent at once.
    pub head: String,
    /// The text of each piece.
    pub piece: &'static str,
    /// The pause before each piece.
    pub every: Duration,
    /// The number of pieces.
    pub pieces: usize,
}

/// A complete response; each header in `headers` ends with CRLF.
pub fn response(status: &str, headers: &str, body: &str) -> Reaction {
    Reaction::Respond(format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// A complete response with status 200 and the body `done`.
pub fn ok_response() -> Reaction {
    response("200 OK", "", "done")
}

/// A server or a discovery, which serves until the test's process ends. Connections are numbered from 0 on.
pub struct ScriptedServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// The requests it received.
    pub requests: Receiver<Message>,
    /// The connections that the other side closed.
    pub closed: Receiver<usize>,
}

impl ScriptedServer {
    /// Starts a server that calls `react` for each request.
    ///
    /// # Panics
    /// There is no free port.
    pub fn start(react: impl Fn(&Message) -> Reaction + Send + Sync + 'static) -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (request_sender, requests) = channel();
        let (closed_sender, closed) = channel();
        let react = Arc::new(react);
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let react = react.clone();
                let request_sender = request_sender.clone();
                let closed_sender = closed_sender.clone();
                thread::spawn(move || {
                    serve(stream, connection, &*react, &request_sender, &closed_sender)
                });
            }
        });
        ScriptedServer {
            address,
            requests,
            closed,
        }
    }

    /// Waits for the next request.
    ///
    /// # Panics
    /// There is none in time.
    pub fn next_request(&self) -> Message {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("a request")
    }
}

fn serve(
    mut stream: TcpStream,
    connection: usize,
    react: &dyn Fn(&Message) -> Reaction,
    request_sender: &Sender<Message>,
    closed_sender: &Sender<usize>,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Ok(Some(message)) = read(&mut reader, connection) {
        let received = Instant::now();
        // Nobody receives it once the test has ended.
        let _ = request_sender.send(message.clone());
        match react(&message) {
            Reaction::Respond(text) => stream.write_all(text.as_bytes())?,
            Reaction::Close => return Ok(()),
            Reaction::Truncate(truncated) => return truncate(stream, &truncated, received),
            Reaction::Trickle(trickle) => {
                let outcome = send_trickle(&mut stream, &trickle);
                if outcome.is_err() {
                    let _ = closed_sender.send(connection);
                }
                return outcome;
            }
            Reaction::Hang => {}
        }
    }
    let _ = closed_sender.send(connection);
    Ok(())
}

/// Writes the text and ends the connection, which closes as the last of its handles is dropped.
fn truncate(
    mut stream: TcpStream,
    truncated: &TruncatedResponse,
    received: Instant,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.write_all(truncated.text.as_bytes())?;
    match truncated.when {
        CloseTiming::Written => {}
        CloseTiming::Read => wait_until_read(&stream)?,
        CloseTiming::Delayed(delay) => {
            wait_until_read(&stream)?;
            thread::sleep(delay.saturating_sub(received.elapsed()));
        }
    }
    match truncated.end {
        ConnectionEnd::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)),
        ConnectionEnd::Orderly => Ok(()),
    }
}

/// Waits until the other side's process has read all that was written.
fn wait_until_read(stream: &TcpStream) -> io::Result<()> {
    let start = Instant::now();
    let mut pause = MIN_LOOKUP_PAUSE;
    let mut is_acknowledged = false;
    while start.elapsed() < TEST_TIMEOUT {
        let unread = unread_bytes::look_up(stream)?;
        // Acknowledged by an earlier look-up: within one, bytes that left this queue may not be in the other yet.
        if is_acknowledged && unread.is_some_and(|unread| unread.received == 0) {
            return Ok(());
        }
        is_acknowledged |= unread.is_some_and(|unread| unread.unacknowledged == 0);
        thread::sleep(pause);
        pause = (pause * 2).min(MAX_LOOKUP_PAUSE);
    }
    Err(ErrorKind::TimedOut.into())
}

/// An error where the other side closes before the last piece.
fn send_trickle(stream: &mut TcpStream, trickle: &Trickle) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.write_all(trickle.head.as_bytes())?;
    for _ in 0..trickle.pieces {
        thread::sleep(trickle.every);
        stream.write_all(trickle.piece.as_bytes())?;
    }
    Ok(())
}

/// A server that holds each request with the method POST until a message is sent to release it, and responds to all
/// others at once.
///
/// # Panics
/// There is no free port.
pub fn holding_server() -> (ScriptedServer, Sender<()>) {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = ScriptedServer::start(move |message| {
        if message.first.starts_with("POST") {
            let _ = released.lock().expect("no panic").recv();
        }
        ok_response()
    });
    (server, release)
}

/// A discovery that responds to each request with the next of the texts, and closes the connection for the text `break`.
///
/// # Panics
/// There is no free port.
pub fn discovery(texts: Receiver<String>) -> ScriptedServer {
    let texts = Mutex::new(texts);
    ScriptedServer::start(move |_| match texts.lock().expect("no panic").recv() {
        Ok(text) if text == "break" => Reaction::Close,
        Ok(text) => response("200 OK", "", &text),
        Err(_) => Reaction::Hang,
    })
}

#[cfg(test)]
mod tests;
