//! Small indices for the names on the wire.

use std::collections::HashMap;

/// Names of one kind, each with an index. The index of a removed name is given to another one.
#[derive(Default)]
pub struct NameTable {
    indices: HashMap<String, u32>,
    names: Vec<String>,
    free_indices: Vec<u32>,
}

impl NameTable {
    /// The name's index; a new name gets one.
    pub fn insert(&mut self, name: &str) -> u32 {
        if let Some(index) = self.get(name) {
            return index;
        }
        let index = if let Some(index) = self.free_indices.pop() {
            name.clone_into(&mut self.names[index as usize]);
            index
        } else {
            self.names.push(name.to_owned());
            self.names.len() as u32 - 1
        };
        self.indices.insert(name.to_owned(), index);
        index
    }

    /// The name's index, if it has one.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.indices.get(name).copied()
    }

    /// The name at an index.
    ///
    /// # Panics
    ///
    /// If the index was never given.
    pub fn name(&self, index: u32) -> &str {
        &self.names[index as usize]
    }

    /// Frees the index.
    ///
    /// # Panics
    ///
    /// If the index was never given.
    pub fn remove(&mut self, index: u32) {
        self.indices.remove(&self.names[index as usize]);
        self.free_indices.push(index);
    }
}
