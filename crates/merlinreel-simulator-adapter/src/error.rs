//! Errors in the lines that the simulator writes.

use merlinreel_settings::SettingsError;
use thiserror::Error;

/// Why a line cannot be used. The simulator checks the texts.
#[derive(Debug, Error, PartialEq)]
pub enum ProtocolError {
    /// No message has this name.
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    /// A required value is empty, or the line ends before it.
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
    /// The integer must be less than the upper bound of this value.
    #[error("{name}: {given} is out of range")]
    OutOfRange {
        /// Name of the value.
        name: &'static str,
        /// The integer that was given.
        given: u64,
    },
    /// The value must be a number of seconds, zero or greater, that a [`Duration`](std::time::Duration) can hold.
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
    /// The value must be one that the protocol defines for this name.
    #[error("{name}: unknown '{given}'")]
    UnknownValue {
        /// Name of the value.
        name: &'static str,
        /// The text that was given.
        given: String,
    },
    /// A batch must be started before it ends.
    #[error("no round has begun")]
    NoBatch,
    /// An instance must be selected in each batch before the messages for it.
    #[error("no instance is named")]
    NoInstance,
    /// The instance must be running: it was never started, or has been stopped.
    #[error("instance {0} is not known")]
    UnknownInstance(String),
    /// Entries must directly follow the start of their list.
    #[error("no list is open")]
    NoOpenList,
    /// The list already has as many entries as its start announced.
    #[error("one entry more than the list states")]
    ListFull,
    /// The list ended before all announced entries arrived.
    #[error("list {list} is {missing} entries short")]
    ListTooShort {
        /// Number of the list.
        list: u64,
        /// Number of missing entries.
        missing: usize,
    },
    /// The list must be sent before a message refers to it.
    #[error("list {0} is not known")]
    UnknownList(u64),
    /// The list has missing or malformed entries.
    #[error("list {0} came in broken")]
    UnusableList(u64),
    /// A request must arrive only once while its name is in use.
    #[error("job {0} came in twice")]
    DuplicateRequest(String),
    /// The request must be in flight: it never arrived, or has ended.
    #[error("job {0} is not known")]
    UnknownRequest(String),
    /// The request must have an attempt in flight for an attempt to end.
    #[error("job {0} has no attempt out")]
    NoAttempt(String),
    /// The endpoint must first be on an endpoint list that the instance received.
    #[error("server {0} is not known")]
    UnknownServer(String),
    /// The settings of an instance cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
