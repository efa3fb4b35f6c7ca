//! Lookup of components by name.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

type Component = Arc<dyn Any + Send + Sync>;

/// Components of one process. Clones share the same components.
#[derive(Clone, Default)]
pub struct Registry(Arc<Mutex<BTreeMap<Box<str>, Component>>>);

impl Registry {
    /// Registers a component, replacing an earlier one with the same name.
    pub fn register<T: Any + Send + Sync>(&self, name: &str, component: T) {
        let mut components = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        components.insert(name.into(), Arc::new(component));
    }

    /// Returns the component with this name, or `None` if there is none of this name and type.
    pub fn find<T: Any + Send + Sync>(&self, name: &str) -> Option<Arc<T>> {
        let components = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        components.get(name)?.clone().downcast().ok()
    }
}
