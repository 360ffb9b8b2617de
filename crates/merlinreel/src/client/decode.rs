//! Decodes and validates a client's request from the head of its HTTP request.

use hyper::Method;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, ToStrError};
use hyper::http::request::Parts;
use merlinreel_policy::RequestIndex;
use merlinreel_policy::{FleetConfig, Idempotency, Request};
use merlinreel_settings::Settings;
use std::time::Duration;
use thiserror::Error;

/// The request id, required. No two requests in flight at a limiter may have the same.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-txn");
/// The request class, optional: it must match the class in the path.
const CLASS: HeaderName = HeaderName::from_static("x-lane");
/// The name of the customer's plan, required.
const PLAN: HeaderName = HeaderName::from_static("x-plan");
/// How long the client still waits for the response, required.
const REMAINING_TIME: HeaderName = HeaderName::from_static("x-remaining");
/// The units that the request uses and the customer's limiter set, required.
const QUOTA: HeaderName = HeaderName::from_static("x-quota");
/// `1` if the client sent the request before. Any other value counts as a first request.
const IS_RETRY: HeaderName = HeaderName::from_static("x-resent");
/// The idempotency key, required in classes with idempotency keys.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Customer numbers are below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;

/// Why a request can't be decoded. The text is sent to the client in the body of a 400 response.
#[derive(Debug, Error)]
pub enum RequestError {
    /// A header that may occur at most once is repeated: two readers might take different values.
    #[error("{0} stands there twice")]
    RepeatedHeader(HeaderName),
    /// A header is missing or empty.
    #[error("{0} is missing")]
    MissingHeader(HeaderName),
    /// A header's value is not visible ASCII.
    #[error("{name} is no text")]
    InvalidHeader {
        /// The header with the invalid value.
        name: HeaderName,
        /// The conversion that failed.
        source: ToStrError,
    },
    /// The class in the path differs from the one in the class header.
    #[error("the path and x-lane name two classes")]
    ClassMismatch,
    /// The settings have no class of that name.
    #[error("class '{0}' is unknown")]
    UnknownClass(String),
    /// The settings have no plan of that name.
    #[error("x-plan: unknown")]
    UnknownPlan,
    /// Requests of the class use another method.
    #[error("class '{class}' comes by {expected}")]
    WrongMethod {
        /// The name of the class.
        class: String,
        /// The method that requests of the class use.
        expected: Method,
    },
    /// The request announces a body, which requests of the class must not have.
    #[error("class '{0}' comes without a body")]
    UnexpectedBody(String),
    /// The query has no customer number, or more than one.
    #[error("key is missing or stands there twice")]
    NotOneCustomer,
    /// The customer number is not a hexadecimal number below 2^33.
    #[error("key: no customer's number")]
    InvalidCustomer,
    /// The quota header has an element that is not of the form `name=value`.
    #[error("x-quota: no name=value")]
    InvalidQuotaPair,
    /// The quota header has `units`, `spread` or `first` twice.
    #[error("x-quota: {0} stands there twice")]
    RepeatedQuotaName(String),
    /// The units are missing, not a decimal number, not positive or above the settings' maximum.
    #[error("x-quota: units is no number in range")]
    InvalidUnits,
    /// The limiter set is missing, empty or not within the fleet.
    #[error("x-quota: no set among {limiters} limiters")]
    InvalidLimiterSet {
        /// Number of limiters in the fleet.
        limiters: u32,
    },
    /// The remaining time is not an integer followed by `m` or `u`.
    #[error("x-remaining: no number with m or u")]
    InvalidRemainingTime,
}

/// The value of a header that may occur at most once. `None` if it is missing.
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

/// The text of a header that must occur exactly once and not be empty.
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

/// Parses an integer that consists of digits only; `str::parse` accepts signs too.
fn parse_integer(digits: &str) -> Option<u32> {
    digits
        .bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| digits.parse().ok())
        .flatten()
}

/// Parses a number of digits and a decimal point; `str::parse` accepts signs, exponents and words such as `nan` too.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    is_plain.then(|| text.parse().ok()).flatten()
}

/// Parses an integer followed by its unit: `m` for milliseconds, `u` for microseconds.
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

/// The values of the quota header.
struct Quota {
    /// Units that the request uses.
    units: f64,
    /// Number of limiters in the customer's limiter set, which share its quota.
    set_size: u32,
    /// Index of the first limiter of the set.
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

/// The settings' index of the class that the path names.
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

/// The settings' index of the plan that the header names.
fn decode_plan(headers: &HeaderMap, settings: &Settings) -> Result<usize, RequestError> {
    let plan = required(headers, &PLAN)?;
    settings
        .sockets
        .plans
        .iter()
        .position(|name| name == plan)
        .ok_or(RequestError::UnknownPlan)
}

/// Checks the method and the headers that depend on the class's idempotency.
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

/// The customer number, given in the query as `key` in hexadecimal digits.
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

/// Decodes a request from its head: class, customer, plan, quota, and the time that the client still waits, capped at the
/// class's deadline. The request's index is not known here and 0.
///
/// # Errors
///
/// The first fault found in the head.
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
