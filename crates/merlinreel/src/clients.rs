//! Clients' connections: takes jobs in, hands them to the driver, and gives each one answer.

use crate::claims::Claims;
use crate::decode::{TXN, decode, encode, last, respond};
use crate::driver::{Arrival, News, Parcel, Queue, Tuned};
use crate::figures::{Figures, Outcome, class_of};
use crate::flow::{Held, Reply};
use crate::limits::Limits;
use crate::log;
use crate::servers::strip_hop_by_hop;
use crate::stream::{Tallied, Tally};
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use merlinreel_core::Job;

use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc, oneshot, watch};
use tokio::time::{sleep, timeout, timeout_at};

/// One client's connection.
struct Guest {
    busy: AtomicBool,
    /// Requests that it sent before.
    requests: AtomicUsize,
    /// It was idle and has to give way.
    evicted: AtomicBool,
    times: Mutex<Times>,
    close: Notify,
    /// A place in the queue for the news that the client has left; it can leave but once.
    leaving: Mutex<Option<mpsc::OwnedPermit<News>>>,
}

/// Since when it waits for a request, since when part of one is there, and since when the rest of an answer waits
/// for the client to read on.
struct Times {
    idle: Instant,
    heard: Option<Instant>,
    held_up: Option<Instant>,
}

impl Times {
    /// Guards the end of an answer to a client that reads slowly: the job is answered, but its last bytes wait
    /// here. Who takes none of them for as long as a connection may be idle has gone.
    fn held_up(&self, limits: &Limits) -> bool {
        self.held_up.is_some_and(|since| since.elapsed() < limits.client_idle)
    }
}

impl Guest {
    fn new(leaving: mpsc::OwnedPermit<News>) -> Guest {
        Guest {
            busy: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
            evicted: AtomicBool::new(false),
            times: Mutex::new(Times { idle: Instant::now(), heard: None, held_up: None }),
            close: Notify::new(),
            leaving: Mutex::new(Some(leaving)),
        }
    }

    /// The request after this must be whole by then, or the connection closes. Guards the places against who
    /// never sends one, or never ends it.
    fn due(&self, limits: &Limits) -> Instant {
        let times = lock(&self.times);
        match (self.requests.load(Ordering::Relaxed), times.heard) {
            (0, _) | (1, None) => times.idle + limits.client_whole,
            (_, Some(heard)) => heard + limits.client_whole,
            (_, None) => times.idle + limits.client_idle,
        }
    }

    /// Nothing is likely to be on its way here. Guards against dropping a new connection whose first request was
    /// not read yet: clients send that one again for connections that they used before only.
    fn rests(&self, limits: &Limits) -> bool {
        let times = lock(&self.times);
        if times.held_up(limits) {
            return false;
        }
        let settled = match (times.heard, self.requests.load(Ordering::Relaxed)) {
            (Some(_), _) => limits.client_unended,
            (None, 0) => limits.client_silent,
            (None, _) => limits.client_settled,
        };
        !self.busy.load(Ordering::Relaxed) && times.heard.unwrap_or(times.idle).elapsed() >= settled
    }

    /// Who gives way first: who never asked, then who asked once, then the others, the longest idle before.
    /// Guards those that come back against crowds that stay.
    fn rank(&self) -> (usize, Instant) {
        (self.requests.load(Ordering::Relaxed).min(2), lock(&self.times).idle)
    }
}

impl Tally for Guest {
    fn read(&self, _: usize) {
        if !self.busy.load(Ordering::Relaxed) {
            lock(&self.times).heard.get_or_insert_with(Instant::now);
        }
    }

    fn wrote(&self, _: usize) {
        let mut times = lock(&self.times);
        if times.held_up.take().is_some() {
            // It rests from the last byte on.
            times.idle = Instant::now();
        }
    }

