//! The servers of a service that control machines have set, as a source of endpoints for its pool.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use sableloom_exchange::{Clock, EndpointListener, EndpointSource};
use sableloom_server_list::{IncrementalList, ServerChange};
use sableloom_types::{ListKind, ListedEndpoint, Span};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// An exchange that is notified of the servers.
struct Subscriber {
    listener: Weak<dyn EndpointListener>,
    /// It has the full list, so that it needs only updates.
    has_list: bool,
}

/// The servers of one service. An exchange and the one that replaces it share it, so that a server which drains gets no
/// new request from either.
pub(super) struct EndpointFeed {
    roster: RefCell<IncrementalList>,
    subscribers: RefCell<Vec<Subscriber>>,
    clock: Clock,
    /// A task waits for servers to have drained.
    drain_task_runs: Cell<bool>,
}

impl EndpointFeed {
    /// A feed without servers. Servers that are removed drain for `drain`.
    pub(super) fn new(clock: Clock, drain: Span) -> Rc<Self> {
        Rc::new(Self {
            roster: RefCell::new(IncrementalList::new(drain)),
            subscribers: RefCell::default(),
            clock,
            drain_task_runs: Cell::new(false),
        })
    }

    /// How many servers there are, draining ones included.
    pub(super) fn len(&self) -> usize {
        self.roster.borrow().len()
    }

    /// Reads the servers.
    pub(super) fn with_roster<T>(&self, read: impl FnOnce(&IncrementalList) -> T) -> T {
        read(&self.roster.borrow())
    }

    /// Sets how long servers that are removed from now on drain.
    pub(super) fn set_drain(&self, drain: Span) {
        self.roster.borrow_mut().set_drain_time(drain);
    }

    /// Puts changes in force: when this returns, no exchange sends a new request to a server that was removed or drains.
    pub(super) fn apply(self: &Rc<Self>, changes: Vec<ServerChange>) {
        let entries = self.roster.borrow_mut().apply(self.clock.now(), changes);
        self.publish(&entries);
        self.wait_for_drained();
    }

    /// Sends the changed entries to every subscriber that has the full list, and the full list to all others.
    fn publish(&self, changed: &[ListedEndpoint]) {
        let mut calls = Vec::new();
        self.subscribers.borrow_mut().retain_mut(|subscriber| {
            let Some(listener) = subscriber.listener.upgrade() else { return false };
            let full = !std::mem::replace(&mut subscriber.has_list, true);
            if full || !changed.is_empty() {
                calls.push((listener, full));
            }
            true
        });
        // After the borrow has ended: an exchange may subscribe again when it is notified.
        for (listener, full) in calls {
            match full {
                true => {
                    listener.endpoints_updated(ListKind::Full, self.roster.borrow().endpoints())
                }
                false => listener.endpoints_updated(ListKind::Update, changed.to_vec()),
            }
        }
    }

    fn wait_for_drained(self: &Rc<Self>) {
        if self.roster.borrow().next_drain_end().is_none() || self.drain_task_runs.replace(true) {
            return;
        }
        let feed = self.clone();
        spawn_local(async move {
            while let Some(at) = feed.with_roster(IncrementalList::next_drain_end) {
                sleep_until(feed.clock.instant_of(at)).await;
                let gone = feed.roster.borrow_mut().remove_drained(feed.clock.now());
                feed.publish(&gone);
            }
            feed.drain_task_runs.set(false);
        });
    }
}

impl EndpointSource for EndpointFeed {
    fn subscribe(self: Rc<Self>, listener: Rc<dyn EndpointListener>) {
        let listener = Rc::downgrade(&listener);
        self.subscribers
            .borrow_mut()
            .retain(|subscriber| !Weak::ptr_eq(&subscriber.listener, &listener));
        self.subscribers.borrow_mut().push(Subscriber { listener, has_list: false });
        // From a task, because the exchange that subscribes is not ready to be called back yet.
        spawn_local(async move { self.publish(&[]) });
    }
}
