//! Trips to servers: the pool of connections, and one task for each of them. A connection carries one
//! trip at a time; nothing is ever sent again by itself.

use crate::answers::Room;
use crate::figures::{Figures, class_of};
use crate::flow::Flow;
use crate::limits::Limits;
use crate::log;
use crate::messages::{Delivery, News, Parcel, Queue, RosterNews, TripNews};
use crate::stream::{Tallied, Tally};
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::{Body, Bytes, SizeHint};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use merlinreel_core::{Ending, Load, ProbeAnswer, Roster, RosterEntry, Standing, mark};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{sleep, sleep_until, timeout};

/// One trip to make.
#[derive(Debug)]
pub struct Errand {
    pub serial: u64,
    pub parcel: Arc<Parcel>,
    pub started: Instant,
    /// The limiter stops waiting then.
    pub until: Instant,
}

#[derive(Debug)]
enum Order {
    Carry(Errand),
    Abandon(u64),
}

/// The driver's hold on one connection; the connection closes once it is let go of.
#[derive(Debug)]
pub struct Link {
    orders: mpsc::Sender<Order>,
    address: SocketAddr,
}

impl Link {
    /// Closes the connection of that trip, if it still carries it.
    pub fn abandon(&self, serial: u64) {
        let _ = self.orders.try_send(Order::Abandon(serial));
    }
}

struct Place {
    /// As it was listed last.
    entry: RosterEntry,
    address: SocketAddr,
    /// With the time since when, the newest last.
    idle: Vec<(Instant, Link)>,
}

impl Place {
    fn stands(&self) -> bool {
        self.entry.standing != Standing::Gone
    }

    /// No trip goes there any more.
    fn leave(&mut self) {
        self.entry.standing = Standing::Gone;
        self.idle.clear();
    }

    /// The newest idle connection that is settled, so that few are kept; else the oldest. Guards trips against
    /// servers that end a connection behind an answer, where the end crosses the next trip.
    fn take(&mut self, now: Instant, settled: Duration) -> Option<Link> {
        let i = self.idle.iter().rposition(|(since, _)| now.duration_since(*since) >= settled).unwrap_or(0);
        (i < self.idle.len()).then(|| self.idle.remove(i).1)
    }
}

/// The servers by index, with their idle connections.
pub struct Servers {
    limits: Limits,
    zones: Vec<String>,
    loads_in_answers: bool,
    room: Room,
    loads_in_probes: bool,
    probes: bool,
    names: HashMap<String, u32>,
    places: Vec<Place>,
    /// Indices of servers that were forgotten.
    free: Vec<u32>,
    slots: Arc<Semaphore>,
    queue: Queue,
    figures: Arc<Figures>,
}

