//! Servers and discoveries whose reaction to each request is defined by a test.

use crate::TEST_TIMEOUT;
use crate::http::{Message, read};
use socket2::SockRef;
use std::io::{self, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

mod unread_bytes;

/// Initial pause between two lookups in the kernel's socket table. The pause is doubled after each lookup up to
/// [`MAX_LOOKUP_PAUSE`], as each lookup takes milliseconds of processor time.
const MIN_LOOKUP_PAUSE: Duration = Duration::from_millis(1);
/// Longest pause between two lookups.
const MAX_LOOKUP_PAUSE: Duration = Duration::from_millis(100);

/// The reaction of a scripted server to a request.
pub enum Reaction {
    /// Sends a complete response.
    Respond(String),
    /// Closes the connection without a response.
    Close,
    /// Sends a truncated response and ends the connection.
    Truncate(TruncatedResponse),
    /// Sends a response in small pieces and closes the connection after the last one.
    Trickle(Trickle),
    /// Sends a response piece by piece.
    Pieces(PiecewiseResponse),
    /// Sends no response and keeps the connection open.
    Hang,
}

/// A response that is sent piece by piece, and what follows the last piece.
#[derive(Clone, Debug)]
pub struct PiecewiseResponse {
    /// The pieces, in their order.
    pub pieces: Vec<Piece>,
    /// What follows the last piece.
    pub end: PiecesEnd,
}

/// A part of a response.
#[derive(Clone, Debug)]
pub struct Piece {
    /// The pause before the piece is sent.
    pub pause: Duration,
    /// The text, sent as it is.
    pub text: String,
}

/// What follows the last piece of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PiecesEnd {
    /// The connection ends in this way.
    Connection(ConnectionEnd),
    /// Nothing is sent, and the connection stays open until the peer closes it.
    Stall,
}

/// A truncated response, and how the connection ends after it.
#[derive(Clone, Debug)]
pub struct TruncatedResponse {
    /// The beginning of the response, sent as it is.
    pub text: String,
    /// When the connection ends.
    pub when: CloseTiming,
    /// How the connection ends.
    pub end: ConnectionEnd,
}

/// When the connection ends after a truncated response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseTiming {
    /// As soon as the text is written. A reset may then discard the text before it is read.
    Written,
    /// Once the peer process has read all of the text from its socket.
    Read,
    /// This long after the request was received, but not before the peer process has read the text.
    Delayed(Duration),
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// With RST: the peer's read fails.
    Reset,
    /// With FIN: the peer reads the end of the stream.
    Orderly,
}

/// A response that is sent slowly: the head at once, then the pieces with a pause before each.
#[derive(Clone, Debug)]
pub struct Trickle {
    /// The status line and headers, and any part of the body that is sent with them.
    pub head: String,
    /// The text that is sent as each piece.
    pub piece: &'static str,
    /// The pause before each piece.
    pub interval: Duration,
    /// The number of pieces.
    pub pieces: usize,
}

/// A complete response with a `Content-Length`. `status` is the code and the reason phrase. Each header in `headers` ends
/// with CRLF.
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

/// A server or a discovery. Serves until the test's process ends, and numbers its connections from 0.
pub struct ScriptedServer {
    /// The address at which the server listens.
    pub address: SocketAddr,
    /// The requests that the server received, in the order of their arrival.
    pub requests: Receiver<Message>,
    /// The numbers of the connections that the peer closed.
    pub closed: Receiver<usize>,
}

impl ScriptedServer {
    /// Starts a server that calls `react` for each request, on the thread of its connection.
    ///
    /// # Panics
    /// There is no free port.
    pub fn start(react: impl Fn(&Message) -> Reaction + Send + Sync + 'static) -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener
            .local_addr()
            .expect("the listener has a local address");
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
    /// None arrives within [`TEST_TIMEOUT`].
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
        // Sending fails if the test has dropped the receiver.
        let _ = request_sender.send(message.clone());
        match react(&message) {
            Reaction::Respond(text) => stream.write_all(text.as_bytes())?,
            Reaction::Close => return Ok(()),
            Reaction::Truncate(truncated) => return truncate(stream, &truncated, received),
            Reaction::Trickle(trickle) => {
                let result = send_trickle(&mut stream, &trickle);
                if result.is_err() {
                    let _ = closed_sender.send(connection);
                }
                return result;
            }
            Reaction::Pieces(response) => {
                let result = send_pieces(&mut stream, &response);
                if result.is_err() || response.end == PiecesEnd::Stall {
                    let _ = closed_sender.send(connection);
                }
                return result;
            }
            Reaction::Hang => {}
        }
    }
    let _ = closed_sender.send(connection);
    Ok(())
}

