//! The parameters of a fleet of simulated limiters, and the limiters' settings derived from them.

use crate::scale::simulated::{InvalidSettings, read_settings};
use merlinreel_settings::Settings;
use serde_json::json;

/// Index of the plan of customers whose demand is twice their quota.
pub const OVERLOADED_PLAN: usize = 0;
/// Index of the plan of customers whose demand is a quarter of their quota.
pub const UNDERLOADED_PLAN: usize = 1;
/// Index of the plan of traced customers, by which the propagation of usage between limiters is measured.
pub const TRACED_PLAN: usize = 2;

/// Maximum number of peer messages that a limiter accepts per second.
pub const PEER_INBOX_PER_SECOND: u32 = 40;
/// Burst of each plan divided by its rate: the time in which an empty token bucket fills.
const BURST_SECONDS: f64 = 10.0;
/// Demand of an overloaded customer divided by its quota.
const OVERLOADED_DEMAND: f64 = 2.0;
/// Demand of an underloaded customer divided by its quota.
const UNDERLOADED_DEMAND: f64 = 0.25;
/// Quota of a traced customer, in units per second.
pub const TRACED_RATE: f64 = 1.0;

/// Parameters of a fleet, among them each variable of the measurements of fleets except the number of restarts.
#[derive(Clone, Copy, Debug)]
pub struct FleetSetting {
    /// Number of limiters.
    pub limiters: u32,
    /// Size of each customer's limiter set; at least 1 and at most the number of limiters are used.
    pub set_size: u32,
    /// Number of customers whose requests each limiter receives, traced ones excluded.
    pub customers_per_limiter: u32,
    /// Probability that a customer's demand exceeds its quota, in percent.
    pub overloaded_percent: u32,
    /// Requests per second at each limiter, from all of its customers together.
    pub requests_per_second: u32,
    /// Whether limiters send peer messages; without them, each decides by its own counts only.
    pub peer_messages: bool,
    /// Sends each peer message to all other limiters, not only to its receiver: a deliberate cost for tests, which check that
    /// it is detected.
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
    /// Size of a customer's limiter set, limited to the size of the fleet.
    pub fn set_size(&self) -> u32 {
        self.set_size.clamp(1, self.limiters)
    }

    /// Number of customers of the fleet, so that each limiter has at least `customers_per_limiter` on average.
    pub fn customers(&self) -> u32 {
        let set_members = u64::from(self.customers_per_limiter) * u64::from(self.limiters);
        set_members.div_ceil(u64::from(self.set_size())) as u32
    }

    /// Units per second that a customer requests at all limiters of its set together.
    fn demand(&self) -> f64 {
        let share = f64::from(self.requests_per_second) / f64::from(self.customers_per_limiter);
        share * f64::from(self.set_size())
    }

    /// Rate of a plan, in units per second.
    pub fn rate(&self, plan: usize) -> f64 {
        match plan {
            OVERLOADED_PLAN => self.demand() / OVERLOADED_DEMAND,
            UNDERLOADED_PLAN => self.demand() / UNDERLOADED_DEMAND,
            _ => TRACED_RATE,
        }
    }

    /// Burst of a plan, in units.
    pub fn burst(&self, plan: usize) -> f64 {
        self.rate(plan) * BURST_SECONDS
    }

    /// Settings of the limiter with index 0; those of the others differ only in the index.
    ///
    /// # Errors
    /// The program rejects the settings.
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

    /// Description of the parameters for data points.
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
