//! Settings of zero, one and none: the program starts and answers, or names the key.

use merlinreel_testkit::*;
use serde_json::{Value, json};
use test_case::test_case;

/// A value in the place of a setting, by its path.
fn with(path: &str, value: Value) -> (ScriptedServer, Value) {
    let server = ScriptedServer::start(|_| ok_response());
    let mut config = config(&[instance("s-1", server.address, "up")]);
    let keys = path.split('.');
    let place = keys.fold(&mut config, |at, key| match key.parse::<usize>() {
        Ok(index) => &mut at[index],
        Err(_) => &mut at[key],
    });
    *place = value;
    (server, config)
}

#[test_case("settings.rules.coldS", json!(0) ; "no slow start")]
#[test_case("settings.rules.fallS", json!(0) ; "no overload window")]
#[test_case("settings.rules.startCapacity", json!(0) ; "slow start from nothing")]
#[test_case("settings.rules.startCapacity", json!(1) ; "slow start from everything")]
#[test_case("settings.rules.overloadFactor", json!(0) ; "no factor")]
#[test_case("settings.rules.drainGraceS", json!(0) ; "no grace")]
#[test_case("settings.policyLimits.connIdleS", json!(0) ; "idle for no time")]
#[test_case("settings.policyLimits.connectTimeoutS", json!(0) ; "no time to connect")]
#[test_case("settings.policyLimits.sendCap", json!(1) ; "one attempt")]
#[test_case("settings.policyLimits.mostHeld", json!(0) ; "no maximum in flight")]
#[test_case("settings.policyLimits.mostHeld", json!(1) ; "one in flight")]
#[test_case("settings.policyLimits.mayCancel", json!(false) ; "never cancelled")]
#[test_case("settings.classes.1.keyTtlS", json!(0) ; "a key kept for no time")]
#[test_case("settings.classes.0.promiseS", json!(0) ; "no latency objective")]
#[test_case("settings.classes.0.worth", json!(0) ; "no priority weight")]
#[test_case("settings.packages.0.unitsPerS", json!(0) ; "no rate")]
#[test_case("settings.packages.0.mostAtOnce", json!(0) ; "no token bucket")]
#[test_case("settings.packages.0.price", json!(0) ; "no price")]
#[test_case("settings.packages.0.maxOut", json!(1) ; "one out")]
#[test_case("settings.familyInfo.inboxPerS", json!(0) ; "no inbox")]
#[test_case("settings.familyInfo.maxUnits", json!(1) ; "one unit")]
#[test_case("settings.report.fields", json!([]) ; "no fields in reports")]
#[test_case("settings.balancers", json!(0) ; "no limiter named")]
#[test_case("settings.dcs", json!([]) ; "no zones")]
#[test_case("known", json!(null) ; "no list")]
#[test_case("known.instances", json!([]) ; "no server")]
fn setting_at_its_bound_serves_all_classes(path: &str, value: Value) {
    let (_server, config) = with(path, value);
    let program = Program::start(&config);
    let mut client = program.client();
    for (customer, class) in (0..).zip(["look", "put", "pay", "look", "put", "pay"]) {
        let answer = client
            .call(&request(class, customer, 1, "1000m"))
            .expect("an answer");
        assert!(matches!(answer.status(), 200 | 429 | 502), "{answer:?}");
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
    } = Program::run_to_exit(&with(path, value).1);
    assert!(!status.success() && text.contains(key), "{text}");
}
