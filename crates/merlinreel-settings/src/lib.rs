//! Decodes the operators' settings into typed configuration.
//!
//! Settings are addressed by dotted paths such as `policyLimits.sendCap`. The simulator gives them as `path=value` pairs and
//! the configuration file as nested JSON. Both are read into a [`SettingsTree`], from which [`Settings::read`] decodes each
//! section. The names of the keys appear only in the module `sections`.

#![warn(missing_docs)]

mod error;
mod sections;
mod settings;
mod socket_settings;
mod tree;

pub use error::SettingsError;
pub use settings::Settings;
pub use socket_settings::SocketSettings;
pub use tree::SettingsTree;

#[cfg(test)]
mod tests;
