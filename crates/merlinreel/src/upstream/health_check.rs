//! Health checks of servers.

use super::load_report::read_load;
use crate::messages::{Event, Queue};
use crate::net::late_deadline::timeout_caught_up;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::handshake;
use hyper::header::{CONNECTION, HOST};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use merlinreel_policy::ServerIndex;
use merlinreel_policy::{HealthCheckResult, LoadReport};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

/// Path of the health check that returns a load report.
const LOAD_PATH: &str = "/metrics/load";
/// Path of the health check of servers that send no load reports.
const ALIVE_PATH: &str = "/alive";

/// One health check of a server, made on a new connection.
pub struct HealthCheck {
    /// Index of the server; the result carries it.
    pub server: ServerIndex,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Whether servers return load reports; selects the path of the check.
    pub carries_load: bool,
    /// The check has failed if the response is not complete after this time.
    pub timeout: Duration,
    /// Maximum size of the response's body; the check fails if it is longer.
    pub max_body_bytes: usize,
}

impl HealthCheck {
    /// Makes the check and sends its result to the queue. `permit` is held while the connection is open.
    pub async fn run(self, permit: OwnedSemaphorePermit, queue: Queue) {
        let started = Instant::now();
        let load = timeout_caught_up(self.timeout, self.fetch_load())
            .await
            .ok()
            .flatten();
        drop(permit);
        let result = HealthCheckResult {
            server: self.server,
            answered: load.is_some(),
            latency: started.elapsed(),
            load: load.unwrap_or_default(),
        };
        let _ = queue.send(Event::HealthCheck(result)).await;
    }

    /// The load in the server's response, empty if it reports none; `None` if there is no complete response with status
    /// 200.
    async fn fetch_load(&self) -> Option<LoadReport> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        let path = if self.carries_load {
            LOAD_PATH
        } else {
            ALIVE_PATH
        };
        let request = Request::get(path)
            .header(HOST, self.address.to_string())
            .header(CONNECTION, "close")
            .body(Empty::<Bytes>::new())
            .ok()?;
        let load = async {
            let response = sender.send_request(request).await.ok()?;
            self.read_response(response).await
        };
        let drive_connection = async {
            let _ = connection.await;
            std::future::pending::<()>().await;
        };
        // The connection is dropped, and so closed, once the response is read or the timeout has passed.
        tokio::select! {
            load = load => load,
            () = drive_connection => None,
        }
    }

    async fn read_response(&self, response: Response<Incoming>) -> Option<LoadReport> {
        let is_ok = response.status() == StatusCode::OK;
        let body = Limited::new(response.into_body(), self.max_body_bytes);
        let bytes = body.collect().await.ok()?.to_bytes();
        is_ok.then(|| read_load(&bytes))
    }
}
