//! Receives configurations and lists of hosts from the platform and from other hosts.
//!
//! Two hosts of each failure domain read the platform. The others follow them in a tree, so that
//! the number of calls to the platform grows with the number of failure domains rather than hosts.
//! For a host that the list does not contain, the roster determines whether it reads the platform
//! and which hosts it follows. The configured peers come last, and serve hosts that start while the
//! platform is unavailable.

use std::net::SocketAddr;
use std::time::Duration;

use member::Roster;
use route::{Config, Document, Follow, Hosts, Latest, Update, tree_position};
use store::{CONFIG_KEY, Client};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::state::Event;

/// Number of roster members of a failure domain that read the platform while the list of hosts
/// contains none of them.
const READERS: usize = 2;

/// Interval between two reads of the list of hosts.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Backoff after a failed call or a call without a new value.
const RETRY_BACKOFF: Duration = Duration::from_millis(300);

/// Timeout of a follow call. A source answers within 3 s even if nothing has changed, so that the
/// follower asks again and recovers lost updates.
const FOLLOW_CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How this host receives configurations and lists of hosts, and the versions that it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct FeedState {
    /// Whether this host reads the platform.
    pub(crate) reads_platform: bool,
    /// Addresses of the hosts to follow, those in the same failure domain first. A host that reads
    /// the platform follows them as well, in case the platform is unavailable.
    pub(crate) sources: Vec<SocketAddr>,
    /// Revision of the configuration held.
    pub(crate) config: u64,
    /// Version of the list of hosts held.
    pub(crate) hosts: u64,
    /// Newest revision of the configuration that any heartbeat has reported.
    pub(crate) newest_config: u64,
}

impl FeedState {
    /// Computes the feed state from the roster, the list of hosts and the configuration; returns
    /// whether the feed state has changed.
    pub(crate) fn update(
        &mut self,
        settings: &Settings,
        roster: &Roster,
        latest: &Latest,
        hosts: &Hosts,
        newest_config: u64,
    ) -> bool {
        let local = roster.members.iter().filter(|(_, entry)| entry.domain == settings.domain);
        let readers: Vec<_> = local.take(READERS).collect();
        let is_self = |host: &str| *host == *settings.host;
        let is_member = roster.members.contains_key(&settings.host);
        let mut reads_platform = !is_member || readers.iter().any(|(host, _)| is_self(host));
        let others = roster.members.iter().filter(|(host, _)| !is_self(host));
        let position = tree_position(hosts, &settings.domain, &settings.host).filter(|_| is_member);
        let mut sources = Vec::new();
        if let Some(position) = position {
            reads_platform = position.reads;
            sources = position.sources;
        }
        sources.extend(
            readers.iter().filter(|(host, _)| !is_self(host)).map(|(_, entry)| entry.address),
        );
        sources.extend(others.map(|(_, entry)| entry.address));
        sources.extend(&settings.peers);
        let new = Self {
            reads_platform,
            sources,
            config: latest.config().revision,
            hosts: hosts.version,
            newest_config,
        };
        let changed = *self != new;
        *self = new;
        changed
    }
}

/// Starts the tasks that receive configurations and lists of hosts.
pub(crate) fn start(
    settings: &Settings,
    store: &Client,
    state: &watch::Sender<FeedState>,
    events: &mpsc::UnboundedSender<Event>,
    metrics: &Metrics,
) {
    let initial =
        FeedState { reads_platform: true, sources: settings.peers.clone(), ..FeedState::default() };
    state.send_replace(initial);
    spawn_local(watch_config(store.clone(), state.subscribe(), events.clone(), metrics.clone()));
    spawn_local(read_hosts(store.clone(), state.subscribe(), events.clone(), metrics.clone()));
    spawn_local(follow(state.subscribe(), events.clone()));
}

