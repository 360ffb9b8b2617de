//! Reads the values of a line: texts, numbers, durations and booleans.

use crate::error::ProtocolError;
use crate::protocol::ABSENT;
use std::str::Split;
use std::time::Duration;

/// The values of a line, read from left to right. The caller names each value; errors show the name.
pub struct Values<'a> {
    remaining: Split<'a, char>,
}

impl<'a> Values<'a> {
    /// The values of `line`; the first is the name of the message.
    pub fn new(line: &'a str) -> Values<'a> {
        Values {
            remaining: line.split(' '),
        }
    }

    /// All values that have not been read.
    pub fn into_remaining(self) -> Vec<&'a str> {
        self.remaining.collect()
    }

    /// Reads a required text.
    pub fn text(&mut self, name: &'static str) -> Result<&'a str, ProtocolError> {
        match self.remaining.next() {
            Some(text) if !text.is_empty() => Ok(text),
            _ => Err(ProtocolError::Missing { name }),
        }
    }

    /// Reads a text; `None` if it is absent, empty or past the end of the line.
    pub fn optional_text(&mut self) -> Option<&'a str> {
        self.remaining
            .next()
            .filter(|text| !text.is_empty() && *text != ABSENT)
    }

    /// Reads a finite number; `None` if it is absent, empty or past the end of the line.
    pub fn optional_number(&mut self, name: &'static str) -> Result<Option<f64>, ProtocolError> {
        match self.optional_text() {
            Some(text) => parse_number(name, text).map(Some),
            None => Ok(None),
        }
    }

    /// Reads a required finite number.
    pub fn number(&mut self, name: &'static str) -> Result<f64, ProtocolError> {
        self.optional_number(name)?
            .ok_or(ProtocolError::Missing { name })
    }

    /// Reads a required integer, zero or greater.
    pub fn integer(&mut self, name: &'static str) -> Result<u64, ProtocolError> {
        let text = self.text(name)?;
        text.parse().map_err(|_| ProtocolError::NotAnInteger {
            name,
            given: text.to_owned(),
        })
    }

    /// Reads a required integer from zero up to `end`, which is excluded.
    pub fn index(&mut self, name: &'static str, end: u64) -> Result<u64, ProtocolError> {
        match self.integer(name)? {
            value if value < end => Ok(value),
            given => Err(ProtocolError::OutOfRange { name, given }),
        }
    }

    /// Reads a required duration, given in seconds.
    pub fn duration(&mut self, name: &'static str) -> Result<Duration, ProtocolError> {
        let seconds = self.number(name)?;
        Duration::try_from_secs_f64(seconds)
            .map_err(|_| ProtocolError::NotADuration { name, seconds })
    }

    /// Reads a required boolean, given as `1` or `0`.
    pub fn boolean(&mut self, name: &'static str) -> Result<bool, ProtocolError> {
        match self.text(name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            text => Err(ProtocolError::NotABoolean {
                name,
                given: text.to_owned(),
            }),
        }
    }
}

/// Parses a finite number; `name` is the value's name in an error.
pub fn parse_number(name: &'static str, text: &str) -> Result<f64, ProtocolError> {
    match text.parse::<f64>() {
        Ok(value) if value.is_finite() => Ok(value),
        _ => Err(ProtocolError::NotANumber {
            name,
            given: text.to_owned(),
        }),
    }
}
