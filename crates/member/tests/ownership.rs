//! Two hosts never send for one group at a time, in any drawn order of events.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use member::{Action, Heartbeat, Key, Member, Roster, Settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const STEP: Duration = Duration::from_millis(100);
const HOSTS: usize = 5;

/// What happens to the cell, besides time passing.
#[derive(Clone, Debug)]
enum Fault {
    Cut(usize, usize),
    Heal,
    Pause(usize, u32),
    Restart(usize),
    Down(usize, u32),
    Leave(usize),
    StoreDown(u32),
    LoseAnswers(u32),
    Run(u32),
}

fn fault() -> impl Strategy<Value = Fault> {
    let host = 0..HOSTS;
    prop_oneof![
        2 => (host.clone(), 0..HOSTS).prop_map(|(a, b)| Fault::Cut(a, b)),
        1 => Just(Fault::Heal),
        2 => (host.clone(), 1..90u32).prop_map(|(a, n)| Fault::Pause(a, n)),
        1 => host.clone().prop_map(Fault::Restart),
        1 => (host.clone(), 1..200u32).prop_map(|(a, n)| Fault::Down(a, n)),
        1 => host.prop_map(Fault::Leave),
        1 => (1..150u32).prop_map(Fault::StoreDown),
        1 => (1..30u32).prop_map(Fault::LoseAnswers),
        5 => (1..80u32).prop_map(Fault::Run),
    ]
}

struct Node {
    member: Member,
    asleep_until: u64,
    inbox: Vec<(u64, Heartbeat)>,
}

/// A cell on a made-up network and store, stepped by hand.
struct Cell {
    start: Instant,
    step: u64,
    seed: u64,
    fenced: bool,
    nodes: Vec<Node>,
    cuts: BTreeSet<(usize, usize)>,
    store: (u64, Option<Roster>),
    store_down: u64,
    lose_answers: u64,
    key: Vec<Key>,
    running: BTreeMap<(usize, usize), u64>,
    overlaps: u32,
    sent: u32,
    incarnation: u64,
    /// Whether every beat arrives, and in time.
    calm: bool,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + host as u16))
}

impl Cell {
    fn new(seed: u64, fenced: bool) -> Self {
        let keys = (0..6)
            .map(|k| Key { domain: format!("d{}", k % 2).into(), name: format!("g{k}").into() });
        let mut cell = Self {
            start: Instant::now(),
            step: 0,
            seed,
            fenced,
            nodes: Vec::new(),
            cuts: BTreeSet::new(),
            store: (0, None),
            store_down: 0,
            lose_answers: 0,
            key: keys.collect(),
            running: BTreeMap::new(),
            overlaps: 0,
            sent: 0,
            incarnation: 1,
            calm: false,
        };
        for host in 0..HOSTS {
            let node = cell.node(host);
            cell.nodes.push(node);
        }
        cell
    }

    fn node(&mut self, host: usize) -> Node {
        self.incarnation += 1;
        let name = format!("e{host}");
        let domain = format!("d{}", host % 2);
        let mut settings = Settings::new(&name, self.incarnation, &domain, address(host));
        settings.fenced = self.fenced;
        let mut member = Member::new(settings, self.now());
        member.set_keys(self.key.iter().cloned().collect());
        Node { member, asleep_until: 0, inbox: Vec::new() }
    }

    fn now(&self) -> Instant {
        self.start + STEP * u32::try_from(self.step).expect("runs are short")
    }

    fn random(&mut self, below: u64) -> u64 {
        // A xorshift step: the order of a run depends on the drawn seed alone.
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % below
    }

    fn apply(&mut self, fault: &Fault) {
        match *fault {
            Fault::Cut(a, b) => _ = self.cuts.insert((a, b)),
            Fault::Heal => self.cuts.clear(),
            Fault::Pause(host, steps) => {
                self.nodes[host].asleep_until = self.step + u64::from(steps);
            }
            Fault::Restart(host) => self.restart(host),
            Fault::Down(host, steps) => {
                self.restart(host);
                self.nodes[host].asleep_until = self.step + u64::from(steps);
            }
            Fault::Leave(host) => self.nodes[host].member.leave(),
            Fault::StoreDown(steps) => self.store_down = self.step + u64::from(steps),
            Fault::LoseAnswers(steps) => self.lose_answers = self.step + u64::from(steps),
            Fault::Run(steps) => (0..steps).for_each(|_| self.advance()),
        }
    }

    fn restart(&mut self, host: usize) {
        self.nodes[host] = self.node(host);
        // Work that the old life sent goes on at the upstreams and is still counted.
    }

    fn advance(&mut self) {
        self.step += 1;
        let mut order: Vec<usize> = (0..HOSTS).collect();
        for place in (1..HOSTS).rev() {
            let other = self.random(place as u64 + 1) as usize;
            order.swap(place, other);
        }
        for host in order {
            if self.nodes[host].asleep_until <= self.step {
                self.turn(host);
            }
        }
    }

