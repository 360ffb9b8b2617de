//! Runs the instances of this process: passes each message to the instance it is for, and writes the reply to each batch.

use crate::endpoint_lists::EndpointLists;
use crate::error::ProtocolError;
use crate::events::{EventKind, add_event};
use crate::instance::Instance;
use crate::protocol::{action, message, value_name};
use crate::values::Values;
use merlinreel_settings::{Settings, SettingsTree};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::time::Duration;

/// Upper bound, exclusive, of an endpoint list's length.
const MAX_LIST_LENGTH: u64 = 1 << 20;

/// All instances of this process by their name on the wire. They share nothing but the endpoint lists.
#[derive(Default)]
pub struct Host {
    /// Simulated time of the latest batch.
    now: Duration,
    in_batch: bool,
    instances: HashMap<String, Instance>,
    /// Names of all instances that were ever started, in the order of their first start; a reply lists instances in this order.
    start_order: Vec<String>,
    /// Name of the instance that the next messages are for; `None` until the batch selects one.
    selected: Option<String>,
    lists: EndpointLists,
}

impl Host {
    /// Handles one line. Returns the reply if the line ends a batch, otherwise `None`.
    ///
    /// # Errors
    ///
    /// The line cannot be used and is skipped. If entries of an endpoint list are missing, the line that ends the list is
    /// skipped.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<String>, ProtocolError> {
        let mut values = Values::new(line);
        let name = values.text(value_name::MESSAGE)?;
        if name == message::LIST_ENTRY {
            self.lists.read_entry(&mut values)?;
            return Ok(None);
        }
        self.lists.close()?;
        match name {
            message::BATCH_START => self.start_batch(&mut values)?,
            message::BATCH_END => return self.end_batch().map(Some),
            message::INSTANCE => self.select_instance(&mut values)?,
            message::LIST => self.open_list(&mut values)?,
            message::INSTANCE_START => self.start_instance(values)?,
            message::INSTANCE_STOP => self.stop_instance()?,
            event => self.add_event(event, &mut values)?,
        }
        Ok(None)
    }

    fn start_batch(&mut self, values: &mut Values) -> Result<(), ProtocolError> {
        self.selected = None;
        self.in_batch = true;
        self.now = values.duration(value_name::CLOCK)?;
        Ok(())
    }

    fn end_batch(&mut self) -> Result<String, ProtocolError> {
        if !self.in_batch {
            return Err(ProtocolError::NoBatch);
        }
        self.in_batch = false;
        self.selected = None;
        let mut reply = String::new();
        for name in &self.start_order {
            let Some(instance) = self.instances.get_mut(name) else {
                continue;
            };
            if !std::mem::take(&mut instance.is_addressed) {
                continue;
            }
            // Writing to a string cannot fail.
            let _ = writeln!(reply, "{} {name}", action::INSTANCE);
            instance.run_batch(self.now, &mut reply);
        }
        reply.push_str(action::REPLY_END);
        reply.push('\n');
        Ok(reply)
    }

    fn select_instance(&mut self, values: &mut Values) -> Result<(), ProtocolError> {
        self.selected = None;
        self.selected = Some(values.text(value_name::INSTANCE)?.to_owned());
        Ok(())
    }

    fn open_list(&mut self, values: &mut Values) -> Result<(), ProtocolError> {
        let list = values.integer(value_name::LIST)?;
        let length = values.index(value_name::LIST_LENGTH, MAX_LIST_LENGTH)?;
        self.lists.open(list, length as usize);
        Ok(())
    }

    fn start_instance(&mut self, mut values: Values) -> Result<(), ProtocolError> {
        let name = self.selected.clone().ok_or(ProtocolError::NoInstance)?;
        let seed = values.integer(value_name::SEED)?;
        let tree = SettingsTree::from_pairs(&values.into_remaining())?;
        let instance = Instance::new(Settings::read(&tree)?.limiter(seed));
        if !self.start_order.contains(&name) {
            self.start_order.push(name.clone());
        }
        self.instances.insert(name, instance);
        Ok(())
    }

    fn stop_instance(&mut self) -> Result<(), ProtocolError> {
        let name = self.selected.as_ref().ok_or(ProtocolError::NoInstance)?;
        match self.instances.remove(name) {
            Some(_) => Ok(()),
            None => Err(ProtocolError::UnknownInstance(name.clone())),
        }
    }

    fn add_event(&mut self, message_name: &str, values: &mut Values) -> Result<(), ProtocolError> {
        let Some(kind) = EventKind::from_message(message_name) else {
            return Err(ProtocolError::UnknownMessage(message_name.to_owned()));
        };
        let selected = self.selected.as_ref().ok_or(ProtocolError::NoInstance)?;
        let Some(instance) = self.instances.get_mut(selected) else {
            return Err(ProtocolError::UnknownInstance(selected.clone()));
        };
        instance.is_addressed = true;
        add_event(kind, values, &self.lists, instance)
    }
}

#[cfg(test)]
mod tests;
