//! A concurrent table of requests by id, kept as a vector sorted for binary search.

use fl_protocol::RequestId;
use parking_lot::RwLock;

/// A concurrent map from request ids to values.
pub struct RequestTable<T> {
    entries: RwLock<Vec<(RequestId, T)>>,
}

impl<T> Default for RequestTable<T> {
    fn default() -> Self {
        RequestTable { entries: RwLock::new(Vec::new()) }
    }
}

impl<T: Clone> RequestTable<T> {
    /// Returns a clone of a value.
    pub fn get(&self, id: RequestId) -> Option<T> {
        let entries = self.entries.read();
        let index = entries.binary_search_by_key(&id, |entry| entry.0).ok()?;
        entries.get(index).map(|entry| entry.1.clone())
    }

    /// Inserts a value, or replaces the existing one.
    pub fn put(&self, id: RequestId, value: T) {
        let mut entries = self.entries.write();
        match entries.binary_search_by_key(&id, |entry| entry.0) {
            Ok(index) => entries[index].1 = value,
            Err(index) => entries.insert(index, (id, value)),
        }
    }

    /// Inserts a value; if there is one already, keeps it and returns a clone of it as the error.
    pub fn put_if_absent(&self, id: RequestId, value: T) -> Result<(), T> {
        let mut entries = self.entries.write();
        match entries.binary_search_by_key(&id, |entry| entry.0) {
            Ok(index) => Err(entries[index].1.clone()),
            Err(index) => {
                entries.insert(index, (id, value));
                Ok(())
            }
        }
    }

    /// Changes a value in place and returns the result of `change`; `None` if there is no value.
    pub fn update<R>(&self, id: RequestId, change: impl FnOnce(&mut T) -> R) -> Option<R> {
        let mut entries = self.entries.write();
        let index = entries.binary_search_by_key(&id, |entry| entry.0).ok()?;
        Some(change(&mut entries[index].1))
    }

    /// Removes a value and returns it.
    pub fn remove(&self, id: RequestId) -> Option<T> {
        let mut entries = self.entries.write();
        let index = entries.binary_search_by_key(&id, |entry| entry.0).ok()?;
        Some(entries.remove(index).1)
    }

    /// Returns clones of all values, sorted by id.
    pub fn values(&self) -> Vec<T> {
        self.entries.read().iter().map(|entry| entry.1.clone()).collect()
    }

    /// Removes the values for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&T) -> bool) {
        self.entries.write().retain(|entry| keep(&entry.1));
    }

    /// Returns the number of values.
    pub fn count(&self) -> usize {
        self.entries.read().len()
    }
}
