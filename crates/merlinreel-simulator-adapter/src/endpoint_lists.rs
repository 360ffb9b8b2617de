//! The endpoint lists that the simulator sends once for all instances.

use crate::error::ProtocolError;
use crate::protocol::{endpoint_state, value_name};
use crate::values::Values;
use merlinreel_policy::{Endpoint, EndpointState, ServerIndex, ring_hash};
use std::collections::HashMap;
use std::time::Duration;

/// Weight of an endpoint whose entry gives none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// An entry of an endpoint list. `endpoint.server` is not set: each instance assigns its own index to the name.
pub struct ListEntry {
    /// Name of the endpoint on the wire.
    pub name: String,
    /// The endpoint as the list describes it.
    pub endpoint: Endpoint,
}

/// An endpoint list, as far as it has been read.
#[derive(Default)]
struct EndpointList {
    entries: Vec<ListEntry>,
    /// Number of announced entries that have not arrived.
    missing: usize,
    /// An entry was malformed, or had not arrived when the list was closed.
    unusable: bool,
}

/// Endpoint lists by their number.
#[derive(Default)]
pub struct EndpointLists {
    lists: HashMap<u64, EndpointList>,
    /// Number of the list that entries are added to; `None` outside a list.
    open: Option<u64>,
}

impl EndpointLists {
    /// Opens a list of `length` entries. It replaces an earlier list of the same number.
    pub fn open(&mut self, number: u64, length: usize) {
        let empty = EndpointList {
            missing: length,
            ..EndpointList::default()
        };
        self.lists.insert(number, empty);
        self.open = Some(number);
    }

    /// Reads an entry of the open list.
    ///
    /// # Errors
    ///
    /// If no list is open, the list is full or the entry is malformed. A malformed entry makes the list unusable.
    pub fn read_entry(&mut self, values: &mut Values) -> Result<(), ProtocolError> {
        let open = self.open.and_then(|number| self.lists.get_mut(&number));
        let list = open.ok_or(ProtocolError::NoOpenList)?;
        if list.missing == 0 {
            return Err(ProtocolError::ListFull);
        }
        list.missing -= 1;
        match decode_entry(values) {
            Ok(entry) => {
                list.entries.push(entry);
                Ok(())
            }
            Err(error) => {
                list.unusable = true;
                Err(error)
            }
        }
    }

    /// Closes the open list, if there is one.
    ///
    /// # Errors
    ///
    /// If entries are missing, which makes the list unusable.
    pub fn close(&mut self) -> Result<(), ProtocolError> {
        let Some(number) = self.open.take() else {
            return Ok(());
        };
        match self.lists.get_mut(&number) {
            Some(list) if list.missing > 0 => {
                list.unusable = true;
                Err(ProtocolError::ListTooShort {
                    list: number,
                    missing: list.missing,
                })
            }
            _ => Ok(()),
        }
    }

    /// The entries of a list.
    ///
    /// # Errors
    ///
    /// If there is no list of this number, or it is unusable.
    pub fn entries(&self, number: u64) -> Result<&[ListEntry], ProtocolError> {
        let list = self.lists.get(&number);
        let list = list.ok_or(ProtocolError::UnknownList(number))?;
        if list.unusable || list.missing > 0 {
            return Err(ProtocolError::UnusableList(number));
        }
        Ok(&list.entries)
    }
}

fn decode_entry(values: &mut Values) -> Result<ListEntry, ProtocolError> {
    let name = values.text(value_name::SERVER)?.to_owned();
    let zone = values.integer(value_name::ZONE)? as u32;
    values.integer(value_name::MACHINE_TYPE)?;
    let cell = values.integer(value_name::CELL)? as u32;
    let state = decode_state(values.text(value_name::STATE)?)?;
    let weight = values.optional_number(value_name::WEIGHT)?;
    let started_at = values
        .optional_number(value_name::STARTED_AT)?
        .filter(|&seconds| seconds > 0.0)
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let endpoint = Endpoint {
        server: ServerIndex::default(),
        ring_hash: ring_hash(&name),
        zone,
        cell,
        state,
        weight: weight.unwrap_or(DEFAULT_WEIGHT),
        started_at,
    };
    Ok(ListEntry { name, endpoint })
}

fn decode_state(text: &str) -> Result<EndpointState, ProtocolError> {
    match text {
        endpoint_state::READY => Ok(EndpointState::Ready),
        endpoint_state::DRAINING => Ok(EndpointState::Draining),
        endpoint_state::REMOVED => Ok(EndpointState::Removed),
        other => Err(ProtocolError::UnknownValue {
            name: value_name::STATE,
            given: other.to_owned(),
        }),
    }
}
