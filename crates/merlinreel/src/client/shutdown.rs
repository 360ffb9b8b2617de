//! Clients' connections taken, and the planned stop. After the signal clients send on every connection that stays
//! open, and new ones come for a while. So the stop goes in steps: it serves on as before; then each answer tells
//! that its connection closes, and connections that rest are closed between requests; then the socket is let
//! go of, with all that waited on it taken first; and the limiter ends once nobody is left.

use super::ClientListener;
use super::connection::{ClientConnection, lock};
use crate::config::limits::shutdown_deadline;
use crate::log;
use crate::net::backoff::Backoff;
use crate::net::system_errors::concerns_one_connection;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{sleep, timeout};

/// What a new connection needs before it is taken, so that none is dropped half way: a place, and room in the queue
/// for the news that its client left, whatever else waits there.
type Seat = (
    OwnedSemaphorePermit,
    mpsc::OwnedPermit<crate::messages::Event>,
);

/// What a stop still waits for.
struct Remaining {
    /// Any connection at all.
    left: bool,
    /// A request in hand, or an answer that its client has not read yet.
    bound: bool,
}

/// A connection that the kernel gave, handed to the poller.
fn adopt(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

impl ClientListener {
    /// When the last job has its answer, once the stop was asked for.
    pub(super) fn stops_at(&self) -> Option<Instant> {
        self.asked.get().map(|&asked| self.shutdown_deadline(asked))
    }

    /// The same, for a stop that was asked for then.
    fn shutdown_deadline(&self, asked: Instant) -> Instant {
        asked + shutdown_deadline(&self.active_settings.borrow().settings.classes)
    }

    /// Takes connections until the stop, serves on while they come, and returns once nobody is left. A socket that
    /// was `handed` down stays open elsewhere, in the process that follows: it is let go of at the stop.
    pub async fn attend(
        self: Arc<ClientListener>,
        listener: TcpListener,
        handed: bool,
        stop: impl Future<Output = ()>,
    ) {
        let places = Arc::new(Semaphore::new(self.limits.client.max_connections));
        self.opened.store(true, Ordering::Relaxed);
        tokio::pin!(stop);
        tokio::select! {
            () = self.accept(&listener, &places) => {}
            () = &mut stop => {}
        }
        let asked = *self.asked.get_or_init(Instant::now);
        if handed {
            // Guards against taking connections that the next process would serve, up to the end: what waits on
            // the socket stays there for it.
            log!("asked to stop: the socket is the next process's, finishing what is in hand");
            drop(listener);
            self.closing.store(true, Ordering::Relaxed);
            return self.empty(Duration::ZERO).await;
        }
        log!("asked to stop: serving on for a moment, then finishing what is in hand");
        tokio::select! {
            () = self.accept(&listener, &places) => {}
            () = sleep(self.limits.shutdown.announce_after) => {}
        }
        self.closing.store(true, Ordering::Relaxed);
        // Short of the end, so that what is taken last has its answer.
        let shuts = self
            .shutdown_deadline(asked)
            .checked_sub(self.limits.shutdown.quiet_period)
            .unwrap_or(asked);
        let late = self
            .limits
            .shutdown
            .accept_for
            .min(shuts.saturating_duration_since(Instant::now()));
        tokio::select! {
            () = self.accept(&listener, &places) => {}
            () = sleep(late) => {}
            () = self.empty(self.limits.shutdown.quiet_period) => {}
        }
        // Meanwhile those that rest make room for those that wait.
        tokio::select! {
            swept = self.take_waiting(listener, &places) => if let Err(error) = swept {
                log!("clients: connections that wait can't be taken at the stop: {error}");
            },
            () = self.go_on_emptying() => {}
        }
        self.empty(Duration::ZERO).await;
    }

    /// Has connections close between requests without end.
    async fn go_on_emptying(&self) {
        loop {
            self.evict_resting();
            sleep(self.limits.shutdown.quiet_period / 20).await;
        }
    }

    /// Has connections close between requests until none is left, and none has come for `quiet`; once the stop's
    /// time is over, until nothing is in hand.
    async fn empty(&self, quiet: Duration) {
        let mut since = Instant::now();
        loop {
            let Remaining { left, bound } = self.evict_resting();
            let over = self.stops_at().is_some_and(|end| end <= Instant::now());
            if left && (bound || !over) {
                since = Instant::now();
            } else if since.elapsed() >= quiet {
                return;
            }
            sleep(self.limits.shutdown.quiet_period / 20).await;
        }
    }

    /// Has the connections that rest close, and tells what remains.
    fn evict_resting(&self) -> Remaining {
        let closes = self
            .asked
            .get()
            .map(|&asked| asked + self.limits.shutdown.close_idle_after);
        let late = closes.is_some_and(|at| at <= Instant::now());
        let mut remaining = Remaining {
            left: false,
            bound: self.in_flight() > 0,
        };
        for client_connection in lock(&self.client_connections).values() {
            remaining.left = true;
            if client_connection.may_go(&self.limits, late) {
                client_connection.evict();
            }
            // Nor while the rest of an answer waits for a client that reads slowly.
            remaining.bound |= lock(&client_connection.times).held_up(&self.limits);
        }
        remaining
    }

    async fn accept(self: &Arc<ClientListener>, listener: &TcpListener, places: &Arc<Semaphore>) {
        let mut backoff = Backoff::default();
        loop {
            let Some(seat) = self.seat(places).await else {
                return;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    backoff.reset();
                    self.admit(stream, seat);
                }
                Err(error) => {
                    log!("clients: {error}");
                    if !concerns_one_connection(&error) {
                        backoff.pause().await;
                    }
                }
            }
        }
    }

    /// Takes all connections that wait on the socket, then lets go of it. Guards them against the end of the
    /// socket: the kernel resets what waits there, the requests on it unread. Where they can't be taken just then, for
    /// want of descriptors or memory, it goes on trying until the stop's end.
    pub(super) async fn take_waiting(
        self: &Arc<ClientListener>,
        listener: TcpListener,
        places: &Arc<Semaphore>,
    ) -> io::Result<()> {
        // Asked of the kernel itself: the poller may not have told of the last ones yet.
        let listener = listener.into_std()?;
        let mut backoff = Backoff::default();
        while let Some(seat) = self.seat(places).await {
            match listener.accept().and_then(|(stream, _)| adopt(stream)) {
                Ok(stream) => {
                    backoff.reset();
                    self.admit(stream, seat);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if concerns_one_connection(&error) => {}
                Err(error) if self.stops_at().is_some_and(|end| end <= Instant::now()) => {
                    return Err(error);
                }
                Err(_) => backoff.pause().await,
            }
        }
        Ok(())
    }

    /// A seat for the next connection, once there is one; none where the driver has ended.
    async fn seat(&self, places: &Arc<Semaphore>) -> Option<Seat> {
        let place = loop {
            // Idle connections must not hold all places: looked at before the wait for one, and during it.
            self.evict_idle();
            match timeout(
                self.limits.client.evict_idle_after,
                places.clone().acquire_owned(),
            )
            .await
            {
                Ok(place) => break place.ok()?,
                Err(_) => {
                    log!(
                        "clients: all {} places are taken; new connections wait",
                        self.limits.client.max_connections
                    )
                }
            }
        };
        Some((place, self.queue.clone().reserve_owned().await.ok()?))
    }

    /// Serves a connection in a task of its own.
    fn admit(self: &Arc<ClientListener>, stream: TcpStream, (place, leaving): Seat) {
        let client_connection = Arc::new(ClientConnection::new(leaving));
        let number = self.request_ids.fetch_add(1, Ordering::Relaxed);
        lock(&self.client_connections).insert(number, client_connection.clone());
        let client_listener = self.clone();
        tokio::spawn(async move {
            client_listener.serve(stream, client_connection).await;
            lock(&client_listener.client_connections).remove(&number);
            drop(place);
        });
    }
}
