//! Turns of requests that may crash upstreams: a host sends one of the same content at a time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use quarantine::Fingerprint;
use tokio::sync::{Mutex, OwnedMutexGuard};

/// The turn of one request, which ends when the last clone is dropped: once the request is answered,
/// or it is known whether the upstream has crashed.
pub type Turn = Rc<OwnedMutexGuard<()>>;

/// Hands out the turns, in the order in which they were asked for.
#[derive(Debug, Default)]
pub struct Probes {
    turns: RefCell<BTreeMap<Fingerprint, Arc<Mutex<()>>>>,
}

impl Probes {
    /// Waits until no other request of the same content has its turn.
    pub async fn turn(&self, request: Fingerprint) -> Turn {
        let turn = {
            let mut turns = self.turns.borrow_mut();
            turns.retain(|_, turn| Arc::strong_count(turn) > 1);
            Arc::clone(turns.entry(request).or_default())
        };
        Rc::new(turn.lock_owned().await)
    }
}
