//! The source of lists: servers drawn from a seed, their full list and change messages as bytes.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Serialize, Serializer};
use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};

/// Servers of each service: 160,000 servers of 10,000 services.
const SERVERS_PER_SERVICE: u32 = 16;
const ZONES: u32 = 11;
const PORT: u16 = 8443;
/// Servers are assigned addresses of 10.0.0.0/8 in the order in which they are added.
const FIRST_ADDRESS: u32 = 10 << 24;

/// The format of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// JSON without whitespace.
    Compact,
    /// Indented JSON, which a discovery agent may write, too.
    Indented,
}

/// A server as it is written, with the members of [`crate::instance`].
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

/// A message whose servers are written one by one, so that only the bytes of all are held at once.
#[derive(Serialize)]
struct WireMessage<Servers: Serialize> {
    generation: u64,
    reset: bool,
    instances: Servers,
}

struct EachServer<'a, ToWire: Fn(usize) -> WireServer> {
    places: &'a [usize],
    to_wire: ToWire,
}

impl<ToWire: Fn(usize) -> WireServer> Serialize for EachServer<'_, ToWire> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.places.iter().map(|place| (self.to_wire)(*place)))
    }
}

#[derive(Clone, Copy)]
struct DrawnServer {
    /// Part of the server's name, with its service; a replacement has another.
    suffix: u32,
    address: u32,
}

/// The servers by their place in the list.
struct ServerPool {
    servers: Vec<DrawnServer>,
    next_address: u32,
}

/// Writes messages about its servers and counts their bytes.
pub struct ListSource {
    random: ChaCha8Rng,
    pool: ServerPool,
    generation: u64,
    format: Format,
    /// Bytes of all messages so far.
    pub bytes_sent: u64,
}

impl ServerPool {
    fn draw(&mut self, random: &mut ChaCha8Rng) -> DrawnServer {
        self.next_address += 1;
        DrawnServer {
            suffix: random.random(),
            address: self.next_address,
        }
    }

    fn server(&self, place: usize, lifecycle: &'static str, started_at_ms: u64) -> WireServer {
        let number = place as u32;
        let drawn = self.servers[place];
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
    /// A source with this many servers.
    pub fn new(servers: u64, seed: u64, format: Format) -> ListSource {
        let mut source = ListSource {
            random: ChaCha8Rng::seed_from_u64(seed),
            pool: ServerPool {
                servers: Vec::new(),
                next_address: FIRST_ADDRESS,
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

    /// The full list, with all servers up and started long ago.
    ///
    /// # Errors
    /// The message can't be written.
    pub fn full_list(&mut self) -> Result<Vec<u8>, serde_json::Error> {
        let places: Vec<usize> = (0..self.pool.servers.len()).collect();
        let servers = EachServer {
            places: &places,
            to_wire: |place| self.pool.server(place, "up", 0),
        };
        let bytes = self.write(true, servers)?;
        self.bytes_sent += bytes.len() as u64;
        Ok(bytes)
    }

    /// Counts responses with a list that is already written.
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

    /// Draws distinct servers.
    fn draw_places(&mut self, count: usize) -> Vec<usize> {
        let servers = self.pool.servers.len();
        let mut places = Vec::with_capacity(count);
        let mut drawn = HashSet::new();
        while places.len() < count.min(servers) {
            let place = self.random.random_range(0..servers);
            if drawn.insert(place) {
                places.push(place);
            }
        }
        places
    }

    /// A change message about this many servers that have just restarted.
    ///
    /// # Errors
    /// The message can't be written.
    pub fn restarts(
        &mut self,
        count: usize,
        started_at_ms: u64,
    ) -> Result<Vec<u8>, serde_json::Error> {
        let places = self.draw_places(count);
        let restarted = places
            .iter()
            .map(|place| self.pool.server(*place, "up", started_at_ms));
        let restarted: Vec<WireServer> = restarted.collect();
        self.change(&restarted)
    }

    /// A change message about this many servers that are removed, and as many others at other addresses.
    ///
    /// # Errors
    /// The message can't be written.
    pub fn replacement(
        &mut self,
        count: usize,
        started_at_ms: u64,
    ) -> Result<Vec<u8>, serde_json::Error> {
        let mut changes = Vec::with_capacity(2 * count);
        for place in self.draw_places(count) {
            changes.push(self.pool.server(place, "removed", 0));
            self.pool.servers[place] = self.pool.draw(&mut self.random);
            changes.push(self.pool.server(place, "up", started_at_ms));
        }
        self.change(&changes)
    }
}

#[cfg(test)]
mod tests;
