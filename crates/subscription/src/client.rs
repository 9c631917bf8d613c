//! The subscription's task: it carries out what the state machine orders, and feeds it with what happens.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use sableloom_distribution::{
    Change, ConnectionState, DisconnectReason, Rejection, SavedService, SavedState, ServiceName,
    ServiceUpdate, Subscriber, SubscriberEvent, SubscriberName, SubscriberOptions,
    SubscriberOutput, SubscriberStatus, SubscriberTiming, Transaction,
};
use sableloom_types::Time;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep_until};

use crate::events::describe;
use crate::link::{Link, LinkEvent, Traffic};
use crate::saver::Saver;
use crate::state_file::read_state;

/// What configuration means to the process that subscribes to it.
pub trait Applier {
    /// Checks a transaction, then puts it in force whole; or says what is wrong, and nothing of it is in force.
    /// A service's update that is a snapshot replaces whatever is there of that service.
    fn apply(&self, transaction: &Transaction) -> Result<(), Vec<Rejection>>;

    /// Something worth a line in the log.
    fn log(&self, line: &str);
}

/// What a subscription is made of.
#[derive(Clone, Debug)]
pub struct SubscriptionOptions {
    /// Who subscribes.
    pub name: SubscriberName,
    /// The control machines.
    pub machines: Vec<SocketAddr>,
    /// The services that are wanted.
    pub scope: Vec<ServiceName>,
    /// Where the last good state is kept, if anywhere.
    pub state: Option<PathBuf>,
    /// Of its random times; different at every balancer.
    pub seed: u64,
    /// Times.
    pub times: SubscriberTiming,
}

/// Where the state that is in force at first has come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateOrigin {
    /// From the file of an earlier process.
    File,
    /// From a control machine.
    Control,
}

/// How a subscription is.
#[derive(Clone, Debug)]
pub struct SubscriptionStatus {
    /// Its state machine.
    pub subscriber: SubscriberStatus,
    /// The control machine that it is connected to or connects to.
    pub machine: Option<SocketAddr>,
    /// Where the first state has come from; none as long as there is none.
    pub origin: Option<StateOrigin>,
    /// Why the state could not be written the last time, if it could not.
    pub save_error: Option<String>,
    /// The longest that the serving thread has taken to hand a state out for writing. It goes with the number of
    /// resources in force, whose names and bodies are shared and not copied.
    pub longest_save: Duration,
}

/// A subscription that runs.
pub struct Subscription {
    subscriber: RefCell<Subscriber>,
    applier: Rc<dyn Applier>,
    machines: Vec<SocketAddr>,
    /// The zero of the state machine's time.
    epoch: Instant,
    origin: Cell<Option<StateOrigin>>,
    origin_known: Notify,
    /// Ordered from outside the task.
    ordered: RefCell<Vec<SubscriberOutput>>,
    wake: Notify,
    /// No control machine could be reached since the last contact: said once.
    unreachable: Cell<bool>,
    save_error: RefCell<Option<String>>,
    longest_save: Cell<Duration>,
    traffic: Rc<Cell<Traffic>>,
}

/// What the task has waited for.
enum Wake {
    Link(LinkEvent),
    Written(std::io::Result<()>),
    TickDue,
    SaveDue,
    Ordered,
}

impl Subscription {
    /// Puts the last good state in force, if there is one, and begins to subscribe; to be called on a `LocalSet`.
    pub fn start(options: SubscriptionOptions, applier: Rc<dyn Applier>) -> Rc<Self> {
        let restored = restore(&options, &*applier);
        let origin = restored.as_ref().map(|_| StateOrigin::File);
        let mut subscriber = Subscriber::new(SubscriberOptions {
            restored,
            timing: options.times,
            ..SubscriberOptions::new(
                options.name.clone(),
                options.machines.len(),
                options.scope,
                options.seed,
            )
        });
        let epoch = Instant::now();
        let mut ordered = Vec::new();
        subscriber.start(Time(0), &mut ordered);
        let subscription = Rc::new(Self {
            subscriber: RefCell::new(subscriber),
            applier,
            machines: options.machines,
            epoch,
            origin: Cell::new(origin),
            origin_known: Notify::new(),
            ordered: RefCell::new(ordered),
            wake: Notify::new(),
            unreachable: Cell::new(false),
            save_error: RefCell::default(),
            traffic: Rc::default(),
            longest_save: Cell::default(),
        });
        let saver = options.state.map(|path| Saver::new(path, options.name));
        subscription.wake.notify_one();
        spawn_local(Task { subscription: subscription.clone(), link: Link::None, saver }.run());
        subscription
    }

