//! How a host learns of configurations and of the list of hosts.
//!
//! Two hosts of each failure domain read the platform; the others follow them in a tree, so that
//! calls to the platform grow with failure domains and not with hosts. A host that the list does
//! not name goes by its roster instead, and asks its peers while the platform is away.

use std::net::SocketAddr;
use std::time::Duration;

use member::Roster;
use route::{Config, Edit, Follow, Hosts, Latest, Update, tree_position};
use store::{CONFIG_KEY, Client};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::state::Event;

/// Members of one failure domain that read the platform while the list names none of them.
const READERS: usize = 2;

/// Time between two reads of the list of hosts.
const LIST_TIME: Duration = Duration::from_millis(500);

/// Pause after a failed call.
const RETRY_TIME: Duration = Duration::from_millis(300);

/// Longest time that a follower waits for a change; then it asks anew, which repairs losses.
const FOLLOW_TIME: Duration = Duration::from_secs(5);

/// What this host does to stay informed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Role {
    /// Whether it reads the platform itself.
    pub(crate) reads: bool,
    /// Hosts to follow otherwise, and while the platform is away, the nearest first.
    pub(crate) sources: Vec<SocketAddr>,
    /// Revision of the configuration held.
    pub(crate) config: u64,
    /// Version of the list held.
    pub(crate) hosts: u64,
    /// Newest configuration that any beat has told of.
    pub(crate) newest: u64,
}

impl Role {
    /// Works the role out anew; returns whether it has changed.
    pub(crate) fn update(
        &mut self,
        settings: &Settings,
        roster: &Roster,
        latest: &Latest,
        hosts: &Hosts,
        newest: u64,
    ) -> bool {
        let near = roster.members.iter().filter(|(_, entry)| entry.domain == settings.domain);
        let readers: Vec<_> = near.take(READERS).collect();
        let own = |host: &str| *host == *settings.host;
        let is_member = roster.members.contains_key(&settings.host);
        let mut reads = !is_member || readers.iter().any(|(host, _)| own(host));
        let others = roster.members.iter().filter(|(host, _)| !own(host));
        let branch = tree_position(hosts, &settings.domain, &settings.host).filter(|_| is_member);
        let mut sources = Vec::new();
        if let Some(branch) = branch {
            reads = branch.reads;
            sources = branch.sources;
        }
        sources
            .extend(readers.iter().filter(|(host, _)| !own(host)).map(|(_, entry)| entry.address));
        sources.extend(others.map(|(_, entry)| entry.address));
        sources.extend(&settings.peers);
        let role =
            Self { reads, sources, config: latest.config().revision, hosts: hosts.version, newest };
        let changed = *self != role;
        *self = role;
        changed
    }
}

/// Starts the tasks that keep this host informed.
pub(crate) fn start(
    settings: &Settings,
    store: &Client,
    role: &watch::Sender<Role>,
    events: &mpsc::UnboundedSender<Event>,
    metrics: &Metrics,
) {
    let first = Role { reads: true, sources: settings.peers.clone(), ..Role::default() };
    role.send_replace(first);
    spawn_local(watch_config(store.clone(), role.subscribe(), events.clone(), metrics.clone()));
    spawn_local(read_hosts(store.clone(), role.subscribe(), events.clone(), metrics.clone()));
    spawn_local(follow(role.subscribe(), events.clone()));
}

async fn watch_config(
    store: Client,
    mut role: watch::Receiver<Role>,
    events: mpsc::UnboundedSender<Event>,
    metrics: Metrics,
) {
    while !events.is_closed() {
        let Ok(seen) = role.wait_for(|role| role.reads).await.map(|role| role.config) else {
            return;
        };
        metrics.platform_calls.inc();
        let value = match store.watch(CONFIG_KEY, seen).await {
            Ok(value) => value,
            Err(error) => {
                log::debug!(error:%; "configuration unreadable");
                tokio::time::sleep(RETRY_TIME).await;
                continue;
            }
        };
        if value.revision <= seen {
            // Old data from the store, or a watch that ended without a change.
            tokio::time::sleep(RETRY_TIME).await;
            continue;
        }
        let Ok(edit) = serde_json::from_str::<Edit>(&value.value) else {
            log::error!(revision = value.revision; "configuration is no edit");
            tokio::time::sleep(RETRY_TIME).await;
            continue;
        };
        let _ = events.send(Event::Config(Config { revision: value.revision, edit }));
        // The role shows the new revision once control has taken it.
        let _ = tokio::time::timeout(RETRY_TIME, role.wait_for(|r| r.config > seen)).await;
    }
}

async fn read_hosts(
    store: Client,
    mut role: watch::Receiver<Role>,
    events: mpsc::UnboundedSender<Event>,
    metrics: Metrics,
) {
    while !events.is_closed() {
        if role.wait_for(|role| role.reads).await.is_err() {
            return;
        }
        metrics.platform_calls.inc();
        if let Ok(hosts) = store.hosts().await {
            let _ = events.send(Event::Hosts(hosts));
        }
        tokio::time::sleep(LIST_TIME).await;
    }
}

/// Follows another host: always as a non-reader, and as a reader too, since the platform may be
/// away here and not there.
async fn follow(mut role: watch::Receiver<Role>, events: mpsc::UnboundedSender<Event>) {
    let mut turn = 0;
    while !events.is_closed() {
        let Ok(now) = role.wait_for(|role| !role.sources.is_empty()).await.map(|r| r.clone())
        else {
            return;
        };
        let source = now.sources[turn % now.sources.len()];
        if follow_one(source, &mut role, &events).await.is_err() {
            turn += 1;
            tokio::time::sleep(RETRY_TIME).await;
        }
    }
}

async fn follow_one(
    source: SocketAddr,
    role: &mut watch::Receiver<Role>,
    events: &mpsc::UnboundedSender<Event>,
) -> capnp::Result<()> {
    let failed = |error: &dyn std::fmt::Display| capnp::Error::failed(error.to_string());
    let node = wire::connect(source).await.map_err(|e| failed(&e))?;
    loop {
        let now = role.borrow().clone();
        if !now.sources.contains(&source) {
            return Ok(());
        }
        let known = Follow { config: now.config, hosts: Some(now.hosts), ..Follow::default() };
        let mut call = node.client.follow_request();
        call.get().set_known(&serde_json::to_vec(&known).map_err(|e| failed(&e))?);
        let limit = FOLLOW_TIME * 2;
        let reply =
            tokio::time::timeout(limit, call.send().promise).await.map_err(|e| failed(&e))??;
        let update: Update =
            serde_json::from_slice(reply.get()?.get_update()?).map_err(|e| failed(&e))?;
        if let Some(config) = update.config {
            let _ = events.send(Event::Config(config));
        } else if now.newest > now.config {
            // Beats tell of a configuration that this source does not have.
            return Err(failed(&"the source is behind"));
        }
        if let Some(hosts) = update.hosts {
            let _ = events.send(Event::Hosts(hosts));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
