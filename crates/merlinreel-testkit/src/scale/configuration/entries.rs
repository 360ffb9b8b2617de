//! Generates settings with many classes and plans, drawn from a seed.

use crate::scale::simulated::{InvalidSettings, read_settings};
use merlinreel_settings::Settings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

/// The classes and plans of generated settings.
pub struct Entries {
    classes: Vec<Value>,
    plans: Vec<Value>,
    random: ChaCha8Rng,
    /// Number of classes drawn so far, replaced ones included.
    drawn_classes: u64,
}

impl Entries {
    /// Draws this many classes and plans.
    pub fn new(classes: u64, plans: u64, seed: u64) -> Entries {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let drawn_classes = classes;
        let classes = (0..classes)
            .map(|number| class(number, number, &mut random))
            .collect();
        let plans = (0..plans).map(|number| plan(number, &mut random)).collect();
        Entries {
            classes,
            plans,
            random,
            drawn_classes,
        }
    }

    /// Replaces the limits of a random class by limits that no class had before.
    pub fn change_one(&mut self) {
        let index = self.random.random_range(0..self.classes.len());
        self.change(index);
    }

    /// Replaces the limits of the class with this index by limits that no class had before.
    ///
    /// # Panics
    /// There is no such class.
    pub fn change(&mut self, index: usize) {
        self.classes[index] = class(index as u64, self.drawn_classes, &mut self.random);
        self.drawn_classes += 1;
    }

    /// Number of classes.
    pub fn classes(&self) -> usize {
        self.classes.len()
    }

    /// The settings as JSON text, as in a file.
    pub fn text(&self) -> String {
        json!({
            "balancers": 2_300, "rank": 1, "classes": self.classes, "packages": self.plans,
            "policyLimits": {"peers": true, "sendCap": 2}, "familyInfo": {"inboxPerS": 40, "maxUnits": 8},
        })
        .to_string()
    }
}

/// A class whose times differ from those of all classes with another `limits_number`.
fn class(number: u64, limits_number: u64, random: &mut ChaCha8Rng) -> Value {
    let deadline = 1.0 + limits_number as f64 / 1e6;
    json!({"name": format!("route-{number:06}"), "idempotency": "read_like", "promiseS": deadline / 2.0,
        "hardLimitS": deadline, "worth": random.random_range(1..10), "lateShare": 0.5})
}

fn plan(number: u64, random: &mut ChaCha8Rng) -> Value {
    json!({"name": format!("plan-{number:06}"), "unitsPerS": random.random_range(1..100), "mostAtOnce": 200,
        "maxOut": 10, "price": 1, "overrunCost": 0.5, "beyondEarns": 0.2})
}

/// Reads settings from the text of a file, as a limiter does.
///
/// # Errors
/// The text is not JSON, or the program rejects the settings.
pub fn read(text: &str) -> Result<Settings, InvalidSettings> {
    let value = serde_json::from_str(text).map_err(InvalidSettings::new)?;
    read_settings(&value)
}
