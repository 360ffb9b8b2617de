//! What a fleet of hollow limiters is made of, and the limiters' settings that follow from it.

use merlinreel_settings::{Settings, SettingsTree};
use serde_json::json;

/// Plan of customers that ask for twice their quota.
pub const PRESSED: usize = 0;
/// Plan of customers that ask for a quarter of their quota.
pub const CALM: usize = 1;
/// Plan of the customers whose use at one limiter must become known to the others.
pub const PROBED: usize = 2;

/// Peer messages that a limiter takes in a second.
pub const INBOX_PER_S: u32 = 40;
/// A store holds the refill of so many seconds.
const STORE_SECONDS: f64 = 10.0;
const PRESSED_ASKS: f64 = 2.0;
const CALM_ASKS: f64 = 0.25;
/// Units a second of a probed customer.
pub const PROBED_RATE: f64 = 1.0;

/// A fleet; the variables that are measured are fields of it.
#[derive(Clone, Copy, Debug)]
pub struct FleetSetting {
    pub limiters: u32,
    /// Limiters through which each customer comes.
    pub set_size: u32,
    pub customers_per_limiter: u32,
    pub pressed_percent: u32,
    /// Requests a second at each limiter, over all its customers.
    pub requests_per_second: u32,
    pub peer_messages: bool,
    /// A planted cost: each message of a limiter goes to all others.
    pub tells_everybody: bool,
}

impl Default for FleetSetting {
    fn default() -> FleetSetting {
        FleetSetting {
            limiters: 500,
            set_size: 37,
            customers_per_limiter: 20,
            pressed_percent: 25,
            requests_per_second: 10,
            peer_messages: true,
            tells_everybody: false,
        }
    }
}

impl FleetSetting {
    /// No customer's set is larger than the fleet.
    pub fn set_size(&self) -> u32 {
        self.set_size.clamp(1, self.limiters)
    }

    /// Customers over all limiters, so that each limiter has its number of them.
    pub fn customers(&self) -> u32 {
        let places = u64::from(self.customers_per_limiter) * u64::from(self.limiters);
        places.div_ceil(u64::from(self.set_size())) as u32
    }

    /// Units a second that a customer asks for over its set.
    fn demand(&self) -> f64 {
        let share = f64::from(self.requests_per_second) / f64::from(self.customers_per_limiter);
        share * f64::from(self.set_size())
    }

    /// Units a second that refill a store of the plan.
    pub fn rate(&self, plan: usize) -> f64 {
        match plan {
            PRESSED => self.demand() / PRESSED_ASKS,
            CALM => self.demand() / CALM_ASKS,
            _ => PROBED_RATE,
        }
    }

    /// Units that a store of the plan holds at most.
    pub fn burst(&self, plan: usize) -> f64 {
        self.rate(plan) * STORE_SECONDS
    }

    /// The terms of the first limiter; the others' differ in the rank alone.
    pub fn terms(&self) -> Result<Settings, String> {
        let plan = |name: &str, plan: usize| json!({"name": name, "unitsPerS": self.rate(plan), "mostAtOnce": self.burst(plan), "price": 1.0});
        let settings = json!({"balancers": self.limiters, "rank": 0, "zone": 0, "dcs": ["a"],
            "packages": [plan("pressed", PRESSED), plan("calm", CALM), plan("probed", PROBED)],
            "classes": [{"name": "look", "idempotency": "read_like", "promiseS": 2.0, "hardLimitS": 4.0,
                "worth": 1.0}],
            "familyInfo": {"inboxPerS": INBOX_PER_S, "settles": true, "maxUnits": 8},
            "policyLimits": {"connIdleS": 15, "connectTimeoutS": 0.25, "mayCancel": true,
                "peers": self.peer_messages, "retryAfter": true, "sendCap": 5, "mostHeld": 1000},
            "rules": {"drainGraceS": 1, "startCapacity": 0.2, "coldS": 10, "fallS": 1, "overloadFactor": 2.5}});
        SettingsTree::from_json(&settings)
            .and_then(|tree| Settings::read(&tree))
            .map_err(|error| error.to_string())
    }

    /// Said with each figure.
    pub fn text(&self) -> String {
        format!(
            "{} limiters, sets of {}, {} customers a limiter, {} % pressed, {} requests/s a limiter, inbox {}/s",
            self.limiters,
            self.set_size(),
            self.customers_per_limiter,
            self.pressed_percent,
            self.requests_per_second,
            INBOX_PER_S
        )
    }
}
