//! Decodes and checks the discovery agent's messages. The agent's JSON names are mapped here and nowhere else.

use merlinreel_policy::EndpointState;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Weight of an endpoint whose message gives none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Why a message cannot be used. The list received before it stays in use.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message is not JSON of the agent's form.
    #[error("{0}; the agent's answer is no list")]
    Malformed(#[from] serde_json::Error),
    /// An instance's address must be an IP address and a port.
    #[error("instances[{index}].hostPort: '{given}' is no address and port")]
    Address {
        /// Position of the instance in the message.
        index: usize,
        /// The text that was given.
        given: String,
    },
    /// An instance's lifecycle must be one of the known ones.
    #[error("instances[{index}].lifecycle: unknown '{given}'; up, draining and removed are known")]
    Lifecycle {
        /// Position of the instance in the message.
        index: usize,
        /// The text that was given.
        given: String,
    },
}

/// A checked message.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryUpdate {
    /// The agent's number for this state of the list.
    pub version: u64,
    /// The message is a snapshot: an endpoint that it leaves out is removed. Otherwise it holds only changes.
    pub complete: bool,
    /// The endpoints, in the order of the message.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// An endpoint as the agent describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// The name by which all limiters know it.
    pub name: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Name of its zone; empty if the agent gives none.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Its capacity relative to other endpoints.
    pub weight: f64,
    /// Unix time of its last start, if the agent reports one.
    pub started_at: Option<Duration>,
}

/// A message as the agent sends it, not yet checked; [`DiscoveryUpdate`] is made from it.
#[derive(Deserialize)]
pub struct Message {
    #[serde(rename = "generation")]
    version: u64,
    #[serde(rename = "reset", default)]
    complete: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

/// The name of this type is part of the texts of errors.
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
    /// `index` is the instance's position in the message.
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
        // The agent writes 0 for a start that it does not know.
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
/// The first thing wrong with the message. One faulty instance fails all of the message.
pub fn decode(bytes: &[u8]) -> Result<DiscoveryUpdate, MessageError> {
    let message: Message = serde_json::from_slice(bytes)?;
    message.try_into()
}

#[cfg(test)]
mod tests;
