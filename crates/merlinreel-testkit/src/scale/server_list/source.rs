//! The list's source: a drawn fleet, its full list and its change messages as bytes, and what was asked of it.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Serialize, Serializer};
use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};

/// Servers of one service, as in 160,000 servers of 10,000 services.
const SERVERS_PER_SERVICE: u32 = 16;
const ZONES: u32 = 11;
const PORT: u16 = 8443;
/// Servers draw from 10.0.0.0/8 in the order in which they are added.
const FIRST_ADDRESS: u32 = 10 << 24;

/// How the source writes its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Compact,
    /// As the discovery agent may write it.
    Indented,
}

/// A server as it stands on the wire, with the members of [`crate::listed`].
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

/// A message whose servers are written one by one: none but the bytes is ever held of all.
#[derive(Serialize)]
struct WireMessage<Servers: Serialize> {
    generation: u64,
    reset: bool,
    instances: Servers,
}

struct Each<'a, Item: Fn(usize) -> WireServer> {
    places: &'a [usize],
    item: Item,
}

impl<Item: Fn(usize) -> WireServer> Serialize for Each<'_, Item> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.places.iter().map(|place| (self.item)(*place)))
    }
}

#[derive(Clone, Copy)]
struct Drawn {
    /// By this and the service a server is named; another after each replacement.
    suffix: u32,
    address: u32,
}

/// The servers by their place in the list.
struct Fleet {
    servers: Vec<Drawn>,
    next_address: u32,
}

/// Holds the fleet and counts the bytes that it gives out.
pub struct ListSource {
    chance: ChaCha8Rng,
    fleet: Fleet,
    generation: u64,
    form: Form,
    /// Bytes of full lists and change messages, all together.
    pub bytes_sent: u64,
}

impl Fleet {
    fn draw(&mut self, chance: &mut ChaCha8Rng) -> Drawn {
        self.next_address += 1;
        Drawn {
            suffix: chance.random(),
            address: self.next_address,
        }
    }

    fn server(&self, place: usize, lifecycle: &'static str, started_at_ms: u64) -> WireServer {
        let (number, drawn) = (place as u32, self.servers[place]);
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
    pub fn new(servers: u64, seed: u64, form: Form) -> ListSource {
        let mut source = ListSource {
            chance: ChaCha8Rng::seed_from_u64(seed),
            fleet: Fleet {
                servers: Vec::new(),
                next_address: FIRST_ADDRESS,
            },
            generation: 0,
            form,
            bytes_sent: 0,
        };
        for _ in 0..servers {
            let drawn = source.fleet.draw(&mut source.chance);
            source.fleet.servers.push(drawn);
        }
        source
    }

    /// The full list, each server up and started long ago.
    pub fn full_list(&mut self) -> Result<Vec<u8>, serde_json::Error> {
        let places: Vec<usize> = (0..self.fleet.servers.len()).collect();
        let servers = Each {
            places: &places,
            item: |place| self.fleet.server(place, "up", 0),
        };
        let bytes = self.write(true, servers)?;
        self.bytes_sent += bytes.len() as u64;
        Ok(bytes)
    }

    /// The full list, already written, goes to so many more limiters.
    pub fn answer_again(&mut self, limiters: u64, list_bytes: usize) {
        self.bytes_sent += limiters * list_bytes as u64;
    }

    fn write(&self, reset: bool, instances: impl Serialize) -> Result<Vec<u8>, serde_json::Error> {
        let message = WireMessage {
            generation: self.generation,
            reset,
            instances,
        };
        match self.form {
            Form::Compact => serde_json::to_vec(&message),
            Form::Indented => serde_json::to_vec_pretty(&message),
        }
    }

    fn change(&mut self, instances: &[WireServer]) -> Result<Vec<u8>, serde_json::Error> {
        self.generation += 1;
        let bytes = self.write(false, instances)?;
        self.bytes_sent += bytes.len() as u64;
        Ok(bytes)
    }

    /// So many drawn servers, each once.
    fn some(&mut self, count: usize) -> Vec<usize> {
        let servers = self.fleet.servers.len();
        let (mut places, mut drawn) = (Vec::with_capacity(count), HashSet::new());
        while places.len() < count.min(servers) {
            let place = self.chance.random_range(0..servers);
            if drawn.insert(place) {
                places.push(place);
            }
        }
        places
    }

    /// A change message: so many servers have just restarted.
    pub fn restarts(
        &mut self,
        count: usize,
        started_at_ms: u64,
    ) -> Result<Vec<u8>, serde_json::Error> {
        let places = self.some(count);
        let restarted = places
            .iter()
            .map(|place| self.fleet.server(*place, "up", started_at_ms));
        let restarted: Vec<WireServer> = restarted.collect();
        self.change(&restarted)
    }

    /// A change message: so many servers are removed, and as many others, at other addresses, take their parts.
    pub fn replacement(
        &mut self,
        count: usize,
        started_at_ms: u64,
    ) -> Result<Vec<u8>, serde_json::Error> {
        let mut changes = Vec::with_capacity(2 * count);
        for place in self.some(count) {
            changes.push(self.fleet.server(place, "removed", 0));
            self.fleet.servers[place] = self.fleet.draw(&mut self.chance);
            changes.push(self.fleet.server(place, "up", started_at_ms));
        }
        self.change(&changes)
    }
}

#[cfg(test)]
mod tests;
