use super::*;
use merlinreel_policy::{
    EndpointConfig, FleetConfig, Idempotency, IdempotencyScope, Plan, RequestClass, RequestLimits,
};
use serde_json::{Value, json};
use std::time::Duration;
use test_case::test_case;

fn read_json(value: Value) -> Result<Settings, SettingsError> {
    Settings::read(&SettingsTree::from_json(&value)?)
}

#[test]
fn nested_json_and_simulator_pairs_give_the_same_settings() {
    let nested = json!({"balancers": 3, "rank": 1, "dcs": ["hall-a", "hall-b"], "packages": [],
        "classes": [{"name": "lookup", "idempotency": "idempotency_key", "group": "zone", "keyTtlS": 0.6,
            "promiseS": 0.25, "hardLimitS": 1, "worth": 5.0}],
        "policyLimits": {"peers": true, "mayCancel": false, "mostHeld": 20000, "connIdleS": 15.0},
        "report": {"how": "answers", "fields": ["queue"]}, "some": {"new": [1, {"key": null}]}});
    let pairs = "balancers=3 rank=1 dcs=hall-a,hall-b packages.count=0 classes.count=1 classes.0.name=lookup \
        classes.0.idempotency=idempotency_key classes.0.group=zone classes.0.keyTtlS=0.6 \
        classes.0.promiseS=0.25 classes.0.hardLimitS=1 classes.0.worth=5.0 policyLimits.peers=true \
        policyLimits.mayCancel=false policyLimits.mostHeld=20000 policyLimits.connIdleS=15.0 \
        report.how=answers report.fields=queue";
    let pairs: Vec<&str> = pairs.split_whitespace().collect();
    let (from_json, from_pairs) = (
        read_json(nested),
        SettingsTree::from_pairs(&pairs).and_then(|tree| Settings::read(&tree)),
    );
    let Ok(settings) = &from_json else {
        panic!("{from_json:?}")
    };
    assert_eq!(
        (
            settings.classes.len(),
            settings.sockets.zones.len(),
            settings.request_limits.max_in_flight
        ),
        (1, 2, 20000)
    );
    assert_eq!(format!("{from_json:?}"), format!("{from_pairs:?}"));
}

#[test_case(json!([]), "settings: expected a JSON object, found another type of value" ; "not a JSON object")]
#[test_case(json!({"zone": "north"}), "setting zone: 'north' is not a number of 0 or more" ; "text for a number")]
#[test_case(json!({"policyLimits": {"peers": 2}}), "setting policyLimits.peers: '2' is neither true nor false" ; "number other than 0 and 1 for a boolean")]
#[test_case(json!({"rules": {"coldS": -1}}), "setting rules.coldS: '-1' is not a number of 0 or more" ; "negative duration")]
#[test_case(json!({"classes": [{"idempotency": "never"}]}), "setting classes.0.idempotency: unknown value 'never'" ; "unknown idempotency")]
#[test_case(json!({"packages": [{}, {"price": "much"}]}), "setting packages.1.price: 'much' is not a number of 0 or more" ; "text for a number of the second plan")]
#[test_case(json!({"balancers": 2, "rank": 2}), "setting rank: 2 is not less than the number of limiters, 2" ; "rank equal to the number of limiters")]
#[test_case(json!({"classes": [{"idempotency": "idempotency_key", "group": "hall"}]}), "setting classes.0.group: unknown value 'hall'" ; "unknown scope")]
#[test_case(json!({"classes": [{}]}), "setting classes.0.idempotency: unknown value '-'" ; "absent idempotency")]
#[test_case(json!({"rules": {"coldS": 2e19}}), "setting rules.coldS: 20000000000000000000 seconds is too long for a duration" ; "duration too long")]
#[test_case(json!({"classes": {"count": 4097}}), "setting classes.count: 4097 items, but a list has at most 4096" ; "list too long")]
#[test_case(json!({"policyLimits": {"sendCap": 0}}), "setting policyLimits.sendCap: '0' is not a positive number" ; "attempt limit of 0")]
#[test_case(json!({"policyLimits": {"sendCap": ""}}), "setting policyLimits.sendCap: '' is not a positive number" ; "empty attempt limit")]
fn invalid_setting_is_named_in_the_error(value: Value, expected: &str) {
    let error = read_json(value).err().map(|error| error.to_string());
    assert_eq!(error.as_deref(), Some(expected));
}

#[test_case(1024, 1023 => Ok((1024, 1023)) ; "a small fleet")]
#[test_case(2300, 2299 => Ok((2300, 2299)) ; "a large fleet")]
#[test_case(65_536, 65_535 => Ok((65_536, 65_535)) ; "the limit")]
#[test_case(65_537, 0 => Err("setting balancers: 65537 limiters, but a fleet has at most 65536".to_owned()) ; "more than the limit")]
fn fleet_size_up_to_the_limit_is_accepted(limiters: u32, rank: u32) -> Result<(u32, u32), String> {
    let settings = read_json(json!({"balancers": limiters, "rank": rank}));
    let fleet = settings.map_err(|error| error.to_string())?.fleet;
    Ok((fleet.limiters, fleet.own_index))
}