impl Servers {
    pub fn new(
        limits: Limits,
        terms: &merlinreel_settings::Terms,
        queue: Queue,
        figures: Arc<Figures>,
    ) -> Servers {
        Servers {
            figures,
            zones: terms.wire.zones.clone(),
            loads_in_answers: terms.wire.loads_in_answers,
            room: Room::new(&limits),
            loads_in_probes: terms.wire.loads_in_probes,
            probes: terms.servers.probes,
            names: HashMap::new(),
            places: Vec::new(),
            free: Vec::new(),
            slots: Arc::new(Semaphore::new(limits.servers)),
            limits,
            queue,
        }
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Maps names to indices at the door; a server keeps its index until the module forgets it.
    pub fn list(&mut self, news: RosterNews, restored: bool) -> Roster {
        let mut entries = Vec::with_capacity(news.servers.len());
        if news.whole {
            // Who is not on it is gone.
            self.places.iter_mut().for_each(|place| place.leave());
        }
        for listed in news.servers {
            let zone = self.zones.iter().position(|zone| *zone == listed.zone).unwrap_or_else(|| {
                self.zones.push(listed.zone);
                self.zones.len() - 1
            });
            let mut entry = RosterEntry {
                server: 0,
                mark: mark(&listed.name),
                zone: zone as u32,
                cell: listed.cell,
                standing: listed.standing,
                weight: listed.weight,
                up_since: listed.up_since,
            };
            entry.server = match self.names.get(&listed.name) {
                Some(&server) => server,
                None => {
                    entries.extend(self.replace(listed.address));
                    self.place(listed.name, entry, listed.address)
                }
            };
            let place = &mut self.places[entry.server as usize];
            (place.entry, place.address) = (entry, listed.address);
            if listed.standing != Standing::Up {
                place.idle.clear();
            }
            entries.push(entry);
        }
        Roster { whole: news.whole, restored, unavailable: false, entries }
    }

    /// Guards against trips to a server that is gone, but not told so yet, where another took its address.
    fn replace(&mut self, address: SocketAddr) -> Option<RosterEntry> {
        let before = self.places.iter_mut().find(|place| place.address == address && place.stands())?;
        before.leave();
        Some(before.entry)
    }

    fn place(&mut self, name: String, entry: RosterEntry, address: SocketAddr) -> u32 {
        let server = self.free.pop().unwrap_or(self.places.len() as u32);
        let place = Place { entry, address, idle: Vec::new() };
        match self.places.get_mut(server as usize) {
            Some(old) => *old = place,
            None => self.places.push(place),
        }
        self.names.insert(name, server);
        server
    }

    /// Its index is free for another. Guards the memory against servers replaced without end.
    pub fn forget(&mut self, server: u32) {
        self.names.retain(|_, index| *index != server);
        if let Some(place) = self.places.get_mut(server as usize) {
            place.leave();
            self.free.push(server);
        }
    }

    /// Starts a trip on an idle connection, else on a new one; none where all descriptors are taken.
    pub fn send(&mut self, server: u32, mut errand: Errand) -> Option<Link> {
        let place = self.places.get_mut(server as usize)?;
        while let Some(link) = place.take(errand.started, self.limits.server_settled) {
            if link.address != place.address {
                continue;
            }
            match link.orders.try_send(Order::Carry(errand)) {
                Ok(()) => return Some(link),
                Err(mpsc::error::TrySendError::Closed(Order::Carry(back))) => errand = back,
                Err(_) => return None,
            }
        }
        let address = place.address;
        let slot = self.slot()?;
        // Room for a trip and for taking it back.
        let (orders, received) = mpsc::channel(4);
        let carrier = Carrier {
            orders: received,
            address,
            limits: self.limits.clone(),
            loads: self.loads_in_answers,
            room: self.room.clone(),
            queue: self.queue.clone(),
            figures: self.figures.clone(),
        };
        tokio::spawn(carrier.run(errand, slot));
        Some(Link { orders, address })
    }

    /// With the last place taken the longest idle connection of the fullest pool is let go of, for the next.
    fn slot(&mut self) -> Option<OwnedSemaphorePermit> {
        let slot = self.slots.clone().try_acquire_owned().ok();
        if self.slots.available_permits() == 0 {
            let fullest = self.places.iter_mut().max_by_key(|place| place.idle.len());
            if let Some(place) = fullest.filter(|place| !place.idle.is_empty()) {
                place.idle.remove(0);
            }
        }
        if slot.is_none() {
            log!("no descriptor is free for a connection to a server");
        }
        slot
    }

    /// Takes back a connection whose trip is over.
    pub fn keep(&mut self, server: u32, link: Link) {
        if let Some(place) =
            self.places.get_mut(server as usize).filter(|place| place.address == link.address)
        {
            place.idle.retain(|(_, link)| !link.orders.is_closed());
            place.idle.push((Instant::now(), link));
        }
    }

    pub fn close_idle(&mut self, server: u32) {
        if let Some(place) = self.places.get_mut(server as usize) {
            place.idle.clear();
        }
    }

    pub fn probe(&mut self, server: u32) {
        let Some(address) = self.places.get(server as usize).map(|place| place.address) else { return };
        if !self.probes {
            return;
        }
        let Some(slot) = self.slot() else { return };
        let path = if self.loads_in_probes { "/metrics/load" } else { "/alive" };
        let (queue, limits) = (self.queue.clone(), self.limits.clone());
        tokio::spawn(async move {
            let started = Instant::now();
            let found = timeout(limits.probe, probe(address, path, &limits)).await.ok().flatten();
            drop(slot);
            let (answered, load) = (found.is_some(), found.unwrap_or_default());
            let answer = ProbeAnswer { server, answered, took: started.elapsed(), load };
            let _ = queue.send(News::Probe(answer)).await;
        });
    }
}

async fn probe(address: SocketAddr, path: &str, limits: &Limits) -> Option<Load> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let request = Request::get(path).header(HOST, address.to_string()).header(CONNECTION, "close");
    let request = request.body(Empty::<Bytes>::new()).ok()?;
    let answer = async {
        let answer = sender.send_request(request).await.ok()?;
        let fine = answer.status() == StatusCode::OK;
        let body = Limited::new(answer.into_body(), limits.body).collect().await.ok()?.to_bytes();
        fine.then(|| read_load(&body))
    };
    // The connection ends with the answer, or with the time for it.
    tokio::select! { load = answer => load, _ = async { let _ = connection.await; std::future::pending::<()>().await } => None }
}

/// A load report; what it does not hold is absent.
fn read_load(bytes: &[u8]) -> Load {
    let Ok(fields) = serde_json::from_slice::<HashMap<String, f64>>(bytes) else { return Load::default() };
    let mut load = Load::default();
    for (name, value) in fields.into_iter().filter(|(_, value)| value.is_finite()) {
        match name.as_str() {
            "inflight" | "busy_reqs" => load.in_hand = Some(value),
            "queue" | "pending" => load.waiting = Some(value),
            "util" | "cpu_share" => load.busy = Some(value),
            "latency_ms" | "svc_ms" => load.service_ms = Some(value),
            "qps" | "served_ps" => load.served_per_s = Some(value),
            "eps" | "failed_ps" => load.errors_per_s = Some(value),
            _ => {}
        }
    }
    load
}

