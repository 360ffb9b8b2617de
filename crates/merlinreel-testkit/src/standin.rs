//! Servers and discoveries that do what a test says, request by request.

use crate::PATIENCE;
use crate::http::{Message, read};
use socket2::SockRef;
use std::io::{self, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

mod unread;

/// Between two looks at the kernel's table, doubled up to the longest: each look costs the machine milliseconds.
const SHORTEST_PAUSE: Duration = Duration::from_millis(1);
const LONGEST_PAUSE: Duration = Duration::from_millis(100);

/// What a stand-in does with a request.
pub enum React {
    Answer(String),
    /// Closes the connection without an answer.
    Break,
    /// Begins an answer and ends the connection within it.
    BreakOff(BreakOff),
    /// Sends an answer in small pieces, and closes the connection behind the last.
    Trickle(Trickle),
    /// Says nothing.
    Hang,
}

/// The beginning of an answer, and the connection's end behind it.
#[derive(Clone, Debug)]
pub struct BreakOff {
    pub text: String,
    pub when: BreakWhen,
    pub end: ConnectionEnd,
}

/// When a connection ends whose answer breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakWhen {
    /// As soon as the text is written: a reset may overtake it.
    Written,
    /// Once the other side's process has read all of the text from its socket.
    Read,
    /// So long after the request was received, with the text read before.
    Held(Duration),
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// RST: the other side's read fails.
    Reset,
    /// FIN: the other side reads the end.
    Orderly,
}

/// A head, then so many pieces with a pause before each.
#[derive(Clone, Debug)]
pub struct Trickle {
    pub head: String,
    pub piece: &'static str,
    pub every: Duration,
    pub pieces: usize,
}

pub fn answer(status: &str, headers: &str, body: &str) -> React {
    React::Answer(format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

pub fn fine() -> React {
    answer("200 OK", "", "done")
}

/// A server or a discovery: tells what it got, and which connections were closed from the other side.
pub struct StandIn {
    pub address: SocketAddr,
    pub seen: Receiver<Message>,
    pub closed: Receiver<usize>,
}

impl StandIn {
    pub fn start(react: impl Fn(&Message) -> React + Send + Sync + 'static) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let ((tell, seen), (over, closed)) = (channel(), channel());
        let react = Arc::new(react);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (react, tell, over) = (react.clone(), tell.clone(), over.clone());
                thread::spawn(move || attend(stream, number, &*react, &tell, &over));
            }
        });
        StandIn {
            address,
            seen,
            closed,
        }
    }

    pub fn next(&self) -> Message {
        self.seen.recv_timeout(PATIENCE).expect("a request")
    }
}

fn attend(
    mut stream: TcpStream,
    number: usize,
    react: &dyn Fn(&Message) -> React,
    tell: &Sender<Message>,
    over: &Sender<usize>,
) -> io::Result<()> {
    let mut from = BufReader::new(stream.try_clone()?);
    while let Ok(Some(message)) = read(&mut from, number) {
        let received = Instant::now();
        // A test that has ended wants to know no more.
        let _ = tell.send(message.clone());
        match react(&message) {
            React::Answer(text) => stream.write_all(text.as_bytes())?,
            React::Break => return Ok(()),
            React::BreakOff(broken) => return break_off(stream, &broken, received),
            React::Trickle(trickle) => {
                let outcome = send_trickle(&mut stream, &trickle);
                if outcome.is_err() {
                    let _ = over.send(number);
                }
                return outcome;
            }
            React::Hang => {}
        }
    }
    let _ = over.send(number);
    Ok(())
}

/// Writes the text and ends the connection, which closes as the last of its handles is dropped.
fn break_off(mut stream: TcpStream, broken: &BreakOff, received: Instant) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.write_all(broken.text.as_bytes())?;
    match broken.when {
        BreakWhen::Written => {}
        BreakWhen::Read => wait_until_read(&stream)?,
        BreakWhen::Held(span) => {
            wait_until_read(&stream)?;
            thread::sleep(span.saturating_sub(received.elapsed()));
        }
    }
    match broken.end {
        ConnectionEnd::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)),
        ConnectionEnd::Orderly => Ok(()),
    }
}

/// Waits until the other side's process has read all that was written.
fn wait_until_read(stream: &TcpStream) -> io::Result<()> {
    let begun = Instant::now();
    let mut pause = SHORTEST_PAUSE;
    let mut acknowledged = false;
    while begun.elapsed() < PATIENCE {
        let unread = unread::look(stream)?;
        // By an earlier look: within one, what leaves our queue may not be in theirs yet.
        if acknowledged && unread.is_some_and(|unread| unread.received == 0) {
            return Ok(());
        }
        acknowledged |= unread.is_some_and(|unread| unread.unacknowledged == 0);
        thread::sleep(pause);
        pause = (pause * 2).min(LONGEST_PAUSE);
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

/// A server that holds each POST until it is let go of, one a message sent; answers all else at once.
pub fn holding() -> (StandIn, Sender<()>) {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let server = StandIn::start(move |message| {
        if message.first.starts_with("POST") {
            let _ = released.lock().expect("whole").recv();
        }
        fine()
    });
    (server, release)
}

/// A discovery that tells the texts it is given, one an answer, or breaks; each call waits for the next.
pub fn discovery(texts: Receiver<String>) -> StandIn {
    let texts = Mutex::new(texts);
    StandIn::start(move |_| match texts.lock().expect("whole").recv() {
        Ok(text) if text == "break" => React::Break,
        Ok(text) => answer("200 OK", "", &text),
        Err(_) => React::Hang,
    })
}

#[cfg(test)]
mod tests;
