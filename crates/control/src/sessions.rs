//! Connects one publisher to its clock, its timer and the connections of its sessions.

use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use sableloom_distribution::{
    CloseReason, CodecError, Publisher, PublisherOutput, SessionId, Store, SubscriberMessage,
};
use sableloom_types::Time;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::connection::ConnectionHandler;
use crate::outbox::Outbox;

/// The publisher, and the outbox of each open session.
pub(crate) struct Sessions {
    publisher: RefCell<Publisher>,
    outboxes: RefCell<FxHashMap<SessionId, Rc<Outbox>>>,
    next_session: Cell<u64>,
    /// The instant at which the publisher's clock is 0.
    start: Instant,
    /// Notified when the time at which the publisher is due changes.
    due_changed: Notify,
}

impl Sessions {
    pub(crate) fn new(publisher: Publisher) -> Rc<Self> {
        Rc::new(Self {
            publisher: RefCell::new(publisher),
            outboxes: RefCell::default(),
            next_session: Cell::new(1),
            start: Instant::now(),
            due_changed: Notify::new(),
        })
    }

    /// The resources that the publisher serves.
    pub(crate) fn store(&self) -> Ref<'_, Store> {
        Ref::map(self.publisher.borrow(), Publisher::store)
    }

    /// The number of open sessions. Each accepted connection counts as one from [`Sessions::open`] on.
    pub(crate) fn open_count(&self) -> usize {
        self.outboxes.borrow().len()
    }

    /// Calls the publisher with the current time, and applies its outputs. `call` must not use the same
    /// `Sessions`, because the publisher is borrowed until `call` returns.
    pub(crate) fn with_publisher<R>(
        &self,
        call: impl FnOnce(&mut Publisher, Time, &mut Vec<PublisherOutput>) -> R,
    ) -> R {
        let mut publisher = self.publisher.borrow_mut();
        let due = publisher.due();
        let mut outputs = Vec::new();
        let result = call(&mut publisher, self.now(), &mut outputs);
        if publisher.due() != due {
            self.due_changed.notify_one();
        }
        drop(publisher);
        outputs.into_iter().for_each(|output| self.apply(output));
        result
    }

    fn apply(&self, output: PublisherOutput) {
        match output {
            PublisherOutput::Send { session, frame } => {
                if let Some(outbox) = self.outboxes.borrow().get(&session) {
                    outbox.push(frame);
                }
            }
            PublisherOutput::Close { session, reason } => {
                if let Some(outbox) = self.outboxes.borrow_mut().remove(&session) {
                    outbox.close(reason);
                }
            }
        }
    }

    /// Opens a session for a connection that was accepted.
    pub(crate) fn open(self: &Rc<Self>) -> SessionHandle {
        let id = SessionId(self.next_session.get());
        self.next_session.set(id.0 + 1);
        let outbox = Rc::<Outbox>::default();
        self.outboxes.borrow_mut().insert(id, outbox.clone());
        self.with_publisher(|publisher, now, _| publisher.connected(now, id));
        SessionHandle { sessions: self.clone(), id, outbox }
    }

    /// Calls the publisher whenever it is due. The function never returns.
    pub(crate) async fn run_timer(&self) {
        loop {
            let due = self.publisher.borrow().due();
            let wait = async {
                match due {
                    Some(due) => sleep_until(self.instant(due)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.due_changed.notified() => {}
                () = wait => self.tick(),
            }
        }
    }

    fn tick(&self) {
        self.with_publisher(|publisher, now, outputs| _ = publisher.tick(now, outputs));
    }

    fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as i64)
    }

    fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.0.max(0) as u64)
    }
}

/// The handle by which a connection uses its session.
pub(crate) struct SessionHandle {
    sessions: Rc<Sessions>,
    id: SessionId,
    outbox: Rc<Outbox>,
}

impl SessionHandle {
    pub(crate) fn id(&self) -> SessionId {
        self.id
    }

    pub(crate) fn outbox(&self) -> &Outbox {
        &self.outbox
    }

    /// Ends the session after its connection has ended. Returns the reason if the publisher closed it first.
    pub(crate) fn end(&self) -> Option<CloseReason> {
        // The publisher holds no state of a session that it has closed itself.
        if self.sessions.outboxes.borrow_mut().remove(&self.id).is_some() {
            self.sessions.with_publisher(|publisher, now, outputs| {
                publisher.disconnected(now, self.id, outputs);
            });
        }
        self.outbox.close_reason()
    }

    /// Calls the publisher, unless it has closed the session.
    fn with_publisher_if_open(
        &self,
        call: impl FnOnce(&mut Publisher, Time, &mut Vec<PublisherOutput>),
    ) {
        if self.outbox.close_reason().is_none() {
            self.sessions.with_publisher(call);
        }
    }
}

impl ConnectionHandler for SessionHandle {
    fn on_message(&self, message: SubscriberMessage) {
        self.with_publisher_if_open(|publisher, now, outputs| {
            publisher.message(now, self.id, message, outputs);
        });
    }

    fn on_malformed(&self, error: CodecError) {
        self.with_publisher_if_open(|publisher, now, outputs| {
            publisher.malformed(now, self.id, error, outputs);
        });
    }

    fn on_written(&self, bytes: usize) {
        self.with_publisher_if_open(|publisher, now, outputs| {
            publisher.written(now, self.id, bytes, outputs);
        });
    }
}
