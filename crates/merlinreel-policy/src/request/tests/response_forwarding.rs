use crate::model::arriving_body::{ArrivingBody, BodyLength};
use crate::request::response_forwarding::Forwarding;
use crate::tests::helpers::at;
use test_case::test_case;

const BUFFER_BYTES: u64 = 64 << 10;

/// A body of which `received_bytes` arrived at 0.1 s, and the last of them at 0.3 s.
fn body(announced_bytes: Option<u64>, received_bytes: u64) -> ArrivingBody {
    ArrivingBody {
        announced_bytes,
        received_bytes,
        first_bytes_at: at(0.1),
        last_bytes_at: at(0.3),
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
#[test_case(None, BUFFER_BYTES / 8, 1.1, 9.0 => Forwarding::WaitUntil(at(1.6)) ; "probably long, held back for a second and a half")]
#[test_case(None, BUFFER_BYTES / 8, 1.7, 9.0 => Forwarding::WaitUntil(at(9.0)) ; "probably long, stalled")]
#[test_case(None, BUFFER_BYTES / 8, 0.5, 0.5 => Forwarding::Start ; "probably long, at its deadline")]
#[test_case(None, BUFFER_BYTES / 8, 1.4, 1.4 => Forwarding::Abandon ; "probably long, stalled at its deadline")]
#[test_case(None, 1, 1.7, 9.0 => Forwarding::WaitUntil(at(9.0)) ; "undetermined, until its deadline")]
#[test_case(None, 1, 0.5, 0.5 => Forwarding::Abandon ; "undetermined, at its deadline")]
fn response_is_forwarded_before_its_end_only_if_it_is_long(
    announced_bytes: Option<u64>,
    received_bytes: u64,
    now: f64,
    deadline: f64,
) -> Forwarding {
    body(announced_bytes, received_bytes).forwarding(at(now), at(deadline), BUFFER_BYTES)
}

/// A body that is probably long and still arriving is forwarded before its bytes have waited for 2 s.
#[test]
fn probably_long_response_that_is_arriving_is_forwarded() {
    let arriving = ArrivingBody {
        last_bytes_at: at(1.5),
        ..body(None, BUFFER_BYTES / 8)
    };
    let decision = arriving.forwarding(at(1.6), at(9.0), BUFFER_BYTES);
    assert_eq!(decision, Forwarding::Start);
}
