//! The settings as the limiter's parts take them.

use crate::error::SettingsError;
use crate::sections;
use crate::tree::SettingsTree;
use merlinreel_policy::{EndpointConfig, FleetConfig, Plan, RequestClass, RequestLimits};
use merlinreel_policy::{Limiter, LimiterConfig};
use std::time::Duration;

/// Everything that the operators' settings say to a limiter.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The customers' plans; requests refer to them by index.
    pub plans: Vec<Plan>,
    /// The classes of requests; requests refer to them by index.
    pub classes: Vec<RequestClass>,
    /// The limiters that share the quotas.
    pub fleet: FleetConfig,
    /// How endpoints join and leave, and how their list is obtained.
    pub endpoints: EndpointConfig,
    /// What may be done for one request.
    pub request_limits: RequestLimits,
    /// What only the socket layer needs.
    pub sockets: SocketSettings,
}

/// Settings that only the socket layer needs: the names that appear in messages, and how servers treat connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SocketSettings {
    /// The plans' names, in the order of [`Settings::plans`].
    pub plans: Vec<String>,
    /// The classes' names, in the order of [`Settings::classes`].
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

impl Settings {
    /// Decodes all sections.
    ///
    /// # Errors
    ///
    /// The first value that cannot be used.
    pub fn read(tree: &SettingsTree) -> Result<Settings, SettingsError> {
        let class_paths = tree.item_paths(sections::CLASSES)?;
        let plan_paths = tree.item_paths(sections::PLANS)?;
        Ok(Settings {
            plans: sections::plans(tree, &plan_paths)?,
            classes: sections::classes(tree, &class_paths)?,
            fleet: sections::fleet(tree)?,
            endpoints: sections::endpoints(tree)?,
            request_limits: sections::request_limits(tree)?,
            sockets: sections::sockets(tree, &plan_paths, &class_paths)?,
        })
    }

    /// A limiter with these settings. `seed` starts its random draws.
    pub fn limiter(&self, seed: u64) -> Limiter {
        let config = LimiterConfig {
            plans: self.plans.clone(),
            classes: self.classes.clone(),
            fleet: self.fleet,
            endpoints: self.endpoints,
            request_limits: self.request_limits,
        };
        Limiter::new(seed, config)
    }
}
