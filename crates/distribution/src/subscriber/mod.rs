//! The balancer's side: which control machine, what is held, what is to be applied.

mod connection;
mod holding;
mod options;
mod transfer;

pub use options::{
    ConnectionState, DisconnectReason, SavedService, SavedState, ServiceUpdate, SubscriberCounters,
    SubscriberEvent, SubscriberOptions, SubscriberOutput, SubscriberStatus, SubscriberTiming,
    Transaction,
};

use std::collections::{BTreeSet, VecDeque};

use sableloom_types::Time;

use crate::codec::CodecError;
use crate::message::{NackReason, PublisherMessage, SubscriberMessage};
use crate::name::{ServiceName, SubscriberName};
use crate::resource::{Position, Rejection, Resource, ResourceBody, ServiceVersion};
use connection::{Choice, Link};
use holding::Holding;
use transfer::{Applying, Staging};

/// A balancer's subscription to configuration.
#[derive(Debug)]
pub struct Subscriber {
    name: SubscriberName,
    timing: SubscriberTiming,
    max_transaction_bytes: usize,
    choice: Choice,
    link: Link,
    holding: Holding,
    /// The furthest position that any control machine has shown.
    seen: Position,
    /// The last bookmark that fitted.
    current: Position,
    last_contact: Option<Time>,
    /// Scope messages sent on this connection.
    generation: u32,
    staging: Option<Staging>,
    applying: VecDeque<Applying>,
    next_scrub: Option<Time>,
    /// Bookmarks in a row that did not fit what is held.
    misfits: u32,
    counters: SubscriberCounters,
    /// What is to be said once it has started.
    damaged: Vec<ServiceName>,
}

impl Subscriber {
    /// With what was saved, if anything; connects to nothing before [`Self::start`].
    pub fn new(options: SubscriberOptions) -> Self {
        let mut holding = Holding::new(options.scope);
        let seen = options.restored.as_ref().map_or(Position::default(), |saved| saved.position);
        let damaged = options.restored.map_or(Vec::new(), |saved| holding.restore(saved));
        Subscriber {
            name: options.name,
            timing: options.timing,
            max_transaction_bytes: options.max_transaction_bytes,
            choice: Choice::new(options.control_machines, options.seed),
            link: Link::Idle,
            holding,
            seen,
            current: Position::default(),
            last_contact: None,
            generation: 0,
            staging: None,
            applying: VecDeque::new(),
            next_scrub: None,
            misfits: 0,
            counters: SubscriberCounters::default(),
            damaged,
        }
    }

    /// Starts: the first connection is ordered at a random time within [`SubscriberTiming::first_delay`].
    pub fn start(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        for service in std::mem::take(&mut self.damaged) {
            out.push(SubscriberOutput::Event(SubscriberEvent::SavedStateDamaged { service }));
        }
        let until = now.plus(self.choice.within(self.timing.first_delay));
        self.link = Link::Waiting { until };
        self.next_scrub = Some(now.plus(self.timing.scrub_interval));
    }

    /// The ordered connection is there.
    pub fn connected(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        if let Link::Connecting { control, .. } = self.link {
            self.link = Link::Greeting { control, since: now, greeted: false };
            self.greet(out);
        }
    }

    /// The ordered connection has ended or could not be made. Not to be called after [`SubscriberOutput::Close`].
    pub fn disconnected(
        &mut self,
        now: Time,
        why: DisconnectReason,
        out: &mut Vec<SubscriberOutput>,
    ) {
        if self.link.control().is_some() {
            self.lose(now, why, out);
        }
    }

    /// A message has come.
    pub fn message(
        &mut self,
        now: Time,
        message: PublisherMessage,
        out: &mut Vec<SubscriberOutput>,
    ) {
        let Some(control) = self.link.control() else {
            return;
        };
        self.last_contact = Some(now);
        self.link.heard(now);
        if let Err(reason) = self.take(now, control, message, out) {
            self.close(now, reason, out);
        }
    }

