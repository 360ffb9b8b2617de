//! Environment variables: the path of the configuration file, and fallbacks for keys that the file leaves out.

use super::error::ConfigError;
use std::net::SocketAddr;

/// Path of the configuration file.
pub const CONFIG: &str = "PROXY_CONFIG";
/// Fallback for the key `name`.
pub const NAME: &str = "PROXY_NAME";
/// Fallback for the key `listen`.
pub const LISTEN: &str = "PROXY_LISTEN";
/// Fallback for the key `discovery`.
pub const DISCOVERY: &str = "PROXY_DISCOVERY";
/// Fallback for the key `ops`.
pub const ADMIN: &str = "PROXY_OPS";
/// Folder that both processes of an upgrade use.
pub const SHARED_FOLDER: &str = "TMPDIR";

/// Returns the address `given` in the file under `key`, or else the one in the environment variable `name`, which `variable`
/// looks up.
///
/// # Errors
///
/// Neither is set, or the environment variable does not hold an address.
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
