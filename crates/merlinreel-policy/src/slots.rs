//! A table whose indices are chosen by the caller, as events and actions identify requests and servers by them.

use crate::model::index::Index;
use std::marker::PhantomData;

/// Values by index. An index without a value is free.
pub struct Slots<I, T> {
    slots: Vec<Option<T>>,
    index: PhantomData<I>,
}

impl<I, T> Default for Slots<I, T> {
    fn default() -> Slots<I, T> {
        Slots {
            slots: Vec::new(),
            index: PhantomData,
        }
    }
}

impl<I, T> FromIterator<T> for Slots<I, T> {
    fn from_iter<V: IntoIterator<Item = T>>(values: V) -> Slots<I, T> {
        Slots {
            slots: values.into_iter().map(Some).collect(),
            index: PhantomData,
        }
    }
}

impl<I: Index, T> Slots<I, T> {
    /// The value at an index; `None` if the index is free.
    pub fn get(&self, index: I) -> Option<&T> {
        self.slots.get(index.position())?.as_ref()
    }

    /// The value at an index; `None` if the index is free.
    pub fn get_mut(&mut self, index: I) -> Option<&mut T> {
        self.slots.get_mut(index.position())?.as_mut()
    }

    /// The slot of an index, empty if the index is free. The table grows to include it.
    pub fn slot(&mut self, index: I) -> &mut Option<T> {
        let position = index.position();
        if position >= self.slots.len() {
            self.slots.resize_with(position + 1, || None);
        }
        &mut self.slots[position]
    }

    /// Frees an index and drops its value, if any.
    pub fn remove(&mut self, index: I) {
        if let Some(slot) = self.slots.get_mut(index.position()) {
            *slot = None;
        }
    }

    /// All values in the order of their indices.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().flatten()
    }

    /// All values in the order of their indices.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.slots.iter_mut().flatten()
    }

    /// All values with their indices, in the order of the indices.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (I, &mut T)> {
        self.slots
            .iter_mut()
            .enumerate()
            .filter_map(|(position, slot)| Some((I::from_position(position), slot.as_mut()?)))
    }

    /// Calls the condition for each value, frees the indices for which it is true, and returns them.
    pub fn remove_if(&mut self, mut condition: impl FnMut(I, &mut T) -> bool) -> Vec<I> {
        let mut removed = Vec::new();
        for (position, slot) in self.slots.iter_mut().enumerate() {
            let index = I::from_position(position);
            if slot.as_mut().is_some_and(|value| condition(index, value)) {
                *slot = None;
                removed.push(index);
            }
        }
        removed
    }

    /// The lowest position that has no slot; all later ones have none either.
    pub fn end(&self) -> usize {
        self.slots.len()
    }
}
