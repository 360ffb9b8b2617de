//! All measurements by the name of their role and variable, each with the sizes that it is made at by default.

use super::{Emit, MeasureRequest, ScaleError};
use super::{configuration, latency, membership, quotas, server_list, tenants};

/// Measures at the sizes of a request.
pub type Run = fn(&MeasureRequest, Emit) -> Result<(), ScaleError>;

/// The measurement of a role by one variable.
pub struct Measurement {
    /// The part of the program that is measured.
    pub role: &'static str,
    /// What is varied.
    pub variable: &'static str,
    /// The default sizes, in ascending order.
    pub sizes: &'static [u64],
    /// Measures at the sizes of a request.
    pub run: Run,
}

/// Servers in the list where the limiters that restart are varied.
const SERVERS_AT_RESTARTS: u64 = 160_000;

/// A role by its name on the command line.
struct Role(&'static str);

impl Role {
    fn by(&self, variable: &'static str, sizes: &'static [u64], run: Run) -> Measurement {
        Measurement {
            role: self.0,
            variable,
            sizes,
            run,
        }
    }
}

/// All measurements, in the order in which a run of all makes them: the one that is sensitive to other load first.
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
        role.by("rate", latency::RATE_SIZES, latency::measure_rate),
        role.by("servers", latency::SERVERS_SIZES, latency::measure_servers),
        role.by(
            "answer",
            latency::RESPONSE_SIZES,
            latency::measure_response_sizes,
        ),
    ]
}

fn server_list_measurements() -> Vec<Measurement> {
    let role = Role("server_list");
    vec![
        role.by("servers", server_list::DEFAULT_SIZES, server_list::measure),
        role.by(
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
        role.by("tenants", tenants::DEFAULT_SIZES, tenants::measure),
        role.by("set_size", tenants::SET_SIZES, tenants::measure_sets),
        role.by("fleet", tenants::FLEET_SIZES, tenants::measure_fleet),
    ]
}

fn configuration_measurements() -> Vec<Measurement> {
    let role = Role("configuration");
    vec![
        role.by(
            "routes",
            configuration::DEFAULT_SIZES,
            configuration::measure,
        ),
        role.by(
            "plans",
            configuration::PLAN_SIZES,
            configuration::measure_plans,
        ),
        role.by(
            "reloads",
            configuration::RELOAD_SIZES,
            configuration::measure_reloads,
        ),
    ]
}

fn quotas_measurements() -> Vec<Measurement> {
    let role = Role("quotas");
    vec![
        role.by("limiters", quotas::DEFAULT_SIZES, quotas::measure),
        role.by("set_size", quotas::SET_SIZES, quotas::measure_set_sizes),
        role.by(
            "customers",
            quotas::CUSTOMER_SIZES,
            quotas::measure_customers,
        ),
        role.by(
            "pressed",
            quotas::OVERLOADED_SIZES,
            quotas::measure_overloaded,
        ),
        role.by("restarts", quotas::RESTART_SIZES, quotas::measure_restarts),
        role.by("tenants", quotas::TENANT_SIZES, quotas::measure_tenants),
        role.by(
            "reported_tenants",
            quotas::REPORTED_TENANT_SIZES,
            quotas::measure_reported_tenants,
        ),
    ]
}

fn membership_measurements() -> Vec<Measurement> {
    let role = Role("membership");
    vec![
        role.by("limiters", membership::DEFAULT_SIZES, membership::measure),
        role.by(
            "changes",
            membership::CHANGE_SIZES,
            membership::measure_changes,
        ),
        role.by(
            "restarts",
            membership::RESTART_SIZES,
            membership::measure_restarts,
        ),
        role.by(
            "restart_of_one",
            membership::RESTART_OF_ONE_SIZES,
            membership::measure_restart_of_one,
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
