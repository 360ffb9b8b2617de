//! Encodes bytes and counter names as text, and decodes them.

use crate::protocol::ABSENT;
use std::fmt::Write as _;

/// A customer's counter for one quota window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterKey {
    /// Number of the customer whose use is counted.
    pub customer: u64,
    /// Number of the quota window; window 0 of each plan starts at simulated time 0.
    pub window: u64,
}

/// Encodes bytes as lowercase hexadecimal digits; no bytes are [`ABSENT`].
pub fn encode_hex(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return ABSENT.to_owned();
    }
    let mut text = String::new();
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Decodes hexadecimal digits; `None` if the text is not two digits for each byte. [`ABSENT`] stands for no bytes.
pub fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if text == ABSENT {
        return Some(Vec::new());
    }
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok())
        .collect()
}

/// The counter's name at the counter service: customer and window in hexadecimal, separated by a dot.
pub fn encode_counter_name(counter: CounterKey) -> String {
    format!("{:x}.{:x}", counter.customer, counter.window)
}

/// Decodes a name made by [`encode_counter_name`]; `None` if it is not two hexadecimal numbers separated by a dot.
pub fn decode_counter_name(name: &str) -> Option<CounterKey> {
    let (customer, window) = name.split_once('.')?;
    Some(CounterKey {
        customer: u64::from_str_radix(customer, 16).ok()?,
        window: u64::from_str_radix(window, 16).ok()?,
    })
}

#[cfg(test)]
mod tests;
