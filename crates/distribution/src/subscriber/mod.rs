//! The state machine of a balancer's subscription: its connection, the applied state, and the transactions that are to
//! be applied.

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
/// The caller owns connections, clock and files. It reports events by calling the methods, carries out the
/// [`SubscriberOutput`]s in order, and calls [`Self::tick`] at the time that [`Self::due`] returns.
#[derive(Debug)]
pub struct Subscriber {
    name: SubscriberName,
    timing: SubscriberTiming,
    max_transaction_bytes: usize,
    selector: MachineSelector,
    connection: Connection,
    applied: AppliedState,
    /// The latest position that any control machine has reported.
    position: Position,
    /// The position of the last bookmark that matched the applied state.
    bookmark: Position,
    /// The time of the last message of any control machine.
    last_contact: Option<Time>,
    /// The number of scope messages sent on this connection.
    scope_generation: u32,
    /// The transaction of which the commit has not been received.
    incoming: Option<IncomingTransaction>,
    /// The transactions that the caller has not answered, in the order in which they were handed to it.
    pending: VecDeque<PendingTransaction>,
    /// The time at which the digest of the next service is recomputed; none before the start.
    next_scrub: Option<Time>,
    /// The number of consecutive bookmarks that did not match the applied state.
    mismatched_bookmarks: u32,
    counters: SubscriberCounters,
    /// The services whose saved state was damaged, until they are reported at the start.
    damaged: Vec<ServiceName>,
}

impl Subscriber {
    /// Creates a subscriber from its options and its saved state, if there is one. It does not connect before
    /// [`Self::start`].
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

    /// Starts the subscription. It connects after a random delay of up to [`SubscriberTiming::first_delay_max`].
    pub fn start(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        for service in std::mem::take(&mut self.damaged) {
            out.push(SubscriberOutput::Event(SubscriberEvent::SavedStateDamaged { service }));
        }
        let until = now.plus(self.selector.random_delay(self.timing.first_delay_max));
        self.connection = Connection::Waiting { until };
        self.next_scrub = Some(now.plus(self.timing.scrub_interval));
    }

    /// Reports that the connection requested by [`SubscriberOutput::Connect`] has been established.
    pub fn connected(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        if let Connection::Connecting { control_machine, .. } = self.connection {
            self.connection =
                Connection::Greeting { control_machine, since: now, hello_sent: false };
            self.send_hello_if_ready(out);
        }
    }

    /// Reports that the connection has ended or could not be established. It must not be called for a connection that
    /// the caller has closed for a [`SubscriberOutput::Close`].
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

    /// Handles a message that was received on the connection.
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

    /// Handles a malformed frame that was received on the connection: closes the connection and counts the violation.
    pub fn malformed(&mut self, now: Time, error: CodecError, out: &mut Vec<SubscriberOutput>) {
        if self.connection.control_machine().is_some() {
            self.close(now, PublisherViolation::Malformed(error).into(), out);
        }
    }

    /// Reports that the caller has applied all of a transaction, or that it has rejected it and applied nothing of it.
    /// The caller must report transactions in the order in which it got them, even after their connection has ended;
    /// any other report is ignored.
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

    /// Changes the scope. The state of services that are no longer in it is dropped at once. The caller decides how
    /// long it keeps its own copy of them, and must skip their changes in transactions that it has not applied.
    pub fn set_scope(&mut self, scope: Vec<ServiceName>, out: &mut Vec<SubscriberOutput>) {
        let scope: BTreeSet<ServiceName> = scope.into_iter().collect();
        let removed = self.applied.retain_scope(&scope);
        let added = self.applied.add_missing(&scope);
        if self.connection.scope_sent() && !(removed.is_empty() && added.is_empty()) {
            self.send_scope(added, removed, out);
        }
    }

    /// Runs the timers that have expired: connects, sends a ping, closes a connection that has timed out, or recomputes
    /// a digest.
    pub fn tick(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        self.tick_connection(now, out);
        if self.next_scrub.is_some_and(|at| at <= now) {
            self.next_scrub = Some(now.plus(self.timing.scrub_interval));
            self.scrub(out);
        }
    }

    /// Returns the time at which [`Self::tick`] must be called, or none before the start. Any other call may change it.
    pub fn due(&self) -> Option<Time> {
        [self.connection.due(&self.timing), self.next_scrub].into_iter().flatten().min()
    }

    /// Returns the status. The cost grows with the number of services in scope.
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

    /// Returns the applied versions of all services of the scope, in the order of their names.
    pub fn service_versions(&self) -> impl Iterator<Item = ServiceVersion> + '_ {
        self.applied.versions()
    }

    /// Returns the applied resources of a service in the order of kind and key; none if the service is not in scope.
    pub fn resources(&self, service: &ServiceName) -> impl Iterator<Item = &Resource> + '_ {
        self.applied.resources(service)
    }

    /// Returns the state to save for a restart. The bodies of resources are shared, not copied.
    pub fn saved_state(&self) -> SavedState {
        SavedState { position: self.position, services: self.applied.saved() }
    }

    /// Returns an estimate of the bytes buffered for the incoming transaction and for those that the caller has not
    /// answered.
    pub fn buffered_bytes(&self) -> usize {
        let incoming = self.incoming.as_ref().map_or(0, |incoming| incoming.bytes);
        incoming + self.pending.iter().map(|transaction| transaction.bytes).sum::<usize>()
    }

    /// Replaces the body of an applied resource and leaves its digest as it is, like a memory error. Tests use it to
    /// check that drift is detected.
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

    /// Recomputes the digest of one service. If it was wrong, the service is reported and requested again.
    fn scrub(&mut self, out: &mut Vec<SubscriberOutput>) {
        let changing: BTreeSet<&ServiceName> =
            self.pending.iter().flat_map(PendingTransaction::services).collect();
        let Some(service) = self.applied.scrub_next(|service| changing.contains(service)) else {
            return;
        };
        self.counters.drifts += 1;
        out.push(SubscriberOutput::Event(SubscriberEvent::Drift { service: service.clone() }));
        if self.connection.scope_sent() {
            self.send_scope(vec![service], Vec::new(), out);
        }
    }
}
