//! The settings as the limiter's parts take them.

use crate::error::SettingsError;
use crate::sections;
use crate::socket_settings::SocketSettings;
use crate::tree::SettingsTree;
use merlinreel_policy::{
    EndpointConfig, FleetConfig, Limiter, LimiterConfig, Plan, RequestClass, RequestLimits,
};

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