    /// Waits until there is a state: from the file at once, else as soon as a control machine has given all.
    pub async fn state(&self) -> StateOrigin {
        loop {
            if let Some(origin) = self.origin.get() {
                return origin;
            }
            self.origin_known.notified().await;
        }
    }

    /// Subscribes to these services from now on. What is no longer wanted is forgotten here; the caller takes
    /// it out of force.
    pub fn set_scope(&self, scope: Vec<ServiceName>) {
        let now = self.now();
        let ordered = &mut *self.ordered.borrow_mut();
        self.subscriber.borrow_mut().set_scope(now, scope, ordered);
        self.wake.notify_one();
    }

    /// How it is. Work by the number of services.
    pub fn status(&self) -> SubscriptionStatus {
        let subscriber = self.subscriber.borrow().status(self.now());
        let control = match subscriber.connection {
            ConnectionState::Idle | ConnectionState::Waiting { .. } => None,
            ConnectionState::Connecting { control }
            | ConnectionState::Greeting { control }
            | ConnectionState::Syncing { control }
            | ConnectionState::Current { control } => Some(control),
        };
        SubscriptionStatus {
            machine: control.and_then(|control| self.machines.get(control).copied()),
            subscriber,
            origin: self.origin.get(),
            save_error: self.save_error.borrow().clone(),
            longest_save: self.longest_save.get(),
        }
    }

    /// What it has exchanged with control machines.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    fn now(&self) -> Time {
        Time(self.epoch.elapsed().as_micros() as i64)
    }

    fn instant(&self, time: Time) -> Instant {
        self.epoch + Duration::from_micros(time.0.max(0) as u64)
    }

    /// Makes one call of the state machine; gives what it orders.
    fn call(
        &self,
        call: impl FnOnce(&mut Subscriber, Time, &mut Vec<SubscriberOutput>),
    ) -> Vec<SubscriberOutput> {
        let mut out = Vec::new();
        call(&mut self.subscriber.borrow_mut(), self.now(), &mut out);
        out
    }

    fn event(&self, event: &SubscriberEvent) {
        match event {
            SubscriberEvent::Connected { .. } => self.unreachable.set(false),
            SubscriberEvent::Unreachable => self.unreachable.set(true),
            // It goes on trying for hours; that none can be reached has been said.
            SubscriberEvent::Disconnected { .. } if self.unreachable.get() => return,
            SubscriberEvent::Current { .. } if self.origin.get().is_none() => {
                self.origin.set(Some(StateOrigin::Control));
                self.origin_known.notify_waiters();
            }
            _ => {}
        }
        self.applier.log(&describe(event, &self.machines));
    }
}

/// Reads the last good state and puts its services in force, one by one. What is not accepted is left out: a
/// control machine is asked for it.
fn restore(options: &SubscriptionOptions, applier: &dyn Applier) -> Option<SavedState> {
    let path = options.state.as_ref()?;
    let saved = match read_state(path, &options.name) {
        Ok(saved) => saved?,
        Err(error) => {
            applier.log(&format!("state file {}: not used: {error}", path.display()));
            return None;
        }
    };
    let position = saved.position;
    let wanted = |saved: &SavedService| options.scope.contains(&saved.service);
    let accepted = |saved: &SavedService| match applier.apply(&snapshot_of(saved, &position)) {
        Ok(()) => true,
        Err(rejections) => {
            let problems: Vec<String> = rejections.iter().map(ToString::to_string).collect();
            let (path, problems) = (path.display(), problems.join("; "));
            applier.log(&format!("state file {path}: {} not used: {problems}", saved.service));
            false
        }
    };
    let services = saved.services.into_iter().filter(wanted).filter(accepted).collect();
    let restored = SavedState { position, services };
    if restored.services.is_empty() {
        return None;
    }
    let count = restored.services.len();
    applier.log(&format!("{count} services at {position} in force from {}", path.display()));
    Some(restored)
}

fn snapshot_of(saved: &SavedService, position: &sableloom_distribution::Position) -> Transaction {
    let update = ServiceUpdate {
        service: saved.service.clone(),
        version: saved.version,
        digest: saved.digest,
        snapshot: true,
        changes: saved.resources.iter().cloned().map(Change::Set).collect(),
    };
    Transaction { transfer: 0, position: *position, services: vec![update] }
}

