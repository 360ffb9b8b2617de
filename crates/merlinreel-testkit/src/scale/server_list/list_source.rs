//! Generates discovery messages as bytes: full lists and changes of servers that are drawn from a seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Serialize, Serializer};
use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};

/// Servers of each service, so that 160,000 servers belong to 10,000 services.
const SERVERS_PER_SERVICE: u32 = 16;
const ZONES: u32 = 11;
const PORT: u16 = 8443;
/// Servers are assigned the addresses after 10.0.0.0, in the order in which they are added.
const BASE_ADDRESS: u32 = 10 << 24;

/// The format of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// JSON without whitespace.
    Compact,
    /// Indented JSON, which a discovery agent may also send.
    Indented,
}

/// A server as it is encoded in a message, with the JSON members of [`crate::instance`].
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireServer {
    instance_id: String,
    host_port: String,
    zone: String,
    machine_type: &'static str,
    cell: u32,
    lifecycle: &'static str,
    weight: f64,
    started_at_ms: u64,
}

/// A message. Its servers are encoded one at a time, so that only their bytes are held in memory together.
#[derive(Serialize)]
struct WireMessage<Servers: Serialize> {
    generation: u64,
    reset: bool,
    instances: Servers,
}

/// Encodes the servers at these positions in sequence.
struct ServerSequence<'a, ToWire: Fn(usize) -> WireServer> {
    positions: &'a [usize],
    to_wire: ToWire,
}

impl<ToWire: Fn(usize) -> WireServer> Serialize for ServerSequence<'_, ToWire> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(
            self.positions
                .iter()
                .map(|position| (self.to_wire)(*position)),
        )
    }
}

#[derive(Clone, Copy)]
struct DrawnServer {
    /// Part of the server's name, in addition to its service. A replacement has another suffix.
    suffix: u32,
    /// IPv4 address as a number.
    address: u32,
}

/// The servers by their position in the list.
struct ServerPool {
    servers: Vec<DrawnServer>,
    /// The address that was assigned last.
    last_address: u32,
}

/// Generates messages about its servers and counts their bytes.
pub struct ListSource {
    random: ChaCha8Rng,
    pool: ServerPool,
    generation: u64,
    format: Format,
    /// Bytes of all messages generated so far, and of the responses that
    /// [`count_more_responses`](ListSource::count_more_responses) added.
    pub bytes_sent: u64,
}

impl ServerPool {
    fn draw(&mut self, random: &mut ChaCha8Rng) -> DrawnServer {
        self.last_address += 1;
        DrawnServer {
            suffix: random.random(),
            address: self.last_address,
        }
    }

    fn server(&self, position: usize, lifecycle: &'static str, started_at_ms: u64) -> WireServer {
        let number = position as u32;
        let drawn = self.servers[position];
        let service = number / SERVERS_PER_SERVICE;
        let address = SocketAddr::from((Ipv4Addr::from_bits(drawn.address), PORT));
        WireServer {
            instance_id: format!("svc-{service:05}-{:08x}", drawn.suffix),
            host_port: address.to_string(),
            zone: format!("zone-{:02}", number % ZONES),
            machine_type: "m",
            cell: number % SERVERS_PER_SERVICE / 4,
            lifecycle,
            weight: 1.0,
            started_at_ms,
        }
    }
}

impl ListSource {
    /// Creates a source and draws this many servers.
    pub fn new(servers: u64, seed: u64, format: Format) -> ListSource {
        let mut source = ListSource {
            random: ChaCha8Rng::seed_from_u64(seed),
            pool: ServerPool {
                servers: Vec::new(),
                last_address: BASE_ADDRESS,
            },
            generation: 0,
            format,
            bytes_sent: 0,
        };
        for _ in 0..servers {
            let drawn = source.pool.draw(&mut source.random);
            source.pool.servers.push(drawn);
        }
        source
    }

    /// A message with the full list. All servers are up and started at Unix time 0.
    ///
    /// # Errors
    /// The message can't be encoded.
    pub fn full_list(&mut self) -> Result<Vec<u8>, serde_json::Error> {
        let positions: Vec<usize> = (0..self.pool.servers.len()).collect();
        let servers = ServerSequence {
            positions: &positions,
            to_wire: |position| self.pool.server(position, "up", 0),
        };
        let bytes = self.write(true, servers)?;
        self.bytes_sent += bytes.len() as u64;
        Ok(bytes)
    }

    /// Adds this many further responses with a list of this length to [`bytes_sent`](ListSource::bytes_sent).
    pub fn count_more_responses(&mut self, responses: u64, list_bytes: usize) {
        self.bytes_sent += responses * list_bytes as u64;
    }

    fn write(&self, reset: bool, instances: impl Serialize) -> Result<Vec<u8>, serde_json::Error> {
        let message = WireMessage {
            generation: self.generation,
            reset,
            instances,
        };
        match self.format {
            Format::Compact => serde_json::to_vec(&message),
            Format::Indented => serde_json::to_vec_pretty(&message),
        }
    }

    fn change(&mut self, instances: &[WireServer]) -> Result<Vec<u8>, serde_json::Error> {
        self.generation += 1;
        let bytes = self.write(false, instances)?;
        self.bytes_sent += bytes.len() as u64;
        Ok(bytes)
    }

    /// Draws the positions of this many distinct servers, or of all if there are fewer.
    fn draw_positions(&mut self, count: usize) -> Vec<usize> {
        let servers = self.pool.servers.len();
        let mut positions = Vec::with_capacity(count);
        let mut drawn = HashSet::new();
        while positions.len() < count.min(servers) {
            let position = self.random.random_range(0..servers);
            if drawn.insert(position) {
                positions.push(position);
            }
        }
        positions
    }

    /// A change message about this many servers that restarted at this Unix time.
    ///
    /// # Errors
    /// The message can't be encoded.
    pub fn restarts(
        &mut self,
        count: usize,
        started_at_ms: u64,
    ) -> Result<Vec<u8>, serde_json::Error> {
        let positions = self.draw_positions(count);
        let restarted = positions
            .iter()
            .map(|position| self.pool.server(*position, "up", started_at_ms));
        let restarted: Vec<WireServer> = restarted.collect();
        self.change(&restarted)
    }

    /// A change message that removes this many servers and adds as many at other addresses, started at this Unix time.
    ///
    /// # Errors
    /// The message can't be encoded.
    pub fn replacement(
        &mut self,
        count: usize,
        started_at_ms: u64,
    ) -> Result<Vec<u8>, serde_json::Error> {
        let mut changes = Vec::with_capacity(2 * count);
        for position in self.draw_positions(count) {
            changes.push(self.pool.server(position, "removed", 0));
            self.pool.servers[position] = self.pool.draw(&mut self.random);
            changes.push(self.pool.server(position, "up", started_at_ms));
        }
        self.change(&changes)
    }
}

#[cfg(test)]
mod tests;
