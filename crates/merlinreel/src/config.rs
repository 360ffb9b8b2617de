//! The one place where the configuration is read, checked and given defaults; a faulty key is named.
//! Values of the environment stand in for keys that the file leaves out.

pub mod limits;

use crate::config::limits::{CapacityError, Limits};
use crate::log;
use crate::mesh::Ground;
use merlinreel_discovery::{DiscoveryUpdate, Message, MessageError};
use merlinreel_settings::{Settings, SettingsError, SettingsTree};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use thiserror::Error;

/// What is wrong with a configuration: the key at fault first, then what it should be.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("PROXY_CONFIG is not set: it names the configuration file")]
    NoFile,
    #[error("{path}: {error}; the file must be there and readable by the limiter's user")]
    Unread { path: String, error: std::io::Error },
    #[error("{path}: {error}")]
    In {
        path: String,
        error: Box<ConfigError>,
    },
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("{key}: {error}")]
    Key {
        key: String,
        error: serde_json::Error,
    },
    #[error("{key}: is missing, and {variable} is not set")]
    Missing {
        key: &'static str,
        variable: &'static str,
    },
    #[error("{variable}: '{given}' is no address and port")]
    NoAddress {
        variable: &'static str,
        given: String,
    },
    #[error("settings: is missing")]
    NoSettings,
    #[error("{0}")]
    Settings(#[from] SettingsError),
    #[error("setting {key}: is missing")]
    SettingMissing { key: String },
    #[error("setting {key}.name: is missing or stands there twice")]
    Name { key: String },
    #[error("setting {0}: is empty")]
    Empty(&'static str),
    #[error("setting familyInfo.hasCounter: this limiter speaks no counter's protocol")]
    Counter,
    #[error("peers: {given} addresses, but setting balancers says {wanted}")]
    FleetConfig { given: usize, wanted: usize },
    #[error("peers: {0} stands there twice")]
    PeerTwice(SocketAddr),
    #[error("seed: '{0}' is not 16 hex digits")]
    Seed(String),
    #[error(transparent)]
    Room(#[from] CapacityError),
    #[error("known.{0}")]
    Known(#[from] MessageError),
}

/// What a limiter is run with.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The operators' door, where there is one.
    pub ops: Option<SocketAddr>,
    /// Where peer messages arrive, and every limiter's address by its number, this one's included.
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub seed: u64,
    pub limits: Limits,
    pub terms: Settings,
    /// The server list as this limiter last had it.
    pub known: Option<DiscoveryUpdate>,
    /// The mesh of limiters, where this one takes part.
    pub mesh: Option<Ground>,
    /// Keys of the file that mean nothing here: misspelt, or meant for another version.
    pub unknown: Vec<String>,
}

#[derive(Deserialize, Default)]
struct File {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    ops: Option<SocketAddr>,
    seed: Option<Seed>,
    #[serde(default)]
    limits: Room,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    known: Option<Message>,
    settings: Option<serde_json::Value>,
    mesh: Option<Ground>,
    /// Peer messages go to one limiter at a time.
    #[serde(rename = "peers_all")]
    _peers_all: Option<serde_json::Value>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Seed {
    Number(u64),
    Hex(String),
}

#[derive(Deserialize, Default)]
struct Room {
    memory_mb: Option<u32>,
    sockets: Option<u32>,
    /// One thread takes one core at most, as it is.
    #[serde(rename = "cores")]
    _cores: Option<serde_json::Value>,
}

/// Memory and descriptors where the file does not tell; enough for a small machine.
const MEMORY_MB: u32 = 192;
const SOCKETS: u32 = 1024;

/// Reads the file named by `PROXY_CONFIG`, with the environment's own values where it leaves them out.
pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<GatewayConfig, ConfigError> {
    let path = variable("PROXY_CONFIG").ok_or(ConfigError::NoFile)?;
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return Err(ConfigError::Unread { path, error }),
    };
    parse(&text, variable).map_err(|error| ConfigError::In {
        path,
        error: Box::new(error),
    })
}

/// Reads the file again, for a limiter that runs. The address of discovery and the settings are taken over (of
/// these the module takes classes and attempts), and the keys of the mesh; all else holds until the next start; a faulty file is named and changes nothing. Whether the file was taken.
pub fn reread(present: &mut GatewayConfig, variable: impl Fn(&str) -> Option<String>) -> bool {
    let new = match read(variable) {
        Ok(new) => new,
        Err(what) => {
            log!("configuration, read again: {what}; the one before stands");
            return false;
        }
    };
    log!(
        "configuration, read again: the server list is watched at {}",
        new.discovery
    );
    let kept = [
        ("name", new.name != present.name),
        ("listen", new.listen != present.listen),
        ("peer_listen", new.peer_listen != present.peer_listen),
        ("peers", new.peers != present.peers),
        ("limits", new.limits != present.limits),
        ("mesh", but_keys(&new.mesh) != but_keys(&present.mesh)),
    ];
    for (key, _) in kept.iter().filter(|(_, changed)| *changed) {
        log!("configuration, read again: {key} is another, which holds from the next start on");
    }
    if new.terms != present.terms {
        log!(
            "configuration, read again: settings taken over: classes and attempts now, the rest from the next start"
        );
    }
    present.discovery = new.discovery;
    present.terms = new.terms;
    if let (Some(present), Some(new)) = (&mut present.mesh, new.mesh) {
        (present.keys, present.sign_with) = (new.keys, new.sign_with);
    }
    true
}

/// The section without what is taken over while the limiter runs.
fn but_keys(ground: &Option<Ground>) -> Option<Ground> {
    ground.clone().map(|ground| Ground {
        keys: Vec::new(),
        sign_with: None,
        ..ground
    })
}

/// Checks a configuration; a complaint begins with the key at fault.
pub fn parse(
    text: &str,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<GatewayConfig, ConfigError> {
    let (mut json, mut track) = (
        serde_json::Deserializer::from_str(text),
        serde_path_to_error::Track::new(),
    );
    let mut unknown = Vec::new();
    let reader = serde_path_to_error::Deserializer::new(&mut json, &mut track);
    let file = serde_ignored::deserialize(reader, |path| unknown.push(path.to_string()));
    let file: File = file
        .and_then(|file| json.end().map(|()| file))
        .map_err(|error| {
            let key = track.path().to_string();
            if key == "." {
                ConfigError::Json(error)
            } else {
                ConfigError::Key { key, error }
            }
        })?;
    // Discovery's lists may hold more than is read here.
    unknown.retain(|key| !key.starts_with("known."));
    let address =
        |key, given: Option<SocketAddr>, variable_named| match (given, variable(variable_named)) {
            (Some(address), _) => Ok(address),
            (None, Some(given)) => given.parse().map_err(|_| ConfigError::NoAddress {
                variable: variable_named,
                given,
            }),
            (None, None) => Err(ConfigError::Missing {
                key,
                variable: variable_named,
            }),
        };
    let settings = file.settings.ok_or(ConfigError::NoSettings)?;
    let terms = Settings::read(&SettingsTree::from_json(&settings)?)?;
    checked(&terms)?;
    if terms.fleet.peer_messages && file.peer_listen.is_some() {
        let (given, wanted) = (file.peers.len(), terms.fleet.limiters as usize);
        if given != wanted {
            return Err(ConfigError::FleetConfig { given, wanted });
        }
        let mut seen = HashSet::new();
        if let Some(twice) = file.peers.iter().find(|&peer| !seen.insert(peer)) {
            return Err(ConfigError::PeerTwice(*twice));
        }
    }
    let seed = match file.seed {
        None => std::process::id().into(),
        Some(Seed::Number(seed)) => seed,
        Some(Seed::Hex(text)) => {
            u64::from_str_radix(&text, 16).map_err(|_| ConfigError::Seed(text))?
        }
    };
    Ok(GatewayConfig {
        name: file
            .name
            .or_else(|| variable("PROXY_NAME"))
            .unwrap_or_else(|| "merlinreel".to_owned()),
        listen: address("listen", file.listen, "PROXY_LISTEN")?,
        discovery: address("discovery", file.discovery, "PROXY_DISCOVERY")?,
        ops: match (file.ops, variable("PROXY_OPS")) {
            (None, None) => None,
            (given, _) => Some(address("ops", given, "PROXY_OPS")?),
        },
        mesh: file.mesh.map(|ground| Ground {
            limiters: terms.fleet.limiters as usize,
            ..ground
        }),
        peer_listen: file.peer_listen,
        peers: file.peers,
        seed,
        limits: Limits::new(
            file.limits.sockets.unwrap_or(SOCKETS),
            file.limits.memory_mb.unwrap_or(MEMORY_MB),
            &terms,
        )?,
        known: file.known.map(DiscoveryUpdate::try_from).transpose()?,
        terms,
        unknown,
    })
}

/// What the bench may leave out, but sockets need.
fn checked(terms: &Settings) -> Result<(), ConfigError> {
    if terms.fleet.counter {
        return Err(ConfigError::Counter);
    }
    let needed = [
        ("classes", &terms.sockets.classes),
        ("packages", &terms.sockets.plans),
    ];
    for (list, names) in needed {
        if names.is_empty() {
            return Err(ConfigError::Empty(list));
        }
        let mut seen = HashSet::new();
        for (i, name) in names.iter().enumerate() {
            if name == "-" || !seen.insert(name) {
                return Err(ConfigError::Name {
                    key: format!("{list}.{i}"),
                });
            }
        }
    }
    for (i, class) in terms.classes.iter().enumerate() {
        if class.deadline.is_zero() {
            return Err(ConfigError::SettingMissing {
                key: format!("classes.{i}.hardLimitS"),
            });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
