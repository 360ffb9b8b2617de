//! Trips to servers: the pool of connections, and one task for each of them. A connection carries one
//! trip at a time; nothing is ever sent again by itself.

use crate::driver::{Delivery, News, Parcel, Queue, TripNews};
use crate::limits::Limits;
use crate::log;
use crate::roster::RosterNews;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use merlinreel_core::{Ending, Load, ProbeAnswer, Roster, RosterEntry};
use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
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
    address: SocketAddr,
    idle: Vec<Link>,
}

/// The servers by index, with their idle connections, the newest last.
pub struct Servers {
    limits: Limits,
    zones: Vec<String>,
    loads_in_answers: bool,
    loads_in_probes: bool,
    probes: bool,
    names: HashMap<String, u32>,
    places: Vec<Place>,
    slots: Arc<Semaphore>,
    queue: Queue,
}

impl Servers {
    pub fn new(limits: Limits, terms: &merlinreel_settings::Terms, queue: Queue) -> Servers {
        Servers {
            zones: terms.wire.zones.clone(),
            loads_in_answers: terms.wire.loads_in_answers,
            loads_in_probes: terms.wire.loads_in_probes,
            probes: terms.servers.probes,
            names: HashMap::new(),
            places: Vec::new(),
            slots: Arc::new(Semaphore::new(limits.servers)),
            limits,
            queue,
        }
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Maps names to indices at the door; a server keeps its index for good.
    pub fn list(&mut self, news: RosterNews, restored: bool) -> Roster {
        let mut entries = Vec::with_capacity(news.servers.len());
        for listed in news.servers {
            let next = self.places.len() as u32;
            let server = *self.names.entry(listed.name).or_insert(next);
            if server == next {
                self.places.push(Place { address: listed.address, idle: Vec::new() });
            }
            let place = &mut self.places[server as usize];
            place.address = listed.address;
            if listed.standing != merlinreel_core::Standing::Up {
                place.idle.clear();
            }
            let zone = self.zones.iter().position(|zone| *zone == listed.zone).unwrap_or_else(|| {
                self.zones.push(listed.zone);
                self.zones.len() - 1
            });
            entries.push(RosterEntry {
                server,
                zone: zone as u32,
                cell: listed.cell,
                standing: listed.standing,
                weight: listed.weight,
                up_since: listed.up_since,
            });
        }
        Roster { whole: news.whole, restored, unavailable: false, entries }
    }

    /// Starts a trip on the newest idle connection, else on a new one; none where all descriptors are taken.
    pub fn send(&mut self, server: u32, mut errand: Errand) -> Option<Link> {
        let place = self.places.get_mut(server as usize)?;
        while let Some(link) = place.idle.pop() {
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
            queue: self.queue.clone(),
        };
        tokio::spawn(carrier.run(errand, slot));
        Some(Link { orders, address })
    }

    /// Where none is free, an idle connection makes room; its descriptor is free a moment later.
    fn slot(&mut self) -> Option<OwnedSemaphorePermit> {
        let slot = self.slots.clone().try_acquire_owned().ok();
        if slot.is_none() {
            let fullest = self.places.iter_mut().max_by_key(|place| place.idle.len());
            if let Some(place) = fullest.filter(|place| !place.idle.is_empty()) {
                place.idle.remove(0);
            }
            log!("no descriptor is free for a connection to a server");
        }
        slot
    }

    /// Takes back a connection whose trip is over.
    pub fn keep(&mut self, server: u32, link: Link) {
        if let Some(place) =
            self.places.get_mut(server as usize).filter(|place| place.address == link.address)
        {
            place.idle.retain(|link| !link.orders.is_closed());
            place.idle.push(link);
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
struct Counted {
    stream: TcpStream,
    written: Arc<AtomicU64>,
}

impl Counted {
    fn count(&self, done: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = done {
            self.written.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        done
    }
}

impl AsyncRead for Counted {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, into)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.count(done)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.count(done)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
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

/// Headers that are of one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    named.iter().for_each(|name| drop(headers.remove(name)));
    for name in
        ["connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade"]
    {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
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

fn decode(answer: Response<Bytes>, loads: bool) -> Said {
    let (mut head, body) = answer.into_parts();
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
        Delivery { headers: head.headers, body }
    });
    Said { ending, units, load, delivery }
}

/// A connection that is up.
struct Up {
    sender: SendRequest<Full<Bytes>>,
    connection: Pin<Box<Connection<TokioIo<Counted>, Full<Bytes>>>>,
    written: Arc<AtomicU64>,
    /// It has ended; what it still brought may be read.
    over: bool,
}

/// The task of one connection.
struct Carrier {
    orders: mpsc::Receiver<Order>,
    address: SocketAddr,
    limits: Limits,
    loads: bool,
    queue: Queue,
}

impl Carrier {
    async fn run(mut self, mut errand: Errand, _slot: OwnedSemaphorePermit) {
        let mut up: Option<Up> = None;
        loop {
            let mut open = match up.take() {
                Some(open) => open,
                None => match self.open(&errand).await {
                    Ok(open) => open,
                    Err(ending) => return self.report(&errand, Said::nothing(ending), false).await,
                },
            };
            let before = open.written.load(Ordering::Relaxed);
            match self.carry(&mut open, &errand).await {
                Ok(said) => self.report(&errand, said, true).await,
                // The server closed while it was idle, and nothing of this trip was written: it starts anew.
                Err(Ending::NoConnection) if before > 0 && open.written.load(Ordering::Relaxed) == before => {
                    continue;
                }
                Err(ending) => {
                    // Closed before anybody hears of it, and so before a next trip starts.
                    drop(open);
                    return self.report(&errand, Said::nothing(ending), false).await;
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
        let Ok(Ok(stream)) = stream else { return Err(Ending::NoConnection) };
        let _ = stream.set_nodelay(true);
        let written = Arc::new(AtomicU64::new(0));
        let io = TokioIo::new(Counted { stream, written: written.clone() });
        let shaken = Builder::new().max_buf_size(head).handshake(io).await;
        let (sender, connection) = shaken.map_err(|_| Ending::NoConnection)?;
        Ok(Up { sender, connection: Box::pin(connection), written, over: false })
    }

    /// Makes the trip. On an error the connection must be closed.
    async fn carry(&mut self, up: &mut Up, errand: &Errand) -> Result<Said, Ending> {
        let request = encode(&errand.parcel, errand.until.saturating_duration_since(Instant::now()));
        let whole = up.written.load(Ordering::Relaxed) + wire_length(&request, errand.parcel.body.len());
        let Up { sender, connection, written, over } = up;
        let (most, loads) = (self.limits.body, self.loads);
        let answer = async {
            sender.ready().await.ok()?;
            let (head, body) = sender.send_request(request).await.ok()?.into_parts();
            // The whole of it, before the client is answered.
            let body = Limited::new(body, most).collect().await.ok()?.to_bytes();
            Some(Response::from_parts(head, body))
        };
        let limit = sleep_until(errand.until.into());
        tokio::pin!(answer, limit);
        let ending = loop {
            tokio::select! {
                biased;
                () = self.abandoned(errand.serial) => break Ending::Revoked,
                answer = &mut answer => match answer {
                    Some(answer) => return Ok(decode(answer, loads)),
                    None => break Ending::Dropped,
                },
                _ = connection.as_mut(), if !*over => *over = true,
                () = &mut limit => break Ending::Expired,
            }
        };
        // Nothing is written any more: short of the last byte, no server can have run it.
        let never_ran = written.load(Ordering::Relaxed) < whole;
        Err(match ending {
            Ending::Dropped if never_ran => Ending::NoConnection,
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
                self.report(&errand, Said::nothing(Ending::Unsent), false).await;
            }
        }
        None
    }

    async fn report(&self, errand: &Errand, said: Said, reusable: bool) {
        let news = TripNews {
            serial: errand.serial,
            ending: said.ending,
            took: errand.started.elapsed(),
            units: said.units,
            load: said.load,
            delivery: said.delivery,
            reusable,
        };
        let _ = self.queue.send(News::Trip(news)).await;
    }
}
