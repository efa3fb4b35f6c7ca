//! Interface of the key-value store.

use std::future::Future;
use std::time::Duration;

use crate::batch::Batch;
use crate::error::Result;
use crate::{LeaseId, Revision};

/// Client of the key-value store of the hosting platform, implemented by `platform`.
pub trait Store {
    /// Returns all entries as a full batch.
    ///
    /// # Errors
    ///
    /// Fails when the store is unavailable, refuses the call or answers in an unknown format.
    fn read(&self) -> impl Future<Output = Result<Batch>>;

    /// Waits up to `wait` for changes after the revision `after` and returns them; the batch is
    /// empty if there were none.
    ///
    /// # Errors
    ///
    /// Fails like `read`, and with [`Error::is_compacted`](crate::Error::is_compacted) when the
    /// store has compacted the changes since `after`.
    fn watch(&self, after: Revision, wait: Duration) -> impl Future<Output = Result<Batch>>;

    /// Creates a lease that expires `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Fails when the store is unavailable or refuses the call.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId>>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Fails when the store is unavailable or refuses the call, and with
    /// [`Error::is_lease_not_found`](crate::Error::is_lease_not_found) when the lease has expired
    /// or was revoked.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<()>>;

    /// Writes an entry that is removed when its lease ends.
    ///
    /// # Errors
    ///
    /// Fails like `renew`.
    fn put(&self, key: &str, value: &str, lease: LeaseId) -> impl Future<Output = Result<()>>;

    /// Writes entries, as pairs of key and value, that are removed when the lease ends, and returns
    /// their revision. At most 32 can be written at once.
    ///
    /// # Errors
    ///
    /// Fails like `renew`.
    fn put_all(
        &self,
        entries: &[(Box<str>, Box<str>)],
        lease: LeaseId,
    ) -> impl Future<Output = Result<Revision>>;

    /// Removes an entry, only with the given revision if there is one. Returns whether it had that
    /// revision.
    ///
    /// # Errors
    ///
    /// Fails when the store is unavailable or refuses the call.
    fn remove(&self, key: &str, revision: Option<Revision>) -> impl Future<Output = Result<bool>>;
}