    fn turn(&mut self, host: usize) {
        let (now, step) = (self.now(), self.step);
        let inbox = std::mem::take(&mut self.nodes[host].inbox);
        let (due, later): (Vec<_>, Vec<_>) = inbox.into_iter().partition(|(at, _)| *at <= step);
        self.nodes[host].inbox = later;
        for (_, beat) in due {
            let actions = self.nodes[host].member.on_heartbeat(now, beat);
            self.act(host, actions);
        }
        let actions = self.nodes[host].member.tick(now);
        self.act(host, actions);
        self.send_work(host);
    }

    fn act(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, beat) => self.carry(host, to, &beat),
                Action::ReadRoster => self.read(host),
                Action::WriteRoster(revision, roster) => self.write(host, revision, roster),
                Action::Release(to, epoch, keys) => self.release(host, &to, epoch, &keys),
            }
        }
    }

    fn carry(&mut self, from: usize, to: SocketAddr, beat: &Heartbeat) {
        let to = usize::from(to.port() - 7_000);
        let copies = match self.random(20) {
            0 if !self.calm => 0,
            1 if !self.calm => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = if self.random(10) == 0 && !self.calm { self.random(40) } else { 1 };
            if !self.cuts.contains(&(from, to)) {
                self.nodes[to].inbox.push((self.step + delay, beat.clone()));
            }
        }
    }

    fn read(&mut self, host: usize) {
        if self.step < self.store_down {
            return;
        }
        let (revision, roster) = self.store.clone();
        let now = self.now();
        let actions = self.nodes[host].member.on_read(now, revision, roster);
        self.act(host, actions);
    }

    fn write(&mut self, host: usize, expected: u64, roster: Roster) {
        if self.step < self.store_down {
            return;
        }
        if expected == self.store.0 {
            self.store = (expected + 1, Some(roster));
        }
        if self.step >= self.lose_answers {
            self.read(host);
        }
    }

    fn release(&mut self, from: usize, to: &str, epoch: u64, keys: &[Key]) {
        let to: usize = to[1..].parse().expect("hosts are numbered");
        if self.cuts.contains(&(from, to)) || self.random(4) == 0 {
            return;
        }
        for (group, _) in self.key.iter().enumerate().filter(|(_, key)| keys.contains(key)) {
            // The handover names what is in flight, so the new owner counts it as its own.
            self.running.remove(&(group, from));
        }
        self.nodes[to].member.on_release(epoch, keys.iter().cloned());
    }

    fn send_work(&mut self, host: usize) {
        let now = self.now();
        for group in 0..self.key.len() {
            if self.nodes[host].member.may_send(now, &self.key[group]).is_none() {
                continue;
            }
            self.sent += 1;
            let step = self.step;
            let rival = (0..HOSTS).filter(|other| *other != host);
            let mut busy = rival.filter_map(|other| self.running.get(&(group, other)));
            if busy.any(|until| *until > step) {
                self.overlaps += 1;
            }
            // Work takes up to two seconds after it was sent.
            self.running.insert((group, host), step + 20);
        }
    }

    fn owners(&self, group: usize) -> usize {
        let now = self.now();
        let nodes = self.nodes.iter().filter(|node| node.asleep_until <= self.step);
        nodes.filter(|n| n.member.may_send(now, &self.key[group]).is_some()).count()
    }
}

/// Cases of one CI run; `PISTACHIO_PROPTEST_CASES` asks for a longer one.
const CASES: u32 = 150;

