//! The listening side of the balancer.

use std::rc::{Rc, Weak};

use sableloom_admission::Phase;
use sableloom_exchange::{Clock, Service};
use sableloom_types::settings::DeploymentSettings;
use tokio::net::TcpListener;

use super::acceptor::Acceptor;
use super::client_handle::CloseMode;
use super::context::{ClientLimits, FrontContext};
use super::dialect::Dialect;
use crate::memory::{MemoryBudget, MemoryReclaimer};

/// The listening side of the balancer: its connections, and their end at a graceful shutdown.
pub struct Frontend {
    context: Rc<FrontContext>,
    acceptor: Acceptor,
}

impl Frontend {
    /// A front that hands its requests to this service. What its clients' messages hold is charged to `memory`; where that
    /// is short, connections of this front make room.
    pub fn new(
        service: Rc<dyn Service>,
        settings: Rc<DeploymentSettings>,
        dialect: Dialect,
        clock: Clock,
        limits: &ClientLimits,
        memory: Rc<MemoryBudget>,
    ) -> Rc<Self> {
        let context = FrontContext::new(service, settings, dialect, clock, limits, memory);
        let context = Rc::new(context);
        let reclaimer: Weak<dyn MemoryReclaimer> = Rc::<FrontContext>::downgrade(&context);
        context.memory.set_reclaimer(reclaimer);
        let acceptor = Acceptor::new(context.clone(), limits.max_connections);
        Rc::new(Self { context, acceptor })
    }

    /// Accepts connections until [`stop_accepting`](Self::stop_accepting), and then what the system has accepted
    /// already: closing a listener resets the connections that wait in it.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        self.acceptor.accept(&listener).await;
    }

    /// Closes the connections that have exceeded a timeout.
    pub fn sweep(&self) {
        self.context.sweep();
    }

    /// Starts a graceful shutdown: answers close their connections, and idle connections are closed.
    pub fn drain(&self) {
        let context = &self.context;
        context.draining.set(true);
        for client in context.clients.borrow().values() {
            // A request may just be on its way: then it is answered first.
            if context.is_in_phase(client, Phase::Idle)
                && context.is_closable(client)
                && !client.stream.has_input()
            {
                client.close(CloseMode::Graceful);
            }
        }
    }

    /// Closes the connections without a request, or a part of one: its last byte may be on its way, and the request
    /// would count as accepted.
    pub fn close_unused(&self) {
        let context = &self.context;
        for client in context.clients.borrow().values() {
            if context.is_closable(client) && !context.has_partial_request(client) {
                client.close(CloseMode::Drain);
            }
        }
    }

    /// Rejects the requests of which only a part has come, and closes their connections: there will be no later moment
    /// to answer them, and their last bytes may be on their way.
    pub fn reject_partial_requests(&self) {
        for client in self.context.clients.borrow().values() {
            if self.context.is_in_phase(client, Phase::Reading) {
                client.close(CloseMode::Reject);
            }
        }
    }

    /// Accepts what has connected so far, and then closes the listeners.
    pub fn stop_accepting(&self) {
        self.acceptor.stop();
    }

    /// The client connections that are open, rejected ones included.
    pub fn connections(&self) -> usize {
        self.context.clients.borrow().len() + self.acceptor.rejected()
    }

    /// Whether connections are open, or may still come.
    pub fn is_in_use(&self) -> bool {
        self.acceptor.is_listening() || self.connections() > 0
    }
}

#[cfg(test)]
mod tests;
