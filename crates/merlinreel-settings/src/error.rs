//! Errors found when settings are decoded.

use thiserror::Error;

/// A setting that cannot be used. The text names the path of the setting and the value that was given.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A setting given as text must be a `path=value` pair; this one has no equals sign.
    #[error("settings: '{pair}' is not a path=value pair")]
    NotAPair {
        /// The text that was given.
        pair: String,
    },
    /// The settings must be a JSON object; another JSON value was given.
    #[error("settings: expected a JSON object, found another type of value")]
    NotAnObject,
    /// The value must be a finite number, zero or greater.
    #[error("setting {path}: '{given}' is not a number of 0 or more")]
    NotANumber {
        /// Path of the setting.
        path: String,
        /// The text that was given.
        given: String,
    },
    /// The value must be a finite number greater than zero, or be left out.
    #[error("setting {path}: '{given}' is not a positive number")]
    NotPositive {
        /// Path of the setting.
        path: String,
        /// The text that was given.
        given: String,
    },
    /// The value must be a number of seconds that a [`Duration`](std::time::Duration) can hold.
    #[error("setting {path}: {seconds} seconds is too long for a duration")]
    NotADuration {
        /// Path of the setting.
        path: String,
        /// The number that was given.
        seconds: f64,
    },
    /// The value must be `true`, `false`, `1` or `0`.
    #[error("setting {path}: '{given}' is neither true nor false")]
    NotABoolean {
        /// Path of the setting.
        path: String,
        /// The text that was given.
        given: String,
    },
    /// The value must be one that is defined for this setting: `read_like`, `idempotency_key` or `non_idempotent` for a
    /// class's `idempotency`; `all`, `zone` or `cell` for the `group` of a class with idempotency keys.
    #[error("setting {path}: unknown value '{given}'")]
    UnknownValue {
        /// Path of the setting.
        path: String,
        /// The text that was given.
        given: String,
    },
    /// A list of objects must not have more than 4096 items.
    #[error("setting {path}: {count} items, but a list has at most 4096")]
    ListTooLong {
        /// Path of the setting that holds the length, `.count` under the list's path.
        path: String,
        /// The length that was given.
        count: f64,
    },
    /// The fleet must not have more than 65536 limiters.
    #[error("setting {path}: {count} limiters, but a fleet has at most 65536")]
    FleetTooLarge {
        /// Path of the setting.
        path: &'static str,
        /// The number of limiters that was given.
        count: f64,
    },
    /// This limiter's rank must be smaller than the number of limiters.
    #[error("setting {path}: {rank} is not less than the number of limiters, {limiters}")]
    RankOutOfRange {
        /// Path of the setting.
        path: &'static str,
        /// The rank that was given.
        rank: f64,
        /// The number of limiters in the fleet.
        limiters: f64,
    },
}
