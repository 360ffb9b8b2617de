//! Small indices for the names on the wire.

use merlinreel_policy::Index;
use std::collections::HashMap;

/// Names of one kind, each with an index. The index of a removed name is given to another one.
pub struct NameTable<I> {
    indices: HashMap<String, I>,
    names: Vec<String>,
    free_indices: Vec<I>,
}

impl<I> Default for NameTable<I> {
    fn default() -> NameTable<I> {
        NameTable {
            indices: HashMap::new(),
            names: Vec::new(),
            free_indices: Vec::new(),
        }
    }
}

impl<I: Index> NameTable<I> {
    /// The name's index; a new name gets one.
    pub fn insert(&mut self, name: &str) -> I {
        if let Some(index) = self.get(name) {
            return index;
        }
        let index = if let Some(index) = self.free_indices.pop() {
            name.clone_into(&mut self.names[index.position()]);
            index
        } else {
            self.names.push(name.to_owned());
            I::from_position(self.names.len() - 1)
        };
        self.indices.insert(name.to_owned(), index);
        index
    }

    /// The name's index, if it has one.
    pub fn get(&self, name: &str) -> Option<I> {
        self.indices.get(name).copied()
    }

    /// The name at an index.
    ///
    /// # Panics
    ///
    /// If the index was never given.
    pub fn name(&self, index: I) -> &str {
        &self.names[index.position()]
    }

    /// Frees the index.
    ///
    /// # Panics
    ///
    /// If the index was never given.
    pub fn remove(&mut self, index: I) {
        self.indices.remove(&self.names[index.position()]);
        self.free_indices.push(index);
    }
}
