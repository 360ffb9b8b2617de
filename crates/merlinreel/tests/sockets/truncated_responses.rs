//! `UpstreamPool` whose answers break off at each step, for each class's effect. An answer is passed on once it is whole or
//! once more than [`PASSED_ON_BEYOND`] of its body has come: broken off before that, it is a failed attempt that may
//! have run; behind that, the client can tell that it is cut.

use merlinreel_testkit::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use test_case::{test_case, test_matrix};

const PASSED_ON_BEYOND: usize = 64 << 10;
/// More than that, with a margin for what a cut answer's last read leaves behind.
const LONG_PART: usize = 128 << 10;
const LONG: usize = 300 << 10;
const CHUNK: usize = 4096;
/// A request's, and the target of its class.
const TIME: Duration = Duration::from_secs(15);
const GOOD: &str = "the good answer";
const BROKEN: &str = "one that breaks off";

/// How an answer tells its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

impl Framing {
    /// A good answer's head for a body so long.
    fn head(self, length: usize) -> String {
        let header = match self {
            Framing::Length => format!("Content-Length: {length}\r\n"),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::UntilClose => String::new(),
        };
        format!("HTTP/1.1 200 OK\r\nX-Kind: blue\r\n{header}\r\n")
    }

    /// A good answer, whole but for the connection's close.
    fn answer(self, body: &str) -> String {
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

/// Where a short answer breaks off.
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
    /// Only a reset breaks an answer off that the close ends.
    UntilClose,
}

impl BreakPoint {
    /// What is sent before it.
    fn text(self) -> String {
        let head = |framing: Framing| framing.head(BROKEN.len());
        let (chunked, length) = (head(Framing::Chunked), head(Framing::Length));
        match self {
            BreakPoint::ChunkedHead => chunked,
            BreakPoint::ChunkSize => chunked + "1",
            BreakPoint::WithinChunk => chunked + "13\r\none that",
            BreakPoint::BetweenChunks => chunked + &chunks(BROKEN),
            BreakPoint::WithinLastChunk => chunked + &chunks(BROKEN) + "0\r\n",
            BreakPoint::LengthHead => length,
            BreakPoint::LengthHalf => length + &BROKEN[..BROKEN.len() / 2],
            BreakPoint::LengthAllButLast => length + &BROKEN[..BROKEN.len() - 1],
            BreakPoint::UntilClose => head(Framing::UntilClose) + BROKEN,
        }
    }
}

/// The classes of [`config`], by what a repeat of their requests does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    ReadLike,
    Keyed,
    NonIdempotent,
}

