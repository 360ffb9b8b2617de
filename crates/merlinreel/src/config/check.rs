//! Checks that no single key's type expresses: what a simulation may leave out but sockets need.

use super::error::ConfigError;
use merlinreel_settings::Settings;
use std::collections::HashSet;
use std::net::SocketAddr;

/// The name that the settings give to a class or plan without one.
const UNNAMED: &str = "-";

/// Checks that the settings are complete.
///
/// # Errors
///
/// A class or plan has no name of its own, a class has no deadline, or a counter service is wanted.
pub fn check_settings(settings: &Settings) -> Result<(), ConfigError> {
    if settings.fleet.counter {
        return Err(ConfigError::CounterUnsupported);
    }
    check_names("classes", &settings.sockets.classes)?;
    check_names("packages", &settings.sockets.plans)?;
    for (i, class) in settings.classes.iter().enumerate() {
        if class.deadline.is_zero() {
            return Err(ConfigError::SettingMissing {
                key: format!("classes.{i}.hardLimitS"),
            });
        }
    }
    Ok(())
}

fn check_names(list: &'static str, names: &[String]) -> Result<(), ConfigError> {
    if names.is_empty() {
        return Err(ConfigError::Empty(list));
    }
    let mut seen = HashSet::new();
    for (i, name) in names.iter().enumerate() {
        if name == UNNAMED || !seen.insert(name) {
            return Err(ConfigError::InvalidName {
                key: format!("{list}.{i}"),
            });
        }
    }
    Ok(())
}

/// Checks that every one of `limiters` has an address of its own.
///
/// # Errors
///
/// There are more or fewer addresses, or one of them twice.
pub fn check_peers(peers: &[SocketAddr], limiters: usize) -> Result<(), ConfigError> {
    if peers.len() != limiters {
        return Err(ConfigError::PeerCount {
            given: peers.len(),
            wanted: limiters,
        });
    }
    let mut seen = HashSet::new();
    match peers.iter().find(|&peer| !seen.insert(peer)) {
        Some(duplicate) => Err(ConfigError::DuplicatePeer(*duplicate)),
        None => Ok(()),
    }
}
