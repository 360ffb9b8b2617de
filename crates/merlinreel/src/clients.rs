//! Clients' connections: takes jobs in, hands them to the driver, and gives each one answer.

use crate::driver::{Answer, Arrival, News, Parcel, Queue};
use crate::limits::Limits;
use crate::log;
use crate::servers::strip_hop_by_hop;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use merlinreel_core::{Job, Repeats};
use merlinreel_settings::Terms;
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc, oneshot};
use tokio::time::{sleep, timeout, timeout_at};

const TXN: HeaderName = HeaderName::from_static("x-txn");
const LANE: HeaderName = HeaderName::from_static("x-lane");
const PLAN: HeaderName = HeaderName::from_static("x-plan");
const REMAINING: HeaderName = HeaderName::from_static("x-remaining");
const QUOTA: HeaderName = HeaderName::from_static("x-quota");
const RESENT: HeaderName = HeaderName::from_static("x-resent");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Customers' numbers lie under this.
const CUSTOMERS: u64 = 1 << 33;
/// More units than any job may draw: sums of them stay exact.
const MOST_UNITS: f64 = 1e9;

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, String> {
    let value = headers.get(name).ok_or_else(|| format!("{name} is missing"))?;
    value.to_str().map_err(|_| format!("{name} is no text"))
}

/// A number followed by its unit, milliseconds or microseconds.
fn remaining(text: &str) -> Option<Duration> {
    let number = |digits: &str| digits.parse::<u32>().ok().map(u64::from);
    match text.strip_suffix('m') {
        Some(digits) => number(digits).map(Duration::from_millis),
        None => text.strip_suffix('u').and_then(number).map(Duration::from_micros),
    }
}

/// Reads a job from a request's head: its category, customer, plan and quota, and the time the client waits.
pub fn decode(head: &Parts, terms: &Terms) -> Result<Job, String> {
    let path = head.uri.path().trim_start_matches('/');
    let lane = path.split('/').next().unwrap_or(path);
    if let Some(value) = head.headers.get(LANE)
        && value != lane
    {
        return Err("the path and x-lane name two categories".to_owned());
    }
    let category = terms.wire.categories.iter().position(|name| name == lane);
    let category = category.ok_or_else(|| format!("category '{lane}' is unknown"))?;
    let plan = text(&head.headers, &PLAN)?;
    let plan = terms.wire.plans.iter().position(|name| name == plan);
    let plan = plan.ok_or("x-plan: unknown")?;
    text(&head.headers, &TXN)?;
    let referenced = matches!(terms.categories[category].repeats, Repeats::Referenced(..));
    if referenced && !head.headers.contains_key(IDEMPOTENCY_KEY) {
        return Err("idempotency-key is missing".to_owned());
    }
    let pairs = head.uri.query().unwrap_or_default().split('&');
    let key = pairs.filter_map(|pair| pair.strip_prefix("key=")).next().ok_or("key is missing")?;
    let customer = u64::from_str_radix(key, 16).ok().filter(|&number| number < CUSTOMERS);
    let customer = customer.ok_or("key: no customer's number")?;
    let (mut units, mut set_size, mut set_first) = (1.0, 1, 0);
    for pair in text(&head.headers, &QUOTA)?.split(',') {
        let (name, value) = pair.trim().split_once('=').ok_or("x-quota: no name=value")?;
        let number = value.parse::<f64>().ok().filter(|number| (0.0..=MOST_UNITS).contains(number));
        let number = number.ok_or_else(|| format!("x-quota: {name} is no number in range"))?;
        match name {
            "units" => units = number,
            "spread" => set_size = number as u32,
            "first" => set_first = number as u32,
            _ => {}
        }
    }
    if !(1..=terms.peers.limiters).contains(&set_size) || set_first >= terms.peers.limiters {
        return Err(format!("x-quota: no set among {} limiters", terms.peers.limiters));
    }
    let time_left =
        remaining(text(&head.headers, &REMAINING)?).ok_or("x-remaining: no number with m or u")?;
    let again = head.headers.get(RESENT).is_some_and(|value| value == "1");
    Ok(Job { job: 0, customer, plan, category, units, time_left, set_size, set_first, again })
}

