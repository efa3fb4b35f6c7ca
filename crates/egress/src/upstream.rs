//! One upstream, as its owner holds it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Instant, SystemTime};

use limit::{Completion, Connections, Decision, Limiter, Limits, Step, Ticket};
use rules::Limit;
use tokio::sync::{mpsc, oneshot};

use crate::connection::Connection;
use crate::state::{Handover, Target};

/// What a waiting part is told.
pub(crate) type Go = bool;

/// Where an upstream stands, as its answers say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) snapshot: u64,
    pub(crate) shard: u32,
    pub(crate) shards: u32,
}

/// One upstream with its gate and its connections.
pub(crate) struct Owned {
    pub(crate) name: Box<str>,
    pub(crate) target: RefCell<Target>,
    pub(crate) gate: RefCell<Limiter>,
    pub(crate) conns: RefCell<Connections>,
    pub(crate) idle: RefCell<Vec<Connection>>,
    pub(crate) place: Cell<Place>,
    /// Requests whose answers are no longer wanted.
    pub(crate) cancels: mpsc::UnboundedSender<Box<str>>,
    /// When this host could last send here.
    pub(crate) open_at: Cell<Option<Instant>>,
    /// Whether the group has been handed over to its next owner.
    pub(crate) handed_over: Cell<bool>,
    tenure: Cell<Option<SystemTime>>,
    waiting: RefCell<BTreeMap<Ticket, oneshot::Sender<Go>>>,
    next_ticket: Cell<Ticket>,
}

fn bound(limit: &Limit) -> Limits {
    Limits {
        slots: limit.slots,
        cold_slots: limit.cold_slots,
        cold_successes: limit.cold_successes,
    }
}

impl Owned {
    pub(crate) fn new(
        name: &str,
        target: Target,
        limit: &Limit,
        baseline: bool,
        cancels: mpsc::UnboundedSender<Box<str>>,
    ) -> Self {
        let gate = Limiter::new(bound(limit));
        let gate = if baseline { gate.without_ramp() } else { gate };
        let place = Place { snapshot: 0, shard: target.shard, shards: target.shards };
        Self {
            name: name.into(),
            target: RefCell::new(target),
            gate: RefCell::new(gate),
            conns: RefCell::new(Connections::new(limit.connections)),
            idle: RefCell::default(),
            place: Cell::new(place),
            cancels,
            open_at: Cell::new(None),
            handed_over: Cell::new(false),
            tenure: Cell::new(None),
            waiting: RefCell::default(),
            next_ticket: Cell::new(0),
        }
    }

    /// Takes what the list and the rules say now.
    pub(crate) fn update(&self, target: Target, limit: &Limit) {
        let was_closed = std::mem::replace(&mut *self.target.borrow_mut(), target).closed;
        let closed = self.target.borrow().closed;
        let mut gate = self.gate.borrow_mut();
        gate.set_limits(bound(limit));
        gate.set_leaving(closed);
        self.conns.borrow_mut().set_max(limit.connections);
        if was_closed && !closed {
            // What has been out may have lost its caches meanwhile.
            gate.reset_to_cold();
        }
    }

    /// Takes the start of a tenure; one that did not follow from a handover starts cold.
    pub(crate) fn set_tenure(&self, now: Instant, since: SystemTime, handover: Option<&Handover>) {
        self.handed_over.set(false);
        if self.tenure.replace(Some(since)) == Some(since) {
            return;
        }
        let mut gate = self.gate.borrow_mut();
        let Some(handover) = handover else { return gate.reset_to_cold() };
        let until = now + std::time::Duration::from_millis(handover.busy_ms);
        gate.inherit(handover.warm, handover.busy, until);
        self.learn(Place { snapshot: handover.snapshot, ..self.place.get() });
    }

    /// Takes what an answer or a report says, unless it is older.
    pub(crate) fn learn(&self, place: Place) {
        if place.snapshot >= self.place.get().snapshot {
            self.place.set(place);
        }
    }

    /// Asks the gate for a new part.
    pub(crate) fn offer(&self, now: Instant, deadline: Instant) -> (Ticket, Offer) {
        let ticket = self.next_ticket.get() + 1;
        self.next_ticket.set(ticket);
        let offer = match self.gate.borrow_mut().offer(now, ticket, deadline) {
            Decision::Start => Offer::Start,
            Decision::Refuse(reason) => Offer::Refuse(reason.name()),
            Decision::Wait => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.borrow_mut().insert(ticket, sender);
                Offer::Wait(receiver)
            }
        };
        (ticket, offer)
    }

    /// Takes the end of a part and starts what waits.
    pub(crate) fn done(&self, now: Instant, ticket: Ticket, sign: Completion) {
        self.gate.borrow_mut().complete(now, ticket, sign);
        self.pump(now);
    }

    /// Takes a waiting part back; returns whether it was still waiting.
    pub(crate) fn withdraw(&self, ticket: Ticket) -> bool {
        self.waiting.borrow_mut().remove(&ticket);
        self.gate.borrow_mut().withdraw(ticket)
    }

    /// Starts and expires what waits.
    pub(crate) fn pump(&self, now: Instant) {
        let steps = self.gate.borrow_mut().steps(now);
        for step in steps {
            let (ticket, go) = match step {
                Step::Start(ticket) => (ticket, true),
                Step::Expire(ticket) => (ticket, false),
            };
            let waiter = self.waiting.borrow_mut().remove(&ticket);
            let told = waiter.is_some_and(|waiter| waiter.send(go).is_ok());
            if go && !told {
                self.gate.borrow_mut().complete(now, ticket, Completion::Ended);
            }
        }
    }

    /// Returns an idle connection that still stands.
    pub(crate) fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if !connection.sender.is_closed() {
                return Some(connection);
            }
            self.conns.borrow_mut().closed();
        }
        None
    }

    /// Gives up every idle connection, as after one of them went silent.
    pub(crate) fn drop_idle(&self, now: Instant) {
        let count = self.idle.borrow_mut().drain(..).count();
        for _ in 0..count {
            self.conns.borrow_mut().abandoned(now);
        }
    }
}

/// The gate's word to a new part.
pub(crate) enum Offer {
    Start,
    Wait(oneshot::Receiver<Go>),
    Refuse(&'static str),
}
