//! Clients' connections: takes jobs in, hands them to the driver, and gives each one answer.

mod guest;
mod hand;
mod intake;
#[cfg(test)]
mod tests;

use crate::claims::Claims;
use crate::figures::{Figures, Outcome, class_of};
use crate::limits::Limits;
use crate::log;
use crate::messages::{Queue, Tuned};
use crate::stream::Tallied;
use guest::{Guest, lock, who_gives_way};
use hand::Flowing;
use http_body_util::Either;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};

/// What all clients' connections share.
pub struct Door {
    limits: Limits,
    /// The settings in force, and each class's index in the module.
    tuned: watch::Receiver<Arc<Tuned>>,
    queue: Queue,
    tickets: AtomicU64,
    stopping: AtomicBool,
    in_hand: AtomicUsize,
    claims: Claims,
    guests: Mutex<HashMap<u64, Arc<Guest>>>,
    figures: Arc<Figures>,
}

impl Door {
    pub fn new(
        limits: Limits,
        tuned: watch::Receiver<Arc<Tuned>>,
        queue: Queue,
        figures: Arc<Figures>,
    ) -> Arc<Door> {
        Arc::new(Door {
            figures,
            claims: Claims::new(&limits),
            limits,
            tuned,
            queue,
            tickets: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            in_hand: AtomicUsize::new(0),
            guests: Mutex::new(HashMap::new()),
        })
    }

    /// A job in hand has ended: its connection rests from now on.
    fn let_go(&self, guest: &Guest) {
        self.in_hand.fetch_sub(1, Ordering::Relaxed);
        let mut times = lock(&guest.times);
        (times.idle, times.heard) = (Instant::now(), None);
        drop(times);
        guest.busy.store(false, Ordering::Relaxed);
    }

    /// Jobs in hand: read whole and not answered, or flowing.
    pub fn in_hand(&self) -> usize {
        self.in_hand.load(Ordering::Relaxed)
    }