/// Counts what the kernel took, as proof that a request's last byte was not written.
#[derive(Default)]
struct Sent {
    bytes: AtomicU64,
    /// The last answer is whole, and nothing was written since.
    resting: AtomicBool,
}

impl Sent {
    fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Tally for Sent {
    fn wrote(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn begins(&self) -> bool {
        self.resting.swap(false, Ordering::Relaxed)
    }
}

/// The bytes that a request takes on the wire at least.
fn wire_length(request: &Request<Full<Bytes>>, body: usize) -> u64 {
    let path = request.uri().path_and_query().map_or(1, |path| path.as_str().len());
    let line = request.method().as_str().len() + 1 + path + " HTTP/1.1\r\n".len();
    let headers =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    (line + headers.sum::<usize>() + "\r\n".len() + body) as u64
}

const REMAINING: HeaderName = HeaderName::from_static("x-remaining");
const TURNED_AWAY: HeaderName = HeaderName::from_static("x-turned-away");
const PRESSURE: HeaderName = HeaderName::from_static("x-pressure");
const UNITS_CHARGED: HeaderName = HeaderName::from_static("x-units-charged");

/// A job as a server gets it: unchanged but for the time that the limiter will wait.
fn encode(parcel: &Parcel, waits: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(parcel.body.clone()));
    *request.method_mut() = parcel.method.clone();
    *request.uri_mut() = parcel.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&parcel.headers);
    if let Ok(value) = HeaderValue::try_from(format!("{}m", waits.as_millis())) {
        headers.insert(REMAINING, value);
    }
    if !parcel.body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(parcel.body.len()));
    }
    request
}

/// Takes out the headers that are of one connection only, and the length, which the body tells.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> =
        named.flat_map(|value| value.split(',').map(|name| name.trim().to_lowercase())).collect();
    let of_one_connection = |name: &&HeaderName| match name.as_str() {
        "connection" | "keep-alive" | "proxy-connection" | "te" | "trailer" | "transfer-encoding"
        | "upgrade" | "content-length" => true,
        name => named.iter().any(|other| other == name),
    };
    let gone: Vec<HeaderName> = headers.keys().filter(of_one_connection).cloned().collect();
    gone.iter().for_each(|name| drop(headers.remove(name)));
}

/// What an answer says, besides how long it took.
struct Said {
    ending: Ending,
    units: Option<f64>,
    load: Load,
    delivery: Option<Delivery>,
}

impl Said {
    fn nothing(ending: Ending) -> Said {
        Said { ending, units: None, load: Load::default(), delivery: None }
    }
}

/// Guards against an answer that is no whole one: one that ends with the connection may have been cut short, one
/// with two lengths or a huge one is not made for this job, and one that turns to another protocol is none.
fn spoilt(head: &Parts, length: SizeHint, most: usize) -> bool {
    let pieces = head.headers.contains_key(TRANSFER_ENCODING);
    head.status.is_informational()
        || length.lower() > most as u64
        || pieces && head.headers.contains_key(CONTENT_LENGTH)
        || !pieces && length.exact().is_none()
}

/// A whole `body`, or a `flow` in its place.
fn decode(mut head: Parts, body: Bytes, flow: Option<Box<Flow>>, loads: bool) -> Said {
    let turned_away = head.headers.get(TURNED_AWAY).is_some_and(|value| value == "1");
    let ending = match head.status {
        StatusCode::OK => Ending::Fulfilled,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Ending::TurnedAway,
        _ => Ending::Error,
    };
    let units = head.headers.get(UNITS_CHARGED).and_then(|value| value.to_str().ok());
    let units =
        units.and_then(|text| text.parse::<f64>().ok()).filter(|units| units.is_finite() && *units > 0.0);
    let load = head.headers.remove(PRESSURE).filter(|_| loads);
    let load = load.map_or_else(Load::default, |value| read_load(value.as_bytes()));
    let delivery = (ending == Ending::Fulfilled).then(|| {
        strip_hop_by_hop(&mut head.headers);
        Delivery { headers: head.headers, body, flow }
    });
    Said { ending, units, load, delivery }
}

type Wire = Connection<TokioIo<Tallied<Sent>>, Full<Bytes>>;

/// Told when an answer that flows has ended: whole, or not.
type Ended = tokio::sync::oneshot::Receiver<bool>;

/// A connection that is up.
struct Up {
    sender: SendRequest<Full<Bytes>>,
    connection: Pin<Box<Wire>>,
    sent: Arc<Sent>,
    /// It has ended; what it still brought may be read.
    over: bool,
}

