//! Responses whose servers pause for long, also across the client's deadline. Only the first bytes of a long response have to
//! reach the client in its time; one of unknown length may be long whatever its server's pauses.

use crate::paced_responses::*;
use crate::responses::{
    BUFFERED_BYTES, Class, Framing, PATIENT_TIMEOUT, long_body, patient_config, react_to_first,
};
use merlinreel_testkit::*;
use std::time::{Duration, Instant};
use test_case::{test_case, test_matrix};

/// A response of unknown length is probably long once this much of it has arrived.
const PROBABLY_LONG_BYTES: usize = BUFFERED_BYTES / 8;

/// After this pause a server that sends nothing has cut off its response.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against cutting off a long response whose server pauses across the client's deadline (review case 10): where no
/// length is announced, nothing of it was forwarded.
#[test_matrix(
    [Class::Idempotent, Class::IdempotencyKey, Class::NonIdempotent],
    [Framing::Length, Framing::Chunked, Framing::UntilClose],
    [PROBABLY_LONG_BYTES, 2 * PIECE_BYTES, BUFFERED_BYTES]
)]
fn long_response_that_pauses_at_the_deadline_arrives_complete(
    class: Class,
    framing: Framing,
    first_bytes: usize,
) {
    assert_paused_response_arrives(class, framing, first_bytes);
}

/// Where the length is announced, one byte is enough.
#[test_case(Class::Idempotent)]
#[test_case(Class::IdempotencyKey)]
#[test_case(Class::NonIdempotent)]
fn announced_long_response_that_pauses_after_one_byte_arrives_complete(class: Class) {
    assert_paused_response_arrives(class, Framing::Length, 1);
}

/// Guards against the same fault where so little has arrived of a response of unknown length that it may be short.
#[test_matrix(
    [Class::Idempotent, Class::IdempotencyKey, Class::NonIdempotent],
    [Framing::Chunked, Framing::UntilClose],
    [1, PROBABLY_LONG_BYTES - 1]
)]
fn long_response_of_unknown_length_that_pauses_early_arrives_complete(
    class: Class,
    framing: Framing,
    first_bytes: usize,
) {
    assert_paused_response_arrives(class, framing, first_bytes);
}

fn assert_paused_response_arrives(class: Class, framing: Framing, first_bytes: usize) {
    let server = paced_server(Pace::paused(framing, first_bytes));
    let program = Program::start(&limiter_config(&server));
    fetch(&program, class, PAUSED_TIMEOUT).assert_long(LONG_BYTES, PAUSED_TIMEOUT);
    assert!(server.requests.try_iter().count() <= 2, "attempts");
}

/// A response that is a byte longer than the buffer and pauses more than once is long.
#[test_matrix(
    [Class::Idempotent, Class::NonIdempotent],
    [Framing::Length, Framing::Chunked, Framing::UntilClose],
    [Duration::from_millis(100), Duration::from_millis(1200), Duration::from_millis(2500)]
)]
fn response_of_one_byte_over_the_buffered_length_with_pauses_arrives_complete(
    class: Class,
    framing: Framing,
    pause: Duration,
) {
    let server = paced_server(Pace {
        body_bytes: BUFFERED_BYTES + 1,
        piece_bytes: BUFFERED_BYTES / 2,
        pause,
        ..Pace::paused(framing, PROBABLY_LONG_BYTES)
    });
    let program = Program::start(&limiter_config(&server));
    fetch(&program, class, PAUSED_TIMEOUT).assert_long(BUFFERED_BYTES + 1, PAUSED_TIMEOUT);
}

/// Guards against holding back the beginning of a paused response for 2 s where the deadline is far away, also where the
/// attempt is cancelled as overdue and its request sent again.
#[test_matrix(
    [Class::Idempotent, Class::IdempotencyKey, Class::NonIdempotent],
    [Framing::Length, Framing::Chunked, Framing::UntilClose],
    [PROBABLY_LONG_BYTES, 2 * PIECE_BYTES]
)]
fn beginning_of_a_paused_long_response_is_not_held_back(
    class: Class,
    framing: Framing,
    first_bytes: usize,
) {
    let server = paced_server(Pace::paused(framing, first_bytes));
    let program = Program::start(&patient_config(&server));
    let max_wait = MAX_HOLD.saturating_sub(MAX_DELAY);
    fetch(&program, class, PATIENT_TIMEOUT).assert_long(LONG_BYTES, max_wait);
}

/// A body of unknown length that is probably long is begun in time although its server stalls. The client can tell that the
/// rest is missing, the attempt is not repeated, and neither connection is held for ever.
#[test_matrix([Framing::Chunked, Framing::UntilClose], [PROBABLY_LONG_BYTES, BUFFERED_BYTES / 2])]
fn stalled_body_that_is_probably_long_begins_in_time_and_ends_recognizably(
    framing: Framing,
    sent_bytes: usize,
) {
    let server = stalling_server(framing, sent_bytes);
    let program = Program::start(&limiter_config(&server));
    let started = Instant::now();
    let received = fetch(&program, Class::NonIdempotent, PAUSED_TIMEOUT);
    let ended_after = started.elapsed();
    assert!(
        received.first_byte_after < PAUSED_TIMEOUT + MAX_DELAY,
        "{:?}",
        received.first_byte_after
    );
    assert!(
        ended_after < PAUSED_TIMEOUT + STALL_TIMEOUT + MAX_DELAY,
        "{ended_after:?}"
    );
    received.assert_truncated(&long_body(sent_bytes));
    assert_eq!(server.closed.recv_timeout(TEST_TIMEOUT), Ok(0));
    assert_eq!(server.requests.try_iter().count(), 1, "attempts");
}