/// Watches the configuration on the platform while [`FeedState::reads_platform`] is set.
async fn watch_config(
    store: Client,
    mut state: watch::Receiver<FeedState>,
    events: mpsc::UnboundedSender<Event>,
    metrics: Metrics,
) {
    while !events.is_closed() {
        let Ok(seen) = state.wait_for(|state| state.reads_platform).await.map(|state| state.config)
        else {
            return;
        };
        metrics.platform_calls.inc();
        let value = match store.watch(CONFIG_KEY, seen).await {
            Ok(value) => value,
            Err(error) => {
                log::debug!(error:%; "cannot read the configuration");
                tokio::time::sleep(RETRY_BACKOFF).await;
                continue;
            }
        };
        if value.revision <= seen {
            // The store has returned an old value, or the watch has ended without a change.
            tokio::time::sleep(RETRY_BACKOFF).await;
            continue;
        }
        let Ok(document) = serde_json::from_str::<Document>(&value.value) else {
            log::error!(revision = value.revision; "cannot parse the configuration");
            tokio::time::sleep(RETRY_BACKOFF).await;
            continue;
        };
        let _ = events.send(Event::Config(Config { revision: value.revision, document }));
        // The feed state contains the new revision once the control thread has adopted it.
        let _ =
            tokio::time::timeout(RETRY_BACKOFF, state.wait_for(|state| state.config > seen)).await;
    }
}

/// Reads the list of hosts from the platform periodically while [`FeedState::reads_platform`] is
/// set.
async fn read_hosts(
    store: Client,
    mut state: watch::Receiver<FeedState>,
    events: mpsc::UnboundedSender<Event>,
    metrics: Metrics,
) {
    while !events.is_closed() {
        if state.wait_for(|state| state.reads_platform).await.is_err() {
            return;
        }
        metrics.platform_calls.inc();
        if let Ok(hosts) = store.hosts().await {
            let _ = events.send(Event::Hosts(hosts));
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Follows one source at a time, and the next one after a failure. Hosts that read the platform
/// follow a source as well, since the platform may be unavailable to one host and not to another.
async fn follow(mut state: watch::Receiver<FeedState>, events: mpsc::UnboundedSender<Event>) {
    let mut failures = 0;
    while !events.is_closed() {
        let Ok(current) =
            state.wait_for(|state| !state.sources.is_empty()).await.map(|state| state.clone())
        else {
            return;
        };
        let source = current.sources[failures % current.sources.len()];
        if follow_one(source, &mut state, &events).await.is_err() {
            failures += 1;
            tokio::time::sleep(RETRY_BACKOFF).await;
        }
    }
}

/// Follows one source until the feed state no longer contains it.
///
/// # Errors
///
/// Fails when the connection to the source fails, when the source does not answer in time or in an
/// unknown format, or when it sends no configuration although heartbeats report a newer one than
/// this host holds.
async fn follow_one(
    source: SocketAddr,
    state: &mut watch::Receiver<FeedState>,
    events: &mpsc::UnboundedSender<Event>,
) -> capnp::Result<()> {
    let failed = |error: &dyn std::fmt::Display| capnp::Error::failed(error.to_string());
    let connection = wire::connect(source).await.map_err(|error| failed(&error))?;
    loop {
        let current = state.borrow().clone();
        if !current.sources.contains(&source) {
            return Ok(());
        }
        let known =
            Follow { config: current.config, hosts: Some(current.hosts), ..Follow::default() };
        let mut call = connection.client.follow_request();
        call.get().set_known(&serde_json::to_vec(&known).map_err(|error| failed(&error))?);
        let timeout = FOLLOW_CALL_TIMEOUT;
        let reply = tokio::time::timeout(timeout, call.send().promise)
            .await
            .map_err(|error| failed(&error))??;
        let update: Update =
            serde_json::from_slice(reply.get()?.get_update()?).map_err(|error| failed(&error))?;
        if let Some(config) = update.config {
            let _ = events.send(Event::Config(config));
        } else if current.newest_config > current.config {
            // Heartbeats report a configuration that this source does not have yet.
            return Err(failed(&"the source holds an older configuration"));
        }
        if let Some(hosts) = update.hosts {
            let _ = events.send(Event::Hosts(hosts));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
