//! Servers whose responses are truncated at each step, for each class. A response is forwarded once it is complete or once
//! more than [`BUFFERED_BYTES`] of its body have arrived: truncated before that, it is a failed attempt that may have run; after
//! that, the client can tell that it is truncated.

use merlinreel_testkit::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use test_case::{test_case, test_matrix};

const BUFFERED_BYTES: usize = 64 << 10;
/// More than that, with a margin for what the last read of a truncated response leaves behind.
const LONG_PART: usize = 128 << 10;
const LONG: usize = 300 << 10;
const CHUNK: usize = 4096;
/// A request's remaining time, and the latency objective of its class.
const TIME: Duration = Duration::from_secs(15);
const COMPLETE: &str = "the complete response";
const TRUNCATED: &str = "one that breaks off";

/// How the end of a response is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

impl Framing {
    /// A successful response's head for a body of this length.
    fn head(self, length: usize) -> String {
        let header = match self {
            Framing::Length => format!("Content-Length: {length}\r\n"),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::UntilClose => String::new(),
        };
        format!("HTTP/1.1 200 OK\r\nX-Kind: blue\r\n{header}\r\n")
    }

    /// A successful response, complete but for the connection's close.
    fn response(self, body: &str) -> String {
        let head = self.head(body.len());
        match self {
            Framing::Length | Framing::UntilClose => head + body,
            Framing::Chunked => head + &chunks(body) + "0\r\n\r\n",
        }
    }

    /// Its head and the beginning of its body, at least `part` bytes without what frames them.
    fn part(self, body: &str, part: usize) -> String {
        let head = self.head(body.len());
        match self {
            Framing::Length | Framing::UntilClose => head + &body[..part],
            Framing::Chunked => head + &chunks(&body[..part]),
        }
    }
}

fn chunks(body: &str) -> String {
    let chunks = body.as_bytes().chunks(CHUNK).map(String::from_utf8_lossy);
    chunks
        .map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()))
        .collect()
}

/// No two of its parts are alike, so that one lost or doubled is seen.
fn long_body(length: usize) -> String {
    let mut body: String = (0..=length / 8)
        .map(|number| format!("{number:07} "))
        .collect();
    body.truncate(length);
    body
}

/// Where a short response is truncated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakPoint {
    ChunkedHead,
    ChunkSize,
    WithinChunk,
    BetweenChunks,
    WithinLastChunk,
    LengthHead,
    LengthHalf,
    LengthAllButLast,
    /// Only a reset truncates a response that the close ends.
    UntilClose,
}

impl BreakPoint {
    /// What is sent before it.
    fn text(self) -> String {
        let head = |framing: Framing| framing.head(TRUNCATED.len());
        let (chunked, length) = (head(Framing::Chunked), head(Framing::Length));
        match self {
            BreakPoint::ChunkedHead => chunked,
            BreakPoint::ChunkSize => chunked + "1",
            BreakPoint::WithinChunk => chunked + "13\r\none that",
            BreakPoint::BetweenChunks => chunked + &chunks(TRUNCATED),
            BreakPoint::WithinLastChunk => chunked + &chunks(TRUNCATED) + "0\r\n",
            BreakPoint::LengthHead => length,
            BreakPoint::LengthHalf => length + &TRUNCATED[..TRUNCATED.len() / 2],
            BreakPoint::LengthAllButLast => length + &TRUNCATED[..TRUNCATED.len() - 1],
            BreakPoint::UntilClose => head(Framing::UntilClose) + TRUNCATED,
        }
    }
}

/// The classes of [`config`], by the idempotency of their requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    Idempotent,
    IdempotencyKey,
    NonIdempotent,
}

impl Class {
    fn name(self) -> &'static str {
        match self {
            Class::Idempotent => "look",
            Class::IdempotencyKey => "put",
            Class::NonIdempotent => "pay",
        }
    }

    /// The outcome of a request whose first attempt may have run.
    fn after_truncated_attempt(self) -> Outcome {
        match self {
            Class::Idempotent | Class::IdempotencyKey => Outcome {
                status: 200,
                attempts: 2,
            },
            Class::NonIdempotent => Outcome {
                status: 502,
                attempts: 1,
            },
        }
    }
}

/// The client's response, and how many attempts reached the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Outcome {
    status: u16,
    attempts: usize,
}

/// Reacts to the first request as given, and responds completely to later ones.
fn react_to_first(first: impl Fn() -> Reaction + Send + Sync + 'static) -> ScriptedServer {
    let answered = AtomicBool::new(false);
    ScriptedServer::start(move |_| {
        if answered.swap(true, Ordering::SeqCst) {
            response("200 OK", "", COMPLETE)
        } else {
            first()
        }
    })
}

fn truncate_first(text: String, when: CloseTiming, end: ConnectionEnd) -> ScriptedServer {
    let truncated = TruncatedResponse { text, when, end };
    react_to_first(move || Reaction::Truncate(truncated.clone()))
}

