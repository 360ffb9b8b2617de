//! Reads the operators' settings, given by path, into what the module is started with. The bench gives
//! `path=value` pairs, the limiter's configuration nested JSON; both name the same things.

use merlinreel_policy::{
    EndpointConfig, FleetConfig, Idempotency, IdempotencyScope, Limiter, LimiterConfig, Plan,
    RequestClass, RequestLimits,
};
use serde_json::Value;
use std::collections::HashMap;
use std::time::Duration;

/// The most limiters that settings may name, far beyond any fleet. Each limiter keeps a few numbers of each other one, so
/// a slip of the pen must not fill its memory at start.
const MOST_LIMITERS: f64 = 65_536.0;

/// Values by their path; unknown paths are skipped, absent ones read as nothing.
#[derive(Debug, Default)]
pub struct Paths(HashMap<String, String>);

impl Paths {
    pub fn from_pairs(pairs: &[&str]) -> Result<Paths, String> {
        let mut map = HashMap::new();
        for pair in pairs {
            match pair.split_once('=') {
                Some((path, value)) => map.insert(path.to_owned(), value.to_owned()),
                None => return Err(format!("settings: '{pair}' is no path=value")),
            };
        }
        Ok(Paths(map))
    }

    pub fn from_json(value: &Value) -> Result<Paths, String> {
        if !value.is_object() {
            return Err("settings: not an object".to_owned());
        }
        let mut map = HashMap::new();
        flatten("", value, &mut map);
        Ok(Paths(map))
    }

    fn text(&self, path: &str) -> &str {
        self.0.get(path).map_or("-", String::as_str)
    }

    fn number(&self, path: &str) -> Result<f64, String> {
        match self.text(path) {
            "-" | "" => Ok(0.0),
            text => match text.parse::<f64>() {
                Ok(value) if value.is_finite() && value >= 0.0 => Ok(value),
                _ => Err(format!("setting {path}: '{text}' is not a number from 0")),
            },
        }
    }

    /// A number over 0 where one is given. Guards against a file that allows no attempts at all.
    fn positive(&self, path: &str) -> Result<f64, String> {
        let value = self.number(path)?;
        if value <= 0.0 && self.text(path) != "-" {
            return Err(format!(
                "setting {path}: '{}' is not a positive number",
                self.text(path)
            ));
        }
        Ok(value)
    }

    fn time(&self, path: &str) -> Result<Duration, String> {
        let seconds = self.number(path)?;
        Duration::try_from_secs_f64(seconds)
            .map_err(|_| format!("setting {path}: {seconds} is no time"))
    }

    fn flag(&self, path: &str) -> Result<bool, String> {
        match self.text(path) {
            "true" | "1" => Ok(true),
            "false" | "0" | "-" | "" => Ok(false),
            text => Err(format!(
                "setting {path}: '{text}' is neither true nor false"
            )),
        }
    }

    fn length(&self, path: &str) -> Result<usize, String> {
        match self.number(path)? {
            n if n <= 4096.0 => Ok(n as usize),
            n => Err(format!("setting {path}: {n} is too many")),
        }
    }

    /// A list of plain values.
    fn names(&self, path: &str) -> Vec<String> {
        let text = self.0.get(path).map_or("", String::as_str);
        text.split(',')
            .filter(|name| !name.is_empty())
            .map(str::to_owned)
            .collect()
    }
}

/// As the bench writes them: a list of objects by `.count` and numbers, one of plain values with commas.
fn flatten(path: &str, value: &Value, map: &mut HashMap<String, String>) {
    let below = |key: &str| {
        if path.is_empty() {
            key.to_owned()
        } else {
            format!("{path}.{key}")
        }
    };
    let plain = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    match value {
        Value::Object(members) => members
            .iter()
            .for_each(|(key, value)| flatten(&below(key), value, map)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            map.insert(below("count"), items.len().to_string());
            items
                .iter()
                .enumerate()
                .for_each(|(i, item)| flatten(&below(&i.to_string()), item, map));
        }
        Value::Array(items) => {
            // An empty list may stand for one of objects too.
            map.insert(below("count"), items.len().to_string());
            map.insert(
                path.to_owned(),
                items.iter().map(plain).collect::<Vec<_>>().join(","),
            );
        }
        other => {
            map.insert(path.to_owned(), plain(other));
        }
    }
}

/// What a limiter and its module are started with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub plans: Vec<Plan>,
    pub classes: Vec<RequestClass>,
    pub fleet: FleetConfig,
    pub endpoints: EndpointConfig,
    pub request_limits: RequestLimits,
    pub sockets: SocketSettings,
}

