//! The store as the product sees it.

use std::future::Future;
use std::time::Duration;

use crate::batch::Batch;
use crate::error::Result;
use crate::{LeaseId, Revision};

/// Calls to the store; `platform` has the one implementation.
pub trait Store {
    /// Reads all entries.
    ///
    /// # Errors
    ///
    /// Fails when the store is away, refuses the call or answers in an unknown format.
    fn read(&self) -> impl Future<Output = Result<Batch>>;

    /// Waits up to `wait` for changes after a revision; an empty batch tells that there were none.
    ///
    /// # Errors
    ///
    /// Fails as `read` does, and with [`Error::is_compacted`](crate::Error::is_compacted) when the
    /// history since `after` is gone.
    fn watch(&self, after: Revision, wait: Duration) -> impl Future<Output = Result<Batch>>;

    /// Makes a lease.
    ///
    /// # Errors
    ///
    /// Fails when the store is away or refuses the call.
    fn grant(&self, time: Duration) -> impl Future<Output = Result<LeaseId>>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Fails when the store is away or refuses the call, and with
    /// [`Error::is_lease_not_found`](crate::Error::is_missing) when the lease has ended.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<()>>;

    /// Ends a lease, which removes its entries.
    ///
    /// # Errors
    ///
    /// Fails as `renew` does.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<()>>;

    /// Writes an entry that lasts as long as a lease.
    ///
    /// # Errors
    ///
    /// Fails as `renew` does.
    fn put(&self, key: &str, value: &str, lease: LeaseId) -> impl Future<Output = Result<()>>;
}
