//! All measurements by the name of their role and variable, each with the sizes that it is made at by default.

use super::{DataPoint, MeasureRequest, ScaleError};
use super::{configuration, latency, membership, quotas, server_list, tenants};

/// Receives data points as they are measured.
pub type Emit<'a> = &'a mut dyn FnMut(DataPoint) -> Result<(), ScaleError>;

/// The measurement of a role by one variable.
pub struct Measurement {
    /// The part of the program that is measured.
    pub role: &'static str,
    /// What is varied.
    pub variable: &'static str,
    /// The default sizes, in ascending order.
    pub sizes: &'static [u64],
    /// Measures at the sizes of a request.
    pub run: fn(&MeasureRequest, Emit) -> Result<(), ScaleError>,
}

/// Servers in the list where the limiters that restart are varied.
const SERVERS_AT_RESTARTS: u64 = 160_000;

macro_rules! measurement {
    ($role:literal, $variable:literal, $sizes:expr, $run:expr) => {
        Measurement {
            role: $role,
            variable: $variable,
            sizes: $sizes,
            run: |request, emit| $run(request, emit),
        }
    };
}

/// All measurements, in the order in which a run of all makes them: the one that is sensitive to other load first.
pub fn measurements() -> Vec<Measurement> {
    vec![
        measurement!(
            "request_path",
            "rate",
            latency::RATE_SIZES,
            latency::measure_rate
        ),
        measurement!(
            "request_path",
            "servers",
            latency::SERVERS_SIZES,
            latency::measure_servers
        ),
        measurement!(
            "request_path",
            "answer",
            latency::RESPONSE_SIZES,
            latency::measure_response_sizes
        ),
        measurement!(
            "server_list",
            "servers",
            server_list::DEFAULT_SIZES,
            server_list::measure
        ),
        measurement!(
            "server_list",
            "restarts",
            server_list::RESTARTING_LIMITER_SIZES,
            |request, emit| {
                server_list::measure_limiters_restarting(request, SERVERS_AT_RESTARTS, emit)
            }
        ),
        measurement!(
            "tenants",
            "tenants",
            tenants::DEFAULT_SIZES,
            tenants::measure
        ),
        measurement!(
            "tenants",
            "set_size",
            tenants::SET_SIZES,
            tenants::measure_sets
        ),
        measurement!(
            "tenants",
            "fleet",
            tenants::FLEET_SIZES,
            tenants::measure_fleet
        ),
        measurement!(
            "configuration",
            "routes",
            configuration::DEFAULT_SIZES,
            configuration::measure
        ),
        measurement!(
            "configuration",
            "plans",
            configuration::PLAN_SIZES,
            configuration::measure_plans
        ),
        measurement!(
            "configuration",
            "reloads",
            configuration::RELOAD_SIZES,
            configuration::measure_reloads
        ),
        measurement!("quotas", "limiters", quotas::DEFAULT_SIZES, quotas::measure),
        measurement!(
            "quotas",
            "set_size",
            quotas::SET_SIZES,
            quotas::measure_set_sizes
        ),
        measurement!(
            "quotas",
            "customers",
            quotas::CUSTOMER_SIZES,
            quotas::measure_customers
        ),
        measurement!(
            "quotas",
            "pressed",
            quotas::OVERLOADED_SIZES,
            quotas::measure_overloaded
        ),
        measurement!(
            "quotas",
            "restarts",
            quotas::RESTART_SIZES,
            quotas::measure_restarts
        ),
        measurement!(
            "quotas",
            "tenants",
            quotas::TENANT_SIZES,
            quotas::measure_tenants
        ),
        measurement!(
            "quotas",
            "reported_tenants",
            quotas::REPORTED_TENANT_SIZES,
            quotas::measure_reported_tenants
        ),
        measurement!(
            "membership",
            "limiters",
            membership::DEFAULT_SIZES,
            membership::measure
        ),
        measurement!(
            "membership",
            "changes",
            membership::CHANGE_SIZES,
            membership::measure_changes
        ),
        measurement!(
            "membership",
            "restarts",
            membership::RESTART_SIZES,
            membership::measure_restarts
        ),
        measurement!(
            "membership",
            "restart_of_one",
            membership::RESTART_OF_ONE_SIZES,
            membership::measure_restart_of_one
        ),
    ]
}

/// The measurements of a role and of a variable, where they are given.
///
/// # Errors
/// There is none.
pub fn select(role: Option<&str>, variable: Option<&str>) -> Result<Vec<Measurement>, ScaleError> {
    let matches = |one: &Measurement| {
        role.is_none_or(|role| role == one.role)
            && variable.is_none_or(|variable| variable == one.variable)
    };
    let selected: Vec<Measurement> = measurements().into_iter().filter(matches).collect();
    if !selected.is_empty() {
        return Ok(selected);
    }
    let given = [role, variable]
        .into_iter()
        .flatten()
        .collect::<Vec<_>>()
        .join(" ");
    Err(ScaleError::Argument {
        option: "role",
        given,
        why: "no measurement has this role and variable",
        expected: "one that `scale list` names",
    })
}

#[cfg(test)]
mod tests;
