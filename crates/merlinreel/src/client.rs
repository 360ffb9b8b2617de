//! Clients' connections: takes jobs in, hands them to the driver, and gives each one answer.

pub mod admission;
mod arrival_times;
mod body;
mod connection;
pub mod decode;
mod framing;
mod in_flight;
mod request_reader;
mod shutdown;
mod stream;
#[cfg(test)]
mod tests;

use crate::client::admission::AdmissionPermits;
use crate::config::limits::Limits;
use crate::log;
use crate::messages::{ActiveSettings, Queue};
use crate::telemetry::metrics::{Metrics, Outcome, class_of};
use connection::{ClientConnection, lock, who_gives_way};
use http_body_util::Either;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use in_flight::Flowing;
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};
use stream::ClientStream;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

type Wire = TokioIo<ClientStream>;

/// What all clients' connections share.
pub struct ClientListener {
    limits: Limits,
    /// The settings in force, and each class's index in the module.
    active_settings: watch::Receiver<Arc<ActiveSettings>>,
    queue: Queue,
    request_ids: AtomicU64,
    /// Whether jobs were taken yet.
    opened: AtomicBool,
    /// When the stop was asked for.
    asked: OnceLock<Instant>,
    /// From some time after that on: answers tell that their connection closes.
    closing: AtomicBool,
    in_flight: AtomicUsize,
    permits: AdmissionPermits,
    client_connections: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    metrics: Arc<Metrics>,
}

impl ClientListener {
    pub fn new(
        limits: Limits,
        active_settings: watch::Receiver<Arc<ActiveSettings>>,
        queue: Queue,
        metrics: Arc<Metrics>,
    ) -> Arc<ClientListener> {
        Arc::new(ClientListener {
            metrics,
            permits: AdmissionPermits::new(&limits),
            limits,
            active_settings,
            queue,
            request_ids: AtomicU64::new(0),
            opened: AtomicBool::new(false),
            asked: OnceLock::new(),
            closing: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            client_connections: Mutex::new(HashMap::new()),
        })
    }

    /// A job in hand has ended: its connection rests from now on.
    fn let_go(&self, client_connection: &ClientConnection) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        client_connection.rest();
        client_connection.busy.store(false, Ordering::Relaxed);
    }

    /// Jobs in hand: read whole and not answered, or flowing.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Whether jobs are taken: from the start to the stop.
    pub fn is_serving(&self) -> bool {
        self.opened.load(Ordering::Relaxed) && self.asked.get().is_none()
    }

    /// Whether an answer tells that its connection closes. Guards requests against crossing the end of their connection,
    /// which their client can only send again; and those that were read behind it against a close with no answer: the
    /// last of them tells it, unless some were dropped or the stop's time is over.
    fn tells_closing(&self, client_connection: &ClientConnection) -> bool {
        let ends = self.closing.load(Ordering::Relaxed)
            || client_connection.evicted.load(Ordering::Relaxed);
        let over = self
            .stops_at()
            .is_some_and(|end| end + self.limits.shutdown.response_grace <= Instant::now());
        client_connection.flooded.load(Ordering::Relaxed)
            || ends && (over || !client_connection.more_was_read())
    }

    fn evict_idle(&self) {
        for client_connection in
            who_gives_way(lock(&self.client_connections).values(), &self.limits)
        {
            client_connection.evict();
        }
    }

    async fn serve(
        self: &Arc<ClientListener>,
        stream: TcpStream,
        client_connection: Arc<ClientConnection>,
    ) {
        let _ = stream.set_nodelay(true);
        let mut io = TokioIo::new(ClientStream::new(
            stream,
            client_connection.clone(),
            &self.limits,
            self.permits.clone(),
        ));
        while let Some(mut rests) = self.serve_on(io, &client_connection).await {
            // The kernel is asked last: what came since the poller looked must not meet the end.
            if !rests.inner().waits() {
                return client_connection.close(rests.inner_mut()).await;
            }
            io = rests;
        }
    }

    /// Serves a connection until its end. Where it is to close between requests it is given back: to be closed, or
    /// served on if something had come. The answer then tells the closing.
    async fn serve_on(
        self: &Arc<ClientListener>,
        io: Wire,
        client_connection: &Arc<ClientConnection>,
    ) -> Option<Wire> {
        let service = service_fn(|request| {
            let (client_listener, client_connection) = (self.clone(), client_connection.clone());
            // Asked here, not in the request's own turn: the next head may have been read by then.
            let (observed, arrived) = (client_connection.observed(), client_connection.arrived());
            client_connection.consume();
            async move {
                let (class, up) = (
                    class_of(request.uri().path()).to_owned(),
                    request.uri().path() == "/up",
                );
                let mut answer = client_listener
                    .request(request, observed, arrived, &client_connection)
                    .await;
                let status = answer.status().as_u16();
                match answer.body_mut() {
                    Either::Right(flow) => flow.set_observer(Box::new(Flowing::new(
                        client_listener.clone(),
                        client_connection.clone(),
                        class,
                    ))),
                    Either::Left(_) if !up => client_listener
                        .metrics
                        .answered(&class, Outcome::of(status)),
                    Either::Left(_) => {}
                }
                if client_listener.tells_closing(&client_connection) {
                    answer
                        .headers_mut()
                        .insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let mut connection = Builder::new()
            .header_read_timeout(None)
            .max_buf_size(self.limits.max_head_bytes)
            .serve_connection(io, service);
        let turn = sleep(Duration::ZERO);
        // One timer a connection that looks when it was last used costs less than one a request.
        let idle = sleep(self.limits.client.request_timeout);
        tokio::pin!(turn, idle);
        let mut leaving = false;
        let soon = || tokio::time::Instant::now() + Duration::from_millis(1);
        loop {
            tokio::select! {
                biased;
                _ = Pin::new(&mut connection) => return None,
                // A request may have come in unseen: the poller gets a turn before it is dropped. Guards also
                // against one that never sent anything: asked to close, it would stay.
                () = &mut turn, if leaving => {
                    if client_connection.closing.load(Ordering::Relaxed) {
                        // It lingers, and gives way.
                        return None;
                    }
                    if client_connection.rests(&self.limits) {
                        if lock(&client_connection.times).heard.is_some() {
                            log!("clients: part of a request, not whole in time: the connection is closed");
                            client_connection.close(connection.into_parts().io.inner_mut()).await;
                            return None;
                        }
                        let parts = connection.into_parts();
                        let mut io = parts.io;
                        io.inner_mut().give_back(parts.read_buf);
                        return Some(io);
                    }
                    // What came has its answer, which tells the closing; asked to shut down, the library would end
                    // a connection that holds half a head.
                    leaving = false;
                }
                () = &mut idle, if !leaving => {
                    let (now, due) = (Instant::now(), client_connection.due(&self.limits));
                    if due <= now && client_connection.rests(&self.limits) {
                        leaving = true;
                        turn.as_mut().reset(soon());
                    }
                    // Part of a request may come at any time: looked at often enough to end it in its time.
                    let next = now + self.limits.client.request_timeout / 4;
                    idle.as_mut().reset(if due > now { due.min(next) } else { next }.into());
                }
                () = client_connection.close.notified(), if !leaving => {
                    leaving = true;
                    turn.as_mut().reset(soon());
                }
            }
        }
    }
}
