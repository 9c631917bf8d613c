//! A source of servers that is fed from outside, change by change.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use sableloom_exchange::{Clock, EndpointListener, EndpointSource};
use sableloom_server_list::{Roster, RosterChange};
use sableloom_types::{ListKind, ListedEndpoint, Span};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// An exchange that is told of the servers.
struct Listener {
    sink: Weak<dyn EndpointListener>,
    /// It has the whole list, so that changes will do.
    has_list: bool,
}

/// The servers of one service. Exchanges that take over from each other share it, so that a server which
/// leaves gets nothing more from any of them.
pub(super) struct ServerFeed {
    roster: RefCell<Roster>,
    listeners: RefCell<Vec<Listener>>,
    clock: Clock,
    /// A task waits for servers to have drained.
    draining: Cell<bool>,
}

impl ServerFeed {
    /// No servers yet; those that are removed drain for so long.
    pub(super) fn new(clock: Clock, drain: Span) -> Rc<Self> {
        Rc::new(Self {
            roster: RefCell::new(Roster::new(drain)),
            listeners: RefCell::default(),
            clock,
            draining: Cell::new(false),
        })
    }

    /// Servers that are known, with those that drain.
    pub(super) fn len(&self) -> usize {
        self.roster.borrow().len()
    }

    /// Looks at the servers.
    pub(super) fn with_roster<T>(&self, look: impl FnOnce(&Roster) -> T) -> T {
        look(&self.roster.borrow())
    }

    /// Servers that are removed from now on drain for so long.
    pub(super) fn set_drain(&self, drain: Span) {
        self.roster.borrow_mut().set_drain(drain);
    }

    /// Puts changes in force: when this returns, no exchange sends anything new to a server that was removed or
    /// is to drain.
    pub(super) fn apply(self: &Rc<Self>, changes: Vec<RosterChange>) {
        let entries = self.roster.borrow_mut().apply(self.clock.now(), changes);
        self.publish(&entries);
        self.wait_for_drained();
    }

    /// Gives changed entries to all who have the list, and the whole list to all others.
    fn publish(&self, changed: &[ListedEndpoint]) {
        let mut calls = Vec::new();
        self.listeners.borrow_mut().retain_mut(|listener| {
            let Some(sink) = listener.sink.upgrade() else { return false };
            let whole = !std::mem::replace(&mut listener.has_list, true);
            if whole || !changed.is_empty() {
                calls.push((sink, whole));
            }
            true
        });
        // Not while the listeners are borrowed: an exchange may subscribe anew when it is told.
        for (sink, whole) in calls {
            match whole {
                true => sink.endpoints_updated(ListKind::Full, self.roster.borrow().entries()),
                false => sink.endpoints_updated(ListKind::Update, changed.to_vec()),
            }
        }
    }

    fn wait_for_drained(self: &Rc<Self>) {
        if self.roster.borrow().next().is_none() || self.draining.replace(true) {
            return;
        }
        let feed = self.clone();
        spawn_local(async move {
            while let Some(at) = feed.with_roster(Roster::next) {
                sleep_until(feed.clock.instant_of(at)).await;
                let gone = feed.roster.borrow_mut().tick(feed.clock.now());
                feed.publish(&gone);
            }
            feed.draining.set(false);
        });
    }
}

impl EndpointSource for ServerFeed {
    fn subscribe(self: Rc<Self>, sink: Rc<dyn EndpointListener>) {
        let sink = Rc::downgrade(&sink);
        self.listeners.borrow_mut().retain(|listener| !Weak::ptr_eq(&listener.sink, &sink));
        self.listeners.borrow_mut().push(Listener { sink, has_list: false });
        // Not from within the call of whoever subscribes.
        spawn_local(async move { self.publish(&[]) });
    }
}
