//! Encoding of peer messages: batches of window counters that one limiter sends to another.
//!
//! A message is a header followed by rows. All numbers are variable-length integers with seven bits per byte, the least
//! significant first. A row consists of the customer, a kind (plan, flags and window number), the units admitted and,
//! where their flags are set, the demand and the remaining units.

use crate::time;
use std::time::Duration;

/// Maximum size of a peer message.
pub const MAX_BYTES: usize = 256;
/// Maximum size of a header, which is two numbers.
const MAX_HEADER_BYTES: usize = 12;
/// Maximum size of a row that holds only a total, where that is of typical size.
const TYPICAL_ROW_BYTES: usize = 9;
/// Number of rows with a total only that fit into one message.
pub const ROWS_PER_MESSAGE: usize = (MAX_BYTES - MAX_HEADER_BYTES) / TYPICAL_ROW_BYTES;
/// Units are encoded in steps of 1/8.
const STEPS_PER_UNIT: f64 = 8.0;

/// Bit of a row's kind: the row holds the remaining units.
const REMAINING_FLAG: u64 = 1 << 2;
/// Bit of a row's kind: the row holds the demand.
const DEMAND_FLAG: u64 = 1 << 3;
/// Bits of a row's kind that hold the lowest bits of the window number.
const WINDOW_MASK: u64 = 3;
/// Number of bits of a row's kind below those that hold the plan.
const PLAN_SHIFT: u32 = 4;

/// One customer's counter in a peer message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterRow {
    /// Number that identifies the customer.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Number of the window. Only its lowest two bits are sent, as receivers do not use older windows.
    pub window: u64,
    /// Units admitted in that window so far: in a row with an estimate by the receiver, as far as the sender knows; in
    /// other rows by the sender. Not sent in a relayed estimate, where the receiver reads 0.
    pub total: f64,
    /// Units requested: since the sender's last row, or per second in a row that has `remaining`. `None` in reports
    /// that do not go through an aggregator.
    pub demand: Option<f64>,
    /// Estimated units left of the customer's quota; `None` in a row without an estimate.
    pub remaining: Option<f64>,
    /// Age of a relayed estimate; `None` in other rows. A limiter that does not support relayed estimates reads the row
    /// as an estimate from a limiter that is not the aggregator, and ignores it.
    pub age: Option<Duration>,
}

/// Header of a peer message, which precedes the rows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchHeader {
    /// Time at which the sender started, in milliseconds on the limiter's clock. A later incarnation counts its totals
    /// from zero.
    pub incarnation: u64,
    /// Number of the message among those that this incarnation has sent to any limiter, from 1 on.
    pub sequence: u64,
}

fn write_number(bytes: &mut Vec<u8>, mut value: u64) {
    while value > 0x7f {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

fn read_number(bytes: &mut &[u8]) -> Option<u64> {
    let mut value = 0u64;
    for shift in (0..63).step_by(7) {
        let (&byte, rest) = bytes.split_first()?;
        *bytes = rest;
        value |= u64::from(byte & 0x7f) << shift;
        if byte & 0x80 == 0 {
            return Some(value);
        }
    }
    None
}

/// Zigzag encoding of units: the lowest bit holds the sign.
fn zigzag(units: f64) -> u64 {
    let steps = (units * STEPS_PER_UNIT).round() as i64;
    ((steps << 1) ^ (steps >> 63)) as u64
}

/// Units from their zigzag encoding.
fn units(zigzag: u64) -> f64 {
    ((zigzag >> 1) as i64 ^ -((zigzag & 1) as i64)) as f64 / STEPS_PER_UNIT
}

fn read_units(bytes: &mut &[u8]) -> Option<f64> {
    read_number(bytes).map(units)
}

fn header_bytes(header: BatchHeader) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_BYTES);
    write_number(&mut bytes, header.incarnation);
    write_number(&mut bytes, header.sequence);
    bytes
}

fn row_bytes(row: &CounterRow) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_number(&mut bytes, row.customer);
    let mut kind = (row.plan as u64) << PLAN_SHIFT | row.window & WINDOW_MASK;
    if row.demand.is_some() {
        kind |= DEMAND_FLAG;
    }
    if row.remaining.is_some() {
        kind |= REMAINING_FLAG;
    }
    write_number(&mut bytes, kind);
    // A relayed estimate has no total. Its age in seconds is encoded in that field as a negative number, less one step
    // so that an age of zero is negative too.
    let total = row.age.map_or(row.total, |age| {
        -(time::seconds(age) + 1.0 / STEPS_PER_UNIT)
    });
    for units in [Some(total), row.demand, row.remaining]
        .into_iter()
        .flatten()
    {
        write_number(&mut bytes, zigzag(units));
    }
    bytes
}

/// Encodes rows into as many messages as they need, with sequence numbers that begin with the header's. An empty batch
/// is one message without rows.
pub fn encode(mut header: BatchHeader, rows: &[CounterRow]) -> Vec<Vec<u8>> {
    let mut messages = Vec::new();
    let mut message = header_bytes(header);
    for row in rows {
        let bytes = row_bytes(row);
        if message.len() + bytes.len() > MAX_BYTES {
            header.sequence += 1;
            messages.push(std::mem::replace(&mut message, header_bytes(header)));
        }
        message.extend(bytes);
    }
    messages.push(message);
    messages
}

fn decode_row(bytes: &mut &[u8]) -> Option<CounterRow> {
    let customer = read_number(bytes)?;
    let kind = read_number(bytes)?;
    let total = read_units(bytes)?;
    let plan = usize::try_from(kind >> PLAN_SHIFT).ok()?;
    let demand = if kind & DEMAND_FLAG != 0 {
        Some(read_units(bytes)?)
    } else {
        None
    };
    let remaining = if kind & REMAINING_FLAG != 0 {
        Some(read_units(bytes)?)
    } else {
        None
    };
    let relayed = remaining.is_some() && total < 0.0;
    Some(CounterRow {
        customer,
        plan,
        window: kind & WINDOW_MASK,
        total: if remaining.is_some() {
            total.max(0.0)
        } else {
            total
        },
        demand,
        remaining,
        age: relayed.then(|| time::from_seconds(-total - 1.0 / STEPS_PER_UNIT)),
    })
}

/// Decodes a message; `None` if the bytes are not a complete message.
pub fn decode(mut bytes: &[u8]) -> Option<(BatchHeader, Vec<CounterRow>)> {
    let header = BatchHeader {
        incarnation: read_number(&mut bytes)?,
        sequence: read_number(&mut bytes)?,
    };
    let mut rows = Vec::new();
    while !bytes.is_empty() {
        rows.push(decode_row(&mut bytes)?);
    }
    Some((header, rows))
}

#[cfg(test)]
mod tests;
