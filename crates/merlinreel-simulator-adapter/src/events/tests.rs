use super::*;
use test_case::test_case;

#[test_case("delivered" => Ok(AttemptOutcome::Success))]
#[test_case("app_error" => Ok(AttemptOutcome::Error))]
#[test_case("shed" => Ok(AttemptOutcome::Rejected))]
#[test_case("expired" => Ok(AttemptOutcome::DeadlineExceeded))]
#[test_case("dial_failed" => Ok(AttemptOutcome::ConnectionRefused))]
#[test_case("dropped" => Ok(AttemptOutcome::ConnectionLost))]
#[test_case("revoked" => Ok(AttemptOutcome::Cancelled))]
#[test_case("unused" => Ok(AttemptOutcome::NotSent))]
fn outcome_code_is_decoded(code: &str) -> Result<AttemptOutcome, ProtocolError> {
    decode_outcome(code)
}
