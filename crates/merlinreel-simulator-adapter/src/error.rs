//! Errors in the simulator's lines.

use merlinreel_settings::SettingsError;
use thiserror::Error;

/// Why a line cannot be used. The simulator checks the texts.
#[derive(Debug, Error, PartialEq)]
pub enum ProtocolError {
    /// No message has this name.
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    /// The line ends before a value that must be given, or the value is empty.
    #[error("{name} is missing")]
    Missing {
        /// Name of the value.
        name: &'static str,
    },
    /// The value must be a finite number.
    #[error("{name}: '{given}' is not a number")]
    NotANumber {
        /// Name of the value.
        name: &'static str,
        /// The text that was given.
        given: String,
    },
    /// The value must be an integer, zero or greater.
    #[error("{name}: '{given}' is not a whole number")]
    NotAnInteger {
        /// Name of the value.
        name: &'static str,
        /// The text that was given.
        given: String,
    },
    /// The integer must be smaller.
    #[error("{name}: {given} is out of range")]
    OutOfRange {
        /// Name of the value.
        name: &'static str,
        /// The integer that was given.
        given: u64,
    },
    /// The value must be a number of seconds, zero or greater.
    #[error("{name}: {seconds} is no time")]
    NotADuration {
        /// Name of the value.
        name: &'static str,
        /// The number that was given.
        seconds: f64,
    },
    /// The value must be `1` or `0`.
    #[error("{name}: '{given}' is neither 1 nor 0")]
    NotABoolean {
        /// Name of the value.
        name: &'static str,
        /// The text that was given.
        given: String,
    },
    /// The value must be zero or greater.
    #[error("{name}: {given} is below 0")]
    Negative {
        /// Name of the value.
        name: &'static str,
        /// The number that was given.
        given: f64,
    },
    /// An item of the value must be a name and a value with a colon between them.
    #[error("{name}: '{given}' is no pair")]
    NotAPair {
        /// Name of the value.
        name: &'static str,
        /// The item that was given.
        given: String,
    },
    /// The value must be hexadecimal digits, two for each byte.
    #[error("{name}: '{given}' is not hex")]
    NotHex {
        /// Name of the value.
        name: &'static str,
        /// The text that was given.
        given: String,
    },
    /// The value must be one of the words that the protocol knows.
    #[error("{name}: unknown '{given}'")]
    UnknownValue {
        /// Name of the value.
        name: &'static str,
        /// The text that was given.
        given: String,
    },
    /// A batch must begin before it ends.
    #[error("no round has begun")]
    NoBatch,
    /// An instance must be named in the batch before messages for it.
    #[error("no instance is named")]
    NoInstance,
    /// The instance must be started first.
    #[error("instance {0} is not known")]
    UnknownInstance(String),
    /// A list must begin before its entries.
    #[error("no list is open")]
    NoOpenList,
    /// The list has all the entries that its beginning announced.
    #[error("one entry more than the list states")]
    ListFull,
    /// The list ended before all the announced entries came.
    #[error("list {list} is {missing} entries short")]
    ListTooShort {
        /// The list.
        list: u64,
        /// Number of missing entries.
        missing: usize,
    },
    /// The list must be given before it is referred to.
    #[error("list {0} is not known")]
    UnknownList(u64),
    /// The list has missing or faulty entries.
    #[error("list {0} came in broken")]
    BrokenList(u64),
    /// A request must come only once.
    #[error("job {0} came in twice")]
    DuplicateRequest(String),
    /// The request is not, or no longer, in flight.
    #[error("job {0} is not known")]
    UnknownRequest(String),
    /// The request has no attempt that could have ended.
    #[error("job {0} has no attempt out")]
    NoAttempt(String),
    /// The endpoint must be on a list first.
    #[error("server {0} is not known")]
    UnknownServer(String),
    /// The settings of an instance cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