/// Writes the text and prepares the end of the connection. The connection closes when its last handle is dropped.
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
    prepare_end(&stream, truncated.end)
}

/// Prepares how the connection ends when its last handle is dropped.
fn prepare_end(stream: &TcpStream, end: ConnectionEnd) -> io::Result<()> {
    match end {
        ConnectionEnd::Reset => SockRef::from(stream).set_linger(Some(Duration::ZERO)),
        ConnectionEnd::Orderly => Ok(()),
    }
}

/// Sends the pieces and prepares the end of the connection. Fails if the peer closes the connection before the last piece.
fn send_pieces(stream: &mut TcpStream, response: &PiecewiseResponse) -> io::Result<()> {
    stream.set_nodelay(true)?;
    for piece in &response.pieces {
        stream.set_read_timeout(Some(piece.pause.max(MIN_LOOKUP_PAUSE)))?;
        if is_closed_within_timeout(stream) {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        stream.write_all(piece.text.as_bytes())?;
    }
    match response.end {
        PiecesEnd::Connection(end) => prepare_end(stream, end),
        PiecesEnd::Stall => {
            stream.set_read_timeout(None)?;
            is_closed_within_timeout(stream);
            Ok(())
        }
    }
}

/// Whether the peer closes the connection within the read timeout of the stream. The peer sends nothing meanwhile.
fn is_closed_within_timeout(stream: &TcpStream) -> bool {
    let read = (&*stream).read(&mut [0]);
    !read.is_err_and(|error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

/// Waits until the peer process has read all written bytes.
fn wait_until_read(stream: &TcpStream) -> io::Result<()> {
    let start = Instant::now();
    let mut pause = MIN_LOOKUP_PAUSE;
    let mut was_acknowledged = false;
    while start.elapsed() < TEST_TIMEOUT {
        let unread = unread_bytes::look_up(stream)?;
        // The acknowledgement must come from an earlier lookup: the two ends are not read at the same instant, so within one
        // lookup bytes may have left the send queue without being counted in the receive queue.
        if was_acknowledged && unread.is_some_and(|unread| unread.received == 0) {
            return Ok(());
        }
        was_acknowledged |= unread.is_some_and(|unread| unread.unacknowledged == 0);
        thread::sleep(pause);
        pause = (pause * 2).min(MAX_LOOKUP_PAUSE);
    }
    Err(ErrorKind::TimedOut.into())
}

/// Sends the head and the pieces. Fails if the peer closes the connection before the last piece.
fn send_trickle(stream: &mut TcpStream, trickle: &Trickle) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.write_all(trickle.head.as_bytes())?;
    for _ in 0..trickle.pieces {
        thread::sleep(trickle.interval);
        stream.write_all(trickle.piece.as_bytes())?;
    }
    Ok(())
}

/// Starts a server that holds each POST request until a message is sent by the returned sender, which releases one request.
/// It responds to all other requests at once.
///
/// # Panics
/// There is no free port.
pub fn holding_server() -> (ScriptedServer, Sender<()>) {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = ScriptedServer::start(move |message| {
        if message.start_line.starts_with("POST") {
            let _ = released.lock().expect("a lock that is not poisoned").recv();
        }
        ok_response()
    });
    (server, release)
}

/// Starts a discovery that responds to each request with the next text that it receives, and waits for one if necessary. The
/// text `break` makes it close the connection instead. After the last text, requests get no response.
///
/// # Panics
/// There is no free port.
pub fn discovery(texts: Receiver<String>) -> ScriptedServer {
    let texts = Mutex::new(texts);
    ScriptedServer::start(move |_| {
        match texts.lock().expect("a lock that is not poisoned").recv() {
            Ok(text) if text == "break" => Reaction::Close,
            Ok(text) => response("200 OK", "", &text),
            Err(_) => Reaction::Hang,
        }
    })
}

#[cfg(test)]
mod tests;
