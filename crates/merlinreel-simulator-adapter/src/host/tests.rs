use super::*;
use merlinreel_policy::{AttemptOutcome, EndpointState, EventBatch, LoadReport, ring_hash};
use merlinreel_policy::{RequestIndex, ServerIndex};
use test_case::test_case;

const SETTINGS: &str = "balancers=2 rank=0 zone=0 classes.count=1 classes.0.group=all \
    classes.0.hardLimitS=2.0 classes.0.idempotency=read_like classes.0.promiseS=0.6 classes.0.worth=1.0 \
    packages.count=1 packages.0.unitsPerS=2.0 packages.0.mostAtOnce=8.0 packages.0.price=1.0 \
    policyLimits.peers=true policyLimits.sendCap=3 policyLimits.mostHeld=100 familyInfo.inboxPerS=40 \
    rules.coldS=10 rules.fallS=1 rules.startCapacity=0.2 some.new.key=blue";

const LIST: &str = "POOL 0 1\nENTRY server.abc 0 0 0 U 1 -\nENDPOINTS restored 1 0\n";

/// Passes each line to the host; returns all replies as one text, and the error texts.
fn handle_lines(host: &mut Host, lines: &str) -> (String, Vec<String>) {
    let (mut replies, mut errors) = (String::new(), Vec::new());
    for line in lines.lines() {
        match host.handle_line(line) {
            Ok(reply) => replies.push_str(&reply.unwrap_or_default()),
            Err(error) => errors.push(error.to_string()),
        }
    }
    (replies, errors)
}

/// A host with the instance `limiter/0`, which has the endpoint `server.abc`.
fn host_with_instance() -> Host {
    let mut host = Host::default();
    let lines = format!("ROUND 8\nCONTEXT limiter/0\nINIT 7 {SETTINGS}\n{LIST}OVER_TO_YOU");
    let (replies, errors) = handle_lines(&mut host, &lines);
    assert!(
        replies.starts_with("FOR limiter/0\n") && replies.ends_with("READY\n"),
        "{replies}"
    );
    assert_eq!(errors, [""; 0]);
    host
}

#[test]
fn empty_batch_gets_an_empty_reply() {
    assert_eq!(
        handle_lines(&mut Host::default(), "ROUND 8.41225\nOVER_TO_YOU").0,
        "READY\n"
    );
}

#[test]
fn completed_request_is_no_longer_known() {
    let mut host = host_with_instance();
    let request = "ROUND 9\nCONTEXT limiter/0\nJOB_IN j-1 2 1.4 77 0 0 0 0 1\nOVER_TO_YOU";
    assert!(
        handle_lines(&mut host, request)
            .0
            .contains("SUBMIT_TO j-1 server.abc 0.000000\n")
    );
    let result = "ROUND 9.1\nCONTEXT limiter/0\nREPLY j-1 1 0 server.abc delivered 0.1 0 0 busy_reqs:1,svc_ms:9\n\
        OVER_TO_YOU";
    let (reply, errors) = handle_lines(&mut host, result);
    assert!(!reply.contains("j-1") && errors.is_empty());
    let repeated_result = "CONTEXT limiter/0\nREPLY j-1 1 0 server.abc delivered 0.1 0 0 -";
    assert_eq!(
        handle_lines(&mut host, repeated_result).1,
        ["request j-1 is not in flight; it was never received or has ended"]
    );
}

#[test]
fn restart_within_a_batch_drops_pending_requests() {
    let mut host = host_with_instance();
    let lines = format!(
        "ROUND 9\nCONTEXT limiter/0\nJOB_IN j-1 2 1.4 77 0 0 0 0 1\nTEARDOWN\nINIT 8 {SETTINGS}\n{LIST}OVER_TO_YOU"
    );
    let (reply, errors) = handle_lines(&mut host, &lines);
    assert!(reply.contains("FOR limiter/0") && !reply.contains("j-1") && errors.is_empty());
}