fn runner() -> TestRunner {
    let asked = std::env::var("PISTACHIO_PROPTEST_CASES").ok().and_then(|n| n.parse().ok());
    let cases = asked.unwrap_or(CASES);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn run(seed: u64, fenced: bool, faults: &[Fault]) -> Cell {
    let mut cell = Cell::new(seed, fenced);
    cell.apply(&Fault::Run(60));
    for fault in faults {
        cell.apply(fault);
        cell.advance();
    }
    cell
}

#[test]
fn two_owners_never_send_for_one_group() {
    let orders = (1..u64::MAX, prop::collection::vec(fault(), 1..40));
    runner()
        .run(&orders, |(seed, faults)| {
            let cell = run(seed, true, &faults);
            prop_assert_eq!(cell.overlaps, 0);
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn broken_fence_is_caught() {
    let orders = (1..u64::MAX, prop::collection::vec(fault(), 1..40));
    let result = runner().run(&orders, |(seed, faults)| {
        let cell = run(seed, false, &faults);
        prop_assert_eq!(cell.overlaps, 0);
        Ok(())
    });
    assert!(result.is_err(), "a cell without its fence must be seen to overlap");
}

#[test]
fn every_group_has_one_owner_once_faults_end() {
    let orders = (1..u64::MAX, prop::collection::vec(fault(), 1..30));
    runner()
        .run(&orders, |(seed, faults)| {
            let mut cell = run(seed, true, &faults);
            cell.apply(&Fault::Heal);
            for host in 0..HOSTS {
                cell.nodes[host].asleep_until = 0;
                cell.nodes[host].member.cancel_leave();
            }
            cell.store_down = 0;
            cell.lose_answers = 0;
            cell.apply(&Fault::Run(500));
            for group in 0..cell.key.len() {
                prop_assert_eq!(cell.owners(group), 1, "group {}", group);
            }
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{error}"));
}

/// Steps until every group is served by hosts other than `lost`, or gives up after 10 s.
fn steps_to_takeover(cell: &mut Cell, lost: usize) -> Option<u64> {
    let from = cell.step;
    cell.nodes[lost].asleep_until = u64::MAX;
    for _ in 0..100 {
        cell.advance();
        if (0..cell.key.len()).all(|group| cell.owners(group) == 1) {
            return Some(cell.step - from);
        }
    }
    None
}

#[test]
fn killed_owner_is_replaced_within_ten_seconds_with_the_store_up() {
    for lost in 0..HOSTS {
        let mut cell = run(11, true, &[Fault::Run(100)]);
        assert!(steps_to_takeover(&mut cell, lost).is_some(), "host {lost}");
    }
}

#[test]
fn killed_owner_is_replaced_within_ten_seconds_with_the_store_down() {
    for lost in 0..HOSTS {
        let mut cell = run(11, true, &[Fault::Run(100), Fault::StoreDown(10_000)]);
        assert!(steps_to_takeover(&mut cell, lost).is_some(), "host {lost}");
    }
}

#[test]
fn all_hosts_restarted_together_serve_again() {
    let mut cell = run(3, true, &[Fault::Run(100)]);
    for host in 0..HOSTS {
        cell.restart(host);
    }
    cell.apply(&Fault::Run(200));
    for group in 0..cell.key.len() {
        assert_eq!(cell.owners(group), 1, "group {group}");
    }
}

#[test]
fn majority_lost_for_good_serves_again_once_the_list_says_so() {
    let mut cell = run(5, true, &[Fault::Run(100)]);
    for host in 2..HOSTS {
        cell.nodes[host].asleep_until = u64::MAX;
    }
    cell.apply(&Fault::Run(150));
    assert_eq!(cell.owners(0), 0, "two of five hosts are no majority");
    let live: BTreeSet<Box<str>> = ["e0".into(), "e1".into()].into();
    for _ in 0..250 {
        let now = cell.now();
        cell.nodes[0].member.on_host_list(now, &live);
        cell.nodes[1].member.on_host_list(now, &live);
        cell.advance();
    }
    for group in 0..cell.key.len() {
        assert_eq!(cell.owners(group), 1, "group {group}");
    }
    assert_eq!(cell.overlaps, 0);
}

#[test]
fn planned_leave_hands_over_without_the_fence_wait() {
    let mut cell = run(9, true, &[Fault::Run(100)]);
    cell.apply(&Fault::Leave(1));
    let mut gap = 0;
    for _ in 0..30 {
        cell.advance();
        gap += u32::from((0..cell.key.len()).any(|group| cell.owners(group) == 0));
    }
    assert!(gap <= 12, "groups stood still for {gap} steps");
    assert!(!cell.nodes[1].member.is_member());
    assert!(cell.sent > 0);
}

#[test]
fn ten_minute_store_outage_changes_no_owner() {
    // Only the store is at fault here; lost and late beats have tests of their own.
    let mut cell = run(13, true, &[Fault::Run(100)]);
    cell.calm = true;
    cell.apply(&Fault::Run(60));
    cell.apply(&Fault::StoreDown(6_000));
    let owner = |cell: &Cell, group: usize| {
        let now = cell.now();
        (0..HOSTS).find(|host| cell.nodes[*host].member.may_send(now, &cell.key[group]).is_some())
    };
    let before: Vec<_> = (0..cell.key.len()).map(|group| owner(&cell, group)).collect();
    assert!(before.iter().all(Option::is_some));
    for _ in 0..6_000 {
        cell.advance();
        let now: Vec<_> = (0..cell.key.len()).map(|group| owner(&cell, group)).collect();
        assert_eq!(now, before, "step {}", cell.step);
    }
    let epoch = cell.nodes[0].member.roster().epoch;
    cell.restart(4);
    cell.apply(&Fault::Run(100));
    assert!(cell.nodes[0].member.roster().epoch > epoch, "the roster moves on after the outage");
}

#[test]
fn majority_lost_while_the_store_is_down_stops_work_and_its_return_restores_it() {
    let mut cell = run(17, true, &[Fault::Run(100), Fault::StoreDown(400)]);
    let live: BTreeSet<Box<str>> = ["e0".into(), "e1".into()].into();
    for host in 2..HOSTS {
        cell.nodes[host].asleep_until = u64::MAX;
    }
    for step in 0..700 {
        let now = cell.now();
        cell.nodes[0].member.on_host_list(now, &live);
        cell.nodes[1].member.on_host_list(now, &live);
        cell.advance();
        if (100..300).contains(&step) {
            assert_eq!(cell.owners(0), 0, "the frozen roster has no majority, step {step}");
        }
    }
    for group in 0..cell.key.len() {
        assert_eq!(cell.owners(group), 1, "group {group}");
    }
    assert_eq!(cell.overlaps, 0);
}
