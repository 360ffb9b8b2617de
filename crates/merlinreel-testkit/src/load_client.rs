//! Clients that keep sending requests to one limiter and record what they observe.

use crate::client::{Client, request};
use crate::event_log::{Event, EventLog, RequestId};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The request classes that a client cycles through.
const CLASSES: [&str; 3] = ["look", "put", "pay"];

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPattern {
    /// One request at a time.
    Sequential,
    /// This many pipelined requests at a time.
    Pipelined(usize),
    /// One request at a time; after every fourth the client closes the connection, this long after sending it.
    Abandoning(Duration),
}

/// A client and its load.
#[derive(Clone, Copy, Debug)]
pub struct LoadClient {
    /// The number of the limiter.
    pub limiter: usize,
    /// The limiter's address.
    pub address: SocketAddr,
    /// The customer that all requests belong to.
    pub customer: u32,
    /// How the client uses its connection.
    pub pattern: RequestPattern,
    /// The pause before each round of requests.
    pub interval: Duration,
    /// The deadline of each request.
    pub timeout: Duration,
    /// How much longer than the deadline the client waits for a late response.
    pub grace: Duration,
}

impl LoadClient {
    /// Sends requests until `stop` is set, with the classes in turn. The connection is kept as long as it stays open;
    /// after that the client reconnects while `accepts_connections` is set, as a load balancer before the limiter would.
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
                RequestPattern::Sequential | RequestPattern::Abandoning(_) => 1,
            };
            let stays_open = self.exchange(&mut client, count, sequence, is_new, log);
            open = stays_open.then_some(client);
        }
    }

    /// Composes a request and records that it is sent; its id and its text.
    fn compose(&self, sequence: usize, log: &EventLog) -> (RequestId, String) {
        let class = CLASSES[sequence % CLASSES.len()];
        let remaining = format!("{}m", self.timeout.as_millis());
        let text = request(class, self.customer, 1, &remaining);
        let id = text
            .split("X-Txn: ")
            .nth(1)
            .and_then(|rest| rest.split("\r\n").next())
            .unwrap_or("")
            .to_owned();
        log.record(Event::RequestSent {
            id: id.clone(),
            class,
            customer: self.customer,
            limiter: self.limiter,
            timeout: self.timeout,
        });
        (id, text)
    }

    /// Sends requests at once and reads their responses; whether the connection stays open.
    fn exchange(
        &self,
        client: &mut Client,
        count: usize,
        sequence: usize,
        is_new: bool,
        log: &EventLog,
    ) -> bool {
        let _ = client.set_read_timeout(self.timeout + self.grace);
        let requests: Vec<(RequestId, String)> = (0..count)
            .map(|n| self.compose(sequence + n, log))
            .collect();
        let texts: String = requests.iter().map(|(_, text)| text.as_str()).collect();
        client.send(&texts);
        for (id, _) in &requests {
            log.record(Event::RequestWritten { id: id.clone() });
        }
        let mut stays_open = true;
        for (id, _) in requests {
            let response = client.receive().filter(|_| stays_open);
            stays_open = response
                .as_ref()
                .is_some_and(|response| response.header("connection") != Some("close"));
            log.record(match response {
                None => Event::NoResponse {
                    id,
                    is_first_on_connection: is_new,
                },
                Some(response) => Event::ResponseReceived {
                    id,
                    status: response.status(),
                    has_retry_after: response.header("retry-after").is_some(),
                },
            });
        }
        stays_open
    }

    /// Sends a request and closes the connection a while later.
    fn send_and_disconnect(
        &self,
        mut client: Client,
        after: Duration,
        sequence: usize,
        log: &EventLog,
    ) {
        let (id, text) = self.compose(sequence, log);
        client.send(&text);
        log.record(Event::RequestWritten { id: id.clone() });
        thread::sleep(after);
        drop(client);
        log.record(Event::ClientDisconnected { id });
    }
}
