//! The control thread: runs the membership state machine and publishes the control state.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kernel::ShutdownSignal;
use member::{Action, Key, Member, Roster, Tenures};
use route::{HeldConfig, Hosts, Kind, Latest, Life, buckets, group};
use store::{Client, Swap, roster_key};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use crate::feed::{self, FeedState};
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::state::{Command, Control, Event, Grant, Target};

/// Maximum interval between two ticks of the membership state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time for which a host that shuts down waits until the roster no longer contains it.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(6);

/// Maximum length of a datagram. A heartbeat with a whole roster is shorter.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// The socket, channels and metrics that the control thread works with.
pub(crate) struct Context {
    pub(crate) udp: std::net::UdpSocket,
    pub(crate) control: watch::Sender<Arc<Control>>,
    pub(crate) events: (mpsc::UnboundedSender<Event>, mpsc::UnboundedReceiver<Event>),
    pub(crate) commands: mpsc::UnboundedSender<Command>,
    pub(crate) metrics: Metrics,
    pub(crate) shutdown: ShutdownSignal,
}

/// The state of the control thread.
struct Loop {
    settings: Settings,
    member: Member,
    latest: Latest,
    hosts: Arc<Hosts>,
    targets: Arc<BTreeMap<Box<str>, Target>>,
    grants: BTreeMap<Key, Grant>,
    /// Groups of the listed upstreams, and the ledger buckets.
    keys: BTreeSet<Key>,
    udp: Rc<UdpSocket>,
    store: Client,
    control: watch::Sender<Arc<Control>>,
    events: mpsc::UnboundedSender<Event>,
    commands: mpsc::UnboundedSender<Command>,
    feed_state: watch::Sender<FeedState>,
    metrics: Metrics,
    /// Configuration that each egress holds, as reported by heartbeats.
    held: BTreeMap<Box<str>, HeldConfig>,
    tenures: Tenures,
}

/// Runs until the shutdown has begun and this host has left the roster or [`LEAVE_TIMEOUT`] has
/// passed.
pub(crate) async fn run(settings: Settings, member: Member, context: Context) {
    let Ok(udp) = UdpSocket::from_std(context.udp) else {
        log::error!("cannot use the heartbeat socket");
        return;
    };
    let Ok(store) = Client::new(&settings.platform) else {
        log::error!("cannot create the platform client");
        return;
    };
    let (events, inbox) = context.events;
    let feed_state = watch::channel(FeedState::default()).0;
    let takeover_delay = member.takeover_delay();
    let mut state = Loop {
        settings,
        member,
        latest: Latest::default(),
        hosts: Arc::default(),
        targets: Arc::default(),
        grants: BTreeMap::new(),
        keys: BTreeSet::new(),
        udp: Rc::new(udp),
        store,
        control: context.control,
        events,
        commands: context.commands,
        feed_state,
        metrics: context.metrics,
        held: BTreeMap::new(),
        tenures: Tenures::new(takeover_delay),
    };
    feed::start(&state.settings, &state.store, &state.feed_state, &state.events, &state.metrics);
    state.run(inbox, context.shutdown).await;
}

impl Loop {
    async fn run(
        &mut self,
        mut inbox: mpsc::UnboundedReceiver<Event>,
        mut shutdown: ShutdownSignal,
    ) {
        let udp = self.udp.clone();
        let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
        let mut leaving_since = None;
        loop {
            let now = Instant::now();
            let due = self.member.next_tick(now).min(now + TICK_INTERVAL);
            tokio::select! {
                received = udp.recv_from(&mut datagram) => {
                    if let Ok((length, _)) = received {
                        self.on_datagram(&datagram[..length]);
                    }
                }
                Some(event) = inbox.recv() => self.on_event(event),
                () = tokio::time::sleep_until(due.into()) => {}
                () = shutdown.wait(), if leaving_since.is_none() => {
                    leaving_since = Some(Instant::now());
                    self.member.leave();
                }
            }
            let actions = self.member.tick(Instant::now());
            self.act(actions);
            self.publish();
            if let Some(since) = leaving_since
                && (!self.member.is_member() || Instant::now() >= since + LEAVE_TIMEOUT)
            {
                return;
            }
        }
    }