#[test]
fn reused_list_number_is_read_in_event_order() {
    let mut host = host_with_instance();
    let lines = "ROUND 9\nCONTEXT limiter/0\nPOOL 0 1\nENTRY server.abc 0 0 0 L 1 -\nENDPOINTS update 2 0\n\
        POOL 0 1\nENTRY server.new 0 0 0 U 1 -\nENDPOINTS update 3 0\nOVER_TO_YOU\n\
        ROUND 10\nCONTEXT limiter/0\nJOB_IN j-1 2 1.4 77 0 0 0 0 1\nOVER_TO_YOU";
    let (reply, errors) = handle_lines(&mut host, lines);
    assert!(
        reply.contains("SUBMIT_TO j-1 server.new") && errors.is_empty(),
        "{reply}"
    );
}

#[test_case("HELLO 1", "unknown message 'HELLO'" ; "unknown message")]
#[test_case("OVER_TO_YOU", "the batch ends but was not started; start a batch first" ; "batch end without a start")]
#[test_case("DUE sweep", "no instance is selected; select one in this batch first" ; "event without a selected instance")]
#[test_case("CONTEXT limiter/9\nDUE sweep", "instance limiter/9 is not running; start it first" ; "event for an unknown instance")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2 soon 77 0 0 0 0 1", "timeLeftS: 'soon' is not a finite number" ; "time not a number")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2", "timeLeftS is missing" ; "truncated line")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2 1 77 4 0 0 0 1", "package: 4 is too large" ; "plan out of range")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2 -1 77 0 0 0 0 1", "timeLeftS: -1 seconds is negative or too long for a duration" ; "negative time")]
#[test_case("CONTEXT limiter/0\nENDPOINTS update 2 5", "list 5 has not been sent; send it before referring to it" ; "unknown list")]
#[test_case("CONTEXT limiter/0\nMAIL 1 0g", "content: '0g' is not hexadecimal with two digits for each byte" ; "content not hexadecimal")]
#[test_case("CONTEXT limiter/0\nREPLY j-9 1 0 server.abc delivered 0.1 0 0 -", "request j-9 is not in flight; it was never received or has ended" ; "attempt result of an unknown request")]
#[test_case("CONTEXT limiter/0\nSAMPLED server.zz delivered 0.1 -", "server server.zz is unknown; send the instance an endpoint list that has it first" ; "health check of an unknown server")]
#[test_case("POOL 1 2\nENTRY server.q 0 0 0 U 1 -\nROUND 9", "list 1 ended with 1 announced entries missing; the line that ended it is skipped" ; "list too short")]
#[test_case("ENTRY server.q 0 0 0 U 1 -", "list entry outside a list; entries must directly follow the start of their list" ; "entry outside a list")]
#[test_case("CONTEXT limiter/0\nINIT 5 balancers", "settings: 'balancers' is not a path=value pair" ; "setting without a value")]
#[test_case("CONTEXT limiter/0\nINIT 5 balancers=1e9", "setting balancers: 1000000000 limiters, but a fleet has at most 65536" ; "fleet too large")]
#[test_case("CONTEXT limiter/0\nINIT 5 balancers=2 rank=5", "setting rank: 5 is not less than the number of limiters, 2" ; "rank out of range")]
#[test_case(" ", "message is missing" ; "empty line")]
#[test_case("ROUND", "clock is missing" ; "batch start without a time")]
#[test_case("CONTEXT", "limiterId is missing" ; "instance without a name")]
#[test_case("CONTEXT limiter/9\nTEARDOWN", "instance limiter/9 is not running; start it first" ; "stop of an unknown instance")]
#[test_case("ROUND 9\nTEARDOWN", "no instance is selected; select one in this batch first" ; "stop without a selected instance")]
#[test_case("ROUND 9\nINIT 5", "no instance is selected; select one in this batch first" ; "start without a selected instance")]
#[test_case("CONTEXT limiter/0\nINIT x", "entropy: 'x' is not an integer of 0 or more" ; "seed not an integer")]
#[test_case("POOL 1 -1", "records: '-1' is not an integer of 0 or more" ; "negative list length")]
#[test_case("POOL 1 1048576", "records: 1048576 is too large" ; "list too long")]
#[test_case("POOL 1 0\nENTRY server.q 0 0 0 U 1 -", "the list already has all announced entries; this entry is skipped" ; "more entries than announced")]
#[test_case("POOL 1 1\nENTRY server.q 0 0 0 X 1 -", "readiness: unknown value 'X'" ; "unknown endpoint state")]
#[test_case("POOL 1 1\nENTRY server.q 0 0 0 U much -", "scale: 'much' is not a finite number" ; "weight not a number")]
#[test_case("CONTEXT limiter/0\nENDPOINTS delta 2 0", "form: unknown value 'delta'" ; "unknown update kind")]
#[test_case("CONTEXT limiter/0\nENDPOINTS update x 0", "serial: 'x' is not an integer of 0 or more" ; "list version not an integer")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2 1 77 0 4 0 0 1", "lane: 4 is too large" ; "class out of range")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 65536 1 77 0 0 0 0 1", "spread: 65536 is too large" ; "limiter set too large")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2 1 77 0 0 0 0 -1", "quotaUnits: -1 is below 0" ; "negative units")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2 1 77 0 0 0 0 1\nJOB_IN j-1 2 1 77 0 0 0 0 1", "request j-1 was already received; its name is still in use" ; "duplicate request")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2 1 77 0 0 0 0 1\nREPLY j-1 1 0 server.abc delivered 0.1 0 0 -", "request j-1 has no attempt in flight that could have ended" ; "attempt result without an attempt")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2 1 77 0 0 0 0 1\nREPLY j-1 2 0 server.abc delivered 0.1 0 0 -", "finished: '2' is neither 1 nor 0" ; "flag neither 1 nor 0")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2 1 77 0 0 0 0 1\nREPLY j-1 1 0 server.zz delivered 0.1 0 0 -", "server server.zz is unknown; send the instance an endpoint list that has it first" ; "attempt result of an unknown server")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2 1 77 0 0 0 0 1\nREPLY j-1 1 0 server.abc late 0.1 0 0 -", "stateCode: unknown value 'late'" ; "unknown outcome")]
#[test_case("CONTEXT limiter/0\nSAMPLED server.abc delivered 0.1 pending", "feedback: 'pending' is not a name:value pair" ; "load report without a value")]
#[test_case("CONTEXT limiter/0\nSAMPLED server.abc delivered 0.1 pending:many", "feedback: 'many' is not a finite number" ; "load value not a number")]
#[test_case("CONTEXT limiter/0\nSAMPLED server.abc delivered inf -", "waitTimeS: 'inf' is not a finite number" ; "infinite time")]
#[test_case("CONTEXT limiter/0\nSAMPLED server.abc delivered - -", "waitTimeS is missing" ; "absent time")]
#[test_case("CONTEXT limiter/0\nMAIL 65536 00", "src: 65536 is too large" ; "sender out of range")]
#[test_case("CONTEXT limiter/0\nMAIL 1 000", "content: '000' is not hexadecimal with two digits for each byte" ; "odd number of digits")]
#[test_case("CONTEXT limiter/0\nDUE", "token is missing" ; "timer without a name")]
#[test_case("CONTEXT limiter/0\nLEDGER_REPLY 1 delivered 0.1 4d", "cname: unknown value '4d'" ; "malformed counter name")]
#[test_case("CONTEXT limiter/0\nINIT 5 policyLimits.sendCap=0", "setting policyLimits.sendCap: '0' is not a positive number" ; "attempt limit of 0")]
fn malformed_line_is_described_in_one_error(lines: &str, expected: &str) {
    assert_eq!(handle_lines(&mut host_with_instance(), lines).1, [expected]);
}