    /// What came is no message: the connection is closed and counted.
    pub fn malformed(&mut self, now: Time, error: CodecError, out: &mut Vec<SubscriberOutput>) {
        if self.link.control().is_some() {
            self.close(now, DisconnectReason::Violation(error.to_string().into()), out);
        }
    }

    /// The shell has applied a transaction whole, or nothing of it for these reasons. Transactions are answered in the
    /// order in which they were handed out, also when the connection has ended since.
    pub fn apply_finished(
        &mut self,
        _now: Time,
        transfer: u64,
        result: Result<(), Vec<Rejection>>,
        out: &mut Vec<SubscriberOutput>,
    ) {
        if self.applying.front().is_none_or(|applying| applying.transfer != transfer) {
            return;
        }
        let Some(applying) = self.applying.pop_front() else {
            return;
        };
        let answer = match result {
            Ok(()) => self.in_force(applying, out),
            Err(rejections) => self.rejected(applying, rejections, out),
        };
        out.extend(answer.map(SubscriberOutput::Send));
        self.greet(out);
    }

    /// Another scope. What leaves it is forgotten at once; the shell decides how long it still serves that, and passes
    /// over what a transaction that is under way still says of it.
    pub fn set_scope(
        &mut self,
        _now: Time,
        scope: Vec<ServiceName>,
        out: &mut Vec<SubscriberOutput>,
    ) {
        let scope: BTreeSet<ServiceName> = scope.into_iter().collect();
        let removed = self.holding.remove_all_but(&scope);
        let added = self.holding.add_missing(&scope);
        if self.link.greeted() && !(removed.is_empty() && added.is_empty()) {
            self.send_scope(added, removed, out);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        self.tick_connection(now, out);
        if self.next_scrub.is_some_and(|at| at <= now) {
            self.next_scrub = Some(now.plus(self.timing.scrub_interval));
            self.scrub(out);
        }
    }

    /// When [`Self::tick`] is to be called; to be asked again after every other call.
    pub fn due(&self) -> Option<Time> {
        [self.link.due(&self.timing), self.next_scrub].into_iter().flatten().min()
    }

    /// How it is. Work by the number of services.
    pub fn status(&self, now: Time) -> SubscriberStatus {
        SubscriberStatus {
            connection: self.link.connection(),
            position: self.seen,
            current: self.current,
            last_contact_age: self.last_contact.map(|at| now.since(at)),
            services: self.holding.len(),
            services_applied: self.holding.held().filter(|held| held.version > 0).count(),
            resources: self.holding.resource_count(),
            tenants: self.holding.tenant_count(),
            bytes: self.holding.bytes(),
            rejected: self.holding.rejected().map(|held| held.service).collect(),
            counters: self.counters,
        }
    }

    /// What it has of the services of its scope, in order.
    pub fn service_versions(&self) -> impl Iterator<Item = ServiceVersion> + '_ {
        self.holding.held()
    }