    fn on_datagram(&mut self, bytes: &[u8]) {
        self.metrics.heartbeat_bytes.inc_by(bytes.len() as u64);
        // Any sender can reach the port, so datagrams that cannot be decoded are dropped.
        let Ok(heartbeat) = wire::decode(bytes) else { return };
        let actions = self.member.on_heartbeat(Instant::now(), heartbeat);
        self.act(actions);
    }

    fn on_event(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Roster(value) => {
                let roster = serde_json::from_str::<Roster>(&value.value).ok();
                let actions = self.member.on_read(now, value.revision, roster);
                self.act(actions);
            }
            Event::Config(config) => self.adopt_config(config),
            Event::Hosts(hosts) => self.adopt_hosts(now, hosts),
            Event::RosterWritten => self.read_roster(),
            Event::HandoverReceived(epoch, keys) => self.member.on_handover(epoch, keys),
        }
    }

    fn adopt_config(&mut self, config: route::Config) {
        let revision = config.revision;
        match self.latest.advance(config) {
            Ok(true) => {
                log::info!(revision; "configuration in force");
                self.member.set_config(revision);
                self.metrics.config.set(i64::try_from(revision).unwrap_or(i64::MAX));
                self.update_targets();
                self.update_leaving();
            }
            Ok(false) => {}
            Err(error) => log::error!(revision, error:%; "invalid configuration rejected"),
        }
    }

    /// Starts leaving the roster if operators have evacuated the failure domain of this host, and
    /// cancels leaving otherwise.
    fn update_leaving(&mut self) {
        let rule = self.latest.rules().domains.get(&self.settings.domain);
        if rule.is_some_and(|rule| rule.out) {
            self.member.leave();
        } else {
            self.member.cancel_leave();
        }
    }

    fn adopt_hosts(&mut self, now: Instant, hosts: Hosts) {
        let entry_hosts = hosts.hosts.iter().filter(|host| host.kind == Kind::Entry);
        self.member.on_host_list(now, &entry_hosts.map(|host| host.id.clone()).collect());
        if hosts.version <= self.hosts.version {
            return;
        }
        self.hosts = Arc::new(hosts);
        self.update_targets();
    }

    /// Computes the targets and keys from the list of hosts and the rules.
    fn update_targets(&mut self) {
        let mut targets = BTreeMap::new();
        let mut keys: BTreeSet<Key> = buckets().collect();
        for host in &self.hosts.hosts {
            let Some(placement) = &host.place else { continue };
            let key = group(&placement.service, &host.domain, &host.id);
            keys.insert(key.clone());
            let target = Target {
                service: placement.service.clone(),
                domain: host.domain.clone(),
                address: host.address,
                shard: placement.shard,
                shards: placement.shards,
                draining: host.life == Life::Leaving
                    || !self.latest.rules().accepts_requests(&host.domain),
                key,
            };
            targets.insert(host.id.clone(), target);
        }
        self.targets = Arc::new(targets);
        self.keys.clone_from(&keys);
        self.member.set_keys(keys);
    }

    /// Carries out the actions of the membership state machine.
    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, heartbeat) => self.send(to, &heartbeat),
                Action::ReadRoster => self.read_roster(),
                Action::WriteRoster(revision, roster) => self.write_roster(revision, &roster),
                Action::HandOver(host, epoch, keys) => self.hand_over(&host, epoch, keys),
            }
        }
    }

    fn send(&self, to: SocketAddr, heartbeat: &member::Heartbeat) {
        let bytes = wire::encode(heartbeat);
        self.metrics.heartbeats.inc();
        self.metrics.heartbeat_bytes.inc_by(bytes.len() as u64);
        // A heartbeat that a full socket drops counts as lost in the network; the next one follows.
        let _ = self.udp.try_send_to(&bytes, to);
    }

    fn read_roster(&self) {
        let (store, events) = (self.store.clone(), self.events.clone());
        let key = roster_key(&self.settings.cell);
        self.metrics.platform_calls.inc();
        spawn_local(async move {
            if let Ok(value) = store.get(&key).await {
                let _ = events.send(Event::Roster(value));
            }
        });
    }

    fn write_roster(&self, expect: u64, roster: &Roster) {
        let Ok(value) = serde_json::to_string(roster) else { return };
        let (store, events) = (self.store.clone(), self.events.clone());
        self.metrics.platform_calls.inc();
        let key = roster_key(&self.settings.cell);
        let (epoch, members) = (roster.epoch, roster.members.len());
        spawn_local(async move {
            let swap = Swap { expect, value: value.into(), lease_ms: None };
            match store.swap(&key, &swap).await {
                Ok(Some(_)) => log::info!(epoch, members; "roster written"),
                Ok(None) => {}
                Err(error) => log::debug!(epoch, error:%; "roster not written"),
            }
            // The stored value counts, whether or not this write has succeeded: read it again.
            let _ = events.send(Event::RosterWritten);
        });
    }

    /// Publishes the control state, in which the grants of the groups and buckets have ended, and
    /// then instructs the traffic thread to hand the groups and buckets over.
    fn hand_over(&mut self, host: &str, epoch: u64, keys: Vec<Key>) {
        self.publish();
        let Some(entry) = self.member.roster().members.get(host) else { return };
        let _ = self.commands.send(Command { to: entry.address, epoch, keys });
    }

    /// Records the time at which each egress first reported the configuration that it holds.
    fn update_held(&mut self, wall: SystemTime) {
        let since_ms = wall.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let held = self.member.config_revisions();
        self.held.retain(|host, _| held.contains_key(host));
        for (host, revision) in held {
            let new = || HeldConfig { host: host.clone(), revision, since_ms };
            let known = self.held.entry(host.clone()).or_insert_with(new);
            if known.revision != revision {
                *known = new();
            }
        }
    }

    /// Renews the grants, updates the feed state, and publishes the control state.
    fn publish(&mut self) {
        let (now, wall) = (Instant::now(), SystemTime::now());
        let mut grants = BTreeMap::new();
        for key in &self.keys {
            let Some(until) = self.member.may_send(now, key) else { continue };
            let (epoch, retained) = (self.member.roster().epoch, self.member.is_retained(key));
            let since = self.tenures.renew(now, wall, key, until, epoch, retained);
            grants.insert(key.clone(), Grant { until, since });
        }
        self.update_held(wall);
        let roster = self.member.roster();
        if grants.keys().ne(self.grants.keys()) || roster.epoch != self.control.borrow().epoch {
            log::info!(epoch = roster.epoch, groups = grants.len(); "ownership changed");
            self.metrics.epoch.set(i64::try_from(roster.epoch).unwrap_or(i64::MAX));
            self.metrics.groups.set(i64::try_from(grants.len()).unwrap_or(i64::MAX));
        }
        self.grants = grants;
        let egresses: Vec<_> =
            roster.members.iter().map(|(host, entry)| (host.clone(), entry.address)).collect();
        let newest = self.member.newest_config_revision();
        self.feed_state.send_if_modified(|state| {
            state.update(&self.settings, roster, &self.latest, &self.hosts, newest)
        });
        self.control.send_replace(Arc::new(Control {
            config: self.latest.config().clone(),
            rules: self.latest.rules().clone(),
            epoch: roster.epoch,
            egresses,
            held: self.held.values().cloned().collect(),
            grants: self.grants.clone(),
            targets: self.targets.clone(),
            hosts: self.hosts.clone(),
        }));
    }
}
