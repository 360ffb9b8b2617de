//! Encodes requests to servers and decodes their responses.

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

/// Request header: how long the limiter waits for the response, in milliseconds with the suffix `m`.
const REMAINING_TIME: HeaderName = HeaderName::from_static("x-remaining");
/// Response header: `1` if the server rejected the request without running it.
const REJECTED: HeaderName = HeaderName::from_static("x-turned-away");
/// Response header: the server's load report, as JSON.
pub const LOAD: HeaderName = HeaderName::from_static("x-pressure");
/// Response header: the quota units that the server charged for the request.
const UNITS_CHARGED: HeaderName = HeaderName::from_static("x-units-charged");

/// The minimum number of bytes of a request on the wire.
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

/// Builds the HTTP request to a server. The remaining time is added, and the length of a body that is not empty;
/// everything else is the client's.
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

/// Removes the hop-by-hop headers, which apply to one connection only, and `Content-Length`, which is set again from
/// the body.
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

/// The result of an attempt, as decoded from the server's response.
pub struct DecodedResponse {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The quota units that the server charged; `None` if the response has no positive, finite number of them.
    pub units: Option<f64>,
    /// The server's load; empty if the response carries no load report.
    pub load: LoadReport,
    /// The response for the client; `None` unless the attempt succeeded.
    pub upstream_response: Option<UpstreamResponse>,
}

impl DecodedResponse {
    /// The result of an attempt without a response.
    pub fn without_response(outcome: AttemptOutcome) -> DecodedResponse {
        DecodedResponse {
            outcome,
            units: None,
            load: LoadReport::default(),
            upstream_response: None,
        }
    }
}

/// Decodes a response. Its body is either complete in `body`, or it is `streaming_body` and `body` is empty. Without
/// `carries_load` a load report is ignored.
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

/// Only status 503 or 504 together with the header [`REJECTED`] proves that the server did not run the request; the
/// header alone proves nothing.
fn decode_outcome(head: &Parts) -> AttemptOutcome {
    let has_rejected_header = head.headers.get(REJECTED).is_some_and(|value| value == "1");
    match head.status {
        StatusCode::OK => AttemptOutcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if has_rejected_header => {
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
