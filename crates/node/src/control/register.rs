//! Registration of the host in the store, and of the hosts that follow it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use feed::{Action, Change, Era, LEASE_TTL, LeaseId, Registration, Store};
use table::{Host, Resource};

use super::Control;
use crate::follow::{Cover, Entry};

/// Maximum time that a starting host gives others to register it, before it does so itself. It is random,
/// so that when all hosts start at once a few register themselves and then the others. Entries of an
/// earlier process last for two seconds more, at least.
const MAX_START_GRACE: Duration = Duration::from_millis(1_500);

/// Maximum interval of checks whether the host's own entry is still in the store.
const MAX_VISIBILITY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum interval of checks for followers that no longer ask.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Delay after a request of a new follower, in which others may ask as well.
const MEMBER_DELAY: Duration = Duration::from_millis(40);

/// Wait after a failed change for followers.
const MEMBER_BACKOFF: Duration = Duration::from_millis(500);

impl Control {
    /// Keeps the host's own entry in the store until the process stops, and then removes it.
    pub(super) async fn register(self: Rc<Self>, store: platform::Client) {
        let mut stop = self.shared.stop.clone();
        let mut isolated = self.isolated.clone();
        let mut value = platform::host_value(&self.own_host());
        let seeds = &self.shared.settings.seeds;
        if !seeds.is_empty() && !seeds.contains(&self.own.peer) {
            let grace = MAX_START_GRACE.mul_f64(rand::random());
            self.registration.borrow_mut().expect_cover(Instant::now() + grace);
        }
        loop {
            let current = platform::host_value(&self.own_host());
            if current != value {
                self.registration.borrow_mut().changed();
                value = current;
            }
            let (visible, era) = {
                let mirror = self.mirror.borrow();
                (mirror.contains_value(&self.own_key, &value), mirror.position().era)
            };
            let now = Instant::now();
            let has_followers = self.registrar.borrow().is_needed();
            let may_renew = self.may_renew(now, era);
            let action = {
                let mut registration = self.registration.borrow_mut();
                registration.set_has_followers(has_followers);
                registration.set_may_renew(may_renew);
                registration.next_action(now, visible, era)
            };
            let is_waiting = matches!(action, Action::Wait(_));
            tokio::select! {
                () = stop.wait() => break,
                Ok(()) = isolated.changed(), if is_waiting => {}
                () = self.cover_changed.notified(), if is_waiting => {}
                () = self.perform(&store, action, &value, era) => {}
            }
        }
        self.deregister(&store).await;
    }

    /// Returns whether the lease may be renewed, also for the entries of followers under it.
    fn may_renew(&self, now: Instant, era: Era) -> bool {
        self.check_suspension(now);
        let Some(lease) = self.registration.borrow().lease(era) else { return true };
        let mirror = self.mirror.borrow();
        let is_current = |key: &str, revision| mirror.is_unchanged_since(key, revision);
        self.registrar.borrow_mut().may_renew(now, lease, is_current)
    }

    /// Lets followers ask again before their entries are kept, if this host was suspended.
    fn check_suspension(&self, now: Instant) {
        if self.suspension.borrow_mut().has_ended() {
            log::info!("host was suspended; its followers have to ask again");
            self.registrar.borrow_mut().resume(now);
        }
    }

    /// Removes the own entry. The lease is left to expire, since it may keep entries of followers.
    async fn deregister(&self, store: &platform::Client) {
        let revision = self.mirror.borrow().entry_revision(&self.own_key);
        let mut result = Ok(false);
        // The entry may have been written again since the copy was read.
        for revision in revision.map(Some).into_iter().chain([None]) {
            self.shared.metrics.store_calls.inc();
            result = store.remove(&self.own_key, revision).await;
            if !matches!(result, Ok(false)) {
                break;
            }
        }
        if let Err(error) = result {
            log::info!(error:%; "cannot remove the own entry; leaving it to expire");
        }
    }

    /// Performs an action of the registration and records the result.
    async fn perform(&self, store: &platform::Client, action: Action, value: &str, era: Era) {
        let sent = Instant::now();
        let registered = |act: &dyn Fn(&mut Registration)| act(&mut self.registration.borrow_mut());
        let result = match action {
            Action::Wait(at) => {
                let at = at.min(sent + MAX_VISIBILITY_CHECK_INTERVAL);
                return tokio::time::sleep_until(at.into()).await;
            }
            Action::Grant => store.grant(LEASE_TTL).await.map(|lease| {
                registered(&|registration| registration.granted(sent, lease, era));
                self.member_asked.notify_one();
            }),
            Action::Put(lease) => {
                let put = store.put(&self.own_key, value, lease).await;
                put.map(|()| registered(&|registration| registration.written(Instant::now())))
            }
            Action::Renew(lease) => {
                let renewed = store.renew(lease).await;
                renewed.map(|()| {
                    registered(&|registration| registration.renewed(sent, era));
                })
            }
        };
        self.shared.metrics.store_calls.inc();
        if let Err(error) = result {
            log::info!(action:? = action, error:%; "cannot update the own entry in the store");
            self.record_registration_failure(&error);
        }
    }