/// Classes with so much time, and keys with such lifetimes, that a busy machine costs a request no attempt.
fn patient_config(server: &ScriptedServer) -> serde_json::Value {
    let mut config = config(&[instance("s-1", server.address, "up")]);
    for class in config["settings"]["classes"]
        .as_array_mut()
        .expect("classes")
    {
        (class["promiseS"], class["hardLimitS"]) =
            (TIME.as_secs().into(), (TIME.as_secs() * 2).into());
    }
    config["settings"]["classes"][1]["keyTtlS"] = TIME.as_secs().into();
    config
}

fn limiter(server: &ScriptedServer) -> Program {
    Program::start(&patient_config(server))
}

fn request_of(class: Class, customer: u32) -> String {
    request(class.name(), customer, 1, &format!("{}m", TIME.as_millis()))
}

/// Sends one request: its outcome, one response, and a connection that serves a further request.
fn send_once(program: &Program, server: &ScriptedServer, class: Class) -> (Outcome, String) {
    let mut client = program.client();
    client.send(&request_of(class, 7));
    let first = complete(client.receive_or_error());
    let outcome = Outcome {
        status: first.status(),
        attempts: server.requests.try_iter().count(),
    };
    client.send(&request_of(Class::Idempotent, 8));
    let further = complete(client.receive_or_error());
    assert_eq!(
        (further.status(), further.body.as_str()),
        (200, COMPLETE),
        "the further request, after {first:?}"
    );
    assert_eq!(
        server.requests.try_iter().count(),
        1,
        "attempts of the further request"
    );
    assert_no_further_response(&mut client);
    (outcome, first.body)
}

/// Nothing follows the last response but the connection's end.
fn assert_no_further_response(client: &mut Client) {
    client.finish_sending();
    let next = client.receive_or_error();
    assert!(
        !matches!(next, Ok(Some(_)) | Err(ReadError::Incomplete(_))),
        "{next:?}"
    );
}

fn assert_retried_where_its_class_allows(
    class: Class,
    point: BreakPoint,
    when: CloseTiming,
    end: ConnectionEnd,
) {
    let server = truncate_first(point.text(), when, end);
    let (outcome, body) = send_once(&limiter(&server), &server, class);
    assert_eq!(outcome, class.after_truncated_attempt(), "{body:?}");
    if outcome.status == 200 {
        assert_eq!(body, COMPLETE);
    }
}

#[test_matrix(
    [Class::Idempotent, Class::IdempotencyKey, Class::NonIdempotent],
    [
        BreakPoint::ChunkedHead, BreakPoint::ChunkSize, BreakPoint::WithinChunk, BreakPoint::BetweenChunks,
        BreakPoint::WithinLastChunk, BreakPoint::LengthHead, BreakPoint::LengthHalf, BreakPoint::LengthAllButLast
    ],
    [CloseTiming::Written, CloseTiming::Read],
    [ConnectionEnd::Reset, ConnectionEnd::Orderly]
)]
fn short_truncated_response_is_retried_where_its_class_allows(
    class: Class,
    point: BreakPoint,
    when: CloseTiming,
    end: ConnectionEnd,
) {
    assert_retried_where_its_class_allows(class, point, when, end);
}

#[test_matrix(
    [Class::Idempotent, Class::IdempotencyKey, Class::NonIdempotent],
    [CloseTiming::Written, CloseTiming::Read]
)]
fn reset_does_not_complete_a_response_until_the_close(class: Class, when: CloseTiming) {
    assert_retried_where_its_class_allows(
        class,
        BreakPoint::UntilClose,
        when,
        ConnectionEnd::Reset,
    );
}

/// No more of the body has arrived than is buffered: it is not forwarded yet.
#[test_matrix(
    [Class::Idempotent, Class::NonIdempotent],
    [Framing::Length, Framing::Chunked],
    [ConnectionEnd::Reset, ConnectionEnd::Orderly]
)]
fn response_truncated_at_the_buffered_length_is_retried_where_its_class_allows(
    class: Class,
    framing: Framing,
    end: ConnectionEnd,
) {
    let text = framing.part(&long_body(LONG), BUFFERED_BYTES);
    let server = truncate_first(text, CloseTiming::Read, end);
    let (outcome, _) = send_once(&limiter(&server), &server, class);
    assert_eq!(outcome, class.after_truncated_attempt());
}

/// Servers may have dropped the key: a retry could run a second time.
#[test_matrix(["all", "zone"], [ConnectionEnd::Reset, ConnectionEnd::Orderly])]
fn request_is_not_retried_after_the_lifetime_of_its_key(group: &str, end: ConnectionEnd) {
    const KEY_LIFETIME: Duration = Duration::from_millis(200);
    let server = truncate_first(
        BreakPoint::LengthHalf.text(),
        CloseTiming::Delayed(KEY_LIFETIME * 2),
        end,
    );
    let mut config = patient_config(&server);
    let class = &mut config["settings"]["classes"][1];
    (class["keyTtlS"], class["group"]) = (KEY_LIFETIME.as_secs_f64().into(), group.into());
    let (outcome, _) = send_once(&Program::start(&config), &server, Class::IdempotencyKey);
    assert_eq!(
        outcome,
        Outcome {
            status: 502,
            attempts: 1
        }
    );
}

