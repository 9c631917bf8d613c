//! The connections of one pool that carry no request.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use rustc_hash::FxHashSet;
use sableloom_types::ServerId;
use tokio::time::Instant;

use super::connection_budget::{ConnectionBudget, IdleConnections};
use super::upstream_connection::UpstreamConnection;
use crate::reuse_guard::{DUPLICATE_ANSWER_WAIT, ReuseGuard};

struct IdleConnection {
    server: ServerId,
    connection: UpstreamConnection,
}

/// The idle connections to the servers of one pool.
pub(super) struct IdlePool {
    /// The longest idle first.
    idle: RefCell<VecDeque<IdleConnection>>,
    /// Servers that are draining or gone: no connection to them is kept.
    retired: RefCell<FxHashSet<ServerId>>,
    idle_timeout: Duration,
    budget: Rc<ConnectionBudget>,
    guard: Rc<ReuseGuard>,
}

impl IdlePool {
    pub(super) fn new(
        budget: Rc<ConnectionBudget>,
        guard: Rc<ReuseGuard>,
        idle_timeout: Duration,
    ) -> Rc<Self> {
        let pool = Rc::new(Self {
            idle: RefCell::default(),
            retired: RefCell::default(),
            idle_timeout,
            budget,
            guard,
        });
        let weak: Weak<dyn IdleConnections> = Rc::<Self>::downgrade(&pool);
        pool.budget.register(weak);
        pool
    }

    /// A connection to this server at this address.
    pub(super) fn take(&self, server: ServerId, address: SocketAddr) -> Option<UpstreamConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(index) = choose(&idle, server, address) {
            let IdleConnection { connection, .. } = idle.remove(index)?;
            if self.is_usable(&connection) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose request has its answer, unless its server is retired, or its descriptor or the memory of
    /// its buffers is needed.
    pub(super) fn put(&self, server: ServerId, mut connection: UpstreamConnection) {
        if self.retired.borrow().contains(&server) || self.budget.is_short() {
            return;
        }
        if !connection.memory.may_be_kept() {
            return;
        }
        connection.idle_since = Instant::now();
        connection.stream.set_idle();
        self.idle.borrow_mut().push_back(IdleConnection { server, connection });
    }

    /// Closes the connections to a server.
    pub(super) fn close(&self, server: ServerId) {
        self.idle.borrow_mut().retain(|idle| idle.server != server);
    }

    /// Says whether connections to a server are no longer kept.
    pub(super) fn set_retired(&self, server: ServerId, retired: bool) {
        if !retired {
            self.retired.borrow_mut().remove(&server);
        } else if self.retired.borrow_mut().insert(server) {
            self.close(server);
        }
    }

    /// Closes what was idle too long, or was closed by its server.
    pub(super) fn sweep(&self) {
        self.idle.borrow_mut().retain(|idle| self.is_usable(&idle.connection));
    }

    /// Whether an idle connection can carry a request.
    fn is_usable(&self, connection: &UpstreamConnection) -> bool {
        // An end or a stray byte may have come before hyper was woken.
        if !connection.stream.is_quiet() {
            self.look_for_duplicate_answer(connection);
            return false;
        }
        !connection.sender.is_closed() && connection.idle_time() < self.idle_timeout
    }

    /// Notes bytes that came though no request on this connection was complete since its last answer.
    pub(super) fn look_for_duplicate_answer(&self, connection: &UpstreamConnection) {
        if connection.stream.has_input() {
            self.guard.unsolicited_bytes(Instant::now(), connection.idle_time());
        }
    }
}

impl IdleConnections for IdlePool {
    fn longest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().front().map(|idle| idle.connection.idle_since)
    }

    fn close_longest_idle(&self) -> bool {
        let closed = self.idle.borrow_mut().pop_front();
        closed.is_some()
    }
}

/// The index of the connection that the next request takes: of those that were idle for long enough, the one that was
/// idle least, so that few are kept; where there is none, the one that will have been first.
fn choose(idle: &VecDeque<IdleConnection>, server: ServerId, address: SocketAddr) -> Option<usize> {
    // A connection that was in use while its server moved comes back under the server's id. Failure: it carried the
    // next request to the old address, where another server may be by now.
    let fits = |(_, idle): &(usize, &IdleConnection)| {
        idle.server == server && idle.connection.address == address
    };
    let mut first = None;
    for (index, idle) in idle.iter().enumerate().rev().filter(fits) {
        if idle.connection.idle_time() >= DUPLICATE_ANSWER_WAIT {
            return Some(index);
        }
        first = Some(index);
    }
    first
}