impl Class {
    fn name(self) -> &'static str {
        match self {
            Class::ReadLike => "look",
            Class::Keyed => "put",
            Class::NonIdempotent => "pay",
        }
    }

    /// What comes of a request whose first attempt may have run.
    fn after_broken_attempt(self) -> Outcome {
        match self {
            Class::ReadLike | Class::Keyed => Outcome {
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

/// The client's answer, and how many attempts reached the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Outcome {
    status: u16,
    attempts: usize,
}

/// Answers the first request in that way, later ones well and whole.
fn first_by(first: impl Fn() -> Reaction + Send + Sync + 'static) -> ScriptedServer {
    let answered = AtomicBool::new(false);
    ScriptedServer::start(move |_| {
        if answered.swap(true, Ordering::SeqCst) {
            response("200 OK", "", GOOD)
        } else {
            first()
        }
    })
}

fn first_broken(text: String, when: CloseTiming, end: ConnectionEnd) -> ScriptedServer {
    let broken = TruncatedResponse { text, when, end };
    first_by(move || Reaction::Truncate(broken.clone()))
}

/// Classes with so much time, and keys kept so long, that a busy machine takes no attempt from a request.
fn unhurried(server: &ScriptedServer) -> serde_json::Value {
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
    Program::start(&unhurried(server))
}

fn request_of(class: Class, customer: u32) -> String {
    request(class.name(), customer, 1, &format!("{}m", TIME.as_millis()))
}

/// Asks once: its outcome, one answer, and a connection that is good for a further request.
fn answered_once(program: &Program, server: &ScriptedServer, class: Class) -> (Outcome, String) {
    let mut client = program.client();
    client.send(&request_of(class, 7));
    let first = whole(client.receive_or_error());
    let outcome = Outcome {
        status: first.status(),
        attempts: server.requests.try_iter().count(),
    };
    client.send(&request_of(Class::ReadLike, 8));
    let further = whole(client.receive_or_error());
    assert_eq!(
        (further.status(), further.body.as_str()),
        (200, GOOD),
        "the further request, after {first:?}"
    );
    assert_eq!(
        server.requests.try_iter().count(),
        1,
        "attempts of the further request"
    );
    no_further_answer(&mut client);
    (outcome, first.body)
}

/// Nothing comes behind the last answer but the connection's end.
fn no_further_answer(client: &mut Client) {
    client.finish_sending();
    let next = client.receive_or_error();
    assert!(
        !matches!(next, Ok(Some(_)) | Err(ReadError::Incomplete(_))),
        "{next:?}"
    );
}

fn tried_again_where_its_class_allows(
    class: Class,
    point: BreakPoint,
    when: CloseTiming,
    end: ConnectionEnd,
) {
    let server = first_broken(point.text(), when, end);
    let (outcome, body) = answered_once(&limiter(&server), &server, class);
    assert_eq!(outcome, class.after_broken_attempt(), "{body:?}");
    if outcome.status == 200 {
        assert_eq!(body, GOOD);
    }
}

#[test_matrix(
    [Class::ReadLike, Class::Keyed, Class::NonIdempotent],
    [
        BreakPoint::ChunkedHead, BreakPoint::ChunkSize, BreakPoint::WithinChunk, BreakPoint::BetweenChunks,
        BreakPoint::WithinLastChunk, BreakPoint::LengthHead, BreakPoint::LengthHalf, BreakPoint::LengthAllButLast
    ],
    [CloseTiming::Written, CloseTiming::Read],
    [ConnectionEnd::Reset, ConnectionEnd::Orderly]
)]
fn broken_off_short(class: Class, point: BreakPoint, when: CloseTiming, end: ConnectionEnd) {
    tried_again_where_its_class_allows(class, point, when, end);
}

#[test_matrix(
    [Class::ReadLike, Class::Keyed, Class::NonIdempotent],
    [CloseTiming::Written, CloseTiming::Read]
)]
fn a_reset_does_not_end_an_answer_until_the_close(class: Class, when: CloseTiming) {
    tried_again_where_its_class_allows(class, BreakPoint::UntilClose, when, ConnectionEnd::Reset);
}

/// No more of the body has come than may be held back: it is not passed on yet.
#[test_matrix(
    [Class::ReadLike, Class::NonIdempotent],
    [Framing::Length, Framing::Chunked],
    [ConnectionEnd::Reset, ConnectionEnd::Orderly]
)]
fn broken_off_at_the_bound(class: Class, framing: Framing, end: ConnectionEnd) {
    let text = framing.part(&long_body(LONG), PASSED_ON_BEYOND);
    let server = first_broken(text, CloseTiming::Read, end);
    let (outcome, _) = answered_once(&limiter(&server), &server, class);
    assert_eq!(outcome, class.after_broken_attempt());
}

/// `UpstreamPool` may have forgotten the key: a repeat could run a second time.
#[test_matrix(["all", "zone"], [ConnectionEnd::Reset, ConnectionEnd::Orderly])]
fn a_keyed_request_is_not_sent_again_after_its_window(group: &str, end: ConnectionEnd) {
    const WINDOW: Duration = Duration::from_millis(200);
    let server = first_broken(
        BreakPoint::LengthHalf.text(),
        CloseTiming::Delayed(WINDOW * 2),
        end,
    );
    let mut config = unhurried(&server);
    let class = &mut config["settings"]["classes"][1];
    (class["keyTtlS"], class["group"]) = (WINDOW.as_secs_f64().into(), group.into());
    let (outcome, _) = answered_once(&Program::start(&config), &server, Class::Keyed);
    assert_eq!(
        outcome,
        Outcome {
            status: 502,
            attempts: 1
        }
    );
}

