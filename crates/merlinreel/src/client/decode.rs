//! Decodes a client's request from the head of its HTTP request.

use hyper::Method;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, ToStrError};
use hyper::http::request::Parts;
use merlinreel_policy::RequestIndex;
use merlinreel_policy::{FleetConfig, Idempotency, Request};
use merlinreel_settings::Settings;
use std::time::Duration;
use thiserror::Error;

/// The request id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-txn");
/// The request class; the path names it too.
const CLASS: HeaderName = HeaderName::from_static("x-lane");
/// The customer's plan.
const PLAN: HeaderName = HeaderName::from_static("x-plan");
/// How long the client still waits.
const REMAINING_TIME: HeaderName = HeaderName::from_static("x-remaining");
/// The units that the request uses, and the limiters that share the customer's quota.
const QUOTA: HeaderName = HeaderName::from_static("x-quota");
/// `1` where the client sent the request before.
const IS_RETRY: HeaderName = HeaderName::from_static("x-resent");
/// The idempotency key.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Customers' numbers are less than this.
const CUSTOMER_LIMIT: u64 = 1 << 33;

/// Why a request can't be decoded. Clients get this text in the body of a 400.
#[derive(Debug, Error)]
pub enum RequestError {
    /// A header that may occur once occurs again: two readers might take two values.
    #[error("{0} stands there twice")]
    RepeatedHeader(HeaderName),
    /// A header is missing or empty.
    #[error("{0} is missing")]
    MissingHeader(HeaderName),
    /// A header's value is not visible ASCII.
    #[error("{name} is no text")]
    InvalidHeader {
        /// The header.
        name: HeaderName,
        /// Why it is not.
        source: ToStrError,
    },
    /// The class in the path is not the one in the header.
    #[error("the path and x-lane name two classes")]
    ClassMismatch,
    /// The settings have no such class.
    #[error("class '{0}' is unknown")]
    UnknownClass(String),
    /// The settings have no such plan.
    #[error("x-plan: unknown")]
    UnknownPlan,
    /// Requests of the class come by another method.
    #[error("class '{class}' comes by {expected}")]
    WrongMethod {
        /// The class.
        class: String,
        /// Its method.
        expected: Method,
    },
    /// Requests of the class have no body.
    #[error("class '{0}' comes without a body")]
    UnexpectedBody(String),
    /// The query has no customer's number, or several.
    #[error("key is missing or stands there twice")]
    NotOneCustomer,
    /// The customer's number is no hexadecimal number in range.
    #[error("key: no customer's number")]
    InvalidCustomer,
    /// The quota header has an element that is no pair.
    #[error("x-quota: no name=value")]
    InvalidQuotaPair,
    /// The quota header names something twice.
    #[error("x-quota: {0} stands there twice")]
    RepeatedQuotaName(String),
    /// The units are missing or out of range.
    #[error("x-quota: units is no number in range")]
    InvalidUnits,
    /// The limiters that share the quota are missing or not in the fleet.
    #[error("x-quota: no set among {limiters} limiters")]
    InvalidLimiterSet {
        /// Limiters in the fleet.
        limiters: u32,
    },
    /// The remaining time has another form.
    #[error("x-remaining: no number with m or u")]
    InvalidRemainingTime,
}

/// The value of a header that may occur once at most.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        Err(RequestError::RepeatedHeader(name.clone()))
    } else {
        Ok(first)
    }
}

/// The text of a header that must occur once and not be empty.
fn required<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, RequestError> {
    single(headers, name)?
        .filter(|value| !value.is_empty())
        .ok_or_else(|| RequestError::MissingHeader(name.clone()))?
        .to_str()
        .map_err(|source| RequestError::InvalidHeader {
            name: name.clone(),
            source,
        })
}

/// An integer in digits alone; `parse` accepts signs too.
fn parse_integer(digits: &str) -> Option<u32> {
    digits
        .bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| digits.parse().ok())
        .flatten()
}

/// A number in digits and a point; `parse` accepts signs, exponents and words too.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    is_plain.then(|| text.parse().ok()).flatten()
}

/// An integer followed by its unit: `m` for milliseconds, `u` for microseconds.
fn parse_remaining_time(text: &str) -> Option<Duration> {
    let integer = |digits: &str| parse_integer(digits).map(u64::from);
    match text.strip_suffix('m') {
        Some(digits) => integer(digits).map(Duration::from_millis),
        None => text
            .strip_suffix('u')
            .and_then(integer)
            .map(Duration::from_micros),
    }
}

/// What the quota header says.
struct Quota {
    /// Units that the request uses.
    units: f64,
    /// How many limiters share the customer's quota.
    set_size: u32,
    /// The first of these limiters.
    set_first: u32,
}

