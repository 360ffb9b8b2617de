//! A request as a server receives it, and what the response to it means.

use super::load_report::read_load;
use crate::messages::streaming_body::StreamingBody;
use crate::messages::{UpstreamRequest, UpstreamResponse};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use merlinreel_policy::{AttemptOutcome, LoadReport};
use std::time::Duration;

/// How long the limiter waits for the response, in milliseconds with the suffix `m`.
const REMAINING_TIME: HeaderName = HeaderName::from_static("x-remaining");
/// `1` where the server rejected the request without running it.
const REJECTED: HeaderName = HeaderName::from_static("x-turned-away");
/// The server's load report.
pub const LOAD: HeaderName = HeaderName::from_static("x-pressure");
/// The quota units that the request took.
const UNITS_CHARGED: HeaderName = HeaderName::from_static("x-units-charged");

/// The bytes that a request takes on the wire at least.
pub fn wire_length(request: &Request<Full<Bytes>>, body_length: usize) -> u64 {
    let path = request
        .uri()
        .path_and_query()
        .map_or(1, |path| path.as_str().len());
    let request_line = request.method().as_str().len() + 1 + path + " HTTP/1.1\r\n".len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    (request_line + headers + "\r\n".len() + body_length) as u64
}

/// A request as a server receives it: unchanged but for the time that the limiter will wait.
pub fn encode(
    upstream_request: &UpstreamRequest,
    remaining_time: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(upstream_request.body.clone()));
    *request.method_mut() = upstream_request.method.clone();
    *request.uri_mut() = upstream_request.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&upstream_request.headers);
    if let Ok(value) = HeaderValue::try_from(format!("{}m", remaining_time.as_millis())) {
        headers.insert(REMAINING_TIME, value);
    }
    if !upstream_request.body.is_empty() {
        headers.insert(
            CONTENT_LENGTH,
            HeaderValue::from(upstream_request.body.len()),
        );
    }
    request
}

/// Removes the headers that concern one connection only, and the length, which follows from the body.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let connection_options: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_lowercase()))
        .collect();
    let is_hop_by_hop = |name: &&HeaderName| match name.as_str() {
        "connection" | "keep-alive" | "proxy-connection" | "te" | "trailer"
        | "transfer-encoding" | "upgrade" | "content-length" => true,
        name => connection_options.iter().any(|option| option == name),
    };
    let names: Vec<HeaderName> = headers.keys().filter(is_hop_by_hop).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}

/// What a response means.
pub struct DecodedResponse {
    /// What became of the attempt.
    pub outcome: AttemptOutcome,
    /// The quota units that the server charged, where the response names them.
    pub units: Option<f64>,
    /// The server's load.
    pub load: LoadReport,
    /// The response for the client; only of a successful attempt.
    pub upstream_response: Option<UpstreamResponse>,
}

impl DecodedResponse {
    /// The outcome of an attempt that had no response.
    pub fn without_response(outcome: AttemptOutcome) -> DecodedResponse {
        DecodedResponse {
            outcome,
            units: None,
            load: LoadReport::default(),
            upstream_response: None,
        }
    }
}

/// Reads a response. Its body is either complete, or `streaming_body` with an empty `body`. A load report counts where the
/// settings say that responses carry it.
pub fn decode(
    mut head: Parts,
    body: Bytes,
    streaming_body: Option<Box<StreamingBody>>,
    carries_load: bool,
) -> DecodedResponse {
    let outcome = decode_outcome(&head);
    let units = decode_units(&head.headers);
    let load = head
        .headers
        .remove(LOAD)
        .filter(|_| carries_load)
        .map_or_else(LoadReport::default, |value| read_load(value.as_bytes()));
    let upstream_response = (outcome == AttemptOutcome::Success).then(|| {
        strip_hop_by_hop(&mut head.headers);
        UpstreamResponse {
            headers: head.headers,
            body,
            streaming_body,
        }
    });
    DecodedResponse {
        outcome,
        units,
        load,
        upstream_response,
    }
}

/// A server proves that it did not run a request by the status and the header together; the header alone proves nothing.
fn decode_outcome(head: &Parts) -> AttemptOutcome {
    let has_rejected = head.headers.get(REJECTED).is_some_and(|value| value == "1");
    match head.status {
        StatusCode::OK => AttemptOutcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if has_rejected => {
            AttemptOutcome::Rejected
        }
        _ => AttemptOutcome::Error,
    }
}

fn decode_units(headers: &HeaderMap) -> Option<f64> {
    let text = headers.get(UNITS_CHARGED)?.to_str().ok()?;
    let units = text.parse::<f64>().ok()?;
    (units.is_finite() && units > 0.0).then_some(units)
}