/// What only sockets need: the names on them, and what servers do with connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SocketSettings {
    pub plans: Vec<String>,
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    /// A server closes a connection idle for this long.
    pub server_idle: Duration,
    /// A connection not up by then is given up.
    pub connect_within: Duration,
    /// Any answer may carry a load report.
    pub loads_in_answers: bool,
    /// Only a probe's answer may.
    pub loads_in_probes: bool,
}

impl Settings {
    pub fn read(paths: &Paths) -> Result<Settings, String> {
        let each = |list: &str| -> Result<Vec<String>, String> {
            Ok((0..paths.length(&format!("{list}.count"))?)
                .map(|i| format!("{list}.{i}"))
                .collect())
        };
        let (lanes, tariffs) = (each("classes")?, each("packages")?);
        let name = |at: &String| paths.text(&format!("{at}.name")).to_owned();
        let how = paths.text("report.how");
        Ok(Settings {
            plans: tariffs
                .iter()
                .map(|at| plan(paths, at))
                .collect::<Result<_, _>>()?,
            classes: lanes
                .iter()
                .map(|at| class(paths, at))
                .collect::<Result<_, _>>()?,
            fleet: fleet(paths)?,
            endpoints: EndpointConfig {
                zone: paths.number("zone")? as u32,
                drain_grace: paths.time("rules.drainGraceS")?,
                slow_start_fraction: paths.number("rules.startCapacity")?,
                slow_start_duration: paths.time("rules.coldS")?,
                overload_factor: paths.number("rules.overloadFactor")?,
                overload_window: paths.time("rules.fallS")?,
                endpoint_polling: paths.text("discovery") == "subscribe",
                poll_deadline: paths.time("rules.askWithinS")?,
                health_checks: paths.flag("policyLimits.probes")?,
            },
            request_limits: RequestLimits {
                max_attempts: paths.positive("policyLimits.sendCap")?.max(1.0) as u32,
                hedging: paths.flag("policyLimits.secondCopies")?,
                cancellation: paths.flag("policyLimits.mayCancel")?,
                retry_after: paths.flag("policyLimits.retryAfter")?,
                max_retry_after: paths.time("policyLimits.maxRetryAfterS")?,
                max_in_flight: paths.number("policyLimits.mostHeld")? as usize,
            },
            sockets: SocketSettings {
                plans: tariffs.iter().map(name).collect(),
                classes: lanes.iter().map(name).collect(),
                zones: paths.names("dcs"),
                server_idle: paths.time("policyLimits.connIdleS")?,
                connect_within: paths.time("policyLimits.connectTimeoutS")?,
                loads_in_answers: how == "answers",
                loads_in_probes: how == "answers" || how == "probe",
            },
        })
    }

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

fn class(paths: &Paths, at: &str) -> Result<RequestClass, String> {
    let idempotency = match paths.text(&format!("{at}.idempotency")) {
        "read_like" => Idempotency::Idempotent,
        "idempotency_key" => {
            let group = match paths.text(&format!("{at}.group")) {
                "all" => IdempotencyScope::All,
                "zone" => IdempotencyScope::Zone,
                "cell" => IdempotencyScope::Cell,
                other => return Err(format!("setting {at}.group: unknown '{other}'")),
            };
            Idempotency::IdempotencyKey(group, paths.time(&format!("{at}.keyTtlS"))?)
        }
        "non_idempotent" => Idempotency::NonIdempotent,
        other => return Err(format!("setting {at}.idempotency: unknown '{other}'")),
    };
    Ok(RequestClass {
        latency_objective: paths.time(&format!("{at}.promiseS"))?,
        deadline: paths.time(&format!("{at}.hardLimitS"))?,
        priority_weight: paths.number(&format!("{at}.worth"))?,
        late_weight: paths.number(&format!("{at}.lateShare"))?,
        idempotency,
    })
}

fn plan(paths: &Paths, at: &str) -> Result<Plan, String> {
    let number = |name: &str| paths.number(&format!("{at}.{name}"));
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

fn fleet(paths: &Paths) -> Result<FleetConfig, String> {
    let limiters = paths.number("balancers")?.max(1.0);
    if limiters > MOST_LIMITERS {
        return Err(format!("setting balancers: {limiters} is out of range"));
    }
    let rank = paths.number("rank")?;
    if !(0.0..limiters).contains(&rank) {
        return Err(format!("setting rank: {rank} is not among {limiters}"));
    }
    Ok(FleetConfig {
        limiters: limiters as u32,
        me: rank as u32,
        peer_messages: paths.flag("policyLimits.peers")?,
        peer_inbox_rate: paths.number("familyInfo.inboxPerS")?,
        counter: paths.flag("familyInfo.hasCounter")?,
        settles: paths.flag("familyInfo.settles")?,
        max_units: paths.number("familyInfo.maxUnits")?.max(1.0),
    })
}

#[cfg(test)]
mod tests;