#[test]
fn malformed_request_leads_to_no_action() {
    let mut host = host_with_instance();
    let lines = "ROUND 9\nCONTEXT limiter/0\nJOB_IN j-1 2 soon 77 0 0 0 0 1\nOVER_TO_YOU";
    assert!(!handle_lines(&mut host, lines).0.contains("j-1"));
}

#[test]
fn list_with_malformed_or_missing_entries_is_not_used() {
    let malformed_entry =
        "POOL 1 1\nENTRY server.q 0 0 0 X 1 -\nCONTEXT limiter/0\nENDPOINTS update 2 1";
    assert_eq!(
        handle_lines(&mut host_with_instance(), malformed_entry).1,
        [
            "readiness: unknown value 'X'",
            "list 1 has missing or malformed entries; send it again before referring to it"
        ]
    );
    // The line that ends a list with missing entries is skipped.
    let missing_entry = "CONTEXT limiter/0\nPOOL 1 1\nDUE sweep\nENDPOINTS update 2 1";
    assert_eq!(
        handle_lines(&mut host_with_instance(), missing_entry).1,
        [
            "list 1 ended with 1 announced entries missing; the line that ended it is skipped",
            "list 1 has missing or malformed entries; send it again before referring to it"
        ]
    );
}

/// The events that an instance has collected from the lines, before its limiter runs.
fn collected_batch(lines: &str) -> EventBatch {
    let mut host = host_with_instance();
    let lines = format!("ROUND 9\nCONTEXT limiter/0\n{lines}");
    assert_eq!(handle_lines(&mut host, &lines).1, [""; 0]);
    std::mem::take(&mut host.instances.get_mut("limiter/0").expect("started").batch)
}

