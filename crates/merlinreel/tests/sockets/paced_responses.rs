//! Responses that servers send in pieces with pauses, and what a client receives of them.

use crate::responses::{Class, Framing, chunks, long_body};
use merlinreel_testkit::*;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The customer that requests long responses.
pub const CUSTOMER: u32 = 7;

/// Length of a long body.
pub const LONG_BYTES: usize = 96 << 10;

/// Length of each piece of a body but the first.
pub const PIECE_BYTES: usize = 12 << 10;

/// Pause before each piece but the first. At the client's deadline less than [`BUFFERED_BYTES`] have arrived.
pub const PAUSE: Duration = Duration::from_millis(300);

/// Remaining time of a request whose response is not complete in time.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Bytes that have arrived may be held back for less than this.
pub const MAX_HOLD: Duration = Duration::from_secs(2);

/// How much later than its deadline a client may receive a response before it is lost.
pub const MAX_DELAY: Duration = Duration::from_millis(500);

/// A pause that begins before a request's deadline and ends long after it.
pub const LONG_PAUSE: Duration = Duration::from_millis(3500);

/// Remaining time of a request whose response pauses: its server has sent nothing for over a second at the deadline.
pub const PAUSED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Body of the short responses that follow a scripted one.
pub const DONE: &str = "done";

/// A body that is sent in pieces.
#[derive(Clone, Copy)]
pub struct Pace {
    pub framing: Framing,
    /// The announced length, or the complete length in the other framings.
    pub body_bytes: usize,
    /// Length of the first piece, which is sent at once.
    pub first_bytes: usize,
    /// Length of each further piece.
    pub piece_bytes: usize,
    /// Pause before each further piece.
    pub pause: Duration,
}

impl Pace {
    pub fn of(framing: Framing) -> Pace {
        Pace {
            framing,
            body_bytes: LONG_BYTES,
            first_bytes: PIECE_BYTES,
            piece_bytes: PIECE_BYTES,
            pause: PAUSE,
        }
    }

    /// A body that pauses across the client's deadline after its first piece, and is then sent at once.
    pub fn paused(framing: Framing, first_bytes: usize) -> Pace {
        Pace {
            first_bytes,
            piece_bytes: LONG_BYTES,
            pause: LONG_PAUSE,
            ..Pace::of(framing)
        }
    }

    pub fn encode(self, part: &str) -> String {
        match self.framing {
            Framing::Length | Framing::UntilClose => part.to_owned(),
            Framing::Chunked => chunks(part),
        }
    }

    /// The response up to `sent_bytes` bytes of its body, followed by `end`.
    pub fn truncated(self, sent_bytes: usize, end: PiecesEnd) -> Reaction {
        let body = long_body(sent_bytes);
        let (first, rest) = body.split_at(self.first_bytes.min(sent_bytes));
        let head = Piece {
            pause: Duration::ZERO,
            text: self.framing.head(self.body_bytes) + &self.encode(first),
        };
        let rest = rest.as_bytes().chunks(self.piece_bytes).map(|piece| Piece {
            pause: self.pause,
            text: self.encode(&String::from_utf8_lossy(piece)),
        });
        let pieces = std::iter::once(head).chain(rest).collect();
        Reaction::Pieces(PiecewiseResponse { pieces, end })
    }

    /// The complete response.
    pub fn complete(self) -> Reaction {
        let end = PiecesEnd::Connection(ConnectionEnd::Orderly);
        let Reaction::Pieces(mut response) = self.truncated(self.body_bytes, end) else {
            unreachable!("a response in pieces")
        };
        if self.framing == Framing::Chunked {
            let last = response.pieces.last_mut().expect("at least the head");
            last.text.push_str("0\r\n\r\n");
        }
        Reaction::Pieces(response)
    }
}

/// Starts a server that gives each response at this pace.
pub fn paced_server(pace: Pace) -> ScriptedServer {
    ScriptedServer::start(move |_| pace.complete())
}

pub fn limiter_config(server: &ScriptedServer) -> serde_json::Value {
    config(&[instance("s-1", server.address, "up")])
}

pub fn request_text(class: Class, timeout: Duration) -> String {
    request(
        class.name(),
        CUSTOMER,
        1,
        &format!("{}m", timeout.as_millis()),
    )
}

/// What a client received, and how long after its request the first byte arrived.
pub struct Received {
    pub response: Result<Option<Message>, ReadError>,
    pub first_byte_after: Duration,
}

impl Received {
    /// The response. Panics unless it is complete.
    pub fn complete(self) -> Message {
        match self.response {
            Ok(Some(response)) => response,
            Ok(None) => panic!("no response"),
            Err(error) => panic!("{error}"),
        }
    }

