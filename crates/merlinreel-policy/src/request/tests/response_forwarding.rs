use crate::model::arriving_body::{ArrivingBody, BodyLength};
use crate::request::response_forwarding::Forwarding;
use crate::tests::helpers::at;
use test_case::test_case;

const BUFFER_BYTES: u64 = 64 << 10;

/// A body of which `received_bytes` have arrived, the first of them at 0.1 s.
fn body(announced_bytes: Option<u64>, received_bytes: u64) -> ArrivingBody {
    ArrivingBody {
        announced_bytes,
        received_bytes,
        first_bytes_at: at(0.1),
        earlier_response_age: None,
    }
}

#[test_case(Some(BUFFER_BYTES), BUFFER_BYTES - 1 => BodyLength::Short ; "announced, as long as the buffer")]
#[test_case(Some(BUFFER_BYTES + 1), 1 => BodyLength::Long ; "announced, a byte longer than the buffer")]
#[test_case(None, BUFFER_BYTES / 8 - 1 => BodyLength::Undetermined ; "not announced, little has arrived")]
#[test_case(None, BUFFER_BYTES / 8 => BodyLength::ProbablyLong ; "not announced, much has arrived")]
#[test_case(None, BUFFER_BYTES => BodyLength::ProbablyLong ; "not announced, the buffer is full")]
#[test_case(None, BUFFER_BYTES + 1 => BodyLength::Long ; "not announced, more than the buffer holds")]
fn length_follows_from_the_announcement_or_from_what_has_arrived(
    announced_bytes: Option<u64>,
    received_bytes: u64,
) -> BodyLength {
    body(announced_bytes, received_bytes).length(BUFFER_BYTES)
}

const SHORT: Option<u64> = Some(BUFFER_BYTES);
const LONG: Option<u64> = Some(BUFFER_BYTES + 1);

#[test_case(LONG, 1, 0.3, 9.0 => Forwarding::WaitUntil(at(1.1)) ; "long, held back for a second")]
#[test_case(LONG, 1, 1.1, 9.0 => Forwarding::Start ; "long, held back for long enough")]
#[test_case(LONG, 1, 0.3, 0.5 => Forwarding::WaitUntil(at(0.45)) ; "long, with a deadline before that")]
#[test_case(LONG, 1, 0.45, 0.5 => Forwarding::Start ; "long, shortly before its deadline")]
#[test_case(LONG, 1, 2.0, 0.5 => Forwarding::Start ; "long, after its deadline")]
#[test_case(LONG, BUFFER_BYTES + 1, 0.3, 9.0 => Forwarding::Start ; "more than the buffer holds")]
#[test_case(SHORT, BUFFER_BYTES - 1, 1.1, 9.0 => Forwarding::WaitUntil(at(9.0)) ; "short, however long it takes")]
#[test_case(SHORT, BUFFER_BYTES - 1, 9.0, 9.0 => Forwarding::Abandon ; "short, at its deadline")]
#[test_case(None, BUFFER_BYTES / 8, 1.1, 9.0 => Forwarding::WaitUntil(at(1.85)) ; "probably long, held back for less than two seconds")]
#[test_case(None, BUFFER_BYTES / 8, 1.85, 9.0 => Forwarding::Start ; "probably long, although its server has paused")]
#[test_case(None, BUFFER_BYTES / 8, 0.44, 0.5 => Forwarding::WaitUntil(at(0.45)) ; "probably long, with a deadline before that")]
#[test_case(None, BUFFER_BYTES / 8, 0.5, 0.5 => Forwarding::Start ; "probably long, at its deadline")]
#[test_case(None, BUFFER_BYTES / 8, 1.4, 1.4 => Forwarding::Start ; "probably long, paused at its deadline")]
#[test_case(None, 1, 1.85, 9.0 => Forwarding::WaitUntil(at(9.0)) ; "undetermined, until its deadline")]
#[test_case(None, 1, 0.5, 0.5 => Forwarding::Abandon ; "undetermined, at its deadline")]
fn response_is_forwarded_before_its_end_only_if_it_is_long(
    announced_bytes: Option<u64>,
    received_bytes: u64,
    now: f64,
    deadline: f64,
) -> Forwarding {
    body(announced_bytes, received_bytes).forwarding(at(now), at(deadline), BUFFER_BYTES)
}

/// Bytes that have arrived are held back for less than 2 s, also where the attempt to which they belong was cancelled and
/// another one made: the time of both attempts counts.
#[test_case(None, 1.0 => Forwarding::WaitUntil(at(0.75)) ; "of unknown length, held back for 1 s before")]
#[test_case(None, 0.2 => Forwarding::WaitUntil(at(1.55)) ; "of unknown length, held back for 0.2 s before")]
#[test_case(None, 1.7 => Forwarding::Start ; "of unknown length, held back for long before")]
#[test_case(None, 5.0 => Forwarding::Start ; "of unknown length, held back for longer than is allowed")]
#[test_case(LONG, 1.0 => Forwarding::WaitUntil(at(0.75)) ; "long, held back for 1 s before")]
#[test_case(SHORT, 1.0 => Forwarding::WaitUntil(at(9.0)) ; "short")]
fn time_for_which_an_earlier_response_was_held_back_counts(
    announced_bytes: Option<u64>,
    earlier_response_age: f64,
) -> Forwarding {
    let arriving = ArrivingBody {
        earlier_response_age: Some(at(earlier_response_age)),
        ..body(announced_bytes, 1)
    };
    arriving.forwarding(at(0.3), at(9.0), BUFFER_BYTES)
}
