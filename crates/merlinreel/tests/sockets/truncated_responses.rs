//! Responses that servers truncate at each point, for each class. The limiter forwards a response once it is complete, or
//! once more than [`BUFFERED_BYTES`] of its body have arrived. Truncated before that, it is a failed attempt that may have
//! run; truncated later, the client must be able to tell that it is truncated.

use crate::responses::{
    BUFFERED_BYTES, Class, Framing, PATIENT_TIMEOUT, chunks, long_body, patient_config,
    react_to_first,
};
use merlinreel_testkit::*;
use std::time::Duration;
use test_case::{test_case, test_matrix};

/// Length of the part that is sent of a truncated long body: above [`BUFFERED_BYTES`], with a margin for bytes that the last
/// read before the truncation does not deliver.
const LONG_PART_BYTES: usize = 128 << 10;
/// Length of a long body.
const LONG_BYTES: usize = 300 << 10;
const COMPLETE_BODY: &str = "the complete response";
const TRUNCATED_BODY: &str = "one that breaks off";

/// The position, by framing, at which a short response is truncated.
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
    /// Only a reset can truncate a response that is delimited by the close.
    UntilClose,
}

impl BreakPoint {
    /// The part of the response that is sent.
    fn sent_text(self) -> String {
        let head = |framing: Framing| framing.head(TRUNCATED_BODY.len());
        let (chunked, length) = (head(Framing::Chunked), head(Framing::Length));
        match self {
            BreakPoint::ChunkedHead => chunked,
            BreakPoint::ChunkSize => chunked + "1",
            BreakPoint::WithinChunk => chunked + "13\r\none that",
            BreakPoint::BetweenChunks => chunked + &chunks(TRUNCATED_BODY),
            BreakPoint::WithinLastChunk => chunked + &chunks(TRUNCATED_BODY) + "0\r\n",
            BreakPoint::LengthHead => length,
            BreakPoint::LengthHalf => length + &TRUNCATED_BODY[..TRUNCATED_BODY.len() / 2],
            BreakPoint::LengthAllButLast => length + &TRUNCATED_BODY[..TRUNCATED_BODY.len() - 1],
            BreakPoint::UntilClose => head(Framing::UntilClose) + TRUNCATED_BODY,
        }
    }
}

impl Class {
    /// The expected outcome if the first attempt's response is truncated before it is forwarded.
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

/// The status of the client's response, and the number of attempts that reached the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Outcome {
    status: u16,
    attempts: usize,
}

/// Starts a server whose first response is `text`, after which the connection ends as given by `when` and `end`. Later
/// responses are complete.
fn close_after_first(text: String, when: CloseTiming, end: ConnectionEnd) -> ScriptedServer {
    let truncated = TruncatedResponse { text, when, end };
    react_to_first(COMPLETE_BODY, move || Reaction::Truncate(truncated.clone()))
}

fn start_limiter(server: &ScriptedServer) -> Program {
    Program::start(&patient_config(server))
}

fn request_text(class: Class, customer: u32) -> String {
    request(
        class.name(),
        customer,
        1,
        &format!("{}m", PATIENT_TIMEOUT.as_millis()),
    )
}

