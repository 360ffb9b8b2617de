//! The setting of a fleet of simulated limiters, and the limiters' settings that follow from it.

use crate::scale::simulated::{InvalidSettings, read_settings};
use merlinreel_settings::Settings;
use serde_json::json;

/// Plan of customers whose demand is twice their quota.
pub const OVERLOADED_PLAN: usize = 0;
/// Plan of customers whose demand is a quarter of their quota.
pub const UNDERLOADED_PLAN: usize = 1;
/// Plan of traced customers, whose use at one limiter must become known to the others.
pub const TRACED_PLAN: usize = 2;

/// Peer messages that a limiter accepts in a second.
pub const PEER_INBOX_PER_SECOND: u32 = 40;
/// The burst of a plan, in seconds of its refill.
const BURST_SECONDS: f64 = 10.0;
/// Demand over quota.
const OVERLOADED_DEMAND: f64 = 2.0;
const UNDERLOADED_DEMAND: f64 = 0.25;
/// The quota of a traced customer, in units per second.
pub const TRACED_RATE: f64 = 1.0;

/// The setting of a fleet; each variable that is measured is a member of it.
#[derive(Clone, Copy, Debug)]
pub struct FleetSetting {
    /// The number of limiters.
    pub limiters: u32,
    /// Limiters that each customer's requests reach.
    pub set_size: u32,
    /// Customers whose requests reach each limiter.
    pub customers_per_limiter: u32,
    /// Customers whose demand exceeds their quota, in percent.
    pub overloaded_percent: u32,
    /// Requests per second at each limiter, over all its customers.
    pub requests_per_second: u32,
    /// Whether limiters send peer messages.
    pub peer_messages: bool,
    /// A deliberate cost for tests: each message of a limiter is sent to all others.
    pub broadcasts_messages: bool,
}

impl Default for FleetSetting {
    fn default() -> FleetSetting {
        FleetSetting {
            limiters: 500,
            set_size: 37,
            customers_per_limiter: 20,
            overloaded_percent: 25,
            requests_per_second: 10,
            peer_messages: true,
            broadcasts_messages: false,
        }
    }
}

impl FleetSetting {
    /// The size of a customer's set, which is no larger than the fleet.
    pub fn set_size(&self) -> u32 {
        self.set_size.clamp(1, self.limiters)
    }

    /// Customers of the fleet, so that each limiter has its number of them.
    pub fn customers(&self) -> u32 {
        let places = u64::from(self.customers_per_limiter) * u64::from(self.limiters);
        places.div_ceil(u64::from(self.set_size())) as u32
    }

    /// Units per second that a customer requests over its set.
    fn demand(&self) -> f64 {
        let share = f64::from(self.requests_per_second) / f64::from(self.customers_per_limiter);
        share * f64::from(self.set_size())
    }

    /// The rate of a plan, in units per second.
    pub fn rate(&self, plan: usize) -> f64 {
        match plan {
            OVERLOADED_PLAN => self.demand() / OVERLOADED_DEMAND,
            UNDERLOADED_PLAN => self.demand() / UNDERLOADED_DEMAND,
            _ => TRACED_RATE,
        }
    }

    /// The burst of a plan, in units.
    pub fn burst(&self, plan: usize) -> f64 {
        self.rate(plan) * BURST_SECONDS
    }

    /// The settings of the first limiter; those of the others differ in the rank alone.
    ///
    /// # Errors
    /// The program rejects them.
    pub fn settings(&self) -> Result<Settings, InvalidSettings> {
        let plan = |name: &str, index: usize| {
            let (rate, burst) = (self.rate(index), self.burst(index));
            json!({"name": name, "unitsPerS": rate, "mostAtOnce": burst, "price": 1.0})
        };
        let settings = json!({"balancers": self.limiters, "rank": 0, "zone": 0, "dcs": ["a"],
            "packages": [
                plan("pressed", OVERLOADED_PLAN),
                plan("calm", UNDERLOADED_PLAN),
                plan("probed", TRACED_PLAN)],
            "classes": [{"name": "look", "idempotency": "read_like", "promiseS": 2.0, "hardLimitS": 4.0,
                "worth": 1.0}],
            "familyInfo": {"inboxPerS": PEER_INBOX_PER_SECOND, "settles": true, "maxUnits": 8},
            "policyLimits": {"connIdleS": 15, "connectTimeoutS": 0.25, "mayCancel": true,
                "peers": self.peer_messages, "retryAfter": true, "sendCap": 5, "mostHeld": 1000},
            "rules": {"drainGraceS": 1, "startCapacity": 0.2, "coldS": 10, "fallS": 1, "overloadFactor": 2.5}});
        read_settings(&settings)
    }

    /// The setting as text of a data point.
    pub fn text(&self) -> String {
        format!(
            "{} limiters, sets of {}, {} customers a limiter, {} % pressed, {} requests/s a limiter, inbox {}/s",
            self.limiters,
            self.set_size(),
            self.customers_per_limiter,
            self.overloaded_percent,
            self.requests_per_second,
            PEER_INBOX_PER_SECOND
        )
    }
}
