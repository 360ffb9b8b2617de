//! HTTP responses that the limiter generates itself.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Response, StatusCode};

/// Creates a response with this status and a plain text body, which may be empty.
pub fn text_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
