//! What only the socket layer needs of the settings.

use std::time::Duration;

/// Settings that only the socket layer needs: the names that appear in messages, and how servers treat connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SocketSettings {
    /// The plans' names, in the order of the settings.
    pub plans: Vec<String>,
    /// The classes' names, in the order of the settings.
    pub classes: Vec<String>,
    /// The zones' names, by zone index.
    pub zones: Vec<String>,
    /// A server closes a connection that was idle for this long; zero if it is not set.
    pub server_idle_timeout: Duration,
    /// Time within which a connection must be established; zero if it is not set.
    pub connect_timeout: Duration,
    /// Any response of a server may carry a load report.
    pub load_reports_in_responses: bool,
    /// The response to a health check may carry a load report.
    pub load_reports_in_health_checks: bool,
}