#[test_matrix(
    [Class::ReadLike, Class::Keyed, Class::NonIdempotent],
    [Framing::Length, Framing::Chunked, Framing::UntilClose],
    [0, 1, PASSED_ON_BEYOND, PASSED_ON_BEYOND + 1, LONG]
)]
fn whole_answers_arrive_unchanged(class: Class, framing: Framing, length: usize) {
    let body = long_body(length);
    // The close, which ends one of the framings, is allowed behind an answer in each.
    let server = first_broken(
        framing.answer(&body),
        CloseTiming::Written,
        ConnectionEnd::Orderly,
    );
    let (outcome, arrived) = answered_once(&limiter(&server), &server, class);
    assert_eq!(
        outcome,
        Outcome {
            status: 200,
            attempts: 1
        }
    );
    assert!(arrived == body, "{} of {length} bytes", arrived.len());
}

/// Part of it may be with the client already: no other answer can follow, and this one must not pass for whole.
#[test_case(Framing::Length, CloseTiming::Read, ConnectionEnd::Reset ; "length told, reset")]
#[test_case(Framing::Length, CloseTiming::Read, ConnectionEnd::Orderly ; "length told, orderly end")]
#[test_case(Framing::Length, CloseTiming::Written, ConnectionEnd::Orderly ; "length told, orderly end at once")]
#[test_case(Framing::Chunked, CloseTiming::Read, ConnectionEnd::Reset ; "chunked, reset")]
#[test_case(Framing::Chunked, CloseTiming::Read, ConnectionEnd::Orderly ; "chunked, orderly end")]
#[test_case(Framing::Chunked, CloseTiming::Written, ConnectionEnd::Orderly ; "chunked, orderly end at once")]
#[test_case(Framing::UntilClose, CloseTiming::Read, ConnectionEnd::Reset ; "until the close, reset")]
fn broken_off_long_is_seen_to_be_cut(framing: Framing, when: CloseTiming, end: ConnectionEnd) {
    let body = long_body(LONG);
    for class in [Class::ReadLike, Class::Keyed, Class::NonIdempotent] {
        let server = first_broken(framing.part(&body, LONG_PART), when, end);
        let program = limiter(&server);
        let mut client = program.client();
        client.send(&request_of(class, 7));
        let cut = match client.receive_or_error() {
            Err(ReadError::Incomplete(cut)) => cut,
            other => panic!("{class:?}: {:?}", shown(&other)),
        };
        assert_eq!((cut.status(), cut.header("x-kind")), (200, Some("blue")));
        assert!(
            !cut.body.is_empty() && body.starts_with(&cut.body),
            "{} bytes",
            cut.body.len()
        );
        no_further_answer(&mut client);
        assert_eq!(server.requests.try_iter().count(), 1, "attempts, {class:?}");
    }
}

fn whole(received: Result<Option<Message>, ReadError>) -> Message {
    match received {
        Ok(Some(message)) => message,
        other => panic!("expected a whole answer: {}", shown(&other)),
    }
}

/// What was received, without its long body.
fn shown(received: &Result<Option<Message>, ReadError>) -> String {
    match received {
        Ok(Some(message)) => format!(
            "`{}` whole with {} bytes",
            message.first,
            message.body.len()
        ),
        Ok(None) => "no answer".to_owned(),
        Err(error) => error.to_string(),
    }
}

/// The attempt's time bounds an answer that comes byte by byte: the client has its own in time, and the connection to
/// the server is closed under the trickle, which would go on for longer than the client waits.
#[test_case(Framing::Length, "x" ; "length told")]
#[test_case(Framing::Chunked, "1\r\nx\r\n" ; "chunked")]
#[test_case(Framing::UntilClose, "x" ; "until the close")]
fn a_trickle_is_bounded_by_the_attempt_s_time(framing: Framing, piece: &'static str) {
    const EVERY: Duration = Duration::from_millis(50);
    const PIECES: usize = 100;
    let head = framing.head(PIECES * 2);
    let trickle = Trickle {
        head,
        piece,
        every: EVERY,
        pieces: PIECES,
    };
    let server = first_by(move || Reaction::Trickle(trickle.clone()));
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
    assert_eq!(client.request("look", 8, 1).body, GOOD);
}