async fn at_or_never(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

async fn written(saver: &mut Option<Saver>) -> std::io::Result<()> {
    match saver {
        Some(saver) => saver.written().await,
        None => std::future::pending().await,
    }
}

/// What the task owns alone.
struct Task {
    subscription: Rc<Subscription>,
    link: Link,
    saver: Option<Saver>,
}

impl Task {
    async fn run(mut self) {
        loop {
            let subscription = self.subscription.clone();
            let tick = subscription.subscriber.borrow().due();
            let tick = tick.map(|due| subscription.instant(due));
            let save = self.saver.as_ref().and_then(Saver::due);
            let wake = tokio::select! {
                event = self.link.next(&subscription.traffic) => Wake::Link(event),
                result = written(&mut self.saver) => Wake::Written(result),
                () = at_or_never(tick) => Wake::TickDue,
                () = at_or_never(save) => Wake::SaveDue,
                () = subscription.wake.notified() => Wake::Ordered,
            };
            match wake {
                Wake::Link(event) => self.link_event(event),
                Wake::Written(result) => self.written(result),
                Wake::TickDue => {
                    let out = subscription.call(|subscriber, now, out| subscriber.tick(now, out));
                    self.carry_out(out);
                }
                Wake::SaveDue => {
                    let start = Instant::now();
                    let state = subscription.subscriber.borrow().saved_state();
                    let took = subscription.longest_save.get().max(start.elapsed());
                    subscription.longest_save.set(took);
                    if let Some(saver) = &mut self.saver {
                        saver.write(Instant::now(), state);
                    }
                }
                Wake::Ordered => {
                    let ordered = subscription.ordered.take();
                    self.carry_out(ordered);
                }
            }
            // Requests are served between any two steps, however much a control machine sends.
            yield_now().await;
        }
    }

    fn link_event(&mut self, event: LinkEvent) {
        let subscription = self.subscription.clone();
        let lost = match event {
            LinkEvent::Connected => {
                let out = subscription.call(|subscriber, now, out| subscriber.connected(now, out));
                return self.carry_out(out);
            }
            LinkEvent::Received => return self.received(),
            LinkEvent::Failed(error) => DisconnectReason::ConnectFailed(error.to_string().into()),
            LinkEvent::Ended(None) => DisconnectReason::Lost("it has ended".into()),
            LinkEvent::Ended(Some(error)) => DisconnectReason::Lost(error.to_string().into()),
        };
        self.disconnect(lost);
    }

    fn disconnect(&mut self, reason: DisconnectReason) {
        self.link = Link::None;
        let subscription = self.subscription.clone();
        let out =
            subscription.call(|subscriber, now, out| subscriber.disconnected(now, reason, out));
        self.carry_out(out);
    }

    fn received(&mut self) {
        let subscription = self.subscription.clone();
        loop {
            let out =
                match self.link.message() {
                    Ok(None) => return,
                    Ok(Some(message)) => subscription
                        .call(|subscriber, now, out| subscriber.message(now, message, out)),
                    Err(error) => subscription
                        .call(|subscriber, now, out| subscriber.malformed(now, error, out)),
                };
            // It may close the connection, after which there is no further message.
            self.carry_out(out);
        }
    }

    fn carry_out(&mut self, out: Vec<SubscriberOutput>) {
        let subscription = self.subscription.clone();
        let mut queue = VecDeque::from(out);
        while let Some(output) = queue.pop_front() {
            match output {
                SubscriberOutput::Connect { control } => {
                    if let Some(machine) = subscription.machines.get(control) {
                        self.link = Link::connect(*machine);
                    }
                }
                SubscriberOutput::Send(message) => {
                    if !self.link.send(&message) {
                        self.disconnect(DisconnectReason::Lost("it takes nothing in".into()));
                    }
                }
                SubscriberOutput::Close { .. } => self.link = Link::None,
                SubscriberOutput::Apply(transaction) => {
                    let result = subscription.applier.apply(&transaction);
                    queue.extend(subscription.call(|subscriber, now, out| {
                        subscriber.apply_finished(now, transaction.transfer, result, out);
                    }));
                }
                SubscriberOutput::Event(event) => subscription.event(&event),
                SubscriberOutput::Save => {
                    if let Some(saver) = &mut self.saver {
                        saver.changed(Instant::now());
                    }
                }
            }
        }
    }

    /// A write has ended. One that failed is said once, and tried again.
    fn written(&mut self, result: std::io::Result<()>) {
        let Some(saver) = &mut self.saver else { return };
        let path = saver.path().display().to_string();
        let applier = &self.subscription.applier;
        let mut known = self.subscription.save_error.borrow_mut();
        match result {
            Ok(()) => {
                if known.take().is_some() {
                    applier.log(&format!("state file {path}: written again"));
                }
            }
            Err(error) => {
                let error = error.to_string();
                if known.as_ref() != Some(&error) {
                    applier.log(&format!(
                        "state file {path}: not written, a restart without control would begin from an older \
                         state: {error}"
                    ));
                }
                *known = Some(error);
                saver.changed(Instant::now());
            }
        }
    }
}
