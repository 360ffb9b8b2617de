//! The operators' door: HTTP/1.1, one call to a connection. `GET /healthcheck` says whether this process can
//! serve (200, or 503 once it stops); `GET /stats` gives the figures, `GET /mesh` who takes part in the mesh. Another path is 404, another method 405.
//! Each connection is its own task and must bring a whole call within `Limits::ops_call`, so that a caller who
//! stalls delays nobody; at most `Limits::ops_connections` are open, and a newcomer beyond that ends the oldest.

use crate::client::decode::respond;
use crate::config::limits::Limits;
use crate::log;
use crate::net::backoff::Backoff;
use crate::net::observed_stream::{ObservedStream, Unobserved};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// What the door tells: whether the process serves, and the figures as text.
pub trait AdminStatus: Send + Sync + 'static {
    fn is_serving(&self) -> bool;
    fn stats(&self) -> String;
    /// What is known of the mesh, as JSON; none where this limiter takes no part.
    fn mesh(&self) -> Option<String> {
        None
    }
}

/// Answers one call.
pub fn answer(method: &Method, path: &str, status: &dyn AdminStatus) -> Response<Full<Bytes>> {
    match (path, method == Method::GET) {
        ("/healthcheck" | "/stats" | "/mesh", false) => {
            respond(StatusCode::METHOD_NOT_ALLOWED, "GET only\n".to_owned())
        }
        ("/healthcheck", true) if status.is_serving() => {
            respond(StatusCode::OK, "yes\n".to_owned())
        }
        ("/healthcheck", true) => respond(StatusCode::SERVICE_UNAVAILABLE, "no\n".to_owned()),
        ("/stats", true) => respond(StatusCode::OK, status.stats()),
        ("/mesh", true) => match status.mesh() {
            Some(text) => respond(StatusCode::OK, text + "\n"),
            None => respond(
                StatusCode::NOT_FOUND,
                "this limiter has no section mesh\n".to_owned(),
            ),
        },
        _ => respond(
            StatusCode::NOT_FOUND,
            "not here: /healthcheck, /stats, /mesh\n".to_owned(),
        ),
    }
}

/// Serves the door until the task is dropped.
pub async fn attend(listener: TcpListener, limits: Limits, status: Arc<dyn AdminStatus>) {
    let mut open: VecDeque<JoinHandle<()>> = VecDeque::new();
    let mut backoff = Backoff::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log!("ops: {error}");
                // Guards against a loop that spins while descriptors are out.
                backoff.pause().await;
                continue;
            }
        };
        backoff.reset();
        open.retain(|task| !task.is_finished());
        // Guards against callers who hold connections and never call: the oldest gives way to who comes.
        while open.len() >= limits.admin.max_connections {
            open.pop_front().into_iter().for_each(|task| task.abort());
        }
        let status = status.clone();
        let call = limits.admin.call_timeout;
        open.push_back(tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request: Request<Incoming>| {
                let status = status.clone();
                async move {
                    Ok::<_, Infallible>(answer(request.method(), request.uri().path(), &*status))
                }
            });
            let connection = Builder::new()
                .keep_alive(false)
                .timer(TokioTimer::new())
                .header_read_timeout(call)
                .serve_connection(
                    TokioIo::new(ObservedStream::new(stream, Arc::new(Unobserved))),
                    service,
                );
            // A call whose body never ends is cut off, too.
            let _ = timeout(call * 2, connection).await;
        }));
    }
}

#[cfg(test)]
mod tests;
