//! Registry in which the services of a node find each other by name.

use displaydoc::Display;
use parking_lot::RwLock;
use std::any::Any;
use std::sync::Arc;
use thiserror::Error;

/// Reason why a service could not be registered or found.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum RegistryError {
    /// service {0} is not registered; start it before the services that need it
    NotRegistered(String),
    /// service {0} is registered with another interface; look it up by that interface
    InterfaceMismatch(String),
    /// service {0} is already registered; give each service its own name
    AlreadyRegistered(String),
}

struct Entry {
    name: String,
    service: Box<dyn Any + Send + Sync>,
}

/// Services of one node, sorted by name.
#[derive(Default)]
pub struct Registry {
    entries: RwLock<Vec<Entry>>,
}

impl Registry {
    /// Registers a service under a name that no other service has.
    pub fn register<T>(&self, name: &str, service: Arc<T>) -> Result<(), RegistryError>
    where
        T: ?Sized + Send + Sync + 'static,
    {
        let mut entries = self.entries.write();
        match entries.binary_search_by(|entry| entry.name.as_str().cmp(name)) {
            Ok(_) => Err(RegistryError::AlreadyRegistered(name.to_string())),
            Err(index) => {
                let entry = Entry { name: name.to_string(), service: Box::new(service) };
                entries.insert(index, entry);
                Ok(())
            }
        }
    }

    /// Returns the service with this name if it was registered with the interface `T`.
    pub fn find<T>(&self, name: &str) -> Result<Arc<T>, RegistryError>
    where
        T: ?Sized + Send + Sync + 'static,
    {
        let entries = self.entries.read();
        let index = entries
            .binary_search_by(|entry| entry.name.as_str().cmp(name))
            .map_err(|_| RegistryError::NotRegistered(name.to_string()))?;
        let service = entries[index].service.downcast_ref::<Arc<T>>();
        service.cloned().ok_or_else(|| RegistryError::InterfaceMismatch(name.to_string()))
    }

    /// Returns the names of all services, sorted.
    pub fn names(&self) -> Vec<String> {
        self.entries.read().iter().map(|entry| entry.name.clone()).collect()
    }
}