    fn record_registration_failure(&self, error: &feed::Error) {
        self.shared.metrics.store_failures.inc();
        let mut registration = self.registration.borrow_mut();
        if error.is_lease_not_found() {
            registration.lost();
        } else {
            registration.failed(Instant::now());
        }
    }

    /// Returns the own entry for the host that this one follows, which registers it.
    pub(super) fn entry_for_registrar(&self) -> Option<Entry> {
        let value = platform::host_value(&self.own_host());
        (!self.shared.stop.is_set()).then(|| Entry { name: self.own.name.clone(), value })
    }

    /// Records what the followed host says of the own entry, in an answer to a request that was sent at
    /// `sent` and could wait for `wait`.
    pub(super) fn record_cover(
        &self,
        now: Instant,
        sent: Instant,
        wait: Duration,
        cover: Option<Cover>,
    ) {
        let Some(Cover { remaining_ms, revision }) = cover else { return };
        if self.mirror.borrow().entry_revision(&self.own_key) != Some(revision) {
            return;
        }
        // The answer may have been late.
        let delay = (now - sent).saturating_sub(wait);
        let remaining = Duration::from_millis(remaining_ms).saturating_sub(delay);
        self.registration.borrow_mut().covered(now, remaining);
        self.cover_changed.notify_one();
    }

    /// Accepts the entry of a follower and returns its key, or `None` if it is not a valid one.
    pub(super) fn accept_member(&self, now: Instant, entry: &Entry) -> Option<Box<str>> {
        if self.shared.stop.is_set() {
            return None;
        }
        let key = platform::host_key(&entry.name);
        let Resource::Host(host) = platform::decode(&key, &entry.value) else { return None };
        let host = Host { registrar: Some(self.own.name.clone()), ..Host::clone(&host) };
        let mirror = self.mirror.borrow();
        let is_current = |revision| mirror.is_unchanged_since(&key, revision);
        let value = platform::host_value(&host);
        self.registrar.borrow_mut().asked(now, &key, &value, is_current);
        if self.cover(now, &key).is_none() {
            self.member_asked.notify_one();
            self.cover_changed.notify_one();
        }
        Some(key)
    }

    /// Returns for how long a follower's entry is safe.
    pub(super) fn cover(&self, now: Instant, key: &str) -> Option<Cover> {
        let era = self.mirror.borrow().position().era;
        let (lease, remaining) = self.registration.borrow().remaining(now, era)?;
        let revision = self.registrar.borrow().registered(key, lease)?;
        let remaining_ms = remaining.as_millis() as u64;
        (!self.shared.stop.is_set()).then_some(Cover { remaining_ms, revision })
    }

    /// Writes and removes the entries of followers until the process stops.
    pub(super) async fn register_followers(self: Rc<Self>, store: platform::Client) {
        let mut stop = self.shared.stop.clone();
        while !stop.is_set() {
            let now = Instant::now();
            let era = self.mirror.borrow().position().era;
            self.check_suspension(now);
            let lease = self.registration.borrow().remaining(now, era);
            let change = lease.and_then(|(lease, _)| {
                let mirror = self.mirror.borrow();
                let own = mirror.registered_by(&self.own.name);
                Some((self.registrar.borrow_mut().next_change(now, lease, own)?, lease))
            });
            let Some((change, lease)) = change else {
                tokio::select! {
                    () = stop.wait() => return,
                    () = self.member_asked.notified() => tokio::time::sleep(MEMBER_DELAY).await,
                    () = tokio::time::sleep(MEMBER_CHECK_INTERVAL) => {}
                }
                continue;
            };
            if !self.change_members(&store, change, lease).await {
                tokio::time::sleep(MEMBER_BACKOFF).await;
            }
        }
    }

    /// Makes a change for followers; returns whether it succeeded.
    async fn change_members(
        &self,
        store: &platform::Client,
        change: Change,
        lease: LeaseId,
    ) -> bool {
        self.shared.metrics.store_calls.inc();
        let result = match change {
            Change::Put(entries) => store.put_all(&entries, lease).await.map(|revision| {
                self.registrar.borrow_mut().written(entries, lease, revision);
            }),
            Change::Remove(key, revision) => {
                let removed = store.remove(&key, Some(revision)).await;
                log::info!(key, removed:? = removed.as_ref().ok(); "follower no longer asks");
                removed.map(|_| self.registrar.borrow_mut().removed(&key, revision))
            }
        };
        if let Err(error) = &result {
            log::info!(error:%; "cannot update the entries of followers in the store");
            self.record_registration_failure(error);
        }
        result.is_ok()
    }
}