/// The task of one connection.
struct Carrier {
    orders: mpsc::Receiver<Order>,
    address: SocketAddr,
    limits: Limits,
    loads: bool,
    room: Room,
    queue: Queue,
    figures: Arc<Figures>,
}

impl Carrier {
    async fn run(mut self, mut errand: Errand, _slot: OwnedSemaphorePermit) {
        let mut up: Option<Up> = None;
        loop {
            let (serial, started) = (errand.serial, errand.started);
            let mut open = match up.take() {
                Some(open) => open,
                None => match self.open(&errand).await {
                    Ok(open) => open,
                    Err(ending) => return self.report(serial, started, Said::nothing(ending), false).await,
                },
            };
            let before = open.sent.bytes();
            let said = match self.carry(&mut open, &errand).await {
                // The server closed while it was idle, and nothing of this trip was written: it starts anew.
                Err(Ending::TurnedAway) if before > 0 && open.sent.bytes() == before => continue,
                said => said,
            };
            // Nothing of the job stays with a connection that rests.
            drop(errand);
            match said {
                Ok((said, None)) => self.report(serial, started, said, true).await,
                Ok((said, Some(ended))) => {
                    self.report(serial, started, said, false).await;
                    // Guards the answer against a connection closed under it: kept and read until the client has
                    // all of it or has gone, then closed, as one client may read for minutes.
                    let mut ended = std::pin::pin!(ended);
                    while !open.over {
                        tokio::select! {
                            _ = &mut ended => break,
                            _ = open.connection.as_mut() => open.over = true,
                        }
                    }
                    return;
                }
                Err(ending) => {
                    // Closed before anybody hears of it, and so before a next trip starts.
                    drop(open);
                    return self.report(serial, started, Said::nothing(ending), false).await;
                }
            }
            let Some(next) = self.rest(&mut open).await else { return };
            errand = next;
            if !open.over {
                up = Some(open);
            }
        }
    }

    /// An order to give this trip up, or the driver's end.
    async fn abandoned(&mut self, serial: u64) {
        while let Some(order) = self.orders.recv().await {
            if matches!(order, Order::Abandon(which) if which == serial) {
                return;
            }
        }
    }

