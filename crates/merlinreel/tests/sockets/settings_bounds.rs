//! Settings at and beyond their bounds, such as zero, one or an empty list: the program starts and answers requests, or
//! exits and names the key.

use merlinreel_testkit::*;
use serde_json::{Value, json};
use test_case::test_case;

/// Starts a server, and returns it with a configuration for it in which the setting at `path` (keys and indexes, separated
/// by dots) is replaced by `value`.
fn config_with(path: &str, value: Value) -> (ScriptedServer, Value) {
    let server = ScriptedServer::start(|_| ok_response());
    let mut config = config(&[instance("s-1", server.address, "up")]);
    let keys = path.split('.');
    let setting = keys.fold(&mut config, |parent, key| match key.parse::<usize>() {
        Ok(index) => &mut parent[index],
        Err(_) => &mut parent[key],
    });
    *setting = value;
    (server, config)
}

#[test_case("settings.rules.coldS", json!(0) ; "no slow start")]
#[test_case("settings.rules.fallS", json!(0) ; "no overload window")]
#[test_case("settings.rules.startCapacity", json!(0) ; "slow start from zero capacity")]
#[test_case("settings.rules.startCapacity", json!(1) ; "slow start from full capacity")]
#[test_case("settings.rules.overloadFactor", json!(0) ; "overload factor of zero")]
#[test_case("settings.rules.drainGraceS", json!(0) ; "no grace period of a drain")]
#[test_case("settings.policyLimits.connIdleS", json!(0) ; "idle timeout of zero")]
#[test_case("settings.policyLimits.connectTimeoutS", json!(0) ; "connect timeout of zero")]
#[test_case("settings.policyLimits.sendCap", json!(1) ; "one attempt per request")]
#[test_case("settings.policyLimits.mostHeld", json!(0) ; "no limit on requests in flight")]
#[test_case("settings.policyLimits.mostHeld", json!(1) ; "one request in flight")]
#[test_case("settings.policyLimits.mayCancel", json!(false) ; "attempts are never cancelled")]
#[test_case("settings.classes.1.keyTtlS", json!(0) ; "lifetime of idempotency keys is zero")]
#[test_case("settings.classes.0.promiseS", json!(0) ; "latency objective of zero")]
#[test_case("settings.classes.0.worth", json!(0) ; "priority weight of zero")]
#[test_case("settings.packages.0.unitsPerS", json!(0) ; "quota rate of zero")]
#[test_case("settings.packages.0.mostAtOnce", json!(0) ; "token bucket of size zero")]
#[test_case("settings.packages.0.price", json!(0) ; "price of zero")]
#[test_case("settings.packages.0.maxOut", json!(1) ; "one concurrent request per customer")]
#[test_case("settings.familyInfo.inboxPerS", json!(0) ; "inbox rate of zero")]
#[test_case("settings.familyInfo.maxUnits", json!(1) ; "maximum of one unit")]
#[test_case("settings.report.fields", json!([]) ; "no fields in reports")]
#[test_case("settings.balancers", json!(0) ; "number of limiters is zero")]
#[test_case("settings.dcs", json!([]) ; "no zones")]
#[test_case("known", json!(null) ; "no cached endpoint list")]
#[test_case("known.instances", json!([]) ; "empty cached endpoint list")]
fn requests_are_answered_with_a_setting_at_its_bound(path: &str, value: Value) {
    let (_server, config) = config_with(path, value);
    let program = Program::start(&config);
    let mut client = program.client();
    for (customer, class) in (0..).zip(["look", "put", "pay", "look", "put", "pay"]) {
        let response = client
            .call(&request(class, customer, 1, "1000m"))
            .expect("a response");
        assert!(matches!(response.status(), 200 | 429 | 502), "{response:?}");
    }
}

#[test_case("settings.classes", json!([]) ; "classes")]
#[test_case("settings.packages", json!([]) ; "plans")]
#[test_case("settings.classes.0.hardLimitS", json!(0) ; "hardLimitS")]
#[test_case("settings.policyLimits.sendCap", json!(0) ; "sendCap")]
fn setting_out_of_bounds_is_rejected_with_its_key(path: &str, value: Value) {
    let key = path.rsplit('.').next().expect("a key");
    let ExitReport {
        status,
        stderr: text,
    } = Program::run_to_exit(&config_with(path, value).1);
    assert!(!status.success() && text.contains(key), "{text}");
}
