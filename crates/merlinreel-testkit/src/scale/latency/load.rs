//! Clients that send requests on persistent connections at planned times, and measure their latencies.

use super::{LatencyError, PlannedRequest, RequestPlan};
use crate::TEST_TIMEOUT;
use crate::http::read;
use hdrhistogram::Histogram;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Precision of latencies in the histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Delay from the call to the first send time, so that the thread of each connection has started by then.
const LEAD_TIME: Duration = Duration::from_millis(50);

/// The times of one request, relative to the start of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The planned send time.
    pub planned: Duration,
    /// When the client began to write the request.
    pub sent: Duration,
    /// When the complete response was read.
    pub completed: Duration,
}

impl Sample {
    /// Time from the planned send time to the complete response, so that a stall counts for every request that was due
    /// during it.
    pub fn latency(&self) -> Duration {
        self.completed.saturating_sub(self.planned)
    }
}

/// The latencies of all requests of a plan. Each request got one response with status 200.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// The times of all requests, in order of planned send time.
    pub samples: Vec<Sample>,
    /// Latencies from the planned send times, in microseconds.
    pub histogram: Histogram<u64>,
}

impl LoadResult {
    /// Records the latencies of the samples in a histogram.
    ///
    /// # Errors
    /// The histogram can't be created, or does not accept a latency.
    pub fn new(samples: Vec<Sample>) -> Result<LoadResult, LatencyError> {
        let mut histogram = Histogram::new(SIGNIFICANT_DIGITS)
            .map_err(|error| LatencyError::Histogram(error.to_string()))?;
        for sample in &samples {
            histogram
                .record(sample.latency().as_micros() as u64)
                .map_err(|error| LatencyError::Histogram(error.to_string()))?;
        }
        Ok(LoadResult { samples, histogram })
    }
}

/// Persistent client connections, which can be used for several loads.
#[derive(Debug)]
pub struct ClientConnections {
    connections: Vec<ClientConnection>,
}

impl ClientConnections {
    /// Opens this many connections, to the targets in turn.
    ///
    /// # Errors
    /// A connection can't be established.
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

    /// Sends the requests of a plan at their planned times. The load starts after a short delay in which the client
    /// threads start.
    ///
    /// # Errors
    /// A request does not get exactly one response with status 200.
    pub fn send(&mut self, plan: &RequestPlan) -> Result<LoadResult, LatencyError> {
        self.send_from(plan, Instant::now() + LEAD_TIME)
    }

    /// Sends the requests of a plan at their planned times, relative to `start`. A connection that waits for a response
    /// sends its next requests late.
    ///
    /// # Errors
    /// A request does not get exactly one response with status 200.
    pub fn send_from(
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
                .map(|thread| thread.join().unwrap_or(Err(LatencyError::ClientPanicked)))
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
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl ClientConnection {
    fn open(address: SocketAddr) -> Result<ClientConnection, LatencyError> {
        let open = || -> io::Result<ClientConnection> {
            let writer = TcpStream::connect(address)?;
            writer.set_nodelay(true)?;
            writer.set_read_timeout(Some(TEST_TIMEOUT))?;
            Ok(ClientConnection {
                reader: BufReader::new(writer.try_clone()?),
                writer,
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
            thread::sleep((start + request.send_time).saturating_duration_since(Instant::now()));
            let sent = start.elapsed();
            self.exchange(request, &text)?;
            samples.push(Sample {
                planned: request.send_time,
                sent,
                completed: start.elapsed(),
            });
            self.check_no_unsolicited_bytes(request)?;
        }
        Ok(samples)
    }

    fn exchange(&mut self, request: &PlannedRequest, text: &str) -> Result<(), LatencyError> {
        let id = || request.id.clone();
        self.writer
            .write_all(text.as_bytes())
            .map_err(|source| LatencyError::Send { id: id(), source })?;
        let response = read(&mut self.reader, 0)
            .map_err(|source| LatencyError::Receive { id: id(), source })?
            .ok_or_else(|| LatencyError::ConnectionClosed { id: id() })?;
        if response.status() != 200 {
            return Err(LatencyError::Status {
                id: id(),
                status: response.status(),
            });
        }
        match response.header("x-txn") {
            Some(other) if other == request.id => Ok(()),
            other => Err(LatencyError::MismatchedResponse {
                id: id(),
                other: other.unwrap_or("none").to_owned(),
            }),
        }
    }

    /// Checks that no further bytes were read together with the response.
    fn check_no_unsolicited_bytes(&self, request: &PlannedRequest) -> Result<(), LatencyError> {
        if self.reader.buffer().is_empty() {
            return Ok(());
        }
        Err(LatencyError::Unsolicited {
            id: request.id.clone(),
        })
    }
}