    /// Whether jobs are taken: from the start to the stop.
    pub fn serves(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed)
    }

    /// Takes connections until the stop, serves on while they come, and returns once nothing is in hand. A socket
    /// that was `handed` down stays open elsewhere, in the process that follows: it is let go of at the stop.
    pub async fn attend(
        self: Arc<Door>,
        listener: TcpListener,
        handed: bool,
        stop: impl Future<Output = ()>,
    ) {
        let places = Arc::new(Semaphore::new(self.limits.clients_most));
        tokio::pin!(stop);
        tokio::select! {
            () = self.accept(&listener, &places) => {}
            () = &mut stop => {}
        }
        if handed {
            // Guards against taking connections that the next process would serve, up to the end: what waits on
            // the socket stays there for it.
            log!("asked to stop: the socket is the next process's, finishing what is in hand");
            self.stopping.store(true, Ordering::Relaxed);
            drop(listener);
            return self.finish(Instant::now()).await;
        }
        log!("asked to stop: serving on for a moment, then finishing what is in hand");
        self.stopping.store(true, Ordering::Relaxed);
        let (least, most) = (self.limits.stop_least, self.limits.stop_most);
        let asked = Instant::now();
        tokio::select! {
            () = self.accept(&listener, &places) => {}
            () = sleep(most) => {}
            () = async {
                sleep(least).await;
                self.quiet(asked).await;
            } => {}
        }
        // From here on connections are closed between requests; new ones are served once, for a while.
        let finished = self.finish(asked);
        tokio::pin!(finished);
        tokio::select! {
            () = self.accept(&listener, &places) => {}
            () = sleep(self.limits.stop_late) => {}
            () = &mut finished => return,
        }
        drop(listener);
        finished.await;
    }

    /// Closes connections between requests until nothing is in hand.
    async fn finish(&self, asked: Instant) {
        loop {
            lock(&self.guests).values().for_each(|guest| guest.close.notify_one());
            // Nor while the rest of an answer waits for a client that reads slowly.
            let held_up = lock(&self.guests).values().any(|guest| lock(&guest.times).held_up(&self.limits));
            let in_hand = held_up || self.in_hand.load(Ordering::Relaxed) > 0;
            if !in_hand && self.idle_for(asked) >= self.limits.stop_quiet {
                return;
            }
            sleep(self.limits.stop_quiet / 10).await;
        }
    }

    /// How long nobody has come or asked for anything.
    fn idle_for(&self, since: Instant) -> Duration {
        let guests = lock(&self.guests);
        let last = guests.values().map(|guest| {
            let times = lock(&guest.times);
            times.heard.unwrap_or(times.idle)
        });
        let last = last.max().map_or(since, |at| at.max(since));
        last.elapsed()
    }

    async fn quiet(&self, since: Instant) {
        while self.idle_for(since) < self.limits.stop_quiet {
            sleep(self.limits.stop_quiet / 10).await;
        }
    }

    async fn accept(self: &Arc<Door>, listener: &TcpListener, places: &Arc<Semaphore>) {
        loop {
            // Idle connections must not hold all places: looked at before the wait for one, and during it.
            self.make_room();
            let Ok(place) = timeout(self.limits.client_settled, places.clone().acquire_owned()).await else {
                log!("clients: all {} places are taken; new connections wait", self.limits.clients_most);
                continue;
            };
            let Ok(place) = place else { return };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log!("clients: {error}");
                    sleep(Duration::from_millis(10)).await;
                    continue;
                }
            };
            // Its leaving must find room in the queue, whatever else waits there.
            let Ok(leaving) = self.queue.clone().reserve_owned().await else { return };
            let guest = Arc::new(Guest::new(leaving));
            let number = self.tickets.fetch_add(1, Ordering::Relaxed);
            lock(&self.guests).insert(number, guest.clone());
            let door = self.clone();
            tokio::spawn(async move {
                door.serve(stream, guest).await;
                lock(&door.guests).remove(&number);
                drop(place);
            });
        }
    }

    fn make_room(&self) {
        for guest in who_gives_way(lock(&self.guests).values(), &self.limits) {
            guest.evicted.store(true, Ordering::Relaxed);
            guest.close.notify_one();
        }
    }

    async fn serve(self: &Arc<Door>, stream: TcpStream, guest: Arc<Guest>) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            let (door, guest) = (self.clone(), guest.clone());
            async move {
                let (class, up) = (class_of(request.uri().path()).to_owned(), request.uri().path() == "/up");
                let mut answer = door.request(request, &guest).await;
                let status = answer.status().as_u16();
                match answer.body_mut() {
                    Either::Right(flow) => {
                        flow.hold(Box::new(Flowing::new(door.clone(), guest.clone(), class)))
                    }
                    Either::Left(_) if !up => door.figures.answered(&class, Outcome::of(status)),
                    Either::Left(_) => {}
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let connection = Builder::new()
            .header_read_timeout(None)
            .max_buf_size(self.limits.head)
            .serve_connection(TokioIo::new(Tallied::new(stream, guest.clone())), service);
        let (close, turn) = (guest.close.notified(), sleep(Duration::ZERO));
        // One timer a connection that looks when it was last used costs less than one a request.
        let idle = sleep(self.limits.client_whole);
        tokio::pin!(connection, close, turn, idle);
        let (mut closing, mut leaving) = (false, false);
        let soon = || tokio::time::Instant::now() + Duration::from_millis(1);
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return,
                // A request may have come in unseen: the poller gets a turn before it is dropped. Guards also
                // against one that never sent anything: asked to close, it would stay.
                () = &mut turn, if leaving => {
                    if guest.rests(&self.limits) {
                        if lock(&guest.times).heard.is_some() {
                            log!("clients: part of a request, not whole in time: the connection is closed");
                        }
                        return;
                    }
                    leaving = false;
                    connection.as_mut().graceful_shutdown();
                }
                () = &mut idle, if !leaving => {
                    let (now, due) = (Instant::now(), guest.due(&self.limits));
                    if due <= now && guest.rests(&self.limits) {
                        leaving = true;
                        turn.as_mut().reset(soon());
                    }
                    // Part of a request may come at any time: looked at often enough to end it in its time.
                    let next = now + self.limits.client_whole / 4;
                    idle.as_mut().reset(if due > now { due.min(next) } else { next }.into());
                }
                () = &mut close, if !closing => {
                    closing = true;
                    if guest.evicted.load(Ordering::Relaxed) {
                        leaving = true;
                        turn.as_mut().reset(soon());
                        continue;
                    }
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
