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

/// Where a server is asked for its load.
const LOAD_PATH: &str = "/metrics/load";
/// Where a server without load reports is asked whether it is alive.
const ALIVE_PATH: &str = "/alive";

/// One health check, on a connection of its own.
pub struct HealthCheck {
    /// The server's index.
    pub server: ServerIndex,
    /// The server's address.
    pub address: SocketAddr,
    /// Whether the response is a load report.
    pub carries_load: bool,
    /// It has failed after this.
    pub timeout: Duration,
    /// Bytes of the response's body.
    pub max_body_bytes: usize,
}

impl HealthCheck {
    /// Makes the check and sends its result to the queue; `permit` is held as long as the connection is open.
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

    /// The load that the server reports; `None` where it does not answer 200.
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
        // The connection ends with the response, or with the time for it.
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
