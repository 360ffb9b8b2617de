use super::*;
use merlinreel_settings::SettingsTree;
use serde_json::json;
use test_case::test_case;

const URI: &str = "/put?key=00000000b4d65521";
const HEADERS: [(&str, &str); 6] = [
    ("x-txn", "9b"),
    ("x-lane", "put"),
    ("x-plan", "team"),
    ("x-remaining", "480m"),
    ("idempotency-key", "5c"),
    ("x-quota", "units=2,spread=2,first=1,odd=4"),
];

/// Decodes a request with [`HEADERS`], one of which is changed. A `+` before the name adds a second header of that name, an
/// empty value removes the header, and the value `GET` changes the method.
fn decode_changed(uri: &str, changed: (&str, &str)) -> Result<Request, String> {
    let settings = json!({"balancers": 3, "familyInfo": {"maxUnits": 8}, "packages": [{"name": "solo"}, {"name": "team"}], "classes": [
        {"name": "look", "idempotency": "read_like", "hardLimitS": 1},
        {"name": "put", "idempotency": "idempotency_key", "group": "all", "hardLimitS": 1}]});
    let settings = SettingsTree::from_json(&settings)
        .and_then(|tree| Settings::read(&tree))
        .map_err(|error| error.to_string())?;
    let mut request = if changed.1 == "GET" {
        hyper::Request::get(uri)
    } else {
        hyper::Request::post(uri)
    };
    let name = changed.0.trim_start_matches('+');
    let is_added = changed.0.starts_with('+');
    for (name, value) in HEADERS
        .iter()
        .filter(|(other, _)| is_added || *other != name)
        .chain([&(name, changed.1)])
    {
        if !value.is_empty() && !name.is_empty() {
            request = request.header(*name, *value);
        }
    }
    let (head, ()) = request.body(()).expect("valid request").into_parts();
    decode(&head, &settings).map_err(|error| error.to_string())
}

#[test]
fn head_with_all_headers_is_decoded() {
    let request = decode_changed(URI, ("x-resent", "1")).expect("valid request");
    assert_eq!(
        (request.customer, request.plan, request.class),
        (0xb4d6_5521, 1, 1)
    );
    assert_eq!(
        (
            request.units,
            request.set_size,
            request.set_first,
            request.is_retry
        ),
        (2.0, 2, 1, true)
    );
    assert_eq!(request.remaining_time, Duration::from_millis(480));
    let long_waiting = decode_changed(URI, ("x-remaining", "4000000000m")).expect("valid request");
    assert_eq!(long_waiting.remaining_time, Duration::from_secs(1));
}

#[test]
fn chunked_request_is_decoded_as_one_with_a_length() {
    let chunked = decode_changed(URI, ("transfer-encoding", "chunked")).expect("valid request");
    let with_length = decode_changed(URI, ("content-length", "6")).expect("valid request");
    assert_eq!(
        (chunked.customer, chunked.class),
        (with_length.customer, with_length.class)
    );
}

#[test_case(URI, ("x-txn", "") => "x-txn is missing" ; "no id")]
#[test_case(URI, ("x-lane", "look") => "the path and x-lane name two classes" ; "two classes")]
#[test_case("/odd?key=1", ("x-lane", "") => "class 'odd' is unknown" ; "unknown class")]
#[test_case(URI, ("x-plan", "gold") => "x-plan: unknown" ; "unknown plan")]
#[test_case(URI, ("idempotency-key", "") => "idempotency-key is missing" ; "no idempotency key")]
#[test_case("/put", ("", "") => "key is missing or stands there twice" ; "no customer")]
#[test_case("/put?key=7&key=8", ("", "") => "key is missing or stands there twice" ; "two customers")]
#[test_case("/put?key=+7", ("", "") => "key: no customer's number" ; "signed customer")]
#[test_case(URI, ("", "GET") => "class 'put' comes by POST" ; "another method")]
#[test_case(URI, ("+x-txn", "9c") => "x-txn stands there twice" ; "two ids")]
#[test_case("/put?key=0000000200000000", ("", "") => "key: no customer's number" ; "customer out of range")]
#[test_case(URI, ("x-remaining", "480") => "x-remaining: no number with m or u" ; "no unit")]
#[test_case(URI, ("x-remaining", "-1m") => "x-remaining: no number with m or u" ; "negative time")]
#[test_case(URI, ("x-quota", "units=nan,spread=1,first=0") => "x-quota: units is no number in range" ; "units not a number")]
#[test_case(URI, ("x-quota", "units=+2,spread=1,first=0") => "x-quota: units is no number in range" ; "signed units")]
#[test_case(URI, ("x-quota", "units=9,spread=1,first=0") => "x-quota: units is no number in range" ; "too many units")]
#[test_case(URI, ("x-quota", "units=1,units=1") => "x-quota: units stands there twice" ; "units twice")]
#[test_case(URI, ("x-quota", "units=1,spread=1.5,first=0") => "x-quota: no set among 3 limiters" ; "fractional set")]
#[test_case(URI, ("x-remaining", "+7m") => "x-remaining: no number with m or u" ; "signed time")]
#[test_case(URI, ("x-quota", "units=1,spread=0,first=0") => "x-quota: no set among 3 limiters" ; "empty set")]
#[test_case(URI, ("x-quota", "units=1,spread=1,first=3") => "x-quota: no set among 3 limiters" ; "set out of range")]
#[test_case(URI, ("x-quota", "units") => "x-quota: no name=value" ; "no pair")]
fn malformed_head_is_named_in_the_error(uri: &str, changed: (&str, &str)) -> String {
    decode_changed(uri, changed)
        .map(|_| ())
        .expect_err("malformed")
}
