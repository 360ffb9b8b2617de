//! Checks beyond the types of single keys: settings that a simulation may leave out but a real process needs.

use super::error::ConfigError;
use merlinreel_settings::Settings;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Placeholder in the settings for the name of a class or plan that has none.
const UNNAMED: &str = "-";

/// Checks that the settings are complete.
///
/// # Errors
///
/// A class or plan has no name or one that is used twice, a class has no deadline, there is no class or no plan, or a
/// counter service is enabled.
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

/// Checks that there is one distinct address for each of the `limiters`.
///
/// # Errors
///
/// The number of addresses differs from `limiters`, or two addresses are equal.
pub fn check_peers(peers: &[SocketAddr], limiters: usize) -> Result<(), ConfigError> {
    if peers.len() != limiters {
        return Err(ConfigError::PeerCount {
            given: peers.len(),
            expected: limiters,
        });
    }
    let mut seen = HashSet::new();
    match peers.iter().find(|&peer| !seen.insert(peer)) {
        Some(duplicate) => Err(ConfigError::DuplicatePeer(*duplicate)),
        None => Ok(()),
    }
}