    /// Asserts that the response is the complete long body of a server, and that it began before it would be lost.
    pub fn assert_long(self, body_bytes: usize, timeout: Duration) {
        let first_byte_after = self.first_byte_after;
        let response = self.complete();
        assert_eq!(
            (response.status(), response.body.len()),
            (200, body_bytes),
            "first byte after {first_byte_after:?}"
        );
        assert!(response.body == long_body(body_bytes), "another body");
        assert!(
            first_byte_after < timeout + MAX_DELAY,
            "{first_byte_after:?}"
        );
    }

    /// Asserts that the response begins as `body` does and that the client can tell that it is not whole.
    pub fn assert_truncated(self, body: &str) {
        match self.response {
            Err(ReadError::Incomplete(truncated)) => assert!(
                !truncated.body.is_empty() && body.starts_with(&truncated.body),
                "{} bytes",
                truncated.body.len()
            ),
            Ok(response) => panic!("{:?}", response.map(|response| response.start_line)),
            Err(error) => panic!("{error}"),
        }
    }

    /// Asserts that the response is the limiter's own, and in time.
    pub fn assert_failed_in_time(self, timeout: Duration) {
        let first_byte_after = self.first_byte_after;
        assert_eq!(self.complete().status(), 502, "{first_byte_after:?}");
        assert!(
            first_byte_after < timeout + MAX_DELAY,
            "{first_byte_after:?}"
        );
    }
}

/// Sends a request and receives the response.
pub fn fetch(program: &Program, class: Class, timeout: Duration) -> Received {
    receive_after(&request_stream(program, class, timeout))
}

/// Sends a request on a new connection.
pub fn request_stream(program: &Program, class: Class, timeout: Duration) -> TcpStream {
    use std::io::Write;
    let mut stream = TcpStream::connect(program.address).expect("a connection");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the read timeout is set");
    stream
        .write_all(request_text(class, timeout).as_bytes())
        .expect("the request is sent");
    stream
}

pub fn receive_after(stream: &TcpStream) -> Received {
    let started = Instant::now();
    let _ = stream.peek(&mut [0]);
    let first_byte_after = started.elapsed();
    let response = read_message(&mut BufReader::new(stream), 0);
    Received {
        response,
        first_byte_after,
    }
}

/// Starts a server that sends the beginning of a response and then nothing.
pub fn stalling_server(framing: Framing, sent_bytes: usize) -> ScriptedServer {
    ScriptedServer::start(move |_| {
        let pace = Pace {
            first_bytes: sent_bytes,
            ..Pace::of(framing)
        };
        pace.truncated(sent_bytes, PiecesEnd::Stall)
    })
}

/// What happens while a long response is arriving.
#[derive(Clone, Copy, Debug)]
pub enum Meanwhile {
    Shutdown,
    Reload,
}

pub fn assert_response_survives(
    meanwhile: Meanwhile,
    after: Duration,
    pace: Pace,
    timeout: Duration,
) {
    let server = paced_server(pace);
    let config = limiter_config(&server);
    let mut program = Program::start(&config);
    let stream = request_stream(&program, Class::NonIdempotent, timeout);
    let received = thread::spawn(move || receive_after(&stream));
    server.next_request();
    thread::sleep(after);
    match meanwhile {
        Meanwhile::Shutdown => program.signal("-TERM"),
        Meanwhile::Reload => program.reload(&config.to_string()),
    }
    let received = received.join().expect("a client that does not panic");
    received.assert_long(LONG_BYTES, timeout);
    if matches!(meanwhile, Meanwhile::Shutdown) {
        assert!(program.wait().success());
    }
}

/// Asserts that a response of the old process arrives complete although the new process has taken over the listening socket
/// some time after its request.
pub fn assert_response_survives_an_upgrade(after: Duration, pace: Pace, timeout: Duration) {
    let server = paced_server(pace);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let mut config = limiter_config(&server);
    config["listen"] = address.to_string().into();
    config["ops"] = free_address().to_string().into();
    let mut old_process = Program::start_with_listener(&config, &listener);
    let stream = request_stream(&old_process, Class::NonIdempotent, timeout);
    let received = thread::spawn(move || receive_after(&stream));
    server.next_request();
    thread::sleep(after);
    config["ops"] = free_address().to_string().into();
    let _new_process = Program::start_with_listener(&config, &listener);
    old_process.signal("-TERM");
    let received = received.join().expect("a client that does not panic");
    received.assert_long(LONG_BYTES, timeout);
    assert!(old_process.wait().success());
}
