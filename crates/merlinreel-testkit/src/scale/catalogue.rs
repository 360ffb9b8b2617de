//! The catalogue of all measurements by role and variable, with their default sizes.

use super::{Emit, MeasureRequest, ScaleError};
use super::{configuration, latency, membership, quotas, server_list, tenants};

/// Measures at each size of a request and emits the data points.
pub type Run = fn(&MeasureRequest, Emit) -> Result<(), ScaleError>;

/// The measurement of a role by one variable.
pub struct Measurement {
    /// Measured part of the program, as in [`DataPoint::role`](super::DataPoint::role).
    pub role: &'static str,
    /// The quantity that is varied, by its name on the command line; data points may name it differently.
    pub variable: &'static str,
    /// The default sizes, in ascending order.
    pub sizes: &'static [u64],
    /// Runs the measurement.
    pub run: Run,
}

/// Servers in the server list while the number of restarting limiters is varied.
const SERVERS_AT_RESTARTS: u64 = 160_000;

/// Name of a role on the command line; creates the role's measurements.
struct Role(&'static str);

impl Role {
    fn measurement(&self, variable: &'static str, sizes: &'static [u64], run: Run) -> Measurement {
        Measurement {
            role: self.0,
            variable,
            sizes,
            run,
        }
    }
}

/// All measurements in the order in which they run: those of the request path first, as other load distorts them.
pub fn measurements() -> Vec<Measurement> {
    let mut all = request_path_measurements();
    all.extend(server_list_measurements());
    all.extend(tenants_measurements());
    all.extend(configuration_measurements());
    all.extend(quotas_measurements());
    all.extend(membership_measurements());
    all
}

fn request_path_measurements() -> Vec<Measurement> {
    let role = Role("request_path");
    vec![
        role.measurement("rate", latency::RATE_SIZES, latency::measure_rate),
        role.measurement("servers", latency::SERVERS_SIZES, latency::measure_servers),
        role.measurement(
            "answer",
            latency::RESPONSE_SIZES,
            latency::measure_response_sizes,
        ),
    ]
}

fn server_list_measurements() -> Vec<Measurement> {
    let role = Role("server_list");
    vec![
        role.measurement("servers", server_list::DEFAULT_SIZES, server_list::measure),
        role.measurement(
            "restarts",
            server_list::RESTARTING_LIMITER_SIZES,
            |request, emit| {
                server_list::measure_limiters_restarting(request, SERVERS_AT_RESTARTS, emit)
            },
        ),
    ]
}

fn tenants_measurements() -> Vec<Measurement> {
    let role = Role("tenants");
    vec![
        role.measurement("tenants", tenants::DEFAULT_SIZES, tenants::measure),
        role.measurement("set_size", tenants::SET_SIZES, tenants::measure_sets),
        role.measurement("fleet", tenants::FLEET_SIZES, tenants::measure_fleet),
    ]
}

fn configuration_measurements() -> Vec<Measurement> {
    let role = Role("configuration");
    vec![
        role.measurement(
            "routes",
            configuration::DEFAULT_SIZES,
            configuration::measure,
        ),
        role.measurement(
            "plans",
            configuration::PLAN_SIZES,
            configuration::measure_plans,
        ),
        role.measurement(
            "reloads",
            configuration::RELOAD_SIZES,
            configuration::measure_reloads,
        ),
    ]
}

fn quotas_measurements() -> Vec<Measurement> {
    let role = Role("quotas");
    vec![
        role.measurement("limiters", quotas::DEFAULT_SIZES, quotas::measure),
        role.measurement("set_size", quotas::SET_SIZES, quotas::measure_set_sizes),
        role.measurement(
            "customers",
            quotas::CUSTOMER_SIZES,
            quotas::measure_customers,
        ),
        role.measurement(
            "pressed",
            quotas::OVERLOADED_SIZES,
            quotas::measure_overloaded,
        ),
        role.measurement("restarts", quotas::RESTART_SIZES, quotas::measure_restarts),
        role.measurement("tenants", quotas::TENANT_SIZES, quotas::measure_tenants),
        role.measurement(
            "reported_tenants",
            quotas::REPORTED_TENANT_SIZES,
            quotas::measure_reported_tenants,
        ),
    ]
}

fn membership_measurements() -> Vec<Measurement> {
    let role = Role("membership");
    vec![
        role.measurement("limiters", membership::DEFAULT_SIZES, membership::measure),
        role.measurement(
            "changes",
            membership::CHANGE_SIZES,
            membership::measure_changes,
        ),
        role.measurement(
            "restarts",
            membership::RESTART_SIZES,
            membership::measure_restarts,
        ),
        role.measurement(
            "restart_of_one",
            membership::RESTART_OF_ONE_SIZES,
            membership::measure_restart_of_one,
        ),
    ]
}

/// The measurements of a role and a variable; `None` selects any.
///
/// # Errors
/// No measurement has this role and variable.
pub fn select(role: Option<&str>, variable: Option<&str>) -> Result<Vec<Measurement>, ScaleError> {
    let matches = |measurement: &Measurement| {
        role.is_none_or(|role| role == measurement.role)
            && variable.is_none_or(|variable| variable == measurement.variable)
    };
    let selected: Vec<Measurement> = measurements().into_iter().filter(matches).collect();
    if !selected.is_empty() {
        return Ok(selected);
    }
    let value = [role, variable]
        .into_iter()
        .flatten()
        .collect::<Vec<_>>()
        .join(" ");
    Err(ScaleError::Argument {
        option: "role",
        value,
        problem: "no measurement has this role and variable",
        expected: "a role and variable printed by `scale list`",
    })
}

#[cfg(test)]
mod tests;
