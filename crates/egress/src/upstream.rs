//! The state of one upstream at its owner.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Instant, SystemTime};

use limit::{Completion, Connections, Decision, Limiter, Limits, Step, Ticket};
use rules::Limit;
use tokio::sync::{mpsc, oneshot};

use crate::connection::Connection;
use crate::state::{Target, UpstreamState};

/// Message to a queued part: true to send it, false if it must no longer be sent.
pub(crate) type Admitted = bool;

/// The snapshot and shard that an upstream reports in its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServedShard {
    pub(crate) snapshot: u64,
    pub(crate) shard: u32,
    pub(crate) shards: u32,
}

/// One upstream with its limiter and connections.
pub(crate) struct Upstream {
    pub(crate) name: Box<str>,
    pub(crate) target: RefCell<Target>,
    pub(crate) limiter: RefCell<Limiter>,
    pub(crate) connections: RefCell<Connections>,
    pub(crate) idle: RefCell<Vec<Connection>>,
    pub(crate) served_shard: Cell<ServedShard>,
    /// Sends the ids of requests to cancel at the upstream.
    pub(crate) cancels: mpsc::UnboundedSender<Box<str>>,
    /// Time at which this host last held a grant for the upstream, updated on every tick.
    pub(crate) last_granted: Cell<Option<Instant>>,
    /// Whether the group has been handed over to its next owner.
    pub(crate) handed_over: Cell<bool>,
    tenure: Cell<Option<SystemTime>>,
    waiting: RefCell<BTreeMap<Ticket, oneshot::Sender<Admitted>>>,
    next_ticket: Cell<Ticket>,
}

fn limits(limit: &Limit) -> Limits {
    Limits {
        slots: limit.slots,
        cold_slots: limit.cold_slots,
        cold_successes: limit.cold_successes,
    }
}

impl Upstream {
    /// Creates a cold upstream without connections.
    pub(crate) fn new(
        name: &str,
        target: Target,
        limit: &Limit,
        baseline: bool,
        cancels: mpsc::UnboundedSender<Box<str>>,
    ) -> Self {
        let limiter = Limiter::new(limits(limit));
        let limiter = if baseline { limiter.without_ramp() } else { limiter };
        let served_shard = ServedShard { snapshot: 0, shard: target.shard, shards: target.shards };
        Self {
            name: name.into(),
            target: RefCell::new(target),
            limiter: RefCell::new(limiter),
            connections: RefCell::new(Connections::new(limit.connections)),
            idle: RefCell::default(),
            served_shard: Cell::new(served_shard),
            cancels,
            last_granted: Cell::new(None),
            handed_over: Cell::new(false),
            tenure: Cell::new(None),
            waiting: RefCell::default(),
            next_ticket: Cell::new(0),
        }
    }

    /// Applies the current entry of the list of hosts and the current limits.
    pub(crate) fn update(&self, target: Target, limit: &Limit) {
        let was_draining = std::mem::replace(&mut *self.target.borrow_mut(), target).draining;
        let draining = self.target.borrow().draining;
        let mut limiter = self.limiter.borrow_mut();
        limiter.set_limits(limits(limit));
        limiter.set_draining(draining);
        self.connections.borrow_mut().set_max(limit.connections);
        if was_draining && !draining {
            // The upstream may have lost its caches while it got no requests.
            limiter.reset_to_cold();
        }
    }

    /// Records the start of the tenure `since`. Unless the previous owner has handed over the state
    /// of the upstream, a new tenure treats the upstream as cold.
    pub(crate) fn set_tenure(
        &self,
        now: Instant,
        since: SystemTime,
        handover: Option<&UpstreamState>,
    ) {
        self.handed_over.set(false);
        if self.tenure.replace(Some(since)) == Some(since) {
            return;
        }
        let mut limiter = self.limiter.borrow_mut();
        let Some(handover) = handover else { return limiter.reset_to_cold() };
        let until = now + std::time::Duration::from_millis(handover.busy_ms);
        limiter.inherit(handover.warm, handover.busy, until);
        self.set_served_shard(ServedShard {
            snapshot: handover.snapshot,
            ..self.served_shard.get()
        });
    }

    /// Records the snapshot and shard that an answer, the load endpoint or a handover reports,
    /// unless the snapshot is older than the known one.
    pub(crate) fn set_served_shard(&self, served_shard: ServedShard) {
        if served_shard.snapshot >= self.served_shard.get().snapshot {
            self.served_shard.set(served_shard);
        }
    }

    /// Offers a new part to the limiter; returns its ticket and whether it is admitted.
    pub(crate) fn offer(&self, now: Instant, deadline: Instant) -> (Ticket, Admission) {
        let ticket = self.next_ticket.get() + 1;
        self.next_ticket.set(ticket);
        let admission = match self.limiter.borrow_mut().offer(now, ticket, deadline) {
            Decision::Start => Admission::Start,
            Decision::Refuse(reason) => Admission::Refuse(reason.name()),
            Decision::Wait => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.borrow_mut().insert(ticket, sender);
                Admission::Wait(receiver)
            }
        };
        (ticket, admission)
    }

    /// Records the end of a part in flight and starts queued parts that now have a slot.
    pub(crate) fn complete(&self, now: Instant, ticket: Ticket, completion: Completion) {
        self.limiter.borrow_mut().complete(now, ticket, completion);
        self.advance_queue(now);
    }

    /// Removes a part from the queue; returns whether it was still queued.
    pub(crate) fn withdraw(&self, ticket: Ticket) -> bool {
        self.waiting.borrow_mut().remove(&ticket);
        self.limiter.borrow_mut().withdraw(ticket)
    }

    /// Starts the queued parts that have a free slot and expires those that must no longer be sent.
    pub(crate) fn advance_queue(&self, now: Instant) {
        let steps = self.limiter.borrow_mut().steps(now);
        for step in steps {
            let (ticket, admitted) = match step {
                Step::Start(ticket) => (ticket, true),
                Step::Expire(ticket) => (ticket, false),
            };
            let waiter = self.waiting.borrow_mut().remove(&ticket);
            let received = waiter.is_some_and(|waiter| waiter.send(admitted).is_ok());
            if admitted && !received {
                self.limiter.borrow_mut().complete(now, ticket, Completion::Ended);
            }
        }
    }

    /// Removes and returns an idle connection that is still open.
    pub(crate) fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if !connection.sender.is_closed() {
                return Some(connection);
            }
            self.connections.borrow_mut().closed();
        }
        None
    }

    /// Drops every idle connection as abandoned, which counts for some time as possibly still open
    /// at the upstream.
    pub(crate) fn drop_idle(&self, now: Instant) {
        let count = self.idle.borrow_mut().drain(..).count();
        for _ in 0..count {
            self.connections.borrow_mut().abandoned(now);
        }
    }
}

/// Decision of the limiter on a new part.
pub(crate) enum Admission {
    /// Send the part now.
    Start,
    /// The part is queued; the receiver yields whether it is admitted.
    Wait(oneshot::Receiver<Admitted>),
    /// The part must not be sent, for the given reason.
    Refuse(&'static str),
}