#[test_matrix(
    [Class::Idempotent, Class::IdempotencyKey, Class::NonIdempotent],
    [Framing::Length, Framing::Chunked, Framing::UntilClose],
    [0, 1, BUFFERED_BYTES, BUFFERED_BYTES + 1, LONG]
)]
fn complete_responses_arrive_unchanged(class: Class, framing: Framing, length: usize) {
    let body = long_body(length);
    // The close, which ends one of the framings, may follow a response in each.
    let server = truncate_first(
        framing.response(&body),
        CloseTiming::Written,
        ConnectionEnd::Orderly,
    );
    let (outcome, arrived) = send_once(&limiter(&server), &server, class);
    assert_eq!(
        outcome,
        Outcome {
            status: 200,
            attempts: 1
        }
    );
    assert!(arrived == body, "{} of {length} bytes", arrived.len());
}

/// Part of it may have reached the client: no other response can follow, and this one must not pass for complete.
#[test_case(Framing::Length, CloseTiming::Read, ConnectionEnd::Reset ; "content length, reset")]
#[test_case(Framing::Length, CloseTiming::Read, ConnectionEnd::Orderly ; "content length, orderly end")]
#[test_case(Framing::Length, CloseTiming::Written, ConnectionEnd::Orderly ; "content length, orderly end at once")]
#[test_case(Framing::Chunked, CloseTiming::Read, ConnectionEnd::Reset ; "chunked, reset")]
#[test_case(Framing::Chunked, CloseTiming::Read, ConnectionEnd::Orderly ; "chunked, orderly end")]
#[test_case(Framing::Chunked, CloseTiming::Written, ConnectionEnd::Orderly ; "chunked, orderly end at once")]
#[test_case(Framing::UntilClose, CloseTiming::Read, ConnectionEnd::Reset ; "until the close, reset")]
fn long_truncated_response_is_seen_to_be_truncated(
    framing: Framing,
    when: CloseTiming,
    end: ConnectionEnd,
) {
    let body = long_body(LONG);
    for class in [
        Class::Idempotent,
        Class::IdempotencyKey,
        Class::NonIdempotent,
    ] {
        let server = truncate_first(framing.part(&body, LONG_PART), when, end);
        let program = limiter(&server);
        let mut client = program.client();
        client.send(&request_of(class, 7));
        let truncated = match client.receive_or_error() {
            Err(ReadError::Incomplete(truncated)) => truncated,
            other => panic!("{class:?}: {:?}", shown(&other)),
        };
        assert_eq!(
            (truncated.status(), truncated.header("x-kind")),
            (200, Some("blue"))
        );
        assert!(
            !truncated.body.is_empty() && body.starts_with(&truncated.body),
            "{} bytes",
            truncated.body.len()
        );
        assert_no_further_response(&mut client);
        assert_eq!(server.requests.try_iter().count(), 1, "attempts, {class:?}");
    }
}

fn complete(received: Result<Option<Message>, ReadError>) -> Message {
    match received {
        Ok(Some(message)) => message,
        other => panic!("expected a complete response: {}", shown(&other)),
    }
}

/// What was received, without its long body.
fn shown(received: &Result<Option<Message>, ReadError>) -> String {
    match received {
        Ok(Some(message)) => format!(
            "`{}` complete with {} bytes",
            message.first,
            message.body.len()
        ),
        Ok(None) => "no response".to_owned(),
        Err(error) => error.to_string(),
    }
}

/// The attempt's deadline bounds a response that arrives byte by byte: the client has its own in time, and the connection to
/// the server is closed while the trickle goes on, which lasts longer than the client waits.
#[test_case(Framing::Length, "x" ; "content length")]
#[test_case(Framing::Chunked, "1\r\nx\r\n" ; "chunked")]
#[test_case(Framing::UntilClose, "x" ; "until the close")]
fn trickled_response_is_bounded_by_the_attempt_deadline(framing: Framing, piece: &'static str) {
    const INTERVAL: Duration = Duration::from_millis(50);
    const PIECES: usize = 100;
    let head = framing.head(PIECES * 2);
    let trickle = Trickle {
        head,
        piece,
        every: INTERVAL,
        pieces: PIECES,
    };
    let server = react_to_first(move || Reaction::Trickle(trickle.clone()));
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    client.send(&request("pay", 7, 1, "1200m"));
    let answer = client.receive_or_error();
    assert!(
        matches!(&answer, Ok(Some(answer)) if answer.status() == 502),
        "{}",
        shown(&answer)
    );
    assert_eq!(server.closed.recv_timeout(TEST_TIMEOUT), Ok(0));
    assert_eq!(server.requests.try_iter().count(), 1);
    assert_eq!(client.request("look", 8, 1).body, COMPLETE);
}