    async fn open(&mut self, errand: &Errand) -> Result<Up, Ending> {
        let (address, within) = (self.address, self.limits.connect);
        let head = self.limits.head;
        let stream = tokio::select! {
            biased;
            () = self.abandoned(errand.serial) => return Err(Ending::Unsent),
            stream = timeout(within, TcpStream::connect(address)) => stream,
            () = sleep_until(errand.until.into()) => return Err(Ending::NoConnection),
        };
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log!("server at {address}: no connection: {error}");
                // Reset is one that was up, refused is none.
                let up = error.kind() == ErrorKind::ConnectionReset;
                return Err(if up { Ending::TurnedAway } else { Ending::NoConnection });
            }
            Err(_) => {
                log!("server at {address}: no connection within {within:?}");
                return Err(Ending::NoConnection);
            }
        };
        let _ = stream.set_nodelay(true);
        let sent = Arc::new(Sent::default());
        let io = TokioIo::new(Tallied::new(stream, sent.clone()));
        let shaken = Builder::new().max_buf_size(head).handshake(io).await;
        let (sender, connection) = shaken.map_err(|_| Ending::NoConnection)?;
        Ok(Up { sender, connection: Box::pin(connection), sent, over: false })
    }

    /// Makes the trip; where the answer flows, its end is told by what comes with it. On an error the connection
    /// must be closed.
    async fn carry(&mut self, up: &mut Up, errand: &Errand) -> Result<(Said, Option<Ended>), Ending> {
        let request = encode(&errand.parcel, errand.until.saturating_duration_since(Instant::now()));
        let whole = up.sent.bytes() + wire_length(&request, errand.parcel.body.len());
        let Up { sender, connection, sent, over } = up;
        let (most, small, loads, room) =
            (self.limits.answer, self.limits.body, self.loads, self.room.clone());
        let flowing = usize::try_from(self.limits.flowing).unwrap_or(usize::MAX);
        let address = self.address;
        // Counted once its last byte is written: the class is the first part of the path.
        let attempted = {
            let figures = self.figures.clone();
            let class = class_of(errand.parcel.uri.path()).to_owned();
            move || figures.attempted(&class)
        };
        let answer = async {
            sender.ready().await.ok()?;
            let (head, body) = sender.send_request(request).await.ok()?.into_parts();
            // Guards long answers against being cut off or held back: a good one that may be longer than a
            // connection's own room goes on at its head, as it comes.
            let long = body.size_hint().upper().is_none_or(|length| length > small as u64);
            // One whose end is the connection's close is a form of HTTP/1.1 too: it flows, and the close ends it.
            // Guards against cutting it off under its server as spoilt, which loses the job.
            let mixed =
                head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH);
            if head.status == StatusCode::OK && long && !mixed && body.size_hint().lower() <= flowing as u64 {
                return Some((head, Err(body)));
            }
            if spoilt(&head, body.size_hint(), most) {
                let (pieces, length) = (head.headers.contains_key(TRANSFER_ENCODING), body.size_hint());
                log!(
                    "server at {}: answer {} taken for spoilt: pieces {pieces}, length {:?} to {:?}",
                    address,
                    head.status.as_u16(),
                    length.lower(),
                    length.upper()
                );
                return None;
            }
            // The whole of it, before the client is answered.
            let body = room.whole(body).await?;
            Some((head, Ok(body)))
        };
        let limit = sleep_until(errand.until.into());
        tokio::pin!(answer, limit);
        let ending = loop {
            tokio::select! {
                biased;
                () = self.abandoned(errand.serial) => break Ending::Revoked,
                // First, as what it reads is the answer: that saves a turn.
                _ = connection.as_mut(), if !*over => *over = true,
                answer = &mut answer => match answer {
                    Some((head, Ok(body))) => {
                        attempted();
                        sent.resting.store(true, Ordering::Relaxed);
                        return Ok((decode(head, body, None, loads), None));
                    }
                    Some((head, Err(body))) => {
                        attempted();
                        let (flow, ended) = Flow::new(body);
                        return Ok((decode(head, Bytes::new(), Some(Box::new(flow)), loads), Some(ended)));
                    }
                    None => break Ending::Dropped,
                },
                () = &mut limit => break Ending::Expired,
            }
        };
        // Nothing is written any more: short of the last byte, no server can have run it.
        let never_ran = sent.bytes() < whole;
        if !never_ran {
            attempted();
        }
        if ending == Ending::Dropped {
            let part = if never_ran { "before" } else { "after" };
            log!("server at {}: connection broke {part} a trip's last byte", self.address);
        }
        Err(match ending {
            // Guards a server that lives against being taken for a dead one, and for a cold one after that: it
            // took the connection and would not have the trip.
            Ending::Dropped if never_ran => Ending::TurnedAway,
            _ if never_ran => Ending::Unsent,
            ending => ending,
        })
    }

    /// Waits for the next trip, as long as the connection is good.
    async fn rest(&mut self, up: &mut Up) -> Option<Errand> {
        let idle = sleep(self.limits.server_idle);
        tokio::pin!(idle);
        loop {
            tokio::select! {
                biased;
                _ = up.connection.as_mut(), if !up.over => up.over = true,
                order = self.orders.recv(), if !up.over => match order? {
                    Order::Carry(errand) => return Some(errand),
                    Order::Abandon(_) => {}
                },
                () = &mut idle, if !up.over => up.over = true,
                else => break,
            }
        }
        // A trip may have been ordered meanwhile: it goes by a new connection.
        while let Ok(order) = self.orders.try_recv() {
            if let Order::Carry(errand) = order {
                return Some(errand);
            }
        }
        self.orders.close();
        while let Some(order) = self.orders.recv().await {
            if let Order::Carry(errand) = order {
                self.report(errand.serial, errand.started, Said::nothing(Ending::Unsent), false).await;
            }
        }
        None
    }

    async fn report(&self, serial: u64, started: Instant, said: Said, reusable: bool) {
        let news = TripNews {
            serial,
            ending: said.ending,
            took: started.elapsed(),
            units: said.units,
            load: said.load,
            delivery: said.delivery,
            reusable,
        };
        let _ = self.queue.send(News::Trip(news)).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::{Method, Uri};
    use test_case::test_case;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    const LONG: Duration = Duration::from_secs(20);

    fn parcel(body: usize) -> Arc<Parcel> {
        let headers = [("x-txn", "9b"), ("host", "origin.svc"), ("content-length", "1")];
        let headers =
            headers.map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)));
        Arc::new(Parcel {
            method: Method::POST,
            uri: Uri::from_static("/pay?key=07"),
            headers: HeaderMap::from_iter(headers),
            body: Bytes::from(vec![b'x'; body]),
            claim: None,
        })
    }

    fn errand(serial: u64, body: usize, within: Duration) -> Errand {
        let started = Instant::now();
        Errand { serial, parcel: parcel(body), started, until: started + within }
    }

    /// The servers with one at that address.
    fn servers(address: SocketAddr, slots: usize) -> (Servers, mpsc::Receiver<News>) {
        let settings = serde_json::json!({"report": {"how": "answers"}, "policyLimits": {"probes": true}});
        let paths = merlinreel_settings::Paths::from_json(&settings);
        let terms = paths.and_then(|paths| merlinreel_settings::Terms::read(&paths)).expect("sound");
        let limits = Limits { servers: slots, ..Limits::new(1024, 192, &terms).expect("room") };
        let (queue, news) = mpsc::channel(16);
        let mut servers = Servers::new(limits, &terms, queue, Figures::new(&[]));
        servers.list(list(address, Standing::Up), true);
        (servers, news)
    }

    fn list(address: SocketAddr, standing: Standing) -> RosterNews {
        let (name, zone) = ("s-1".to_owned(), "a".to_owned());
        let listed =
            crate::messages::Listed { name, address, zone, cell: 0, standing, weight: 1.0, up_since: None };
        RosterNews { version: 1, whole: true, servers: vec![listed] }
    }

    async fn end(news: &mut mpsc::Receiver<News>) -> TripNews {
        match timeout(LONG, news.recv()).await {
            Ok(Some(News::Trip(end))) => end,
            other => panic!("{other:?}"),
        }
    }

    async fn listener() -> (TcpListener, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        (listener, address)
    }

    async fn accept(listener: &TcpListener) -> TcpStream {
        timeout(LONG, listener.accept()).await.expect("in time").expect("a connection").0
    }

    /// Reads one request, which ends as its body does.
    async fn request(stream: &mut TcpStream) -> Vec<u8> {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"x") {
            assert!(stream.read_buf(&mut bytes).await.expect("a request") > 0);
        }
        bytes
    }

    /// A trip that has reached the server.
    async fn begun(listener: &TcpListener, servers: &mut Servers, serial: u64) -> (Link, TcpStream) {
        let link = servers.send(0, errand(serial, 1, LONG)).expect("a slot");
        let mut stream = accept(listener).await;
        request(&mut stream).await;
        (link, stream)
    }

    /// The server answers it.
    async fn done(stream: &mut TcpStream, news: &mut mpsc::Receiver<News>) -> TripNews {
        stream.write_all(GOOD.as_bytes()).await.expect("written");
        end(news).await
    }

    const INFORMED: &str = "HTTP/1.1 102 On\r\n\r\nHTTP/1.1 103 Hint\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\
        X-Units-Charged: 3\r\nX-Pressure: {\"queue\":2,\"util\":0.5,\"odd\":1}\r\nContent-Length: 4\r\n\r\ndone";
    const GOOD: &str = "HTTP/1.1 200 OK\r\nX-Units-Charged: 3\r\nX-Pressure: {\"queue\":2,\"util\":0.5,\"odd\":1}\r\n\
        Content-Length: 4\r\n\r\ndone";

    #[test_case(GOOD => (Ending::Fulfilled, true) ; "a good answer")]
    #[test_case("HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n" => (Ending::Error, true) ; "an error")]
    #[test_case("HTTP/1.1 503 Odd\r\nContent-Length: 0\r\n\r\n" => (Ending::Error, true) ; "unavailable, but it may have run")]
    #[test_case("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n" => (Ending::TurnedAway, true) ; "turned away")]
    #[test_case("HTTP/1.1 504 Over\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n" => (Ending::TurnedAway, true) ; "over already")]
    #[test_case("HTTP/1.1 500 Odd\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n" => (Ending::Error, true) ; "the header alone proves nothing")]
    #[test_case("" => (Ending::Dropped, false) ; "no answer")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo" => (Ending::Dropped, false) ; "half an answer")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" => (Ending::Dropped, false) ; "too long an answer")]
    #[test_case("HTTP/1.1 200 OK\r\n\r\ndone" => (Ending::Fulfilled, false) ; "an answer that ends with the connection flows")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\ndone" => (Ending::Dropped, false) ; "two lengths")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
        => (Ending::Dropped, false) ; "a length and pieces")]
    #[test_case("HTTP/1.1 101 Other\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" => (Ending::Dropped, false) ; "another protocol")]
    #[test_case(INFORMED => (Ending::Fulfilled, true) ; "told first that it goes on")]
    #[test_case("gibberish\r\n\r\n" => (Ending::Dropped, false) ; "no answer in HTTP")]
    #[tokio::test]
    async fn what_comes_back_after_the_last_byte(text: &str) -> (Ending, bool) {
        let (listener, address) = listener().await;
        let (mut servers, mut news) = servers(address, 4);
        let (_link, mut stream) = begun(&listener, &mut servers, 1).await;
        stream.write_all(text.as_bytes()).await.expect("written");
        drop(stream);
        let end = end(&mut news).await;
        if end.ending == Ending::Fulfilled && text == INFORMED {
            let load = Load { waiting: Some(2.0), busy: Some(0.5), ..Load::default() };
            assert_eq!((end.units, end.load), (Some(3.0), load));
            let delivery = end.delivery.expect("an answer");
            assert_eq!(&delivery.body[..], b"done");
            assert!(delivery.headers.get(PRESSURE).is_none());
        }
        (end.ending, end.reusable)
    }

    #[tokio::test]
    async fn a_connection_that_never_comes_up_proves_that_nothing_ran() {
        let (listener, address) = listener().await;
        drop(listener);
        let (mut servers, mut news) = servers(address, 4);
        let _link = servers.send(0, errand(1, 1, LONG));
        assert_eq!(end(&mut news).await.ending, Ending::NoConnection);
    }

    // More than the buffers of both sides hold.
    #[test_case(1 << 26, true, Ending::TurnedAway ; "the server closes before the last byte")]
    #[test_case(1 << 26, false, Ending::Unsent ; "the time is over before the last byte")]
    #[test_case(1, true, Ending::Dropped ; "the server closes after it")]
    #[test_case(1, false, Ending::Expired ; "the time is over after it")]
    #[tokio::test]
    async fn the_last_byte_tells_what_may_have_run(body: usize, closes: bool, ending: Ending) {
        let (listener, address) = listener().await;
        let (mut servers, mut news) = servers(address, 4);
        let within = if closes { LONG } else { Duration::from_millis(300) };
        let _link = servers.send(0, errand(1, body, within));
        let mut stream = accept(&listener).await;
        assert!(stream.read(&mut [0; 64]).await.expect("the beginning") > 0);
        if closes && body == 1 {
            request(&mut stream).await;
        }
        let held = (!closes).then_some(stream);
        let end = end(&mut news).await;
        assert_eq!((end.ending, end.reusable), (ending, false));
        drop(held);
    }

    #[tokio::test]
    async fn an_abandoned_trip_is_closed_before_its_end_is_told() {
        let (listener, address) = listener().await;
        let (mut servers, mut news) = servers(address, 4);
        let (link, stream) = begun(&listener, &mut servers, 5).await;
        // An order for a trip that is over is none for this one.
        link.abandon(4);
        link.abandon(5);
        assert_eq!(end(&mut news).await.ending, Ending::Revoked);
        assert_eq!(stream.try_read(&mut [0; 8]).expect("the end is there already"), 0);
    }

    /// Guards against growth with every server ever listed, and against trips to one whose address another took.
    #[tokio::test]
    async fn an_index_is_another_s_once_it_is_forgotten_and_an_address_once_it_is_taken() {
        let (_, address) = listener().await;
        let (mut servers, _news) = servers(address, 4);
        let mut named = |name: &str, port: u16, whole: bool| {
            let mut news = list(SocketAddr::from(([127, 0, 0, 9], port)), Standing::Up);
            (news.whole, news.servers[0].name) = (whole, name.to_owned());
            let entries = servers.list(news, false).entries;
            if whole {
                servers.forget(0);
            }
            entries.iter().map(|entry| (entry.server, entry.standing)).collect::<Vec<_>>()
        };
        assert_eq!(named("s-2", 1, false), [(1, Standing::Up)]);
        assert_eq!(named("s-3", 1, false), [(1, Standing::Gone), (2, Standing::Up)]);
        // The list is whole, so the first server is gone, and forgotten.
        assert_eq!(named("s-3", 1, true), [(2, Standing::Up)]);
        assert_eq!(named("s-4", 2, false), [(0, Standing::Up)]);
    }

    #[test_case(&[40, 30, 1] => Some(30) ; "the newest that is settled")]
    #[test_case(&[3, 2, 1] => Some(3) ; "the oldest where none is")]
    #[test_case(&[] => None ; "none")]
    fn the_idle_connection_for_a_trip(idle: &[u64]) -> Option<u64> {
        let now = Instant::now() + LONG;
        let link = |ms: &u64| {
            let address = SocketAddr::from(([127, 0, 0, 1], *ms as u16));
            (now - Duration::from_millis(*ms), Link { orders: mpsc::channel(1).0, address })
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let mut place =
            Place { entry: RosterEntry::default(), address, idle: idle.iter().map(link).collect() };
        place.take(now, Duration::from_millis(25)).map(|link| link.address.port().into())
    }

    #[tokio::test]
    async fn one_trip_a_connection_and_idle_ones_first() {
        let (listener, address) = listener().await;
        let (mut servers, mut news) = servers(address, 4);
        let links = [1, 2].map(|serial| servers.send(0, errand(serial, 1, LONG)).expect("a slot"));
        let mut one = accept(&listener).await;
        let mut two = accept(&listener).await;
        for stream in [&mut one, &mut two] {
            request(stream).await;
            done(stream, &mut news).await;
        }
        links.into_iter().for_each(|link| servers.keep(0, link));
        let _link = servers.send(0, errand(3, 1, LONG)).expect("an idle one");
        // None is settled: the oldest.
        let bytes = request(&mut one).await;
        assert_eq!(wire_length(&encode(&parcel(1), LONG), 1) as usize, bytes.len());
    }

    #[tokio::test]
    async fn a_connection_the_server_closed_while_idle_costs_no_trip() {
        let (listener, address) = listener().await;
        let (mut servers, mut news) = servers(address, 4);
        let (link, mut stream) = begun(&listener, &mut servers, 1).await;
        done(&mut stream, &mut news).await;
        servers.keep(0, link);
        drop(stream);
        while !servers.places[0].idle[0].1.orders.is_closed() {
            sleep(Duration::from_millis(1)).await;
        }
        let _link = servers.send(0, errand(2, 1, LONG));
        let mut stream = accept(&listener).await;
        request(&mut stream).await;
        let end = done(&mut stream, &mut news).await;
        assert_eq!((end.serial, end.ending), (2, Ending::Fulfilled));
    }

    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong" ; "a second copy")]
    #[test_case("noise" ; "noise")]
    #[tokio::test]
    async fn what_comes_behind_an_answer_is_never_the_next_one_s(more: &str) {
        let (listener, address) = listener().await;
        let (mut servers, mut news) = servers(address, 4);
        let (link, mut stream) = begun(&listener, &mut servers, 1).await;
        done(&mut stream, &mut news).await;
        servers.keep(0, link);
        // Not waited for: this limiter's poller has not told of it when the next trip begins.
        stream.try_write(more.as_bytes()).expect("written");
        let _link = servers.send(0, errand(2, 1, LONG));
        let mut other = accept(&listener).await;
        request(&mut other).await;
        let end = done(&mut other, &mut news).await;
        assert_eq!(end.delivery.map(|delivery| delivery.body), Some(Bytes::from_static(b"done")));
    }

    #[test_case(Standing::Draining, 0 ; "a server that drains")]
    #[test_case(Standing::Up, 1 ; "a server at another address")]
    #[tokio::test]
    async fn idle_connections_are_let_go_of(standing: Standing, port: u16) {
        let (listener, address) = listener().await;
        let (mut servers, mut news) = servers(address, 4);
        let (link, mut stream) = begun(&listener, &mut servers, 1).await;
        done(&mut stream, &mut news).await;
        let elsewhere = SocketAddr::from(([127, 0, 0, 1], if port == 0 { address.port() } else { port }));
        servers.list(list(elsewhere, standing), false);
        servers.keep(0, link);
        servers.close_idle(0);
        assert_eq!(timeout(LONG, stream.read(&mut [0; 8])).await.expect("closed").expect("in order"), 0);
    }

    #[tokio::test]
    async fn an_idle_connection_is_dropped_before_the_server_does() {
        let (listener, address) = listener().await;
        let (mut servers, mut news) = servers(address, 4);
        assert!(servers.limits.server_idle < Duration::from_secs(15));
        servers.limits.server_idle = Duration::from_millis(1);
        let (link, mut stream) = begun(&listener, &mut servers, 1).await;
        done(&mut stream, &mut news).await;
        servers.keep(0, link);
        assert_eq!(timeout(LONG, stream.read(&mut [0; 8])).await.expect("closed").expect("in order"), 0);
    }

    #[tokio::test]
    async fn descriptors_for_servers_are_bounded_and_idle_ones_give_way() {
        let (listener, address) = listener().await;
        let (mut servers, mut news) = servers(address, 2);
        let (first, mut stream) = begun(&listener, &mut servers, 1).await;
        done(&mut stream, &mut news).await;
        let entry = RosterEntry { server: 1, ..RosterEntry::default() };
        servers.places.push(Place { entry, address, idle: vec![(Instant::now(), first)] });
        let second = servers.send(0, errand(2, 1, LONG));
        assert!(second.is_some() && servers.send(0, errand(3, 1, LONG)).is_none());
        assert_eq!(timeout(LONG, stream.read(&mut [0; 8])).await.expect("closed").expect("in order"), 0);
    }

    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"queue\":3}" => (true, Some(3.0)) ; "answered")]
    #[test_case("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" => (false, None) ; "not well")]
    #[test_case("" => (false, None) ; "silent")]
    #[tokio::test]
    async fn a_probe(text: &str) -> (bool, Option<f64>) {
        let (listener, address) = listener().await;
        let (mut servers, mut news) = servers(address, 4);
        servers.probe(0);
        let mut stream = accept(&listener).await;
        let mut bytes = vec![0; 64];
        let length = stream.read(&mut bytes).await.expect("a request");
        assert!(bytes[..length].starts_with(b"GET /metrics/load HTTP/1.1\r\n"));
        stream.write_all(text.as_bytes()).await.expect("written");
        match timeout(LONG, news.recv()).await {
            Ok(Some(News::Probe(answer))) => (answer.answered, answer.load.waiting),
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn headers_of_one_connection_are_not_passed_on() {
        let mut headers = HeaderMap::new();
        for (name, value) in [("connection", "x-own, close"), ("x-own", "1"), ("te", "gzip"), ("x-kept", "1")]
        {
            headers.insert(name, HeaderValue::from_static(value));
        }
        strip_hop_by_hop(&mut headers);
        assert_eq!(headers.keys().map(HeaderName::as_str).collect::<Vec<_>>(), ["x-kept"]);
    }
}
