//! Lookup of services by name.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

type Service = Arc<dyn Any + Send + Sync>;

/// Services of one process. Clones share the same services.
#[derive(Clone, Default)]
pub struct Registry(Arc<Mutex<BTreeMap<Box<str>, Service>>>);

impl Registry {
    /// Registers a service, replacing an earlier one with the same name.
    pub fn register<T: Any + Send + Sync>(&self, name: &str, service: T) {
        let mut services = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        services.insert(name.into(), Arc::new(service));
    }

    /// Returns the service with this name, or `None` if there is none of this name and type.
    pub fn find<T: Any + Send + Sync>(&self, name: &str) -> Option<Arc<T>> {
        let services = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        services.get(name)?.clone().downcast().ok()
    }
}
