use super::writer::{count_name, hex};
use super::*;
use test_case::test_case;

const SETTINGS: &str = "balancers=2 rank=0 zone=0 classes.count=1 classes.0.group=all \
    classes.0.hardLimitS=2.0 classes.0.idempotency=read_like classes.0.promiseS=0.6 classes.0.worth=1.0 \
    packages.count=1 packages.0.unitsPerS=2.0 packages.0.mostAtOnce=8.0 packages.0.price=1.0 \
    policyLimits.peers=true policyLimits.sendCap=3 policyLimits.mostHeld=100 familyInfo.inboxPerS=40 \
    rules.coldS=10 rules.fallS=1 rules.startCapacity=0.2 some.new.key=blue";

const LIST: &str = "POOL 0 1\nENTRY server.abc 0 0 0 U 1 -\nENDPOINTS restored 1 0\n";

/// Plays lines; gives the replies and the complaints.
fn play(host: &mut Host, lines: &str) -> (String, Vec<String>) {
    let (mut replies, mut complaints) = (String::new(), Vec::new());
    for line in lines.lines() {
        match host.line(line) {
            Ok(reply) => replies.push_str(&reply.unwrap_or_default()),
            Err(complaint) => complaints.push(complaint),
        }
    }
    (replies, complaints)
}

fn started() -> Host {
    let mut host = Host::default();
    let lines = format!("ROUND 8\nCONTEXT limiter/0\nINIT 7 {SETTINGS}\n{LIST}OVER_TO_YOU");
    let (replies, complaints) = play(&mut host, &lines);
    assert!(
        replies.starts_with("FOR limiter/0\n") && replies.ends_with("READY\n"),
        "{replies}"
    );
    assert_eq!(complaints, [""; 0]);
    host
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(
        play(&mut Host::default(), "ROUND 8.41225\nOVER_TO_YOU").0,
        "READY\n"
    );
}

#[test]
fn a_job_is_sent_answered_and_forgotten() {
    let mut host = started();
    let request = "ROUND 9\nCONTEXT limiter/0\nJOB_IN j-1 2 1.4 77 0 0 0 0 1\nOVER_TO_YOU";
    assert!(
        play(&mut host, request)
            .0
            .contains("SUBMIT_TO j-1 server.abc 0.000000\n")
    );
    let end = "ROUND 9.1\nCONTEXT limiter/0\nREPLY j-1 1 0 server.abc delivered 0.1 0 0 busy_reqs:1,svc_ms:9\n\
        OVER_TO_YOU";
    let (reply, complaints) = play(&mut host, end);
    assert!(!reply.contains("j-1") && complaints.is_empty());
    let twice = "CONTEXT limiter/0\nREPLY j-1 1 0 server.abc delivered 0.1 0 0 -";
    assert_eq!(play(&mut host, twice).1, ["job j-1 is not known"]);
}

#[test]
fn a_restart_within_a_batch_drops_what_was_held() {
    let mut host = started();
    let lines = format!(
        "ROUND 9\nCONTEXT limiter/0\nJOB_IN j-1 2 1.4 77 0 0 0 0 1\nTEARDOWN\nINIT 8 {SETTINGS}\n{LIST}OVER_TO_YOU"
    );
    let (reply, complaints) = play(&mut host, &lines);
    assert!(reply.contains("FOR limiter/0") && !reply.contains("j-1") && complaints.is_empty());
}

#[test]
fn a_list_number_used_again_is_read_in_event_order() {
    let mut host = started();
    let lines = "ROUND 9\nCONTEXT limiter/0\nPOOL 0 1\nENTRY server.abc 0 0 0 L 1 -\nENDPOINTS update 2 0\n\
        POOL 0 1\nENTRY server.new 0 0 0 U 1 -\nENDPOINTS update 3 0\nOVER_TO_YOU\n\
        ROUND 10\nCONTEXT limiter/0\nJOB_IN j-1 2 1.4 77 0 0 0 0 1\nOVER_TO_YOU";
    let (reply, complaints) = play(&mut host, lines);
    assert!(
        reply.contains("SUBMIT_TO j-1 server.new") && complaints.is_empty(),
        "{reply}"
    );
}

#[test_case("HELLO 1", "unknown message 'HELLO'" ; "unknown message")]
#[test_case("OVER_TO_YOU", "no round has begun" ; "end without a beginning")]
#[test_case("DUE sweep", "no instance is named" ; "event for nobody")]
#[test_case("CONTEXT limiter/9\nDUE sweep", "instance limiter/9 is not known" ; "unknown instance")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2 soon 77 0 0 0 0 1", "timeLeftS: 'soon' is not a number" ; "not a number")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2", "timeLeftS is missing" ; "cut short")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2 1 77 4 0 0 0 1", "package: 4 is out of range" ; "unknown plan")]
#[test_case("CONTEXT limiter/0\nJOB_IN j-1 2 -1 77 0 0 0 0 1", "timeLeftS: -1 is no time" ; "negative time")]
#[test_case("CONTEXT limiter/0\nENDPOINTS update 2 5", "list 5 is not known" ; "unknown list")]
#[test_case("CONTEXT limiter/0\nMAIL 1 0g", "content: '0g' is not hex" ; "not hex")]
#[test_case("CONTEXT limiter/0\nREPLY j-9 1 0 server.abc delivered 0.1 0 0 -", "job j-9 is not known" ; "unknown job")]
#[test_case("CONTEXT limiter/0\nSAMPLED server.zz delivered 0.1 -", "server server.zz is not known" ; "unknown server")]
#[test_case("POOL 1 2\nENTRY server.q 0 0 0 U 1 -\nROUND 9", "list 1 is 1 entries short" ; "list cut short")]
#[test_case("ENTRY server.q 0 0 0 U 1 -", "no list is open" ; "entry outside a list")]
#[test_case("CONTEXT limiter/0\nINIT 5 balancers", "settings: 'balancers' is no path=value" ; "broken settings")]
#[test_case("CONTEXT limiter/0\nINIT 5 balancers=1e9", "setting balancers: 1000000000 is out of range" ; "absurd size")]
#[test_case("CONTEXT limiter/0\nINIT 5 balancers=2 rank=5", "setting rank: 5 is not among 2" ; "rank beyond")]
fn what_is_malformed_gets_one_plain_line(lines: &str, complaint: &str) {
    assert_eq!(play(&mut started(), lines).1, [complaint]);
}

#[test]
fn what_is_malformed_leads_to_no_action() {
    let mut host = started();
    let lines = "ROUND 9\nCONTEXT limiter/0\nJOB_IN j-1 2 soon 77 0 0 0 0 1\nOVER_TO_YOU";
    assert!(!play(&mut host, lines).0.contains("j-1"));
}

#[test_case(&[0x00, 0xff, 0x1a], "00ff1a" ; "bytes")]
#[test_case(&[], "-" ; "none")]
fn bytes_on_the_wire(bytes: &[u8], text: &str) {
    assert_eq!(
        (hex(bytes), unhex(text)),
        (text.to_owned(), Some(bytes.to_vec()))
    );
}

#[test]
fn a_count_is_named_by_customer_and_window() {
    assert_eq!(
        count_parts(&count_name(8_589_934_591, 100_020)),
        Some((8_589_934_591, 100_020))
    );
}
