//! Clients that continuously send requests to one limiter and record the events they observe.

use crate::client::{Client, request};
use crate::event_log::{Event, EventLog, RequestId};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The request classes that a client cycles through, one request each.
const CLASSES: [&str; 3] = ["look", "put", "pay"];

/// Index in [`CLASSES`] of the class of uploads: its requests have a body and are non-idempotent.
const UPLOAD_CLASS_INDEX: usize = 2;

/// The complete text of a request, with its id and class.
struct ComposedRequest {
    id: RequestId,
    class: &'static str,
    text: String,
}

impl ComposedRequest {
    /// Takes the id from the text's `X-Txn` header; empty if there is none.
    fn new(class: &'static str, text: String) -> ComposedRequest {
        let id = text
            .split("X-Txn: ")
            .nth(1)
            .and_then(|rest| rest.split("\r\n").next())
            .unwrap_or("")
            .to_owned();
        ComposedRequest { id, class, text }
    }
}

/// Reads a response and records it, or its absence. Returns whether the connection stays open.
fn record_response(client: &mut Client, id: RequestId, is_new: bool, log: &EventLog) -> bool {
    let Some(response) = client.receive() else {
        log.record(Event::NoResponse {
            id,
            is_first_on_connection: is_new,
        });
        return false;
    };
    log.record(Event::ResponseReceived {
        id,
        status: response.status(),
        has_retry_after: response.header("retry-after").is_some(),
    });
    response.header("connection") != Some("close")
}

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPattern {
    /// One request at a time.
    Sequential,
    /// This many pipelined requests at a time.
    Pipelined(usize),
    /// One request at a time. The client closes the connection this long after sending every fourth, without reading the
    /// response.
    Abandoning(Duration),
    /// One request at a time, in two parts with this pause between them. [`Event::RequestSent`] is recorded at the second
    /// part.
    PausingMidRequest(Duration),
    /// One request at a time, always non-idempotent, with a body of this many one-byte chunks.
    Chunked(usize),
}

/// The parameters of a client: its target, its customer and its request pattern.
#[derive(Clone, Copy, Debug)]
pub struct LoadClient {
    /// Index of the limiter in the cluster, recorded in events.
    pub limiter: usize,
    /// The limiter's address.
    pub address: SocketAddr,
    /// The customer of all requests. Also the offset at which the client enters the cycle of classes.
    pub customer: u32,
    /// How the client uses its connection.
    pub pattern: RequestPattern,
    /// The pause before each round of requests.
    pub interval: Duration,
    /// The deadline of each request, sent in `X-Remaining`.
    pub timeout: Duration,
    /// How long beyond `timeout` each read may wait, to observe late responses.
    pub grace: Duration,
}