fn respond(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

fn last(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// An answer as the client gets it.
fn encode(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Fulfilled(delivery) => {
            let mut response = Response::new(Full::new(delivery.body));
            *response.headers_mut() = delivery.headers;
            response
        }
        Answer::Deferred(wait) => {
            let mut response = respond(StatusCode::TOO_MANY_REQUESTS, String::new());
            let value =
                wait.and_then(|wait| HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())).ok());
            value.map(|value| response.headers_mut().insert(RETRY_AFTER, value));
            response
        }
        Answer::Scrapped => respond(StatusCode::BAD_GATEWAY, "scrapped\n".to_owned()),
    }
}

/// One client's connection.
struct Guest {
    busy: AtomicBool,
    /// It has sent a request before.
    known: AtomicBool,
    /// It was idle and has to give way.
    evicted: AtomicBool,
    idle_since: Mutex<Instant>,
    close: Notify,
    /// A place in the queue for the news that the client has left; it can leave but once.
    leaving: Mutex<Option<mpsc::OwnedPermit<News>>>,
}

impl Guest {
    /// Nothing is likely to be on its way here. Guards against dropping a new connection whose first request
    /// was not read yet: clients send that one again for connections that they used before only.
    fn idles(&self, limits: &Limits) -> bool {
        let set = |flag: &AtomicBool| flag.load(Ordering::Relaxed);
        let settled = if set(&self.known) { limits.client_settled } else { limits.client_silent };
        !set(&self.busy) && !set(&self.evicted) && lock(&self.idle_since).elapsed() >= settled
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
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
        guest.known.store(true, Ordering::Relaxed);
        Hand { door, guest, number: door.in_hand.fetch_add(1, Ordering::Relaxed) }
    }
}

impl Drop for Hand<'_> {
    fn drop(&mut self) {
        self.door.in_hand.fetch_sub(1, Ordering::Relaxed);
        *lock(&self.guest.idle_since) = Instant::now();
        self.guest.busy.store(false, Ordering::Relaxed);
    }
}

/// What all clients' connections share.
pub struct Door {
    limits: Limits,
    terms: Terms,
    queue: Queue,
    tickets: AtomicU64,
    stopping: AtomicBool,
    in_hand: AtomicUsize,
    /// Bytes of bodies that may still be taken in.
    bodies: Arc<Semaphore>,
    guests: Mutex<HashMap<u64, Arc<Guest>>>,
}

impl Door {
    pub fn new(limits: Limits, terms: Terms, queue: Queue) -> Arc<Door> {
        Arc::new(Door {
            bodies: Arc::new(Semaphore::new(limits.bodies)),
            limits,
            terms,
            queue,
            tickets: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            in_hand: AtomicUsize::new(0),
            guests: Mutex::new(HashMap::new()),
        })
    }

    /// Takes connections until the stop, serves on while they come, and returns once nothing is in hand.
    pub async fn attend(self: Arc<Door>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let places = Arc::new(Semaphore::new(self.limits.clients_most));
        tokio::pin!(stop);
        tokio::select! {
            () = self.accept(&listener, &places) => {}
            () = &mut stop => {}
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
            if self.in_hand.load(Ordering::Relaxed) == 0 && self.idle_for(asked) >= self.limits.stop_quiet {
                return;
            }
            sleep(self.limits.stop_quiet / 10).await;
        }
    }