    fn held_up(&self) {
        // From the first time on: a write is tried again at every turn, read on or not.
        lock(&self.times).held_up.get_or_insert_with(Instant::now);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// As many idle connections as are there beyond what may stay idle; one that comes back only where all places are
/// taken. Guards against a front that holds so many connections and no more, which crowds that stay would fill.
fn who_gives_way<'a>(
    guests: impl ExactSizeIterator<Item = &'a Arc<Guest>>,
    limits: &Limits,
) -> Vec<&'a Guest> {
    let all = guests.len() + 1;
    if all <= limits.clients_kept {
        return Vec::new();
    }
    // What was asked before to give way may still be there.
    let (leaving, staying): (Vec<_>, Vec<_>) =
        guests.map(Arc::as_ref).partition(|guest| guest.evicted.load(Ordering::Relaxed));
    let mut idle: Vec<&Guest> = staying.into_iter().filter(|guest| guest.rests(limits)).collect();
    if all <= limits.clients_most {
        idle.retain(|guest| guest.requests.load(Ordering::Relaxed) < 2);
    }
    idle.sort_unstable_by_key(|guest| guest.rank());
    idle.truncate((all - limits.clients_kept).saturating_sub(leaving.len()));
    idle
}

/// Tells the driver that the client has left, unless its job has been answered.
struct Attending<'a> {
    guest: &'a Guest,
    ticket: Option<u64>,
}

impl Drop for Attending<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket
            && let Some(place) = lock(&self.guest.leaving).take()
        {
            place.send(News::Left(ticket));
        }
    }
}

/// A request in hand, answered or left at its end.
struct Hand<'a> {
    door: &'a Door,
    guest: &'a Guest,
    /// How many there were before it.
    number: usize,
}

impl<'a> Hand<'a> {
    fn take(door: &'a Door, guest: &'a Guest) -> Hand<'a> {
        guest.busy.store(true, Ordering::Relaxed);
        guest.requests.fetch_add(1, Ordering::Relaxed);
        Hand { door, guest, number: door.in_hand.fetch_add(1, Ordering::Relaxed) }
    }
}

impl Drop for Hand<'_> {
    fn drop(&mut self) {
        self.door.let_go(self.guest);
    }
}

/// Keeps a client's connection busy, and its answer in hand, while a long answer flows on it. Guards the answer
/// against a connection that looks idle once its request is answered at the head, and is closed under the body,
/// and against a stop that ends the process with nothing else in hand.
struct Flowing {
    door: Arc<Door>,
    guest: Arc<Guest>,
    class: String,
}

impl Flowing {
    fn new(door: Arc<Door>, guest: Arc<Guest>, class: String) -> Flowing {
        guest.busy.store(true, Ordering::Relaxed);
        door.in_hand.fetch_add(1, Ordering::Relaxed);
        Flowing { door, guest, class }
    }
}

impl Held for Flowing {
    /// An answer that the limiter began and could not complete has failed.
    fn ended(self: Box<Self>, whole: bool) {
        let outcome = if whole { Outcome::Served } else { Outcome::Failed };
        self.door.figures.answered(&self.class, outcome);
    }
}

