//! Services by name.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

type Service = Arc<dyn Any + Send + Sync>;

/// The services of one process.
#[derive(Clone, Default)]
pub struct Registry(Arc<Mutex<BTreeMap<Box<str>, Service>>>);

impl Registry {
    /// Registers a service, in place of an earlier one of that name.
    pub fn register<T: Any + Send + Sync>(&self, name: &str, service: T) {
        let mut services = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        services.insert(name.into(), Arc::new(service));
    }

    /// Finds a service, if there is one of that name and type.
    pub fn find<T: Any + Send + Sync>(&self, name: &str) -> Option<Arc<T>> {
        let services = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        services.get(name)?.clone().downcast().ok()
    }
}
