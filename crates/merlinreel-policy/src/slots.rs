//! A list whose indices the caller chooses, as events and actions name requests and servers by them.

/// Values by index; an index may be free.
pub struct Slots<T>(Vec<Option<T>>);

impl<T> Default for Slots<T> {
    fn default() -> Slots<T> {
        Slots(Vec::new())
    }
}

impl<T> FromIterator<T> for Slots<T> {
    fn from_iter<I: IntoIterator<Item = T>>(values: I) -> Slots<T> {
        Slots(values.into_iter().map(Some).collect())
    }
}

impl<T> Slots<T> {
    /// The value at an index, if there is one.
    pub fn get(&self, index: u32) -> Option<&T> {
        self.0.get(index as usize)?.as_ref()
    }

    /// The value at an index, if there is one.
    pub fn get_mut(&mut self, index: u32) -> Option<&mut T> {
        self.0.get_mut(index as usize)?.as_mut()
    }

    /// The slot of an index; the list grows to it.
    pub fn slot(&mut self, index: u32) -> &mut Option<T> {
        let index = index as usize;
        if index >= self.0.len() {
            self.0.resize_with(index + 1, || None);
        }
        &mut self.0[index]
    }

    /// Frees an index.
    pub fn remove(&mut self, index: u32) {
        if let Some(slot) = self.0.get_mut(index as usize) {
            *slot = None;
        }
    }

    /// All values in the order of their indices.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.0.iter().flatten()
    }

    /// All values in the order of their indices.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.0.iter_mut().flatten()
    }

    /// All values with their indices, in that order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut T)> {
        (0..)
            .zip(self.0.iter_mut())
            .filter_map(|(index, slot)| Some((index, slot.as_mut()?)))
    }

    /// Frees the indices whose value the condition is true for, which is called for each, and returns them.
    pub fn remove_if(&mut self, mut condition: impl FnMut(u32, &mut T) -> bool) -> Vec<u32> {
        let mut removed = Vec::new();
        for (index, slot) in (0..).zip(self.0.iter_mut()) {
            if slot.as_mut().is_some_and(|value| condition(index, value)) {
                *slot = None;
                removed.push(index);
            }
        }
        removed
    }

    /// The first index that was never used.
    pub fn end(&self) -> usize {
        self.0.len()
    }
}