/// Sends one request and returns its outcome and the response's body. Asserts that there is exactly one response, and that
/// the connection serves a further request.
fn send_once(program: &Program, server: &ScriptedServer, class: Class) -> (Outcome, String) {
    let mut client = program.client();
    client.send(&request_text(class, 7));
    let first = expect_complete(client.receive_or_error());
    let outcome = Outcome {
        status: first.status(),
        attempts: server.requests.try_iter().count(),
    };
    client.send(&request_text(Class::Idempotent, 8));
    let further = expect_complete(client.receive_or_error());
    assert_eq!(
        (further.status(), further.body.as_str()),
        (200, COMPLETE_BODY),
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

/// Asserts that nothing but the end of the connection follows the last response.
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
    let server = close_after_first(point.sent_text(), when, end);
    let (outcome, body) = send_once(&start_limiter(&server), &server, class);
    assert_eq!(outcome, class.after_truncated_attempt(), "{body:?}");
    if outcome.status == 200 {
        assert_eq!(body, COMPLETE_BODY);
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
fn reset_does_not_complete_a_response_delimited_by_the_close(class: Class, when: CloseTiming) {
    assert_retried_where_its_class_allows(
        class,
        BreakPoint::UntilClose,
        when,
        ConnectionEnd::Reset,
    );
}

/// A response is not forwarded yet when exactly as much of its body has arrived as is buffered: truncated there, it is
/// still a failed attempt.
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
    let text = framing.partial_response(&long_body(LONG_BYTES), BUFFERED_BYTES);
    let server = close_after_first(text, CloseTiming::Read, end);
    let (outcome, _) = send_once(&start_limiter(&server), &server, class);
    assert_eq!(outcome, class.after_truncated_attempt());
}

/// A request whose attempt fails after the lifetime of its idempotency key is not retried. Servers may have forgotten the
/// key, so that a retry could run the request twice.
#[test_matrix(["all", "zone"], [ConnectionEnd::Reset, ConnectionEnd::Orderly])]
fn request_is_not_retried_after_the_lifetime_of_its_key(group: &str, end: ConnectionEnd) {
    const KEY_LIFETIME: Duration = Duration::from_millis(200);
    let server = close_after_first(
        BreakPoint::LengthHalf.sent_text(),
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
    [0, 1, BUFFERED_BYTES, BUFFERED_BYTES + 1, LONG_BYTES]
)]
fn complete_responses_arrive_unchanged(class: Class, framing: Framing, length: usize) {
    let body = long_body(length);
    // The server closes the connection after its first response: one framing requires it, the others allow it.
    let server = close_after_first(
        framing.response(&body),
        CloseTiming::Written,
        ConnectionEnd::Orderly,
    );
    let (outcome, received_body) = send_once(&start_limiter(&server), &server, class);
    assert_eq!(
        outcome,
        Outcome {
            status: 200,
            attempts: 1
        }
    );
    assert!(
        received_body == body,
        "{} of {length} bytes",
        received_body.len()
    );
}

/// The client can tell that a long truncated response is truncated and must not take it for complete. Part of it may have
/// been forwarded, so no other response can follow.
#[test_case(Framing::Length, CloseTiming::Read, ConnectionEnd::Reset ; "content length, reset")]
#[test_case(Framing::Length, CloseTiming::Read, ConnectionEnd::Orderly ; "content length, orderly end")]
#[test_case(Framing::Length, CloseTiming::Written, ConnectionEnd::Orderly ; "content length, orderly end at once")]
#[test_case(Framing::Chunked, CloseTiming::Read, ConnectionEnd::Reset ; "chunked, reset")]
#[test_case(Framing::Chunked, CloseTiming::Read, ConnectionEnd::Orderly ; "chunked, orderly end")]
#[test_case(Framing::Chunked, CloseTiming::Written, ConnectionEnd::Orderly ; "chunked, orderly end at once")]
#[test_case(Framing::UntilClose, CloseTiming::Read, ConnectionEnd::Reset ; "until the close, reset")]
fn long_truncated_response_is_recognizable_as_truncated(
    framing: Framing,
    when: CloseTiming,
    end: ConnectionEnd,
) {
    let body = long_body(LONG_BYTES);
    for class in [
        Class::Idempotent,
        Class::IdempotencyKey,
        Class::NonIdempotent,
    ] {
        let server = close_after_first(framing.partial_response(&body, LONG_PART_BYTES), when, end);
        let program = start_limiter(&server);
        let mut client = program.client();
        client.send(&request_text(class, 7));
        let truncated = match client.receive_or_error() {
            Err(ReadError::Incomplete(truncated)) => truncated,
            other => panic!("{class:?}: {:?}", description(&other)),
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

/// Returns the response; panics unless it is complete.
fn expect_complete(received: Result<Option<Message>, ReadError>) -> Message {
    match received {
        Ok(Some(message)) => message,
        other => panic!("expected a complete response: {}", description(&other)),
    }
}

/// Describes what was received, without its body.
fn description(received: &Result<Option<Message>, ReadError>) -> String {
    match received {
        Ok(Some(message)) => format!(
            "`{}` complete with {} bytes",
            message.start_line,
            message.body.len()
        ),
        Ok(None) => "no response".to_owned(),
        Err(error) => error.to_string(),
    }
}

/// The attempt's deadline bounds a response that a server sends byte by byte: the client gets the limiter's own response in
/// time, and the connection to the server is closed although the server goes on sending for longer than the client waits.
#[test_case(Framing::Length, "x" ; "content length")]
#[test_case(Framing::Chunked, "1\r\nx\r\n" ; "chunked")]
#[test_case(Framing::UntilClose, "x" ; "until the close")]
fn trickled_response_is_bounded_by_the_attempt_deadline(framing: Framing, piece: &'static str) {
    const INTERVAL: Duration = Duration::from_millis(50);
    const PIECE_COUNT: usize = 100;
    let head = framing.head(PIECE_COUNT * 2);
    let trickle = Trickle {
        head,
        piece,
        interval: INTERVAL,
        pieces: PIECE_COUNT,
    };
    let server = react_to_first(COMPLETE_BODY, move || Reaction::Trickle(trickle.clone()));
    let program = Program::start(&config(&[instance("s-1", server.address, "up")]));
    let mut client = program.client();
    client.send(&request("pay", 7, 1, "1200m"));
    let response = client.receive_or_error();
    assert!(
        matches!(&response, Ok(Some(response)) if response.status() == 502),
        "{}",
        description(&response)
    );
    assert_eq!(server.closed.recv_timeout(TEST_TIMEOUT), Ok(0));
    assert_eq!(server.requests.try_iter().count(), 1);
    assert_eq!(client.request("look", 8, 1).body, COMPLETE_BODY);
}