/// Settings with every key. Each number differs from the others of its section, so that a key decoded into the wrong field
/// is detected.
fn settings_with_every_key() -> Settings {
    let settings = json!({
        "zone": 2, "dcs": ["a", "b"], "discovery": "subscribe", "balancers": 9, "rank": 4,
        "classes": [{"name": "read", "idempotency": "read_like", "promiseS": 0.25, "hardLimitS": 1.5, "worth": 5,
                "lateShare": 0.125},
            {"name": "keyed", "idempotency": "idempotency_key", "group": "all", "keyTtlS": 0.5},
            {"name": "zoned", "idempotency": "idempotency_key", "group": "zone", "keyTtlS": 0.75},
            {"name": "celled", "idempotency": "idempotency_key", "group": "cell", "keyTtlS": 1.25},
            {"name": "write", "idempotency": "non_idempotent"}],
        "packages": [{"name": "small", "unitsPerS": 1, "mostAtOnce": 2, "maxOut": 3, "ceilingRate": 4, "capDepth": 5,
            "capSlack": 6, "price": 7, "overrunCost": 8, "beyondEarns": 9}],
        "policyLimits": {"sendCap": 3, "secondCopies": true, "mayCancel": false, "retryAfter": true,
            "maxRetryAfterS": 11, "mostHeld": 12, "peers": true, "probes": true, "connIdleS": 13,
            "connectTimeoutS": 14},
        "familyInfo": {"inboxPerS": 15, "hasCounter": false, "settles": true, "maxUnits": 16},
        "rules": {"drainGraceS": 17, "startCapacity": 0.18, "coldS": 19, "overloadFactor": 20, "fallS": 21,
            "askWithinS": 22},
        "report": {"how": "probe"}});
    read_json(settings).expect("every key is valid")
}

#[test]
fn every_key_of_plans_and_classes_is_decoded_into_its_setting() {
    let read = settings_with_every_key();
    assert_eq!(
        read.plans,
        [Plan {
            rate: 1.0,
            burst: 2.0,
            max_concurrent: 3,
            ceiling_rate: 4.0,
            ceiling_burst: 5.0,
            ceiling_slack: 6.0,
            plan_weight: 7.0,
            overage_cost: 8.0,
            overage_value: 9.0,
        }]
    );
    assert_eq!(
        read.classes[0],
        RequestClass {
            latency_objective: Duration::from_millis(250),
            deadline: Duration::from_millis(1500),
            priority_weight: 5.0,
            late_weight: 0.125,
            idempotency: Idempotency::Idempotent,
        }
    );
    let key = |scope, ms| Idempotency::IdempotencyKey(scope, Duration::from_millis(ms));
    assert_eq!(
        read.classes[1..]
            .iter()
            .map(|class| class.idempotency)
            .collect::<Vec<_>>(),
        [
            key(IdempotencyScope::All, 500),
            key(IdempotencyScope::Zone, 750),
            key(IdempotencyScope::Cell, 1250),
            Idempotency::NonIdempotent,
        ]
    );
}

#[test]
fn every_key_of_fleet_endpoints_requests_and_sockets_is_decoded_into_its_setting() {
    let read = settings_with_every_key();
    let seconds = Duration::from_secs;
    assert_eq!(
        read.fleet,
        FleetConfig {
            limiters: 9,
            own_index: 4,
            peer_messages: true,
            peer_inbox_rate: 15.0,
            counter: false,
            settles_units: true,
            max_units: 16.0,
        }
    );
    assert_eq!(
        read.endpoints,
        EndpointConfig {
            zone: 2,
            drain_grace: seconds(17),
            slow_start_fraction: 0.18,
            slow_start_duration: seconds(19),
            overload_factor: 20.0,
            overload_window: seconds(21),
            endpoint_polling: true,
            poll_deadline: seconds(22),
            health_checks: true,
        }
    );
    assert_eq!(
        read.request_limits,
        RequestLimits {
            max_attempts: 3,
            hedging: true,
            cancellation: false,
            retry_after: true,
            max_retry_after: seconds(11),
            max_in_flight: 12,
        }
    );
    assert_eq!(
        read.sockets,
        SocketSettings {
            plans: vec!["small".to_owned()],
            classes: ["read", "keyed", "zoned", "celled", "write"]
                .map(str::to_owned)
                .to_vec(),
            zones: vec!["a".to_owned(), "b".to_owned()],
            server_idle_timeout: seconds(13),
            connect_timeout: seconds(14),
            load_reports_in_responses: false,
            load_reports_in_health_checks: true,
        }
    );
}

/// An absent value reads as zero, except that there is at least one limiter and one attempt.
#[test]
fn empty_settings_read_as_their_defaults() {
    let read = read_json(json!({})).expect("no setting is required");
    assert_eq!((read.plans, read.classes), (Vec::new(), Vec::new()));
    assert_eq!(
        read.fleet,
        FleetConfig {
            limiters: 1,
            own_index: 0,
            peer_messages: false,
            peer_inbox_rate: 0.0,
            counter: false,
            settles_units: false,
            max_units: 1.0,
        }
    );
    assert_eq!(
        (
            read.request_limits.max_attempts,
            read.request_limits.max_in_flight
        ),
        (1, 0)
    );
    assert_eq!(read.sockets, SocketSettings::default());
}