impl LoadClient {
    /// Sends requests until `stop` is set: of each class in turn, or only uploads with [`RequestPattern::Chunked`]. The
    /// connection is kept as long as it stays open. After that the client reconnects only while `accepts_connections` is
    /// set, as through a load balancer in front of the limiter.
    pub fn run(&self, log: &EventLog, stop: &AtomicBool, accepts_connections: &AtomicBool) {
        let mut open: Option<Client> = None;
        let mut sequence = self.customer as usize;
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(self.interval);
            let is_new = open.is_none();
            if is_new && !accepts_connections.load(Ordering::Relaxed) {
                continue;
            }
            let Some(mut client) = open.take().or_else(|| Client::connect(self.address).ok())
            else {
                continue;
            };
            sequence += 1;
            let count = match self.pattern {
                RequestPattern::Pipelined(count) => count,
                RequestPattern::Abandoning(after) if sequence.is_multiple_of(4) => {
                    self.send_and_disconnect(client, after, sequence, log);
                    continue;
                }
                RequestPattern::Chunked(chunks) => {
                    let request = self.compose_upload(chunks);
                    let stays_open = self.send_remainder(&mut client, &request, 0, is_new, log);
                    open = stays_open.then_some(client);
                    continue;
                }
                RequestPattern::PausingMidRequest(pause) => {
                    let request = self.compose(sequence);
                    let half = request.text.len() / 2;
                    client.send(&request.text[..half]);
                    thread::sleep(pause);
                    let stays_open = self.send_remainder(&mut client, &request, half, is_new, log);
                    open = stays_open.then_some(client);
                    continue;
                }
                RequestPattern::Sequential | RequestPattern::Abandoning(_) => 1,
            };
            let stays_open = self.exchange(&mut client, count, sequence, is_new, log);
            open = stays_open.then_some(client);
        }
    }

    /// Composes a request of the class that is next in the cycle.
    fn compose(&self, sequence: usize) -> ComposedRequest {
        let class = CLASSES[sequence % CLASSES.len()];
        let remaining = format!("{}m", self.timeout.as_millis());
        ComposedRequest::new(class, request(class, self.customer, 1, &remaining))
    }

    /// Composes an upload: a request whose body consists of this many one-byte chunks.
    fn compose_upload(&self, chunks: usize) -> ComposedRequest {
        let mut upload = self.compose(UPLOAD_CLASS_INDEX);
        let head = upload.text.trim_end_matches("a body");
        let head = head.replace("Content-Length: 6", "Transfer-Encoding: chunked");
        upload.text = head + &"1\r\nx\r\n".repeat(chunks) + "0\r\n\r\n";
        upload
    }

    /// Records that the client is about to send a request.
    fn record_sent(&self, request: &ComposedRequest, log: &EventLog) {
        log.record(Event::RequestSent {
            id: request.id.clone(),
            class: request.class,
            customer: self.customer,
            limiter: self.limiter,
            timeout: self.timeout,
        });
    }

    /// Sends a request except for the `sent_bytes` that were already sent, and reads the response. Returns whether the
    /// connection stays open.
    fn send_remainder(
        &self,
        client: &mut Client,
        request: &ComposedRequest,
        sent_bytes: usize,
        is_new: bool,
        log: &EventLog,
    ) -> bool {
        let _ = client.set_read_timeout(self.timeout + self.grace);
        self.record_sent(request, log);
        client.send(&request.text[sent_bytes..]);
        let id = request.id.clone();
        log.record(Event::RequestWritten { id });
        record_response(client, request.id.clone(), is_new, log)
    }

    /// Sends `count` requests at once and reads their responses. Returns whether the connection stays open.
    fn exchange(
        &self,
        client: &mut Client,
        count: usize,
        sequence: usize,
        is_new: bool,
        log: &EventLog,
    ) -> bool {
        let _ = client.set_read_timeout(self.timeout + self.grace);
        let requests: Vec<ComposedRequest> =
            (0..count).map(|n| self.compose(sequence + n)).collect();
        for sent in &requests {
            self.record_sent(sent, log);
        }
        let texts: String = requests.iter().map(|sent| sent.text.as_str()).collect();
        client.send(&texts);
        for sent in &requests {
            let id = sent.id.clone();
            log.record(Event::RequestWritten { id });
        }
        let mut stays_open = true;
        for sent in requests {
            if stays_open {
                stays_open = record_response(client, sent.id, is_new, log);
            } else {
                log.record(Event::NoResponse {
                    id: sent.id,
                    is_first_on_connection: is_new,
                });
            }
        }
        stays_open
    }

    /// Sends a request, waits for `after`, and closes the connection without reading the response.
    fn send_and_disconnect(
        &self,
        mut client: Client,
        after: Duration,
        sequence: usize,
        log: &EventLog,
    ) {
        let ComposedRequest { id, text, .. } = {
            let composed = self.compose(sequence);
            self.record_sent(&composed, log);
            composed
        };
        client.send(&text);
        log.record(Event::RequestWritten { id: id.clone() });
        thread::sleep(after);
        drop(client);
        log.record(Event::ClientDisconnected { id });
    }
}
