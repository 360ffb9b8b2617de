//! Encodes the event loop's responses as HTTP responses to clients.

use crate::messages::ClientResponse;
use crate::messages::streaming_body::ResponseBody;
use crate::net::text_response::text_response;
use http_body_util::{Either, Full};
use hyper::body::Bytes;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Adds a `Connection: close` header to a response.
pub fn with_connection_close(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Encodes a response decided by the event loop.
pub fn encode(response: ClientResponse) -> Response<ResponseBody> {
    match response {
        ClientResponse::Success(upstream_response) => {
            let body = match upstream_response.streaming_body {
                Some(streaming) => Either::Right(*streaming),
                None => Either::Left(Full::new(upstream_response.body)),
            };
            let mut response = Response::new(body);
            *response.headers_mut() = upstream_response.headers;
            response
        }
        ClientResponse::Rejected(retry_after) => encode_rejected(retry_after).map(Either::Left),
        ClientResponse::Failed => {
            text_response(StatusCode::BAD_GATEWAY, "failed\n".to_owned()).map(Either::Left)
        }
    }
}

/// Encodes a 429 response. Retry-After, if the time is known, is in seconds with three decimals.
fn encode_rejected(retry_after: Option<Duration>) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, String::new());
    let value = retry_after
        .and_then(|wait| HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())).ok());
    if let Some(value) = value {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

#[cfg(test)]
mod tests;