impl Drop for Flowing {
    fn drop(&mut self) {
        self.door.let_go(&self.guest);
    }
}

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

    async fn request(&self, request: Request<Incoming>, guest: &Guest) -> Response<Reply> {
        // The client's time runs from its sending: this is the earliest that is known of it here.
        let sent = Instant::now();
        if request.uri().path() == "/up" {
            let ready = !self.stopping.load(Ordering::Relaxed);
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return respond(status, String::new()).map(Either::Left);
        }
        // The whole request must be there by then, whatever time the client claims to have.
        let due = guest.due(&self.limits).min(sent + self.limits.client_whole);
        guest.read(0);
        let (job, parcel) = match self.read(request, sent, due).await {
            Ok(whole) => whole,
            Err(answer) => return last(answer).map(Either::Left),
        };
        let hand = Hand::take(self, guest);
        // The places beyond are kept to say so to whoever comes, at once.
        if hand.number >= self.limits.clients {
            return last(respond(StatusCode::SERVICE_UNAVAILABLE, "too many connections\n".to_owned()))
                .map(Either::Left);
        }
        self.job(job, parcel, sent + job.time_left, guest).await
    }

    /// The whole of a request, or what is wrong with it. Until it is there nothing is taken, so that one that is
    /// never whole can give way to others.
    async fn read(
        &self,
        request: Request<Incoming>,
        sent: Instant,
        due: Instant,
    ) -> Result<(Job, Parcel), Response<Full<Bytes>>> {
        let (mut head, body) = request.into_parts();
        // A job keeps the rules that were in force when it came, whatever is read later.
        let tuned = self.tuned.borrow().clone();
        let mut job =
            decode(&head, &tuned.terms).map_err(|what| respond(StatusCode::BAD_REQUEST, what + "\n"))?;
        job.category = tuned.indices[job.category];
        let mut room = None;
        let body = if body.is_end_stream() {
            Bytes::new()
        } else {
            let (most, length) = (self.limits.body, body.size_hint().lower());
            if length > most as u64 {
                log!("clients: a body of {length} bytes is longer than {most}: 413");
                return Err(respond(StatusCode::PAYLOAD_TOO_LARGE, String::new()));
            }
            // Guards the memory against many large bodies at once.
            room = self.claims.body(length as usize);
            if room.is_none() {
                return Err(respond(StatusCode::SERVICE_UNAVAILABLE, "too much in hand\n".to_owned()));
            }
            // Guards the place against a body that never ends.
            let due = due.min(sent + job.time_left);
            match timeout_at(due.into(), Limited::new(body, most).collect()).await {
                Ok(Ok(body)) => body.to_bytes(),
                Ok(Err(error)) => return Err(respond(StatusCode::BAD_REQUEST, format!("{error}\n"))),
                Err(_) => {
                    log!("clients: a body of {length} bytes was not whole in time: 408");
                    return Err(respond(StatusCode::REQUEST_TIMEOUT, String::new()));
                }
            }
        };
        let id = head.headers.get(TXN).and_then(|id| self.claims.open(id, room));
        let claim =
            id.ok_or_else(|| respond(StatusCode::CONFLICT, "x-txn: such a job is open\n".to_owned()))?;
        strip_hop_by_hop(&mut head.headers);
        // Servers get the path alone, whichever form the client's target had.
        let uri = match head.uri.authority() {
            Some(_) => head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default(),
            None => head.uri,
        };
        let claim = Some(claim);
        Ok((job, Parcel { method: head.method, uri, headers: head.headers, body, claim }))
    }

    async fn job(&self, job: Job, parcel: Parcel, until: Instant, guest: &Guest) -> Response<Reply> {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (answer, answered) = oneshot::channel();
        let arrival = Arrival { ticket, job, until, parcel, answer };
        let mut attending = Attending { guest, ticket: Some(ticket) };
        if self.queue.send(News::Arrival(Box::new(arrival))).await.is_err() {
            return last(respond(StatusCode::SERVICE_UNAVAILABLE, String::new())).map(Either::Left);
        }
        let answer = answered.await;
        attending.ticket = None;
        match answer {
            Ok(answer) => encode(answer),
            // The driver has ended; nothing is known of the job.
            Err(_) => last(respond(StatusCode::BAD_GATEWAY, String::new())).map(Either::Left),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use merlinreel_settings::{Paths, Terms};
    use test_case::test_case;

    /// A connection with so many requests behind it, idle for so many seconds, perhaps with part of one there.
    fn guest(requests: usize, idle: f64, heard: Option<f64>) -> Arc<Guest> {
        let (queue, _news) = mpsc::channel(1);
        let guest = Guest::new(queue.try_reserve_owned().expect("a place"));
        guest.requests.store(requests, Ordering::Relaxed);
        let ago = |seconds: f64| Instant::now() - Duration::from_secs_f64(seconds);
        *lock(&guest.times) = Times { idle: ago(idle), heard: heard.map(ago), held_up: None };
        Arc::new(guest)
    }

    fn terms() -> Terms {
        Paths::from_json(&serde_json::json!({})).and_then(|paths| Terms::read(&paths)).expect("sound")
    }

    fn limits() -> Limits {
        Limits::new(1024, 192, &terms()).expect("room")
    }

    /// Asked to give way, with a first request that came in unseen: it has its answer.
    #[tokio::test]
    async fn what_came_in_unseen_is_answered() -> std::io::Result<()> {
        use std::io::{Read, Write};
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let mut client = std::net::TcpStream::connect(listener.local_addr()?)?;
        client.write_all(b"GET /up HTTP/1.1\r\n\r\n")?;
        let (stream, _) = listener.accept()?;
        stream.set_nonblocking(true)?;
        let (queue, _news) = mpsc::channel(1);
        let asked = guest(0, 1.0, None);
        asked.evicted.store(true, Ordering::Relaxed);
        asked.close.notify_one();
        Door::new(limits(), watch::channel(Arc::new(Tuned::first(terms()))).1, queue, Figures::new(&[]))
            .serve(TcpStream::from_std(stream)?, asked)
            .await;
        let mut answer = String::new();
        client.read_to_string(&mut answer)?;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        Ok(())
    }

    /// Held up since so many seconds, and tried again just now. Guards the places, and a stop, against a client that
    /// never reads: each try that fails is not a new beginning.
    #[test_case(5.0 => false ; "it may read on")]
    #[test_case(11.0 => true ; "it has gone")]
    fn a_reader_that_takes_nothing_gives_way(since: f64) -> bool {
        let one = guest(1, 20.0, None);
        lock(&one.times).held_up = Some(Instant::now() - Duration::from_secs_f64(since));
        one.held_up();
        one.rests(&limits())
    }

    /// An answer of more than the kernel holds, to a client that takes far longer for it than a connection may be
    /// without a second request: it gets all. Guards against closing the connection under the last bytes.
    #[tokio::test]
    async fn a_slow_reader_gets_the_whole_of_its_answer() -> std::io::Result<()> {
        use std::io::{Read, Write};
        const LENGTH: usize = 24 << 20;
        let settings = serde_json::json!({"packages": [{"name": "team"}], "balancers": 1, "classes":
            [{"name": "look", "idempotency": "read_like", "hardLimitS": 9}]});
        let terms = Paths::from_json(&settings).and_then(|paths| Terms::read(&paths)).expect("sound");
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let mut client = std::net::TcpStream::connect(listener.local_addr()?)?;
        client.write_all(
            b"GET /look?key=7 HTTP/1.1\r\nX-Txn: 9b\r\nX-Lane: look\r\nX-Plan: team\r\nX-Remaining: 8000m\r\nX-Quota: units=1,spread=1,first=0\r\n\r\n",
        )?;
        let (stream, _) = listener.accept()?;
        stream.set_nonblocking(true)?;
        let (queue, mut news) = mpsc::channel(9);
        let limits = Limits { client_whole: Duration::from_millis(40), ..limits() };
        let door =
            Door::new(limits, watch::channel(Arc::new(Tuned::first(terms))).1, queue, Figures::new(&[]));
        let one = guest(0, 0.0, None);
        tokio::spawn(async move {
            door.serve(TcpStream::from_std(stream)?, one).await;
            std::io::Result::Ok(())
        });
        let Some(News::Arrival(arrival)) = news.recv().await else { panic!("no job") };
        let body = Bytes::from(vec![b'x'; LENGTH]);
        let delivery = crate::driver::Delivery { headers: Default::default(), body, flow: None };
        arrival.answer.send(crate::driver::Answer::Fulfilled(delivery)).expect("a client that waits");
        let read = tokio::task::spawn_blocking(move || {
            std::thread::sleep(Duration::from_millis(400));
            let mut answer = Vec::new();
            client.read_to_end(&mut answer).map(|_| answer.len())
        });
        assert!(read.await.expect("read")? > LENGTH);
        Ok(())
    }

    #[test_case(7, 9 => Vec::<usize>::new() ; "nobody where there is room")]
    #[test_case(6, 9 => vec![3] ; "who never asked first")]
    #[test_case(3, 9 => vec![3, 1, 2] ; "then who asked once, the longest idle first")]
    #[test_case(2, 6 => vec![3, 1, 2, 0] ; "who comes back where all places are taken")]
    fn who_leaves_for_others(kept: usize, places: usize) -> Vec<usize> {
        let limits = Limits {
            clients_kept: kept,
            clients_most: places,
            client_unended: Duration::from_secs(9),
            ..limits()
        };
        let mut guests =
            vec![guest(9, 5.0, None), guest(1, 4.0, None), guest(1, 3.0, None), guest(0, 1.0, None)];
        // With its first request under way, and with one in hand.
        guests.extend([guest(0, 0.2, Some(0.2)), guest(9, 4.0, None)]);
        guests[5].busy.store(true, Ordering::Relaxed);
        let chosen = who_gives_way(guests.iter(), &limits);
        let place = |one: &Guest| guests.iter().position(|guest| std::ptr::eq(guest.as_ref(), one));
        chosen.into_iter().filter_map(place).collect()
    }
}
