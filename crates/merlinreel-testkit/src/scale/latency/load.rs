//! Clients on kept connections that send requests at planned times, and the latencies they measure.

use super::{LatencyError, PlannedRequest, RequestPlan};
use crate::TEST_TIMEOUT;
use crate::http::read;
use hdrhistogram::Histogram;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Decimal digits that the histogram keeps of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Between the call and the first send time, so that each connection's thread has started by then.
const LEAD_TIME: Duration = Duration::from_millis(50);

/// The times of one request, counted from the start of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The planned send time.
    pub planned: Duration,
    /// The actual send time.
    pub sent: Duration,
    /// When the response was complete.
    pub answered: Duration,
}

impl Sample {
    /// The time from the planned send time on, so that a stall counts for every request that was due during it.
    pub fn latency(&self) -> Duration {
        self.answered.saturating_sub(self.planned)
    }
}

/// The latencies of all requests of a plan, each of which had one response with status 200.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// The times of all requests, by planned send time.
    pub samples: Vec<Sample>,
    /// Latencies in microseconds.
    pub histogram: Histogram<u64>,
}

impl LoadResult {
    /// The result with these samples.
    ///
    /// # Errors
    /// The histogram does not accept a latency.
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

/// Connections that are kept over several loads.
#[derive(Debug)]
pub struct ClientConnections {
    connections: Vec<ClientConnection>,
}

impl ClientConnections {
    /// Connects to the targets in turn.
    ///
    /// # Errors
    /// A connection is not established.
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

    /// Sends a plan's requests at their times, from shortly after now on.
    ///
    /// # Errors
    /// A request does not have one response with status 200.
    pub fn send(&mut self, plan: &RequestPlan) -> Result<LoadResult, LatencyError> {
        self.send_from(plan, Instant::now() + LEAD_TIME)
    }

    /// Sends a plan's requests at their times, counted from `start`; a connection that waits for a response sends its
    /// next requests late.
    ///
    /// # Errors
    /// A request does not have one response with status 200.
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
            thread::sleep((start + request.at).saturating_duration_since(Instant::now()));
            let sent = start.elapsed();
            self.exchange(request, &text)?;
            samples.push(Sample {
                planned: request.at,
                sent,
                answered: start.elapsed(),
            });
            self.check_nothing_unsolicited(request)?;
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
            .ok_or_else(|| LatencyError::Ended { id: id() })?;
        if response.status() != 200 {
            return Err(LatencyError::Status {
                id: id(),
                status: response.status(),
            });
        }
        match response.header("x-txn") {
            Some(other) if other == request.id => Ok(()),
            other => Err(LatencyError::OtherResponse {
                id: id(),
                other: other.unwrap_or("none").to_owned(),
            }),
        }
    }

    /// Checks that nothing has arrived after the response.
    fn check_nothing_unsolicited(&self, request: &PlannedRequest) -> Result<(), LatencyError> {
        if self.reader.buffer().is_empty() {
            return Ok(());
        }
        Err(LatencyError::Unsolicited {
            id: request.id.clone(),
        })
    }
}
