//! What a client sent as a job, and an answer as the client gets it.

use crate::flow::Reply;
use crate::messages::Answer;
use http_body_util::{Either, Full};
use hyper::body::Bytes;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use merlinreel_core::{Class, Job, Peers, Repeats};
use merlinreel_settings::Terms;
use std::time::Duration;

pub const TXN: HeaderName = HeaderName::from_static("x-txn");
const LANE: HeaderName = HeaderName::from_static("x-lane");
const PLAN: HeaderName = HeaderName::from_static("x-plan");
const REMAINING: HeaderName = HeaderName::from_static("x-remaining");
const QUOTA: HeaderName = HeaderName::from_static("x-quota");
const RESENT: HeaderName = HeaderName::from_static("x-resent");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Customers' numbers lie under this.
const CUSTOMERS: u64 = 1 << 33;

/// Guards against two readings of one request: what is read here stands there once at most.
fn once<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, String> {
    let mut all = headers.get_all(name).iter();
    let first = all.next();
    if all.next().is_some() {
        Err(format!("{name} stands there twice"))
    } else {
        Ok(first)
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, String> {
    let value = once(headers, name)?.filter(|value| !value.is_empty());
    value
        .ok_or_else(|| format!("{name} is missing"))?
        .to_str()
        .map_err(|_| format!("{name} is no text"))
}

/// A whole number in digits alone; the library's reading takes signs too.
fn number(digits: &str) -> Option<u32> {
    digits
        .bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| digits.parse().ok())
        .flatten()
}

/// Digits with a point among them at most; the library's reading takes signs, powers and words too.
fn decimal(text: &str) -> Option<f64> {
    let plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    plain.then(|| text.parse().ok()).flatten()
}

/// A number followed by its unit, milliseconds or microseconds.
fn remaining(text: &str) -> Option<Duration> {
    let number = |digits: &str| number(digits).map(u64::from);
    match text.strip_suffix('m') {
        Some(digits) => number(digits).map(Duration::from_millis),
        None => text
            .strip_suffix('u')
            .and_then(number)
            .map(Duration::from_micros),
    }
}

/// The units that a job draws, and its customer's set: how many limiters, and the first.
fn quota(text: &str, peers: &Peers) -> Result<(f64, u32, u32), String> {
    let (mut units, mut set_size, mut set_first) = (None, None, None);
    for pair in text.split(',') {
        let (name, value) = pair
            .trim()
            .split_once('=')
            .ok_or("x-quota: no name=value")?;
        let repeated = match name {
            "units" => units.replace(decimal(value)).is_some(),
            "spread" => set_size.replace(number(value)).is_some(),
            "first" => set_first.replace(number(value)).is_some(),
            _ => false,
        };
        if repeated {
            return Err(format!("x-quota: {name} stands there twice"));
        }
    }
    let units = units
        .flatten()
        .filter(|&units| units > 0.0 && units <= peers.most_units);
    let units = units.ok_or("x-quota: units is no number in range")?;
    match (set_size.flatten(), set_first.flatten()) {
        (Some(size @ 1..), Some(first)) if size <= peers.limiters && first < peers.limiters => {
            Ok((units, size, first))
        }
        _ => Err(format!("x-quota: no set among {} limiters", peers.limiters)),
    }
}

/// Reads a job from a request's head: its class, customer, plan and quota, and the time the client waits.
pub fn decode(head: &Parts, terms: &Terms) -> Result<Job, String> {
    let path = head.uri.path().trim_start_matches('/');
    let lane = path.split('/').next().unwrap_or(path);
    if let Some(value) = once(&head.headers, &LANE)?
        && value != lane
    {
        return Err("the path and x-lane name two classes".to_owned());
    }
    let class = terms.wire.classes.iter().position(|name| name == lane);
    let class = class.ok_or_else(|| format!("class '{lane}' is unknown"))?;
    let plan = text(&head.headers, &PLAN)?;
    let plan = terms.wire.plans.iter().position(|name| name == plan);
    let plan = plan.ok_or("x-plan: unknown")?;
    text(&head.headers, &TXN)?;
    let Class {
        repeats, deadline, ..
    } = &terms.classes[class];
    let method = if *repeats == Repeats::Replayable {
        Method::GET
    } else {
        Method::POST
    };
    if head.method != method {
        return Err(format!("class '{lane}' comes by {method}"));
    }
    let length = once(&head.headers, &CONTENT_LENGTH)?;
    if method == Method::GET && length.is_some_and(|length| length != "0") {
        return Err(format!("class '{lane}' comes without a body"));
    }
    if matches!(repeats, Repeats::Keyed(..)) {
        text(&head.headers, &IDEMPOTENCY_KEY)?;
    }
    let pairs = head.uri.query().unwrap_or_default().split('&');
    let mut keys = pairs.filter_map(|pair| pair.strip_prefix("key="));
    let (Some(key), None) = (keys.next(), keys.next()) else {
        return Err("key is missing or stands there twice".to_owned());
    };
    let customer = key
        .bytes()
        .all(|byte| byte.is_ascii_hexdigit())
        .then(|| u64::from_str_radix(key, 16).ok());
    let customer = customer.flatten().filter(|&number| number < CUSTOMERS);
    let customer = customer.ok_or("key: no customer's number")?;
    let (units, set_size, set_first) = quota(text(&head.headers, &QUOTA)?, &terms.peers)?;
    let time_left =
        remaining(text(&head.headers, &REMAINING)?).ok_or("x-remaining: no number with m or u")?;
    // No client of a class waits longer than its deadline.
    let time_left = time_left.min(*deadline);
    let again = once(&head.headers, &RESENT)?.is_some_and(|value| value == "1");
    Ok(Job {
        job: 0,
        customer,
        plan,
        class,
        units,
        time_left,
        set_size,
        set_first,
        again,
    })
}

pub fn respond(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

pub fn last(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// An answer as the client gets it.
pub fn encode(answer: Answer) -> Response<Reply> {
    let answer = match answer {
        Answer::Served(delivery) => {
            let body = match delivery.flow {
                Some(flow) => Either::Right(*flow),
                None => Either::Left(Full::new(delivery.body)),
            };
            let mut response = Response::new(body);
            *response.headers_mut() = delivery.headers;
            return response;
        }
        Answer::Refused(wait) => {
            let mut response = respond(StatusCode::TOO_MANY_REQUESTS, String::new());
            let value = wait
                .and_then(|wait| HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())).ok());
            value.map(|value| response.headers_mut().insert(RETRY_AFTER, value));
            response
        }
        Answer::Failed => respond(StatusCode::BAD_GATEWAY, "failed\n".to_owned()),
    };
    answer.map(Either::Left)
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::Request;
    use merlinreel_settings::Paths;
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

    fn read(uri: &str, changed: (&str, &str)) -> Result<Job, String> {
        let settings = json!({"balancers": 3, "familyInfo": {"maxUnits": 8}, "packages": [{"name": "solo"}, {"name": "team"}], "classes": [
            {"name": "look", "idempotency": "read_like", "hardLimitS": 1},
            {"name": "put", "idempotency": "idempotency_key", "group": "all", "hardLimitS": 1}]});
        let terms = Terms::read(&Paths::from_json(&settings)?)?;
        let mut request = if changed.1 == "GET" {
            Request::get(uri)
        } else {
            Request::post(uri)
        };
        // A `+` before a name: once more.
        let (name, more) = (
            changed.0.trim_start_matches('+'),
            changed.0.starts_with('+'),
        );
        for (name, value) in HEADERS
            .iter()
            .filter(|(other, _)| more || *other != name)
            .chain([&(name, changed.1)])
        {
            if !value.is_empty() && !name.is_empty() {
                request = request.header(*name, *value);
            }
        }
        let (head, ()) = request.body(()).expect("sound").into_parts();
        decode(&head, &terms)
    }

    #[test]
    fn a_job_is_read_from_its_head() {
        let job = read(URI, ("x-resent", "1")).expect("sound");
        assert_eq!((job.customer, job.plan, job.class), (0xb4d6_5521, 1, 1));
        assert_eq!(
            (job.units, job.set_size, job.set_first, job.again),
            (2.0, 2, 1, true)
        );
        assert_eq!(job.time_left, Duration::from_millis(480));
        let patient = read(URI, ("x-remaining", "4000000000m")).expect("sound");
        assert_eq!(patient.time_left, Duration::from_secs(1));
    }

    #[test]
    fn a_job_may_come_in_chunks() {
        let chunked = read(URI, ("transfer-encoding", "chunked")).expect("sound");
        let told = read(URI, ("content-length", "6")).expect("sound");
        assert_eq!(
            (chunked.customer, chunked.class),
            (told.customer, told.class)
        );
    }

    #[test_case(URI, ("x-txn", "") => "x-txn is missing" ; "no id")]
    #[test_case(URI, ("x-lane", "look") => "the path and x-lane name two classes" ; "two classes")]
    #[test_case("/odd?key=1", ("x-lane", "") => "class 'odd' is unknown" ; "unknown class")]
    #[test_case(URI, ("x-plan", "gold") => "x-plan: unknown" ; "unknown plan")]
    #[test_case(URI, ("idempotency-key", "") => "idempotency-key is missing" ; "no mark")]
    #[test_case("/put", ("", "") => "key is missing or stands there twice" ; "no customer")]
    #[test_case("/put?key=7&key=8", ("", "") => "key is missing or stands there twice" ; "two customers")]
    #[test_case("/put?key=+7", ("", "") => "key: no customer's number" ; "signed customer")]
    #[test_case(URI, ("", "GET") => "class 'put' comes by POST" ; "another method")]
    #[test_case(URI, ("+x-txn", "9c") => "x-txn stands there twice" ; "two ids")]
    #[test_case("/put?key=0000000200000000", ("", "") => "key: no customer's number" ; "customer out of range")]
    #[test_case(URI, ("x-remaining", "480") => "x-remaining: no number with m or u" ; "no unit")]
    #[test_case(URI, ("x-remaining", "-1m") => "x-remaining: no number with m or u" ; "negative time")]
    #[test_case(URI, ("x-quota", "units=nan,spread=1,first=0") => "x-quota: units is no number in range" ; "units")]
    #[test_case(URI, ("x-quota", "units=+2,spread=1,first=0") => "x-quota: units is no number in range" ; "signed units")]
    #[test_case(URI, ("x-quota", "units=9,spread=1,first=0") => "x-quota: units is no number in range" ; "too many units")]
    #[test_case(URI, ("x-quota", "units=1,units=1") => "x-quota: units stands there twice" ; "units twice")]
    #[test_case(URI, ("x-quota", "units=1,spread=1.5,first=0") => "x-quota: no set among 3 limiters" ; "part of a set")]
    #[test_case(URI, ("x-remaining", "+7m") => "x-remaining: no number with m or u" ; "signed time")]
    #[test_case(URI, ("x-quota", "units=1,spread=0,first=0") => "x-quota: no set among 3 limiters" ; "empty set")]
    #[test_case(URI, ("x-quota", "units=1,spread=1,first=3") => "x-quota: no set among 3 limiters" ; "set beyond")]
    #[test_case(URI, ("x-quota", "units") => "x-quota: no name=value" ; "no pair")]
    fn what_is_malformed_is_named(uri: &str, changed: (&str, &str)) -> String {
        read(uri, changed).map(|_| ()).expect_err("malformed")
    }

    #[test_case(Answer::Refused(Some(Duration::from_millis(1250))) => (429, Some("1.250".to_owned())) ; "refused")]
    #[test_case(Answer::Refused(None) => (429, None) ; "refused without advice")]
    #[test_case(Answer::Failed => (502, None) ; "failed")]
    fn answers(answer: Answer) -> (u16, Option<String>) {
        let response = encode(answer);
        let wait = response
            .headers()
            .get(RETRY_AFTER)
            .and_then(|value| value.to_str().ok());
        (response.status().as_u16(), wait.map(str::to_owned))
    }
}
