//! The environment's variables that stand in for keys of the file.

use super::error::ConfigError;
use std::net::SocketAddr;

/// Path of the configuration file.
pub const CONFIG: &str = "PROXY_CONFIG";
/// Stands in for `name`.
pub const NAME: &str = "PROXY_NAME";
/// Stands in for `listen`.
pub const LISTEN: &str = "PROXY_LISTEN";
/// Stands in for `discovery`.
pub const DISCOVERY: &str = "PROXY_DISCOVERY";
/// Stands in for `ops`.
pub const ADMIN: &str = "PROXY_OPS";

/// The address that the file gives under `key`, else that of the variable `name`.
///
/// # Errors
///
/// There is neither, or the variable holds no address.
pub fn address_or_variable(
    key: &'static str,
    given: Option<SocketAddr>,
    name: &'static str,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<SocketAddr, ConfigError> {
    if let Some(address) = given {
        return Ok(address);
    }
    let text = variable(name).ok_or(ConfigError::Missing {
        key,
        variable: name,
    })?;
    text.parse().map_err(|_| ConfigError::InvalidAddress {
        variable: name,
        given: text,
    })
}