#[test]
fn endpoint_update_is_decoded_with_all_values() {
    let lines = "POOL 3 4\nENTRY server.abc 2 9 5 U 1.5 7.25\nENTRY server.b 0 0 0 L - -\n\
        ENTRY server.c 0 0 0 D 0 0\nENTRY server.d 0 0 0 U 1\nENDPOINTS replace 8 3\n\
        ENDPOINTS unavailable 9\nENDPOINTS update 10 3\nENDPOINTS restored 11 3";
    let batch = collected_batch(lines);
    let updates: Vec<_> = batch
        .endpoint_updates
        .iter()
        .map(|update| {
            (
                update.complete,
                update.cached,
                update.unavailable,
                update.endpoints.len(),
            )
        })
        .collect();
    assert_eq!(
        updates,
        [
            (true, false, false, 4),
            (false, false, true, 0),
            (false, false, false, 4),
            (true, true, false, 4)
        ]
    );
    let endpoints: Vec<_> = batch.endpoint_updates[0]
        .endpoints
        .iter()
        .map(|endpoint| {
            (
                endpoint.server.0,
                endpoint.zone,
                endpoint.cell,
                endpoint.state,
                endpoint.weight,
                endpoint.started_at,
            )
        })
        .collect();
    assert_eq!(
        endpoints,
        [
            (
                0,
                2,
                5,
                EndpointState::Ready,
                1.5,
                Some(Duration::from_millis(7250))
            ),
            (1, 0, 0, EndpointState::Draining, 1.0, None),
            (2, 0, 0, EndpointState::Removed, 0.0, None),
            (3, 0, 0, EndpointState::Ready, 1.0, None),
        ]
    );
    let endpoint = batch.endpoint_updates[0].endpoints[0];
    assert_eq!(endpoint.ring_hash, ring_hash("server.abc"));
}

