//! Clients on kept connections that send at planned times, and what they measured.

use super::{LatencyError, PlannedRequest, RequestPlan};
use crate::PATIENCE;
use crate::http::read;
use hdrhistogram::Histogram;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Decimal digits that the histogram keeps of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Between the call and the first send time, so that each connection's thread is there by then.
const LEAD: Duration = Duration::from_millis(50);

/// The times of one request, counted from the start of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    pub planned: Duration,
    pub sent: Duration,
    pub answered: Duration,
}

impl Sample {
    /// From the planned time on, whenever it was sent: a stall counts for every request that was due during it.
    pub fn latency(&self) -> Duration {
        self.answered.saturating_sub(self.planned)
    }
}

/// All requests of a plan, each answered 200 once.
#[derive(Clone, Debug)]
pub struct LoadResult {
    pub samples: Vec<Sample>,
    /// Latencies in microseconds.
    pub histogram: Histogram<u64>,
}

impl LoadResult {
    pub fn new(samples: Vec<Sample>) -> Result<LoadResult, LatencyError> {
        let unrecorded = |error: &dyn std::fmt::Display| LatencyError::Histogram(error.to_string());
        let mut histogram =
            Histogram::new(SIGNIFICANT_DIGITS).map_err(|error| unrecorded(&error))?;
        for sample in &samples {
            let microseconds = sample.latency().as_micros() as u64;
            histogram
                .record(microseconds)
                .map_err(|error| unrecorded(&error))?;
        }
        Ok(LoadResult { samples, histogram })
    }
}

/// Connections that stay open over several loads.
#[derive(Debug)]
pub struct ClientConnections {
    connections: Vec<ClientConnection>,
}

impl ClientConnections {
    /// Connects to the targets in turn.
    pub fn open(
        targets: &[SocketAddr],
        connections: usize,
    ) -> Result<ClientConnections, LatencyError> {
        let targets = targets.iter().cycle().take(connections);
        let connections = targets
            .map(|&address| ClientConnection::open(address))
            .collect::<Result<_, _>>()?;
        Ok(ClientConnections { connections })
    }

    /// Sends a plan's requests at their times, from a moment on.
    pub fn drive(&mut self, plan: &RequestPlan) -> Result<LoadResult, LatencyError> {
        self.drive_from(plan, Instant::now() + LEAD)
    }

    /// Sends a plan's requests at their times, counted from `start`; a connection that waits for an answer sends its
    /// next requests late.
    pub fn drive_from(
        &mut self,
        plan: &RequestPlan,
        start: Instant,
    ) -> Result<LoadResult, LatencyError> {
        let outcomes: Vec<Result<Vec<Sample>, LatencyError>> = thread::scope(|scope| {
            let threads: Vec<_> = self
                .connections
                .iter_mut()
                .enumerate()
                .map(|(number, connection)| {
                    let requests = plan.on_connection(number);
                    scope.spawn(move || connection.send_all(requests, start))
                })
                .collect();
            threads
                .into_iter()
                .map(|thread| thread.join().unwrap_or(Err(LatencyError::Panicked)))
                .collect()
        });
        let mut samples = Vec::with_capacity(plan.requests.len());
        for outcome in outcomes {
            samples.extend(outcome?);
        }
        samples.sort_by_key(|sample| sample.planned);
        LoadResult::new(samples)
    }
}

#[derive(Debug)]
struct ClientConnection {
    to: TcpStream,
    from: BufReader<TcpStream>,
}

impl ClientConnection {
    fn open(address: SocketAddr) -> Result<ClientConnection, LatencyError> {
        let open = || -> io::Result<ClientConnection> {
            let to = TcpStream::connect(address)?;
            to.set_nodelay(true)?;
            to.set_read_timeout(Some(PATIENCE))?;
            Ok(ClientConnection {
                from: BufReader::new(to.try_clone()?),
                to,
            })
        };
        open().map_err(|source| LatencyError::Connect { address, source })
    }

    fn send_all<'a>(
        &mut self,
        requests: impl Iterator<Item = &'a PlannedRequest>,
        start: Instant,
    ) -> Result<Vec<Sample>, LatencyError> {
        let mut samples = Vec::new();
        for request in requests {
            let text = request.text();
            thread::sleep((start + request.at).saturating_duration_since(Instant::now()));
            let sent = start.elapsed();
            self.exchange(request, &text)?;
            samples.push(Sample {
                planned: request.at,
                sent,
                answered: start.elapsed(),
            });
            self.check_nothing_unasked(request)?;
        }
        Ok(samples)
    }

    fn exchange(&mut self, request: &PlannedRequest, text: &str) -> Result<(), LatencyError> {
        let txn = || request.txn.clone();
        let sent = self.to.write_all(text.as_bytes());
        sent.map_err(|source| LatencyError::Send { txn: txn(), source })?;
        let answer = read(&mut self.from, 0)
            .map_err(|source| LatencyError::Receive { txn: txn(), source })?;
        let answer = answer.ok_or_else(|| LatencyError::Ended { txn: txn() })?;
        if answer.status() != 200 {
            return Err(LatencyError::Status {
                txn: txn(),
                status: answer.status(),
            });
        }
        match answer.header("x-txn") {
            Some(got) if got == request.txn => Ok(()),
            got => Err(LatencyError::OtherAnswer {
                txn: txn(),
                got: got.unwrap_or("none").to_owned(),
            }),
        }
    }

    /// Nothing may have come behind the answer.
    fn check_nothing_unasked(&self, request: &PlannedRequest) -> Result<(), LatencyError> {
        if self.from.buffer().is_empty() {
            return Ok(());
        }
        Err(LatencyError::Unasked {
            txn: request.txn.clone(),
        })
    }
}
