//! Probes of servers, and the load reports that they and answers bring.

use crate::config::limits::Limits;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::header::{CONNECTION, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use merlinreel_policy::LoadReport;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// What a server says of itself, on a connection of its own; none where it says nothing good.
pub async fn probe(address: SocketAddr, path: &str, limits: &Limits) -> Option<LoadReport> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .header(CONNECTION, "close");
    let request = request.body(Empty::<Bytes>::new()).ok()?;
    let answer = async {
        let answer = sender.send_request(request).await.ok()?;
        let fine = answer.status() == StatusCode::OK;
        let body = Limited::new(answer.into_body(), limits.max_body_bytes)
            .collect()
            .await
            .ok()?
            .to_bytes();
        fine.then(|| read_load(&body))
    };
    // The connection ends with the answer, or with the time for it.
    tokio::select! { load = answer => load, _ = async { let _ = connection.await; std::future::pending::<()>().await } => None }
}

/// A load report; what it does not hold is absent.
pub fn read_load(bytes: &[u8]) -> LoadReport {
    let Ok(fields) = serde_json::from_slice::<HashMap<String, f64>>(bytes) else {
        return LoadReport::default();
    };
    let mut load = LoadReport::default();
    for (name, value) in fields.into_iter().filter(|(_, value)| value.is_finite()) {
        match name.as_str() {
            "inflight" | "busy_reqs" => load.in_flight = Some(value),
            "queue" | "pending" => load.queued = Some(value),
            "util" | "cpu_share" => load.utilization = Some(value),
            "latency_ms" | "svc_ms" => load.service_time_ms = Some(value),
            "qps" | "served_ps" => load.requests_per_second = Some(value),
            "eps" | "failed_ps" => load.errors_per_second = Some(value),
            _ => {}
        }
    }
    load
}
