//! Decodes and checks the discovery agent's messages. Only this module maps the names in the agent's JSON.

use merlinreel_policy::EndpointState;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Weight of an endpoint for which the agent reports none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Why a message cannot be used. The endpoint list from before the message stays in use.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message is not JSON, or lacks a required field, or a field has the wrong type.
    #[error("{0}; the agent's response is not a valid list of instances")]
    Malformed(#[from] serde_json::Error),
    /// An instance's address must be an IP address and a port.
    #[error("instances[{index}].hostPort: '{given}' is not an IP address and port")]
    Address {
        /// Position of the instance in the message.
        index: usize,
        /// The text that was given.
        given: String,
    },
    /// An instance's lifecycle must be `up`, `draining` or `removed`.
    #[error(
        "instances[{index}].lifecycle: unknown value '{given}'; expected up, draining or removed"
    )]
    Lifecycle {
        /// Position of the instance in the message.
        index: usize,
        /// The text that was given.
        given: String,
    },
}

/// A change or snapshot of the endpoint list, from a message that passed all checks.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryUpdate {
    /// The agent's version number of the list that this update leads to.
    pub version: u64,
    /// The update is a snapshot: an endpoint that it leaves out is removed. If not set, it holds only the endpoints that changed.
    pub complete: bool,
    /// The endpoints, in the order of the message.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// An endpoint as the agent reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// Name of the endpoint, the same at all limiters.
    pub name: String,
    /// Address at which the endpoint accepts connections.
    pub address: SocketAddr,
    /// Name of the endpoint's zone; empty if the agent reports none.
    pub zone: String,
    /// Number of the endpoint's cell; 0 if the agent reports none.
    pub cell: u32,
    /// Whether the endpoint takes new requests, is draining or was removed.
    pub state: EndpointState,
    /// Capacity relative to other endpoints; 1 if the agent reports none.
    pub weight: f64,
    /// Unix time of the endpoint's last start; `None` if the agent reports none.
    pub started_at: Option<Duration>,
}

/// A message as the agent sends it, with its values unchecked. Converting it to a [`DiscoveryUpdate`] checks them.
#[derive(Deserialize)]
pub struct Message {
    #[serde(rename = "generation")]
    version: u64,
    #[serde(rename = "reset", default)]
    complete: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

/// An endpoint in the agent's message. Error texts of serde contain the name of this type.
#[derive(Deserialize)]
struct Instance {
    #[serde(rename = "instanceId")]
    name: String,
    #[serde(rename = "hostPort")]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: u32,
    #[serde(rename = "lifecycle")]
    state: String,
    weight: Option<f64>,
    #[serde(rename = "startedAtMs", default)]
    started_at_ms: u64,
}

impl Instance {
    /// Checks the values and converts them. `index` is the instance's position in the message, for errors.
    fn check(self, index: usize) -> Result<DiscoveredEndpoint, MessageError> {
        let state = match self.state.as_str() {
            "up" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "removed" => EndpointState::Removed,
            _ => {
                return Err(MessageError::Lifecycle {
                    index,
                    given: self.state,
                });
            }
        };
        let Ok(address) = self.address.parse() else {
            return Err(MessageError::Address {
                index,
                given: self.address,
            });
        };
        // The agent writes 0 if it does not know when the endpoint started.
        let started_at = Some(Duration::from_millis(self.started_at_ms)).filter(|at| !at.is_zero());
        Ok(DiscoveredEndpoint {
            name: self.name,
            address,
            zone: self.zone,
            cell: self.cell,
            state,
            weight: self.weight.unwrap_or(DEFAULT_WEIGHT),
            started_at,
        })
    }
}

impl TryFrom<Message> for DiscoveryUpdate {
    type Error = MessageError;

    fn try_from(message: Message) -> Result<DiscoveryUpdate, MessageError> {
        let instances = message.instances.into_iter().enumerate();
        let endpoints = instances
            .map(|(index, instance)| instance.check(index))
            .collect::<Result<_, _>>()?;
        Ok(DiscoveryUpdate {
            version: message.version,
            complete: message.complete,
            endpoints,
        })
    }
}

/// Decodes and checks a message.
///
/// # Errors
///
/// The first fault in the message. One invalid instance makes the whole message invalid.
pub fn decode(bytes: &[u8]) -> Result<DiscoveryUpdate, MessageError> {
    let message: Message = serde_json::from_slice(bytes)?;
    message.try_into()
}

#[cfg(test)]
mod tests;
