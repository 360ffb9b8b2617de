//! The section of the settings that only the socket layer uses.

use std::time::Duration;

/// Settings that only the socket layer uses: names that appear in HTTP messages, connection timeouts and where servers report
/// their load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SocketSettings {
    /// Names of the plans, by plan index.
    pub plans: Vec<String>,
    /// Names of the classes, by class index.
    pub classes: Vec<String>,
    /// Names of the zones, by zone index.
    pub zones: Vec<String>,
    /// Time after which a server closes an idle connection; zero if it is not set.
    pub server_idle_timeout: Duration,
    /// Time within which a connection must be established; zero if it is not set.
    pub connect_timeout: Duration,
    /// Every response of a server may carry a load report, also the response to a health check.
    pub load_reports_in_responses: bool,
    /// The response to a health check may carry a load report.
    pub load_reports_in_health_checks: bool,
}
