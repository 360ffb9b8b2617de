//! Errors in the lines that the simulator writes.

use merlinreel_settings::SettingsError;
use thiserror::Error;

/// Why a line cannot be used. The text goes to standard error with the line's number; it is never part of a reply.
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
    #[error("{name}: '{given}' is not a finite number")]
    NotANumber {
        /// Name of the value.
        name: &'static str,
        /// The text that was given.
        given: String,
    },
    /// The value must be an integer, zero or greater.
    #[error("{name}: '{given}' is not an integer of 0 or more")]
    NotAnInteger {
        /// Name of the value.
        name: &'static str,
        /// The text that was given.
        given: String,
    },
    /// The integer must be less than the upper bound of this value.
    #[error("{name}: {given} is too large")]
    OutOfRange {
        /// Name of the value.
        name: &'static str,
        /// The integer that was given.
        given: u64,
    },
    /// The value must be a number of seconds, zero or greater, that a [`Duration`](std::time::Duration) can hold.
    #[error("{name}: {seconds} seconds is negative or too long for a duration")]
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
    #[error("{name}: '{given}' is not a name:value pair")]
    NotAPair {
        /// Name of the value.
        name: &'static str,
        /// The item that was given.
        given: String,
    },
    /// The value must be hexadecimal digits, two for each byte.
    #[error("{name}: '{given}' is not hexadecimal with two digits for each byte")]
    NotHex {
        /// Name of the value.
        name: &'static str,
        /// The text that was given.
        given: String,
    },
    /// The value must be one that the protocol defines for this name.
    #[error("{name}: unknown value '{given}'")]
    UnknownValue {
        /// Name of the value.
        name: &'static str,
        /// The text that was given.
        given: String,
    },
    /// A batch must be started before it ends.
    #[error("the batch ends but was not started; start a batch first")]
    NoBatch,
    /// An instance must be selected in each batch before the messages for it.
    #[error("no instance is selected; select one in this batch first")]
    NoInstance,
    /// The instance must be running: it was never started, or has been stopped.
    #[error("instance {0} is not running; start it first")]
    UnknownInstance(String),
    /// Entries must directly follow the start of their list.
    #[error("list entry outside a list; entries must directly follow the start of their list")]
    NoOpenList,
    /// The list already has as many entries as its start announced.
    #[error("the list already has all announced entries; this entry is skipped")]
    ListFull,
    /// The list ended before all announced entries arrived.
    #[error(
        "list {list} ended with {missing} announced entries missing; the line that ended it is skipped"
    )]
    ListTooShort {
        /// Number of the list.
        list: u64,
        /// Number of missing entries.
        missing: usize,
    },
    /// The list must be sent before a message refers to it.
    #[error("list {0} has not been sent; send it before referring to it")]
    UnknownList(u64),
    /// The list has missing or malformed entries.
    #[error("list {0} has missing or malformed entries; send it again before referring to it")]
    UnusableList(u64),
    /// A request must arrive only once while its name is in use.
    #[error("request {0} was already received; its name is still in use")]
    DuplicateRequest(String),
    /// The request must be in flight: it never arrived, or has ended.
    #[error("request {0} is not in flight; it was never received or has ended")]
    UnknownRequest(String),
    /// The request must have an attempt in flight for an attempt to end.
    #[error("request {0} has no attempt in flight that could have ended")]
    NoAttempt(String),
    /// The endpoint must first be on an endpoint list that the instance received.
    #[error("server {0} is unknown; send the instance an endpoint list that has it first")]
    UnknownServer(String),
    /// The settings of an instance cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