/// A response that may be short and breaks off while its beginning is held back is a failed attempt, of which no client gets
/// anything, whatever its framing and however much has arrived.
#[test_matrix(
    [Class::Idempotent, Class::IdempotencyKey, Class::NonIdempotent],
    [Framing::Length, Framing::Chunked, Framing::UntilClose],
    [1, 2 * PIECE_BYTES, BUFFERED_BYTES - 2]
)]
fn short_response_that_breaks_off_after_a_pause_is_retried_where_its_class_allows(
    class: Class,
    framing: Framing,
    sent_bytes: usize,
) {
    const PAUSE_BEFORE_RESET: Duration = Duration::from_millis(600);
    let server = react_to_first(DONE, move || {
        let pace = Pace {
            body_bytes: BUFFERED_BYTES,
            first_bytes: sent_bytes,
            piece_bytes: 1,
            pause: PAUSE_BEFORE_RESET,
            ..Pace::of(framing)
        };
        pace.truncated(sent_bytes + 1, PiecesEnd::Connection(ConnectionEnd::Reset))
    });
    let program = Program::start(&patient_config(&server));
    let response = fetch(&program, class, PATIENT_TIMEOUT).complete();
    let expected = match class {
        Class::Idempotent | Class::IdempotencyKey => (200, DONE),
        Class::NonIdempotent => (502, response.body.as_str()),
    };
    assert_eq!((response.status(), response.body.as_str()), expected);
}

/// A short response whose server pauses within the client's time arrives complete in that time.
#[test_matrix([Framing::Length, Framing::Chunked, Framing::UntilClose], [1000, BUFFERED_BYTES])]
fn short_response_that_pauses_arrives_complete_in_time(framing: Framing, body_bytes: usize) {
    const TIMEOUT: Duration = Duration::from_millis(3000);
    let server = paced_server(Pace {
        body_bytes,
        first_bytes: body_bytes / 2,
        piece_bytes: body_bytes,
        pause: Duration::from_millis(1800),
        ..Pace::of(framing)
    });
    let program = Program::start(&limiter_config(&server));
    let started = Instant::now();
    fetch(&program, Class::NonIdempotent, TIMEOUT).assert_long(body_bytes, TIMEOUT);
    assert!(started.elapsed() < TIMEOUT, "{:?}", started.elapsed());
    assert_eq!(server.requests.try_iter().count(), 1, "attempts");
}

/// Guards against a repeat after a pause: a response of unknown length that was forwarded at its deadline and breaks off
/// later ends short at its client.
#[test_matrix(
    [Class::Idempotent, Class::IdempotencyKey, Class::NonIdempotent],
    [Framing::Chunked, Framing::UntilClose]
)]
fn paused_response_that_breaks_off_after_the_deadline_is_recognizable_and_not_retried(
    class: Class,
    framing: Framing,
) {
    let sent_bytes = 3 * PIECE_BYTES;
    let server = react_to_first(DONE, move || {
        let pace = Pace {
            piece_bytes: PIECE_BYTES,
            pause: Duration::from_millis(2000),
            ..Pace::paused(framing, 2 * PIECE_BYTES)
        };
        pace.truncated(sent_bytes, PiecesEnd::Connection(ConnectionEnd::Reset))
    });
    let program = Program::start(&limiter_config(&server));
    fetch(&program, class, PAUSED_TIMEOUT).assert_truncated(&long_body(sent_bytes));
    assert_eq!(server.requests.try_iter().count(), 1, "attempts");
}

/// The same holds for a response that pauses across its deadline.
#[test_matrix(
    [Meanwhile::Shutdown, Meanwhile::Reload],
    [Duration::from_millis(200), Duration::from_millis(1500)],
    [Framing::Length, Framing::Chunked, Framing::UntilClose]
)]
fn paused_long_response_survives(meanwhile: Meanwhile, after: Duration, framing: Framing) {
    let pace = Pace {
        pause: Duration::from_millis(2000),
        ..Pace::paused(framing, 2 * PIECE_BYTES)
    };
    assert_response_survives(meanwhile, after, pace, PAUSED_TIMEOUT);
}

/// A response that pauses across its deadline arrives complete also where the limiter is upgraded meanwhile.
#[test_matrix(
    [Duration::from_millis(200), Duration::from_millis(1500)],
    [Framing::Length, Framing::Chunked, Framing::UntilClose]
)]
fn paused_long_response_survives_an_upgrade(after: Duration, framing: Framing) {
    let pace = Pace {
        pause: Duration::from_millis(2000),
        ..Pace::paused(framing, 2 * PIECE_BYTES)
    };
    assert_response_survives_an_upgrade(after, pace, PAUSED_TIMEOUT);
}
