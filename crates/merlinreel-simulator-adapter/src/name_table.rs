//! Maps names on the wire to small indices.

use merlinreel_policy::Index;
use std::collections::HashMap;

/// Names of one kind, each with an index. The index of a removed name is reused for a later name.
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
    /// The name's index. A new name is added, with a freed index if there is one.
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

    /// The name's index; `None` if the name is not in the table.
    pub fn get(&self, name: &str) -> Option<I> {
        self.indices.get(name).copied()
    }

    /// The name at an index; for a freed index, the name that was removed.
    ///
    /// # Panics
    ///
    /// If no name ever had the index.
    pub fn name(&self, index: I) -> &str {
        &self.names[index.position()]
    }

    /// Removes the name at an index and frees the index.
    ///
    /// # Panics
    ///
    /// If no name ever had the index.
    pub fn remove(&mut self, index: I) {
        self.indices.remove(&self.names[index.position()]);
        self.free_indices.push(index);
    }
}
