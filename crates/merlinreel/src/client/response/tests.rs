use super::*;
use test_case::test_case;

#[test_case(ClientResponse::Rejected(Some(Duration::from_millis(1250))) => (429, Some("1.250".to_owned())) ; "rejected")]
#[test_case(ClientResponse::Rejected(None) => (429, None) ; "rejected without a time")]
#[test_case(ClientResponse::Failed => (502, None) ; "failed")]
fn response_has_its_status_and_retry_after(
    client_response: ClientResponse,
) -> (u16, Option<String>) {
    let response = encode(client_response);
    let retry_after = response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok());
    (response.status().as_u16(), retry_after.map(str::to_owned))
}
