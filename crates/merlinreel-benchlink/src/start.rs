//! Reads the first message of an instance into what the module is started with.

use merlinreel_core::decide::Limiter;
use merlinreel_core::{Category, Group, JobRules, Peers, Plan, Repeats, ServerRules};
use std::collections::HashMap;
use std::time::Duration;

/// The `path=value` pairs; unknown paths are skipped, absent ones read as nothing.
struct Pairs<'a>(HashMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn text(&self, path: &str) -> &'a str {
        self.0.get(path).copied().unwrap_or("-")
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

    fn time(&self, path: &str) -> Result<Duration, String> {
        let seconds = self.number(path)?;
        Duration::try_from_secs_f64(seconds).map_err(|_| format!("setting {path}: {seconds} is no time"))
    }

    fn flag(&self, path: &str) -> Result<bool, String> {
        match self.text(path) {
            "true" | "1" => Ok(true),
            "false" | "0" | "-" | "" => Ok(false),
            text => Err(format!("setting {path}: '{text}' is neither true nor false")),
        }
    }

    fn length(&self, path: &str) -> Result<usize, String> {
        match self.number(path)? {
            n if n <= 4096.0 => Ok(n as usize),
            n => Err(format!("setting {path}: {n} is too many")),
        }
    }
}

fn category(pairs: &Pairs, at: &str) -> Result<Category, String> {
    let repeats = match pairs.text(&format!("{at}.idempotency")) {
        "read_like" => Repeats::Replayable,
        "idempotency_key" => {
            let group = match pairs.text(&format!("{at}.group")) {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(format!("setting {at}.group: unknown '{other}'")),
            };
            Repeats::Referenced(group, pairs.time(&format!("{at}.keyTtlS"))?)
        }
        "non_idempotent" => Repeats::SingleUse,
        other => return Err(format!("setting {at}.idempotency: unknown '{other}'")),
    };
    Ok(Category {
        target_time: pairs.time(&format!("{at}.promiseS"))?,
        outer_limit: pairs.time(&format!("{at}.hardLimitS"))?,
        gain: pairs.number(&format!("{at}.worth"))?,
        late_gain: pairs.number(&format!("{at}.lateShare"))?,
        repeats,
    })
}

fn plan(pairs: &Pairs, at: &str) -> Result<Plan, String> {
    let number = |name: &str| pairs.number(&format!("{at}.{name}"));
    Ok(Plan {
        rate: number("unitsPerS")?,
        burst: number("mostAtOnce")?,
        most_open: number("maxOut")? as u32,
        ceiling_rate: number("ceilingRate")?,
        ceiling_depth: number("capDepth")?,
        ceiling_slack: number("capSlack")?,
        price: number("price")?,
        beyond_cost: number("overrunCost")?,
        beyond_gain: number("beyondEarns")?,
    })
}

/// Starts an instance from its seed and the settings as they stand on the line.
pub fn limiter(seed: u64, settings: &[&str]) -> Result<Limiter, String> {
    let mut map = HashMap::new();
    for pair in settings {
        match pair.split_once('=') {
            Some((path, value)) => map.insert(path, value),
            None => return Err(format!("settings: '{pair}' is no path=value")),
        };
    }
    let pairs = Pairs(map);
    let categories = (0..pairs.length("classes.count")?)
        .map(|i| category(&pairs, &format!("classes.{i}")))
        .collect::<Result<Vec<_>, _>>()?;
    let plans = (0..pairs.length("packages.count")?)
        .map(|i| plan(&pairs, &format!("packages.{i}")))
        .collect::<Result<Vec<_>, _>>()?;
    let limiters = pairs.number("balancers")?.max(1.0);
    // As many as a message can name.
    if limiters > 65536.0 {
        return Err(format!("setting balancers: {limiters} is out of range"));
    }
    let rank = pairs.number("rank")?;
    if !(0.0..limiters).contains(&rank) {
        return Err(format!("setting rank: {rank} is not among {limiters}"));
    }
    let peers = Peers {
        limiters: limiters as u32,
        me: rank as u32,
        letters: pairs.flag("policyLimits.peers")?,
        inbox_per_s: pairs.number("familyInfo.inboxPerS")?,
        counter: pairs.flag("familyInfo.hasCounter")?,
        settles: pairs.flag("familyInfo.settles")?,
        most_units: pairs.number("familyInfo.maxUnits")?.max(1.0),
    };
    let servers = ServerRules {
        zone: pairs.number("zone")? as u32,
        drain_grace: pairs.time("rules.drainGraceS")?,
        start_share: pairs.number("rules.startCapacity")?,
        warm_after: pairs.time("rules.coldS")?,
        fall_factor: pairs.number("rules.overloadFactor")?,
        fall_time: pairs.time("rules.fallS")?,
        roster_on_request: pairs.text("discovery") == "subscribe",
        ask_within: pairs.time("rules.askWithinS")?,
        probes: pairs.flag("policyLimits.probes")?,
    };
    let jobs = JobRules {
        most_trips: pairs.number("policyLimits.sendCap")?.max(1.0) as u32,
        second_copies: pairs.flag("policyLimits.secondCopies")?,
        may_revoke: pairs.flag("policyLimits.mayCancel")?,
        retry_after: pairs.flag("policyLimits.retryAfter")?,
        longest_retry_after: pairs.time("policyLimits.maxRetryAfterS")?,
        most_held: pairs.length("policyLimits.mostHeld").unwrap_or(4096),
    };
    Ok(Limiter::new(seed, plans, categories, peers, servers, jobs))
}
