use super::*;
use serde_json::json;
use test_case::test_case;

fn terms(value: Value) -> Result<Settings, String> {
    Settings::read(&Paths::from_json(&value)?)
}

#[test]
fn nested_json_reads_as_the_pairs_of_the_bench_do() {
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
    let (nested, paired) = (
        terms(nested),
        Paths::from_pairs(&pairs).and_then(|paths| Settings::read(&paths)),
    );
    let Ok(terms) = &nested else {
        panic!("{nested:?}")
    };
    assert_eq!(
        (
            terms.classes.len(),
            terms.sockets.zones.len(),
            terms.request_limits.max_in_flight
        ),
        (1, 2, 20000)
    );
    assert_eq!(format!("{nested:?}"), format!("{paired:?}"));
}

#[test_case(json!([]), "settings: not an object" ; "no object")]
#[test_case(json!({"zone": "north"}), "setting zone: 'north' is not a number from 0" ; "no number")]
#[test_case(json!({"policyLimits": {"peers": 2}}), "setting policyLimits.peers: '2' is neither true nor false" ; "no flag")]
#[test_case(json!({"rules": {"coldS": -1}}), "setting rules.coldS: '-1' is not a number from 0" ; "negative")]
#[test_case(json!({"classes": [{"idempotency": "never"}]}), "setting classes.0.idempotency: unknown 'never'" ; "kind of repeat")]
#[test_case(json!({"packages": [{}, {"price": "much"}]}), "setting packages.1.price: 'much' is not a number from 0" ; "second plan")]
#[test_case(json!({"balancers": 2, "rank": 2}), "setting rank: 2 is not among 2" ; "rank")]
fn a_faulty_setting_is_named(value: Value, complaint: &str) {
    assert_eq!(terms(value).err().as_deref(), Some(complaint));
}

#[test_case(1024, 1023 => Ok((1024, 1023)) ; "as many as is asked of any list")]
#[test_case(2300, 2299 => Ok((2300, 2299)) ; "a large fleet")]
#[test_case(65_536, 65_535 => Ok((65_536, 65_535)) ; "the most")]
#[test_case(65_537, 0 => Err("setting balancers: 65537 is out of range".to_owned()) ; "beyond")]
fn a_fleet_of_any_size_in_sight_is_taken(limiters: u32, rank: u32) -> Result<(u32, u32), String> {
    let terms = terms(json!({"balancers": limiters, "rank": rank}))?;
    Ok((terms.fleet.limiters, terms.fleet.me))
}
