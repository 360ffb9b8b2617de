//! Decoders of the sections of the settings. Only this module maps the operators' key names to typed settings.

use crate::error::SettingsError;
use crate::socket_settings::SocketSettings;
use crate::tree::SettingsTree;
use merlinreel_policy::{
    EndpointConfig, FleetConfig, Idempotency, IdempotencyScope, Plan, RequestClass, RequestLimits,
};

/// Path of the list of request classes.
pub(crate) const CLASSES: &str = "classes";
/// Path of the list of plans.
pub(crate) const PLANS: &str = "packages";

/// Key of a plan's or a class's name.
const NAME: &str = "name";
/// Path of the number of limiters in the fleet.
const LIMITERS: &str = "balancers";
/// Path of this limiter's index in the fleet.
const RANK: &str = "rank";

/// Largest number of limiters in a fleet. A limiter keeps a few numbers for each other limiter; the bound keeps a mistyped
/// size from exhausting its memory at start.
const MAX_LIMITERS: f64 = 65_536.0;

pub(crate) fn plans(tree: &SettingsTree, paths: &[String]) -> Result<Vec<Plan>, SettingsError> {
    paths.iter().map(|path| plan(tree, path)).collect()
}

fn plan(tree: &SettingsTree, path: &str) -> Result<Plan, SettingsError> {
    let number = |key: &str| tree.number(&format!("{path}.{key}"));
    Ok(Plan {
        rate: number("unitsPerS")?,
        burst: number("mostAtOnce")?,
        max_concurrent: number("maxOut")? as u32,
        ceiling_rate: number("ceilingRate")?,
        ceiling_burst: number("capDepth")?,
        ceiling_slack: number("capSlack")?,
        plan_weight: number("price")?,
        overage_cost: number("overrunCost")?,
        overage_value: number("beyondEarns")?,
    })
}

pub(crate) fn classes(
    tree: &SettingsTree,
    paths: &[String],
) -> Result<Vec<RequestClass>, SettingsError> {
    paths.iter().map(|path| class(tree, path)).collect()
}

fn class(tree: &SettingsTree, path: &str) -> Result<RequestClass, SettingsError> {
    let idempotency = idempotency(tree, path)?;
    Ok(RequestClass {
        latency_objective: tree.duration(&format!("{path}.promiseS"))?,
        deadline: tree.duration(&format!("{path}.hardLimitS"))?,
        priority_weight: tree.number(&format!("{path}.worth"))?,
        late_weight: tree.number(&format!("{path}.lateShare"))?,
        idempotency,
    })
}

fn idempotency(tree: &SettingsTree, class_path: &str) -> Result<Idempotency, SettingsError> {
    let path = format!("{class_path}.idempotency");
    match tree.text(&path) {
        "read_like" => Ok(Idempotency::Idempotent),
        "idempotency_key" => {
            let scope = idempotency_scope(tree, class_path)?;
            let lifetime = tree.duration(&format!("{class_path}.keyTtlS"))?;
            Ok(Idempotency::IdempotencyKey(scope, lifetime))
        }
        "non_idempotent" => Ok(Idempotency::NonIdempotent),
        other => Err(SettingsError::UnknownValue {
            given: other.to_owned(),
            path,
        }),
    }
}

fn idempotency_scope(
    tree: &SettingsTree,
    class_path: &str,
) -> Result<IdempotencyScope, SettingsError> {
    let path = format!("{class_path}.group");
    match tree.text(&path) {
        "all" => Ok(IdempotencyScope::All),
        "zone" => Ok(IdempotencyScope::Zone),
        "cell" => Ok(IdempotencyScope::Cell),
        other => Err(SettingsError::UnknownValue {
            given: other.to_owned(),
            path,
        }),
    }
}

pub(crate) fn fleet(tree: &SettingsTree) -> Result<FleetConfig, SettingsError> {
    let limiters = tree.number(LIMITERS)?.max(1.0);
    if limiters > MAX_LIMITERS {
        return Err(SettingsError::FleetTooLarge {
            path: LIMITERS,
            count: limiters,
        });
    }
    let rank = tree.number(RANK)?;
    if !(0.0..limiters).contains(&rank) {
        return Err(SettingsError::RankOutOfRange {
            path: RANK,
            rank,
            limiters,
        });
    }
    Ok(FleetConfig {
        limiters: limiters as u32,
        own_index: rank as u32,
        peer_messages: tree.boolean("policyLimits.peers")?,
        peer_inbox_rate: tree.number("familyInfo.inboxPerS")?,
        counter: tree.boolean("familyInfo.hasCounter")?,
        settles_units: tree.boolean("familyInfo.settles")?,
        max_units: tree.number("familyInfo.maxUnits")?.max(1.0),
    })
}

pub(crate) fn endpoints(tree: &SettingsTree) -> Result<EndpointConfig, SettingsError> {
    Ok(EndpointConfig {
        zone: tree.number("zone")? as u32,
        drain_grace: tree.duration("rules.drainGraceS")?,
        slow_start_fraction: tree.number("rules.startCapacity")?,
        slow_start_duration: tree.duration("rules.coldS")?,
        overload_factor: tree.number("rules.overloadFactor")?,
        overload_window: tree.duration("rules.fallS")?,
        endpoint_polling: tree.text("discovery") == "subscribe",
        poll_deadline: tree.duration("rules.askWithinS")?,
        health_checks: tree.boolean("policyLimits.probes")?,
    })
}

pub(crate) fn request_limits(tree: &SettingsTree) -> Result<RequestLimits, SettingsError> {
    Ok(RequestLimits {
        max_attempts: tree.positive("policyLimits.sendCap")?.max(1.0) as u32,
        hedging: tree.boolean("policyLimits.secondCopies")?,
        cancellation: tree.boolean("policyLimits.mayCancel")?,
        retry_after: tree.boolean("policyLimits.retryAfter")?,
        max_retry_after: tree.duration("policyLimits.maxRetryAfterS")?,
        max_in_flight: tree.number("policyLimits.mostHeld")? as usize,
    })
}

pub(crate) fn sockets(
    tree: &SettingsTree,
    plan_paths: &[String],
    class_paths: &[String],
) -> Result<SocketSettings, SettingsError> {
    let load_reports = tree.text("report.how");
    let in_responses = load_reports == "answers";
    Ok(SocketSettings {
        plans: names(tree, plan_paths),
        classes: names(tree, class_paths),
        zones: tree.texts("dcs"),
        server_idle_timeout: tree.duration("policyLimits.connIdleS")?,
        connect_timeout: tree.duration("policyLimits.connectTimeoutS")?,
        load_reports_in_responses: in_responses,
        load_reports_in_health_checks: in_responses || load_reports == "probe",
    })
}

fn names(tree: &SettingsTree, paths: &[String]) -> Vec<String> {
    let name = |path: &String| tree.text(&format!("{path}.{NAME}")).to_owned();
    paths.iter().map(name).collect()
}
