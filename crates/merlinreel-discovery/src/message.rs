//! Discovery's messages: JSON in, a checked list out.

use merlinreel_policy::EndpointState;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Why a message is no list. The list before stands.
#[derive(Debug, Error)]
pub enum MessageError {
    #[error("{0}; the agent's answer is no list")]
    Malformed(#[from] serde_json::Error),
    #[error("instances[{place}].hostPort: '{given}' is no address and port")]
    Address { place: usize, given: String },
    #[error("instances[{place}].lifecycle: unknown '{given}'; up, draining and removed are known")]
    Lifecycle { place: usize, given: String },
}

/// A message, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryUpdate {
    pub version: u64,
    /// A complete list: who is not on it is gone. Else only what changed.
    pub complete: bool,
    pub servers: Vec<DiscoveredEndpoint>,
}

/// A server as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    pub state: EndpointState,
    pub weight: f64,
    /// Unix time of its last start, if that was not long ago.
    pub started_at: Option<Duration>,
}

/// A message as it stands on the wire.
#[derive(Deserialize)]
pub struct Message {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: u32,
    lifecycle: String,
    weight: Option<f64>,
    #[serde(default)]
    started_at_ms: u64,
}

impl Instance {
    /// `place` is where it stands in the message, for the error.
    fn check(self, place: usize) -> Result<DiscoveredEndpoint, MessageError> {
        let state = match self.lifecycle.as_str() {
            "up" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "removed" => EndpointState::Removed,
            other => {
                return Err(MessageError::Lifecycle {
                    place,
                    given: other.to_owned(),
                });
            }
        };
        let address = self.host_port.parse();
        let address = address.map_err(|_| MessageError::Address {
            place,
            given: self.host_port,
        })?;
        Ok(DiscoveredEndpoint {
            name: self.instance_id,
            address,
            zone: self.zone,
            cell: self.cell,
            state,
            weight: self.weight.unwrap_or(1.0),
            started_at: Some(Duration::from_millis(self.started_at_ms)).filter(|at| !at.is_zero()),
        })
    }
}

impl TryFrom<Message> for DiscoveryUpdate {
    type Error = MessageError;

    fn try_from(message: Message) -> Result<DiscoveryUpdate, MessageError> {
        let instances = message.instances.into_iter().enumerate();
        let servers = instances
            .map(|(place, instance)| instance.check(place))
            .collect::<Result<_, _>>()?;
        Ok(DiscoveryUpdate {
            version: message.generation,
            complete: message.reset,
            servers,
        })
    }
}

pub fn decode(bytes: &[u8]) -> Result<DiscoveryUpdate, MessageError> {
    let message: Message = serde_json::from_slice(bytes)?;
    message.try_into()
}

#[cfg(test)]
mod tests;