impl Quota {
    fn parse(text: &str, fleet: &FleetConfig) -> Result<Quota, RequestError> {
        let mut units = None;
        let mut set_size = None;
        let mut set_first = None;
        for pair in text.split(',') {
            let (name, value) = pair
                .trim()
                .split_once('=')
                .ok_or(RequestError::InvalidQuotaPair)?;
            let is_repeated = match name {
                "units" => units.replace(parse_decimal(value)).is_some(),
                "spread" => set_size.replace(parse_integer(value)).is_some(),
                "first" => set_first.replace(parse_integer(value)).is_some(),
                _ => false,
            };
            if is_repeated {
                return Err(RequestError::RepeatedQuotaName(name.to_owned()));
            }
        }
        let units = units
            .flatten()
            .filter(|&units| units > 0.0 && units <= fleet.max_units)
            .ok_or(RequestError::InvalidUnits)?;
        match (set_size.flatten(), set_first.flatten()) {
            (Some(set_size @ 1..), Some(set_first))
                if set_size <= fleet.limiters && set_first < fleet.limiters =>
            {
                Ok(Quota {
                    units,
                    set_size,
                    set_first,
                })
            }
            _ => Err(RequestError::InvalidLimiterSet {
                limiters: fleet.limiters,
            }),
        }
    }
}

/// The index of the class that the path names, in the settings.
fn decode_class(
    head: &Parts,
    class_name: &str,
    settings: &Settings,
) -> Result<usize, RequestError> {
    if let Some(value) = single(&head.headers, &CLASS)?
        && value != class_name
    {
        return Err(RequestError::ClassMismatch);
    }
    settings
        .sockets
        .classes
        .iter()
        .position(|name| name == class_name)
        .ok_or_else(|| RequestError::UnknownClass(class_name.to_owned()))
}

/// The index of the plan in the settings.
fn decode_plan(headers: &HeaderMap, settings: &Settings) -> Result<usize, RequestError> {
    let plan = required(headers, &PLAN)?;
    settings
        .sockets
        .plans
        .iter()
        .position(|name| name == plan)
        .ok_or(RequestError::UnknownPlan)
}

/// Checks the method, and the headers that depend on the class's idempotency.
fn check_method(
    head: &Parts,
    class_name: &str,
    idempotency: &Idempotency,
) -> Result<(), RequestError> {
    let expected = if *idempotency == Idempotency::Idempotent {
        Method::GET
    } else {
        Method::POST
    };
    if head.method != expected {
        return Err(RequestError::WrongMethod {
            class: class_name.to_owned(),
            expected,
        });
    }
    let content_length = single(&head.headers, &CONTENT_LENGTH)?;
    if expected == Method::GET && content_length.is_some_and(|length| length != "0") {
        return Err(RequestError::UnexpectedBody(class_name.to_owned()));
    }
    if matches!(idempotency, Idempotency::IdempotencyKey(..)) {
        required(&head.headers, &IDEMPOTENCY_KEY)?;
    }
    Ok(())
}

/// The customer's number, in hexadecimal digits in the query.
fn decode_customer(query: &str) -> Result<u64, RequestError> {
    let mut keys = query
        .split('&')
        .filter_map(|pair| pair.strip_prefix("key="));
    let (Some(key), None) = (keys.next(), keys.next()) else {
        return Err(RequestError::NotOneCustomer);
    };
    key.bytes()
        .all(|byte| byte.is_ascii_hexdigit())
        .then(|| u64::from_str_radix(key, 16).ok())
        .flatten()
        .filter(|&customer| customer < CUSTOMER_LIMIT)
        .ok_or(RequestError::InvalidCustomer)
}

/// Decodes a request from its head: class, customer, plan, quota, and the time that the client waits, which is at most the
/// deadline of the class.
///
/// # Errors
///
/// The first thing that is wrong with the head.
pub fn decode(head: &Parts, settings: &Settings) -> Result<Request, RequestError> {
    let path = head.uri.path().trim_start_matches('/');
    let class_name = path.split('/').next().unwrap_or(path);
    let class = decode_class(head, class_name, settings)?;
    let plan = decode_plan(&head.headers, settings)?;
    required(&head.headers, &REQUEST_ID)?;
    let rules = &settings.classes[class];
    check_method(head, class_name, &rules.idempotency)?;
    let customer = decode_customer(head.uri.query().unwrap_or_default())?;
    let quota = Quota::parse(required(&head.headers, &QUOTA)?, &settings.fleet)?;
    let remaining_time = parse_remaining_time(required(&head.headers, &REMAINING_TIME)?)
        .ok_or(RequestError::InvalidRemainingTime)?;
    let is_retry = single(&head.headers, &IS_RETRY)?.is_some_and(|value| value == "1");
    Ok(Request {
        id: RequestIndex(0),
        customer,
        plan,
        class,
        units: quota.units,
        remaining_time: remaining_time.min(rules.deadline),
        set_size: quota.set_size,
        set_first: quota.set_first,
        is_retry,
    })
}

#[cfg(test)]
mod tests;
