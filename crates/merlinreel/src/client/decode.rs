//! What a client sent as a job, and an answer as the client gets it.

use crate::messages::ClientResponse;
use crate::upstream::streaming_body::Reply;
use http_body_util::{Either, Full};
use hyper::body::Bytes;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use merlinreel_policy::{FleetConfig, Idempotency, Request, RequestClass};
use merlinreel_settings::Settings;
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
fn quota(text: &str, peers: &FleetConfig) -> Result<(f64, u32, u32), String> {
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
        .filter(|&units| units > 0.0 && units <= peers.max_units);
    let units = units.ok_or("x-quota: units is no number in range")?;
    match (set_size.flatten(), set_first.flatten()) {
        (Some(size @ 1..), Some(first)) if size <= peers.limiters && first < peers.limiters => {
            Ok((units, size, first))
        }
        _ => Err(format!("x-quota: no set among {} limiters", peers.limiters)),
    }
}

/// Reads a job from a request's head: its class, customer, plan and quota, and the time the client waits.
pub fn decode(head: &Parts, terms: &Settings) -> Result<Request, String> {
    let path = head.uri.path().trim_start_matches('/');
    let lane = path.split('/').next().unwrap_or(path);
    if let Some(value) = once(&head.headers, &LANE)?
        && value != lane
    {
        return Err("the path and x-lane name two classes".to_owned());
    }
    let class = terms.sockets.classes.iter().position(|name| name == lane);
    let class = class.ok_or_else(|| format!("class '{lane}' is unknown"))?;
    let plan = text(&head.headers, &PLAN)?;
    let plan = terms.sockets.plans.iter().position(|name| name == plan);
    let plan = plan.ok_or("x-plan: unknown")?;
    text(&head.headers, &TXN)?;
    let RequestClass {
        idempotency,
        deadline,
        ..
    } = &terms.classes[class];
    let method = if *idempotency == Idempotency::Idempotent {
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
    if matches!(idempotency, Idempotency::IdempotencyKey(..)) {
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
    let (units, set_size, set_first) = quota(text(&head.headers, &QUOTA)?, &terms.fleet)?;
    let remaining_time =
        remaining(text(&head.headers, &REMAINING)?).ok_or("x-remaining: no number with m or u")?;
    // No client of a class waits longer than its deadline.
    let remaining_time = remaining_time.min(*deadline);
    let again = once(&head.headers, &RESENT)?.is_some_and(|value| value == "1");
    Ok(Request {
        id: 0,
        customer,
        plan,
        class,
        units,
        remaining_time,
        set_size,
        set_first,
        is_retry: again,
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
pub fn encode(answer: ClientResponse) -> Response<Reply> {
    let answer = match answer {
        ClientResponse::Success(delivery) => {
            let body = match delivery.flow {
                Some(flow) => Either::Right(*flow),
                None => Either::Left(Full::new(delivery.body)),
            };
            let mut response = Response::new(body);
            *response.headers_mut() = delivery.headers;
            return response;
        }
        ClientResponse::Rejected(wait) => {
            let mut response = respond(StatusCode::TOO_MANY_REQUESTS, String::new());
            let value = wait
                .and_then(|wait| HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())).ok());
            value.map(|value| response.headers_mut().insert(RETRY_AFTER, value));
            response
        }
        ClientResponse::Failed => respond(StatusCode::BAD_GATEWAY, "failed\n".to_owned()),
    };
    answer.map(Either::Left)
}

#[cfg(test)]
mod tests;
