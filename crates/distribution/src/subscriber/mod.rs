//! The balancer's side: which control machine it is connected to, what it has applied, what it has to apply.

mod applied_state;
mod connection;
mod disconnect_reason;
mod event;
mod machine_selector;
mod options;
mod output;
mod receive;
mod saved_state;
mod service_transfer;
mod session;
mod status;
mod transaction;

pub use disconnect_reason::DisconnectReason;
pub use event::SubscriberEvent;
pub use options::{SubscriberOptions, SubscriberTiming};
pub use output::{ServiceUpdate, SubscriberOutput, Transaction};
pub use saved_state::{SavedService, SavedState};
pub use status::{ConnectionState, SubscriberCounters, SubscriberStatus};

use std::collections::{BTreeSet, VecDeque};

use sableloom_types::Time;

use crate::body::ResourceBody;
use crate::codec::CodecError;
use crate::message::PublisherMessage;
use crate::name::{ServiceName, SubscriberName};
use crate::position::{Position, ServiceVersion};
use crate::rejection::Rejection;
use crate::resource::Resource;
use crate::violation::PublisherViolation;
use applied_state::AppliedState;
use connection::Connection;
use machine_selector::MachineSelector;
use transaction::{IncomingTransaction, PendingTransaction};

/// A balancer's subscription to its configuration.
///
/// The caller owns connections, clock and files: it reports what happens, carries out the [`SubscriberOutput`]s in
/// order, and calls [`Self::tick`] when [`Self::due`] says so.
#[derive(Debug)]
pub struct Subscriber {
    name: SubscriberName,
    timing: SubscriberTiming,
    max_transaction_bytes: usize,
    selector: MachineSelector,
    connection: Connection,
    applied: AppliedState,
    /// The furthest position that any control machine has shown.
    position: Position,
    /// The last bookmark that matched the applied state.
    bookmark: Position,
    last_contact: Option<Time>,
    /// The number of scope messages sent on this connection.
    scope_generation: u32,
    incoming: Option<IncomingTransaction>,
    /// Transactions that the caller has not answered, in the order in which they were handed out.
    pending: VecDeque<PendingTransaction>,
    next_scrub: Option<Time>,
    /// Consecutive bookmarks that did not match the applied state.
    mismatched_bookmarks: u32,
    counters: SubscriberCounters,
    /// Damaged services of the saved state, reported at the start.
    damaged: Vec<ServiceName>,
}

impl Subscriber {
    /// A subscriber with its saved state, if any. It connects to nothing before [`Self::start`].
    pub fn new(options: SubscriberOptions) -> Self {
        let mut applied = AppliedState::new(options.scope);
        let saved = options.saved_state.unwrap_or_default();
        let position = saved.position;
        let damaged = applied.restore(saved.services);
        Subscriber {
            name: options.name,
            timing: options.timing,
            max_transaction_bytes: options.max_transaction_bytes,
            selector: MachineSelector::new(options.control_machine_count, options.seed),
            connection: Connection::Idle,
            applied,
            position,
            bookmark: Position::default(),
            last_contact: None,
            scope_generation: 0,
            incoming: None,
            pending: VecDeque::new(),
            next_scrub: None,
            mismatched_bookmarks: 0,
            counters: SubscriberCounters::default(),
            damaged,
        }
    }

    /// Starts: the first connection is made after a random delay within [`SubscriberTiming::first_delay_max`].
    pub fn start(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        for service in std::mem::take(&mut self.damaged) {
            out.push(SubscriberOutput::Event(SubscriberEvent::SavedStateDamaged { service }));
        }
        let until = now.plus(self.selector.random_delay(self.timing.first_delay_max));
        self.connection = Connection::Waiting { until };
        self.next_scrub = Some(now.plus(self.timing.scrub_interval));
    }

    /// The connection that [`SubscriberOutput::Connect`] asked for has been made.
    pub fn connected(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        if let Connection::Connecting { control_machine, .. } = self.connection {
            self.connection =
                Connection::Greeting { control_machine, since: now, hello_sent: false };
            self.send_hello_if_ready(out);
        }
    }

    /// The connection has ended or could not be made. Not to be called after [`SubscriberOutput::Close`].
    pub fn disconnected(
        &mut self,
        now: Time,
        reason: DisconnectReason,
        out: &mut Vec<SubscriberOutput>,
    ) {
        if self.connection.control_machine().is_some() {
            self.connection_ended(now, reason, out);
        }
    }

    /// A message has come.
    pub fn message(
        &mut self,
        now: Time,
        message: PublisherMessage,
        out: &mut Vec<SubscriberOutput>,
    ) {
        let Some(control_machine) = self.connection.control_machine() else {
            return;
        };
        self.last_contact = Some(now);
        self.connection.record_message(now);
        if let Err(reason) = self.handle(now, control_machine, message, out) {
            self.close(now, reason, out);
        }
    }

    /// A malformed frame has come: the connection is closed and counted.
    pub fn malformed(&mut self, now: Time, error: CodecError, out: &mut Vec<SubscriberOutput>) {
        if self.connection.control_machine().is_some() {
            self.close(now, PublisherViolation::Malformed(error).into(), out);
        }
    }