    /// How long nobody has come or asked for anything.
    fn idle_for(&self, since: Instant) -> Duration {
        let guests = lock(&self.guests);
        let last =
            guests.values().map(|guest| *lock(&guest.idle_since)).max().map_or(since, |at| at.max(since));
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
            let guest = Arc::new(Guest {
                busy: AtomicBool::new(false),
                known: AtomicBool::new(false),
                evicted: AtomicBool::new(false),
                idle_since: Mutex::new(Instant::now()),
                close: Notify::new(),
                leaving: Mutex::new(Some(leaving)),
            });
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

    /// Where more are there than are served at once, the connection that has been idle longest gives way.
    fn make_room(&self) {
        let guests = lock(&self.guests);
        if guests.len() < self.limits.clients {
            return;
        }
        let idle = guests.values().filter(|guest| guest.idles(&self.limits));
        if let Some(oldest) = idle.min_by_key(|guest| *lock(&guest.idle_since)) {
            oldest.evicted.store(true, Ordering::Relaxed);
            oldest.close.notify_one();
        }
    }

    async fn serve(self: &Arc<Door>, stream: TcpStream, guest: Arc<Guest>) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            let (door, guest) = (self.clone(), guest.clone());
            async move { Ok::<_, Infallible>(door.request(request, &guest).await) }
        });
        let connection = Builder::new()
            .header_read_timeout(None)
            .max_buf_size(self.limits.head)
            .serve_connection(TokioIo::new(stream), service);
        let (close, turn) = (guest.close.notified(), sleep(Duration::ZERO));
        // One timer a connection that looks when it was last used costs less than one a request.
        let idle = sleep(self.limits.client_idle);
        tokio::pin!(connection, close, turn, idle);
        let (mut closing, mut evicted) = (false, false);
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return,
                // A request may have come in unseen: the poller gets a turn before it is dropped. Guards also
                // against one that never sent anything: asked to close, it would stay.
                () = &mut turn, if evicted => {
                    if !guest.busy.load(Ordering::Relaxed) {
                        return;
                    }
                    evicted = false;
                    connection.as_mut().graceful_shutdown();
                }
                () = &mut idle, if !evicted => {
                    let (busy, since) = (guest.busy.load(Ordering::Relaxed), *lock(&guest.idle_since));
                    if !busy && since.elapsed() >= self.limits.client_idle {
                        evicted = true;
                        turn.as_mut().reset(tokio::time::Instant::now() + Duration::from_millis(1));
                    }
                    let next = if busy { Instant::now() } else { since } + self.limits.client_idle;
                    idle.as_mut().reset(next.max(Instant::now() + Duration::from_millis(1)).into());
                }
                () = &mut close, if !closing => {
                    closing = true;
                    if guest.evicted.load(Ordering::Relaxed) {
                        evicted = true;
                        turn.as_mut().reset(tokio::time::Instant::now() + Duration::from_millis(1));
                        continue;
                    }
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }

    async fn request(&self, request: Request<Incoming>, guest: &Guest) -> Response<Full<Bytes>> {
        // The client's time runs from its sending: this is the earliest that is known of it here.
        let sent = Instant::now();
        if request.uri().path() == "/up" {
            let ready = !self.stopping.load(Ordering::Relaxed);
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return respond(status, String::new());
        }
        let hand = Hand::take(self, guest);
        // The places beyond are kept to say so to whoever comes, at once.
        if hand.number >= self.limits.clients {
            return last(respond(StatusCode::SERVICE_UNAVAILABLE, "too many connections\n".to_owned()));
        }
        self.job(request, guest, sent).await
    }

    async fn job(&self, request: Request<Incoming>, guest: &Guest, sent: Instant) -> Response<Full<Bytes>> {
        let (mut head, body) = request.into_parts();
        let job = match decode(&head, &self.terms) {
            Ok(job) => job,
            Err(what) => return last(respond(StatusCode::BAD_REQUEST, what + "\n")),
        };
        let until = sent + job.time_left;
        let mut room = None;
        let body = if body.is_end_stream() {
            Bytes::new()
        } else {
            let (most, length) = (self.limits.body, body.size_hint().lower());
            if length > most as u64 {
                return last(respond(StatusCode::PAYLOAD_TOO_LARGE, String::new()));
            }
            // Guards the memory against many large bodies at once.
            let Ok(taken) = self.bodies.clone().try_acquire_many_owned(length as u32) else {
                return last(respond(StatusCode::SERVICE_UNAVAILABLE, "too much in hand\n".to_owned()));
            };
            room = Some(taken);
            match timeout_at(until.into(), Limited::new(body, most).collect()).await {
                Ok(Ok(body)) => body.to_bytes(),
                Ok(Err(error)) if error.is::<LengthLimitError>() => {
                    return last(respond(StatusCode::PAYLOAD_TOO_LARGE, String::new()));
                }
                Ok(Err(error)) => return last(respond(StatusCode::BAD_REQUEST, format!("{error}\n"))),
                Err(_) => return last(respond(StatusCode::REQUEST_TIMEOUT, String::new())),
            }
        };
        strip_hop_by_hop(&mut head.headers);
        // Servers get the path alone, whichever form the client's target had.
        let uri = match head.uri.authority() {
            Some(_) => head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default(),
            None => head.uri,
        };
        let parcel = Parcel { method: head.method, uri, headers: head.headers, body, room };
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (answer, answered) = oneshot::channel();
        let arrival = Arrival { ticket, job, until, parcel, answer };
        let mut attending = Attending { guest, ticket: Some(ticket) };
        if self.queue.send(News::Arrival(Box::new(arrival))).await.is_err() {
            return last(respond(StatusCode::SERVICE_UNAVAILABLE, String::new()));
        }
        let answer = answered.await;
        attending.ticket = None;
        match answer {
            Ok(answer) => encode(answer),
            // The driver has ended; nothing is known of the job.
            Err(_) => last(respond(StatusCode::BAD_GATEWAY, String::new())),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use merlinreel_settings::Paths;
    use serde_json::json;
    use test_case::test_case;

    const URI: &str = "/put?key=00000000b4d65521";
    const HEADERS: [(&str, &str); 6] = [
        ("x-txn", "9b"),
        ("x-lane", "put"),
        ("x-plan", "team"),
        ("x-remaining", "480m"),
        ("idempotency-key", "5c"),
        ("x-quota", "units=2,spread=2,first=1,odd=4"),
    ];

    fn read(uri: &str, changed: (&str, &str)) -> Result<Job, String> {
        let settings = json!({"balancers": 3, "packages": [{"name": "solo"}, {"name": "team"}], "classes": [
            {"name": "look", "idempotency": "read_like"},
            {"name": "put", "idempotency": "idempotency_key", "group": "all"}]});
        let terms = Terms::read(&Paths::from_json(&settings)?)?;
        let mut request = Request::post(uri);
        for (name, value) in HEADERS.iter().filter(|(name, _)| *name != changed.0).chain([&changed]) {
            if !value.is_empty() {
                request = request.header(*name, *value);
            }
        }
        let (head, ()) = request.body(()).expect("sound").into_parts();
        decode(&head, &terms)
    }

    #[test]
    fn a_job_is_read_from_its_head() {
        let job = read(URI, ("x-resent", "1")).expect("sound");
        assert_eq!((job.customer, job.plan, job.category), (0xb4d6_5521, 1, 1));
        assert_eq!((job.units, job.set_size, job.set_first, job.again), (2.0, 2, 1, true));
        assert_eq!(job.time_left, Duration::from_millis(480));
    }

    #[test_case(URI, ("x-txn", "") => "x-txn is missing" ; "no id")]
    #[test_case(URI, ("x-lane", "look") => "the path and x-lane name two categories" ; "two categories")]
    #[test_case("/odd?key=1", ("x-lane", "") => "category 'odd' is unknown" ; "unknown category")]
    #[test_case(URI, ("x-plan", "gold") => "x-plan: unknown" ; "unknown plan")]
    #[test_case(URI, ("idempotency-key", "") => "idempotency-key is missing" ; "no mark")]
    #[test_case("/put", ("", "") => "key is missing" ; "no customer")]
    #[test_case("/put?key=0000000200000000", ("", "") => "key: no customer's number" ; "customer out of range")]
    #[test_case(URI, ("x-remaining", "480") => "x-remaining: no number with m or u" ; "no unit")]
    #[test_case(URI, ("x-remaining", "-1m") => "x-remaining: no number with m or u" ; "negative time")]
    #[test_case(URI, ("x-quota", "units=nan,spread=1") => "x-quota: units is no number in range" ; "units")]
    #[test_case(URI, ("x-quota", "units=1,spread=0") => "x-quota: no set among 3 limiters" ; "empty set")]
    #[test_case(URI, ("x-quota", "spread=1,first=3") => "x-quota: no set among 3 limiters" ; "set beyond")]
    #[test_case(URI, ("x-quota", "units") => "x-quota: no name=value" ; "no pair")]
    fn what_is_malformed_is_named(uri: &str, changed: (&str, &str)) -> String {
        read(uri, changed).map(|_| ()).expect_err("malformed")
    }

    #[test_case(Answer::Deferred(Some(Duration::from_millis(1250))) => (429, Some("1.250".to_owned())) ; "deferred")]
    #[test_case(Answer::Deferred(None) => (429, None) ; "deferred without advice")]
    #[test_case(Answer::Scrapped => (502, None) ; "scrapped")]
    fn answers(answer: Answer) -> (u16, Option<String>) {
        let response = encode(answer);
        let wait = response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
        (response.status().as_u16(), wait.map(str::to_owned))
    }
}
