use super::*;
use merlinreel_policy::{RequestIndex, ServerIndex};

#[test]
fn every_action_is_written_as_its_line() {
    let mut servers = NameTable::default();
    servers.insert("server.abc");
    let mut requests = RequestTable::default();
    for name in ["j-1", "j-2", "j-3"] {
        requests.insert(name);
    }
    let mut output = String::new();
    let mut released_servers = Vec::new();
    let mut actions = ActionEncoder {
        output: &mut output,
        servers: &servers,
        requests: &mut requests,
        released_servers: &mut released_servers,
    };
    actions.start_attempt(RequestIndex(0), ServerIndex(0), None);
    actions.start_attempt(
        RequestIndex(0),
        ServerIndex(0),
        Some(Duration::from_secs(3)),
    );
    actions.reject(
        RequestIndex(1),
        RejectReason::Quota,
        Some(Duration::from_micros(1_250_001)),
    );
    actions.reject(RequestIndex(2), RejectReason::Quota, None);
    actions.fail(RequestIndex(0));
    actions.cancel_attempt(RequestIndex(0), 1);
    actions.start_health_check(ServerIndex(0));
    actions.send_peer_message(7, &[0x00, 0xff, 0x1a]);
    actions.send_peer_message(8, &[]);
    actions.increment_counter(8_589_934_591, 100_020, 2.5, Duration::from_millis(4500));
    actions.increment_counter(77, 1, 3.0, Duration::ZERO);
    actions.set_endpoint_subscription(true);
    actions.set_endpoint_subscription(false);
    actions.poll_endpoints();
    actions.close_idle_connections(ServerIndex(0));
    actions.release_endpoint(ServerIndex(0));
    actions.schedule_wakeup(Duration::from_micros(100_000));
    actions.log("two\nlines");
    assert_eq!(
        output,
        "SUBMIT_TO j-1 server.abc 0.000000\nSUBMIT_TO j-1 server.abc 0.000000\nNOT_NOW j-2 1.250001\n\
        NOT_NOW j-3 0.000000\nFAIL j-1\nREVOKE j-1 1\nTOUCH server.abc\nMEMO_TO 7 00ff1a\nMEMO_TO 8 -\n\
        POST_AMOUNT 4.500000 2.5 1ffffffff.186b4\nPOST_AMOUNT 0.000000 3 4d.1\nTRACK 1\nTRACK 0\nLOOKUP\n\
        CLOSE_IDLE server.abc\nAFTER wake 0.100000\nSAY_LOG two lines\n"
    );
    assert_eq!(released_servers, [ServerIndex(0)]);
    // The first request has attempts in flight, so its index is not free yet.
    assert_eq!(
        (
            requests.attempts_in_flight(RequestIndex(0)),
            requests.is_completed(RequestIndex(0))
        ),
        (2, true)
    );
    requests.free_unused();
    assert_eq!(
        ["j-1", "j-2", "j-3"].map(|name| requests.get(name)),
        [Some(RequestIndex(0)), None, None]
    );
    assert_eq!(
        ["a", "b", "c"].map(|name| requests.insert(name).0),
        [2, 1, 3]
    );
}