    /// The caller has applied all of a transaction, or rejects it and has applied nothing of it. Transactions are
    /// answered in the order in which they were handed out, also when their connection has ended since.
    pub fn apply_finished(
        &mut self,
        transaction: u64,
        result: Result<(), Vec<Rejection>>,
        out: &mut Vec<SubscriberOutput>,
    ) {
        let is_oldest = |pending: &mut PendingTransaction| pending.id == transaction;
        let Some(pending) = self.pending.pop_front_if(is_oldest) else {
            return;
        };
        match result {
            Ok(()) => self.acknowledge(pending, out),
            Err(rejections) => self.reject(pending, rejections, out),
        }
        self.send_hello_if_ready(out);
    }

    /// Changes the scope. The state of services that leave it is dropped at once: the caller decides how long it still
    /// uses its own, and skips what a pending transaction says of them.
    pub fn set_scope(&mut self, scope: Vec<ServiceName>, out: &mut Vec<SubscriberOutput>) {
        let scope: BTreeSet<ServiceName> = scope.into_iter().collect();
        let removed = self.applied.retain_scope(&scope);
        let added = self.applied.add_missing(&scope);
        if self.connection.scope_sent() && !(removed.is_empty() && added.is_empty()) {
            self.send_scope(added, removed, out);
        }
    }

    /// Does what is due: connects, sends a ping, closes a silent connection, recomputes a digest.
    pub fn tick(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        self.tick_connection(now, out);
        if self.next_scrub.is_some_and(|at| at <= now) {
            self.next_scrub = Some(now.plus(self.timing.scrub_interval));
            self.scrub(out);
        }
    }

    /// When [`Self::tick`] is to be called; each other call may change it.
    pub fn due(&self) -> Option<Time> {
        [self.connection.due(&self.timing), self.next_scrub].into_iter().flatten().min()
    }

    /// The status. The cost follows the number of services.
    pub fn status(&self, now: Time) -> SubscriberStatus {
        SubscriberStatus {
            connection: self.connection.state(),
            position: self.position,
            bookmark: self.bookmark,
            last_contact_age: self.last_contact.map(|at| now.since(at)),
            services: self.applied.service_count(),
            services_applied: self.applied.versions().filter(|applied| applied.version > 0).count(),
            resources: self.applied.resource_count(),
            tenants: self.applied.tenant_count(),
            bytes: self.applied.bytes(),
            rejected: self.applied.rejected_versions().map(|version| version.service).collect(),
            counters: self.counters,
        }
    }

    /// The applied versions of the services of the scope, in the order of their names.
    pub fn service_versions(&self) -> impl Iterator<Item = ServiceVersion> + '_ {
        self.applied.versions()
    }

    /// The applied resources of a service of the scope, in the order of kind and key.
    pub fn resources(&self, service: &ServiceName) -> impl Iterator<Item = &Resource> + '_ {
        self.applied.resources(service)
    }

    /// The state to save for a restart. Bodies are shared, not copied.
    pub fn saved_state(&self) -> SavedState {
        SavedState { position: self.position, services: self.applied.saved() }
    }

    /// An estimate of the bytes that are buffered for transactions that have not been applied.
    pub fn buffered_bytes(&self) -> usize {
        let incoming = self.incoming.as_ref().map_or(0, |incoming| incoming.bytes);
        incoming + self.pending.iter().map(|transaction| transaction.bytes).sum::<usize>()
    }

    /// Replaces the body of an applied resource as a fault of memory would. For tests of how drift is detected.
    #[doc(hidden)]
    pub fn corrupt(&mut self, service: &ServiceName, index: usize, body: ResourceBody) {
        self.applied.corrupt(service, index, body);
    }

    fn handle(
        &mut self,
        now: Time,
        control_machine: usize,
        message: PublisherMessage,
        out: &mut Vec<SubscriberOutput>,
    ) -> Result<(), DisconnectReason> {
        match message {
            PublisherMessage::Welcome { position } => {
                self.handle_welcome(now, control_machine, position, out)
            }
            PublisherMessage::Refused(refusal) => {
                Err(self.handle_refusal(now, control_machine, refusal, out))
            }
            PublisherMessage::Begin { transaction, generation, services } => {
                self.begin_transaction(transaction, generation, services)
            }
            PublisherMessage::Changes { transaction, changes } => {
                self.add_changes(transaction, changes)
            }
            PublisherMessage::Commit { transaction, position, services } => {
                self.advance_position(now, control_machine, position, out)?;
                self.commit_transaction(transaction, position, services, out)
            }
            PublisherMessage::Current { position, generation, digest } => {
                self.advance_position(now, control_machine, position, out)?;
                self.check_bookmark(position, generation, digest, out)
            }
            PublisherMessage::Pong { .. } => Ok(()),
            PublisherMessage::Status(_) => Err(PublisherViolation::UnexpectedStatus.into()),
        }
    }

    /// Recomputes one service's digest; if it was wrong, the service is requested again.
    fn scrub(&mut self, out: &mut Vec<SubscriberOutput>) {
        let busy: BTreeSet<&ServiceName> =
            self.pending.iter().flat_map(PendingTransaction::services).collect();
        let Some(service) = self.applied.scrub_next(|service| busy.contains(service)) else {
            return;
        };
        self.counters.drifts += 1;
        out.push(SubscriberOutput::Event(SubscriberEvent::Drift { service: service.clone() }));
        if self.connection.scope_sent() {
            self.send_scope(vec![service], Vec::new(), out);
        }
    }
}
