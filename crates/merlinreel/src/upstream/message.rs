//! A job as a server gets it, and what its answer says.

use super::health_check::read_load;
use crate::messages::{Delivery, Parcel};
use crate::upstream::streaming_body::Flow;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use merlinreel_policy::{Ending, Load};
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
pub fn encode(parcel: &Parcel, waits: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(parcel.body.clone()));
    *request.method_mut() = parcel.method.clone();
    *request.uri_mut() = parcel.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&parcel.headers);
    if let Ok(value) = HeaderValue::try_from(format!("{}m", waits.as_millis())) {
        headers.insert(REMAINING, value);
    }
    if !parcel.body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(parcel.body.len()));
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
pub struct Said {
    pub ending: Ending,
    pub units: Option<f64>,
    pub load: Load,
    pub delivery: Option<Delivery>,
}

impl Said {
    pub fn nothing(ending: Ending) -> Said {
        Said {
            ending,
            units: None,
            load: Load::default(),
            delivery: None,
        }
    }
}

/// A whole `body`, or a `flow` in its place.
pub fn decode(mut head: Parts, body: Bytes, flow: Option<Box<Flow>>, loads: bool) -> Said {
    let turned_away = head
        .headers
        .get(TURNED_AWAY)
        .is_some_and(|value| value == "1");
    let ending = match head.status {
        StatusCode::OK => Ending::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => {
            Ending::TurnedAway
        }
        _ => Ending::Error,
    };
    let units = head
        .headers
        .get(UNITS_CHARGED)
        .and_then(|value| value.to_str().ok());
    let units = units
        .and_then(|text| text.parse::<f64>().ok())
        .filter(|units| units.is_finite() && *units > 0.0);
    let load = head.headers.remove(PRESSURE).filter(|_| loads);
    let load = load.map_or_else(Load::default, |value| read_load(value.as_bytes()));
    let delivery = (ending == Ending::Served).then(|| {
        strip_hop_by_hop(&mut head.headers);
        Delivery {
            headers: head.headers,
            body,
            flow,
        }
    });
    Said {
        ending,
        units,
        load,
        delivery,
    }
}
