//! The admin endpoint: HTTP/1.1, one call per connection. `GET /healthcheck` returns 200 while this process serves requests,
//! else 503 (while it starts or shuts down), `GET /stats` the metrics, `GET /mesh` the members of the mesh. Other paths
//! return 404, other methods 405.
//!
//! Each connection has its own task. The head of its call must be complete within [`AdminLimits::call_timeout`], and the
//! connection ends after twice that time, so that a slow caller delays no other. At most
//! [`AdminLimits::max_connections`] are open; a further one closes the oldest.
//!
//! [`AdminLimits::call_timeout`]: crate::config::limits::AdminLimits::call_timeout
//! [`AdminLimits::max_connections`]: crate::config::limits::AdminLimits::max_connections

use crate::config::limits::Limits;
use crate::log;
use crate::net::backoff::Backoff;
use crate::net::late_deadline::timeout_caught_up;
use crate::net::observed_stream::{ObservedStream, Unobserved};
use crate::net::text_response::text_response;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Provides the status that the admin endpoint reports.
pub trait AdminStatus: Send + Sync + 'static {
    /// Whether the process accepts requests: it is neither starting nor shutting down.
    fn is_serving(&self) -> bool;
    /// The text of `/stats`.
    fn stats(&self) -> String;
    /// The members of the mesh as JSON; `None` if this limiter is not a member.
    fn mesh(&self) -> Option<String> {
        None
    }
}

/// Returns the response to one call.
pub fn respond(method: &Method, path: &str, status: &dyn AdminStatus) -> Response<Full<Bytes>> {
    match (path, method == Method::GET) {
        ("/healthcheck" | "/stats" | "/mesh", false) => {
            text_response(StatusCode::METHOD_NOT_ALLOWED, "GET only\n".to_owned())
        }
        ("/healthcheck", true) if status.is_serving() => {
            text_response(StatusCode::OK, "yes\n".to_owned())
        }
        ("/healthcheck", true) => text_response(StatusCode::SERVICE_UNAVAILABLE, "no\n".to_owned()),
        ("/stats", true) => text_response(StatusCode::OK, status.stats()),
        ("/mesh", true) => match status.mesh() {
            Some(text) => text_response(StatusCode::OK, text + "\n"),
            None => text_response(
                StatusCode::NOT_FOUND,
                "this limiter has no section mesh\n".to_owned(),
            ),
        },
        _ => text_response(
            StatusCode::NOT_FOUND,
            "not here: /healthcheck, /stats, /mesh\n".to_owned(),
        ),
    }
}

/// Serves the admin endpoint until the task is dropped.
pub async fn serve(listener: TcpListener, limits: Limits, status: Arc<dyn AdminStatus>) {
    let mut connections: VecDeque<JoinHandle<()>> = VecDeque::new();
    let mut backoff = Backoff::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log!("admin endpoint: cannot accept a connection: {error}; trying again");
                // Without a pause this would be a busy loop while no descriptor is free.
                backoff.pause().await;
                continue;
            }
        };
        backoff.reset();
        connections.retain(|task| !task.is_finished());
        while connections.len() >= limits.admin.max_connections {
            if let Some(oldest) = connections.pop_front() {
                oldest.abort();
            }
        }
        connections.push_back(tokio::spawn(serve_connection(
            stream,
            limits.admin.call_timeout,
            status.clone(),
        )));
    }
}

/// Serves the one call of a connection.
async fn serve_connection(stream: TcpStream, call_timeout: Duration, status: Arc<dyn AdminStatus>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let status = status.clone();
        async move { Ok::<_, Infallible>(respond(request.method(), request.uri().path(), &*status)) }
    });
    let connection = Builder::new()
        .keep_alive(false)
        .timer(TokioTimer::new())
        .header_read_timeout(call_timeout)
        .serve_connection(
            TokioIo::new(ObservedStream::new(stream, Arc::new(Unobserved))),
            service,
        );
    // Also ends a call whose body never ends.
    let _ = timeout_caught_up(call_timeout * 2, connection).await;
}

#[cfg(test)]
mod tests;