#[test]
fn request_is_decoded_with_all_values() {
    let lines = "JOB_IN j-1 2 1.25 77 0 0 2 1 4.5\nJOB_IN j-2 3 1 78 0 0 - - -\nJOB_IN j-3 1 0 79 0 0 5\n\
        ACCEPTED j-2\nACCEPTED j-9\nLEFT j-3\nLEFT j-9\nDUE sweep";
    let batch = collected_batch(lines);
    let requests: Vec<_> = batch
        .requests
        .iter()
        .map(|request| {
            (
                (request.id.0, request.customer, request.plan, request.class),
                (request.units, request.remaining_time),
                (request.set_size, request.set_first, request.is_retry),
            )
        })
        .collect();
    assert_eq!(
        requests,
        [
            (
                (0, 77, 0, 0),
                (4.5, Duration::from_millis(1250)),
                (2, 1, true)
            ),
            ((1, 78, 0, 0), (1.0, Duration::from_secs(1)), (3, 0, false)),
            ((2, 79, 0, 0), (1.0, Duration::ZERO), (1, 0, false)),
        ]
    );
    assert_eq!(
        (batch.streaming.as_slice(), batch.disconnects.as_slice()),
        ([RequestIndex(1)].as_slice(), [RequestIndex(2)].as_slice())
    );
}

#[test]
fn attempt_result_is_decoded_with_all_values() {
    let mut host = host_with_instance();
    let request = "ROUND 9\nCONTEXT limiter/0\nJOB_IN j-1 2 1.4 77 0 0 0 0 1\nOVER_TO_YOU";
    assert!(handle_lines(&mut host, request).0.contains("SUBMIT_TO j-1"));
    let result = "ROUND 9.5\nCONTEXT limiter/0\nREPLY j-1 0 2.5 server.abc shed 0.125 3 126 \
        busy_reqs:1,pending:2,cpu_share:0.5,svc_ms:9,served_ps:10,failed_ps:11,more:12";
    assert_eq!(handle_lines(&mut host, result).1, [""; 0]);
    let batch = &host.instances["limiter/0"].batch;
    let decoded = &batch.attempt_results[0];
    assert_eq!(
        (decoded.request, decoded.attempt, decoded.server),
        (RequestIndex(0), 3, ServerIndex(0))
    );
    assert_eq!(
        (decoded.outcome, decoded.latency, decoded.request_completed),
        (AttemptOutcome::Rejected, Duration::from_millis(125), false)
    );
    assert_eq!(
        (decoded.units, decoded.metered_usage),
        (Some(2.5), Some((126.0 - 1.0) / 100.0))
    );
    let load = LoadReport {
        in_flight: Some(1.0),
        queued: Some(2.0),
        utilization: Some(0.5),
        service_time_ms: Some(9.0),
        requests_per_second: Some(10.0),
        errors_per_second: Some(11.0),
    };
    assert_eq!(decoded.load, load);
}

#[test]
fn health_check_peer_message_and_counter_reply_are_decoded_with_all_values() {
    let lines = "SAMPLED server.abc delivered 0.25 cpu_share:0.75\nSAMPLED server.abc dropped 1\nMAIL 1 00ff\n\
        LEDGER_REPLY 12.5 delivered 0.1 4d.186b4\nLEDGER_REPLY 12.5 shed 0.1 4e.1\nLEDGER_REPLY - dropped 0.1 4f.2";
    let batch = collected_batch(lines);
    let checks: Vec<_> = batch
        .health_checks
        .iter()
        .map(|check| {
            (
                check.server.0,
                check.answered,
                check.latency,
                check.load.utilization,
            )
        })
        .collect();
    assert_eq!(
        checks,
        [
            (0, true, Duration::from_millis(250), Some(0.75)),
            (0, false, Duration::from_secs(1), None)
        ]
    );
    let message = &batch.peer_messages[0];
    assert_eq!(
        (message.from, message.bytes.as_slice()),
        (1, [0, 0xff].as_slice())
    );
    let counter_replies: Vec<_> = batch
        .counter_replies
        .iter()
        .map(|reply| (reply.customer, reply.window, reply.total, reply.not_added))
        .collect();
    assert_eq!(
        counter_replies,
        [
            (0x4d, 100_020, Some(12.5), false),
            (0x4e, 1, None, true),
            (0x4f, 2, None, false)
        ]
    );
}
