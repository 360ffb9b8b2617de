//! A job as a server gets it, and what its answer says.

use super::health_check::read_load;
use crate::messages::{UpstreamRequest, UpstreamResponse};
use crate::upstream::streaming_body::StreamingBody;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use merlinreel_policy::{AttemptOutcome, LoadReport};
use std::time::Duration;

/// The bytes that a request takes on the wire at least.
pub fn wire_length(request: &Request<Full<Bytes>>, body: usize) -> u64 {
    let path = request
        .uri()
        .path_and_query()
        .map_or(1, |path| path.as_str().len());
    let line = request.method().as_str().len() + 1 + path + " HTTP/1.1\r\n".len();
    let headers = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    (line + headers.sum::<usize>() + "\r\n".len() + body) as u64
}

const REMAINING: HeaderName = HeaderName::from_static("x-remaining");
const TURNED_AWAY: HeaderName = HeaderName::from_static("x-turned-away");
pub const PRESSURE: HeaderName = HeaderName::from_static("x-pressure");
const UNITS_CHARGED: HeaderName = HeaderName::from_static("x-units-charged");

/// A job as a server gets it: unchanged but for the time that the limiter will wait.
pub fn encode(upstream_request: &UpstreamRequest, waits: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(upstream_request.body.clone()));
    *request.method_mut() = upstream_request.method.clone();
    *request.uri_mut() = upstream_request.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&upstream_request.headers);
    if let Ok(value) = HeaderValue::try_from(format!("{}m", waits.as_millis())) {
        headers.insert(REMAINING, value);
    }
    if !upstream_request.body.is_empty() {
        headers.insert(
            CONTENT_LENGTH,
            HeaderValue::from(upstream_request.body.len()),
        );
    }
    request
}

/// Takes out the headers that are of one connection only, and the length, which the body tells.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named
        .flat_map(|value| value.split(',').map(|name| name.trim().to_lowercase()))
        .collect();
    let of_one_connection = |name: &&HeaderName| match name.as_str() {
        "connection" | "keep-alive" | "proxy-connection" | "te" | "trailer"
        | "transfer-encoding" | "upgrade" | "content-length" => true,
        name => named.iter().any(|other| other == name),
    };
    let gone: Vec<HeaderName> = headers.keys().filter(of_one_connection).cloned().collect();
    gone.iter().for_each(|name| drop(headers.remove(name)));
}

/// What an answer says, besides how long it took.
pub struct DecodedResponse {
    pub outcome: AttemptOutcome,
    pub units: Option<f64>,
    pub load: LoadReport,
    pub upstream_response: Option<UpstreamResponse>,
}

impl DecodedResponse {
    pub fn nothing(outcome: AttemptOutcome) -> DecodedResponse {
        DecodedResponse {
            outcome,
            units: None,
            load: LoadReport::default(),
            upstream_response: None,
        }
    }
}

/// A whole `body`, or a `flow` in its place.
pub fn decode(
    mut head: Parts,
    body: Bytes,
    flow: Option<Box<StreamingBody>>,
    loads: bool,
) -> DecodedResponse {
    let turned_away = head
        .headers
        .get(TURNED_AWAY)
        .is_some_and(|value| value == "1");
    let outcome = match head.status {
        StatusCode::OK => AttemptOutcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => {
            AttemptOutcome::Rejected
        }
        _ => AttemptOutcome::Error,
    };
    let units = head
        .headers
        .get(UNITS_CHARGED)
        .and_then(|value| value.to_str().ok());
    let units = units
        .and_then(|text| text.parse::<f64>().ok())
        .filter(|units| units.is_finite() && *units > 0.0);
    let load = head.headers.remove(PRESSURE).filter(|_| loads);
    let load = load.map_or_else(LoadReport::default, |value| read_load(value.as_bytes()));
    let upstream_response = (outcome == AttemptOutcome::Success).then(|| {
        strip_hop_by_hop(&mut head.headers);
        UpstreamResponse {
            headers: head.headers,
            body,
            flow,
        }
    });
    DecodedResponse {
        outcome,
        units,
        load,
        upstream_response,
    }
}
