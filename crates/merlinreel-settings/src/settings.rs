//! The decoded settings, grouped by the part of the limiter that uses them.

use crate::error::SettingsError;
use crate::sections;
use crate::socket_settings::SocketSettings;
use crate::tree::SettingsTree;
use merlinreel_policy::{
    EndpointConfig, FleetConfig, Limiter, LimiterConfig, Plan, RequestClass, RequestLimits,
};

/// All settings of a limiter.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Plans of customers; a request refers to its plan by index.
    pub plans: Vec<Plan>,
    /// Classes of requests; a request refers to its class by index.
    pub classes: Vec<RequestClass>,
    /// The fleet of limiters that share the quotas, this limiter's index in it, and how usage is shared.
    pub fleet: FleetConfig,
    /// Slow start, overload, drain and health checks of endpoints, and how the endpoint list is obtained.
    pub endpoints: EndpointConfig,
    /// Which actions are allowed for a request, and how many requests may be in flight.
    pub request_limits: RequestLimits,
    /// Settings that only the socket layer uses.
    pub sockets: SocketSettings,
}

impl Settings {
    /// Decodes all sections of the settings.
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

    /// Creates a limiter with these settings. `seed` initializes its random number generator.
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