    /// The resources in force of a service of its scope, in the order of kind and key.
    pub fn resources(&self, service: &ServiceName) -> impl Iterator<Item = &Resource> + '_ {
        self.holding.resources(service)
    }

    /// What is to be kept for the next start. Bodies are shared, not copied.
    pub fn saved_state(&self) -> SavedState {
        SavedState { position: self.seen, services: self.holding.saved() }
    }

    /// Bytes that are buffered for transactions not yet in force, about.
    pub fn buffered_bytes(&self) -> usize {
        let staging = self.staging.as_ref().map_or(0, |staging| staging.bytes);
        staging + self.applying.iter().map(|applying| applying.bytes).sum::<usize>()
    }

    /// Replaces the body of a held resource as a fault of memory would. For tests of how drift is found.
    #[doc(hidden)]
    pub fn corrupt(&mut self, service: &ServiceName, index: usize, body: ResourceBody) {
        self.holding.corrupt(service, index, body);
    }

    fn take(
        &mut self,
        now: Time,
        control: usize,
        message: PublisherMessage,
        out: &mut Vec<SubscriberOutput>,
    ) -> Result<(), DisconnectReason> {
        match message {
            PublisherMessage::Welcome { position } => self.welcome(now, control, position, out),
            PublisherMessage::Refused(refusal) => Err(self.refusal(now, control, refusal, out)),
            PublisherMessage::Begin { transfer, generation, services } => {
                self.begin(transfer, generation, services)
            }
            PublisherMessage::Changes { transfer, changes } => self.changes(transfer, changes),
            PublisherMessage::Commit { transfer, position, services } => {
                self.see(now, control, position, out)?;
                self.commit(transfer, position, services, out)
            }
            PublisherMessage::Current { position, generation, digest } => {
                self.see(now, control, position, out)?;
                self.bookmark(position, generation, digest, out)
            }
            PublisherMessage::Pong { .. } => Ok(()),
            PublisherMessage::Status(_) => {
                Err(DisconnectReason::Violation("a status that was not asked for".into()))
            }
        }
    }

    /// A bookmark: if what it says of the scope is not what is held, the whole scope is named anew, once.
    fn bookmark(
        &mut self,
        position: Position,
        generation: u32,
        digest: u64,
        out: &mut Vec<SubscriberOutput>,
    ) -> Result<(), DisconnectReason> {
        // An earlier scope's bookmark, or one that does not know the last answers.
        if generation != self.generation || !self.applying.is_empty() || self.staging.is_some() {
            return Ok(());
        }
        if digest != self.holding.digest() {
            self.misfits += 1;
            if self.misfits > 1 {
                return Err(DisconnectReason::Violation(
                    "bookmarks do not fit what is held".into(),
                ));
            }
            self.send_whole_scope(out);
            return Ok(());
        }
        self.misfits = 0;
        self.current = position;
        self.choice.succeeded();
        if self.link.becomes_current() {
            out.push(SubscriberOutput::Event(SubscriberEvent::Current { position }));
        }
        Ok(())
    }

    /// Counts one service's digest anew; if it is not what it should be, the service is asked for again.
    fn scrub(&mut self, out: &mut Vec<SubscriberOutput>) {
        let busy: BTreeSet<&ServiceName> =
            self.applying.iter().flat_map(Applying::services).collect();
        let Some(service) = self.holding.scrub_next(|service| busy.contains(service)) else {
            return;
        };
        self.counters.drifts += 1;
        out.push(SubscriberOutput::Event(SubscriberEvent::Drift { service: service.clone() }));
        if self.link.greeted() {
            self.send_scope(vec![service], Vec::new(), out);
        }
    }

    fn in_force(
        &mut self,
        applying: Applying,
        out: &mut Vec<SubscriberOutput>,
    ) -> Option<SubscriberMessage> {
        let Applying { transfer, parts, .. } = applying;
        self.counters.applied += 1;
        for part in parts {
            self.counters.snapshots += u64::from(part.is_snapshot());
            self.holding.put_in_force(part);
        }
        out.push(SubscriberOutput::Save);
        self.link.greeted().then_some(SubscriberMessage::Ack { transfer })
    }

    fn rejected(
        &mut self,
        applying: Applying,
        mut rejections: Vec<Rejection>,
        out: &mut Vec<SubscriberOutput>,
    ) -> Option<SubscriberMessage> {
        let Applying { transfer, parts, .. } = applying;
        self.counters.rejected += 1;
        rejections.truncate(crate::message::MAX_REJECTIONS);
        let services = parts.iter().map(|part| part.target.service.clone()).collect();
        for part in &parts {
            self.holding.note_rejected(part);
        }
        let event = SubscriberEvent::Rejected { services, rejections: rejections.clone() };
        out.push(SubscriberOutput::Event(event));
        let reason = NackReason::Rejected(rejections);
        self.link.greeted().then_some(SubscriberMessage::Nack { transfer, reason })
    }
}
