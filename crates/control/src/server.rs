//! The server: sessions over one publisher, and the folder that feeds it.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use sableloom_distribution::{
    CodecError, Position, Publisher, PublisherOutput, SessionId, Store, SubscriberMessage,
};
use sableloom_types::Time;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::connection::{Outbox, Session, carry};
use crate::folder::{Folder, Next, Notice, ReadChange};
use crate::settings::Settings;
use crate::watch::Watch;

/// How often the next file is looked for without news of it, and the watch is set again if it could not be:
/// a third of the time in which a change is to be in force.
const LOOK_AGAIN: Duration = Duration::from_secs(2);
/// Connections that the system holds until they are accepted: all of a region that comes back at once.
const BACKLOG: u32 = 4096;
/// What the system buffers for a connection, so that a subscriber that does not read is known by its queue.
const SEND_BUFFER_BYTES: u32 = 128 << 10;
/// Descriptors for all but connections: files, watch, timers, and a few to spare.
const DESCRIPTORS_OTHER: usize = 32;
/// After an accept that failed, as for want of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);

/// Why a server can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address can't be listened on.
    #[error("field `listen`: {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        cause: io::Error,
    },
}

/// The publisher with its connections.
struct Sessions {
    publisher: RefCell<Publisher>,
    outboxes: RefCell<FxHashMap<SessionId, Rc<Outbox>>>,
    next_session: Cell<u64>,
    started: Instant,
    /// Something may be due earlier than it was.
    rescheduled: Notify,
}

impl Sessions {
    fn new(publisher: Publisher) -> Rc<Self> {
        Rc::new(Self {
            publisher: RefCell::new(publisher),
            outboxes: RefCell::default(),
            next_session: Cell::new(1),
            started: Instant::now(),
            rescheduled: Notify::new(),
        })
    }

    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as i64)
    }

    /// Lets the publisher decide something, and does what it orders.
    fn decide<R>(
        &self,
        decision: impl FnOnce(&mut Publisher, Time, &mut Vec<PublisherOutput>) -> R,
    ) -> R {
        let mut publisher = self.publisher.borrow_mut();
        let due = publisher.due();
        let mut orders = Vec::new();
        let result = decision(&mut publisher, self.now(), &mut orders);
        if publisher.due() != due {
            self.rescheduled.notify_one();
        }
        drop(publisher);
        orders.into_iter().for_each(|order| self.carry_out(order));
        result
    }

    fn carry_out(&self, order: PublisherOutput) {
        match order {
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

    fn connected(&self) -> (SessionId, Rc<Outbox>) {
        let session = SessionId(self.next_session.get());
        self.next_session.set(session.0 + 1);
        let outbox = Rc::<Outbox>::default();
        self.outboxes.borrow_mut().insert(session, outbox.clone());
        self.decide(|publisher, now, _| publisher.connected(now, session));
        (session, outbox)
    }

    /// The connection has ended.
    fn ended(&self, session: SessionId) {
        // What the publisher has closed it has forgotten.
        if self.outboxes.borrow_mut().remove(&session).is_some() {
            self.decide(|publisher, now, orders| publisher.disconnected(now, session, orders));
        }
    }

    fn count(&self) -> usize {
        self.outboxes.borrow().len()
    }

    /// Does what is due at its time.
    async fn keep_time(&self) {
        loop {
            let due = self.publisher.borrow().due();
            let wait = async {
                match due {
                    Some(due) => sleep_until(self.instant(due)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.rescheduled.notified() => {}
                () = wait => self.tick(),
            }
        }
    }

    fn tick(&self) {
        self.decide(|publisher, now, orders| _ = publisher.tick(now, orders));
    }

    fn instant(&self, time: Time) -> Instant {
        self.started + Duration::from_micros(time.0.max(0) as u64)
    }
}

/// A session as its connection sees it.
struct Handle {
    sessions: Rc<Sessions>,
    id: SessionId,
    outbox: Rc<Outbox>,
}

impl Handle {
    fn decide(&self, decision: impl FnOnce(&mut Publisher, Time, &mut Vec<PublisherOutput>)) {
        if self.outbox.closed().is_none() {
            self.sessions.decide(decision);
        }
    }
}

impl Session for Handle {
    fn message(&self, message: SubscriberMessage) {
        self.decide(|publisher, now, orders| publisher.message(now, self.id, message, orders));
    }

    fn malformed(&self, error: CodecError) {
        self.decide(|publisher, now, orders| publisher.malformed(now, self.id, error, orders));
    }

    fn written(&self, bytes: usize) {
        self.decide(|publisher, now, orders| publisher.written(now, self.id, bytes, orders));
    }
}

/// A control machine that listens.
pub struct Server {
    sessions: Rc<Sessions>,
    listener: TcpListener,
    log: LogReader,
    max_connections: usize,
}

impl Server {
    /// Reads the log as far as it goes, and listens. `base` is the folder that the settings' file is in. What is
    /// wrong with the log does not keep the server from starting: it serves what comes before.
    pub fn start(settings: &Settings, base: &Path) -> Result<Self, StartError> {
        let publisher = Publisher::new(Store::new(settings.store), settings.publisher);
        let sessions = Sessions::new(publisher);
        let folder = Folder::new(base.join(&settings.changes), settings.first);
        // Bound first, so that a second process with the same settings ends before it reads.
        let listener = listen(settings.listen)
            .map_err(|cause| StartError::Listen { address: settings.listen, cause })?;
        let mut log = LogReader { sessions: sessions.clone(), folder, watch: None, reported: None };
        log.look();
        while log.read_next() {}
        log.report();
        let max_connections = within_descriptors(settings.max_connections);
        Ok(Self { sessions, listener, log, max_connections })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// How far the log has been read.
    pub fn position(&self) -> Position {
        self.sessions.publisher.borrow().store().position()
    }

    /// Serves until `shutdown` is done; to be called within a `LocalSet`. Connections end with the process:
    /// subscribers go on at another control machine from the versions that they have.
    pub async fn run(self, shutdown: impl Future<Output = ()>) {
        let Self { sessions, listener, log, max_connections } = self;
        tokio::select! {
            () = shutdown => {}
            () = sessions.keep_time() => {}
            () = log.follow() => {}
            () = accept(&sessions, &listener, max_connections) => {}
        }
    }
}

/// So many connections as the process has descriptors for.
fn within_descriptors(wanted: usize) -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let most = limit.map_or(usize::MAX, |limit| (limit as usize).saturating_sub(DESCRIPTORS_OTHER));
    if most < wanted {
        eprintln!("sableloom: {most} connections at most, for want of descriptors (ulimit -n)");
    }
    most.min(wanted)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Connections that are accepted inherit it.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Takes connections for good.
async fn accept(sessions: &Rc<Sessions>, listener: &TcpListener, max_connections: usize) {
    let mut full = false;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                eprintln!("sableloom: a connection can't be taken: {error}");
                sleep(ACCEPT_AGAIN).await;
                continue;
            }
        };
        let was_full = std::mem::replace(&mut full, sessions.count() >= max_connections);
        if full {
            if !was_full {
                eprintln!("sableloom: {max_connections} connections are open; more are closed");
            }
            continue;
        }
        // Counted before the next one is taken.
        let (id, outbox) = sessions.connected();
        spawn_local(serve(Handle { sessions: sessions.clone(), id, outbox }, stream));
    }
}

async fn serve(handle: Handle, stream: TcpStream) {
    let peer = stream.peer_addr();
    carry(stream, &handle.outbox, &handle).await;
    handle.sessions.ended(handle.id);
    if let (Some(reason), Ok(peer)) = (handle.outbox.closed(), peer) {
        eprintln!("sableloom: session {} of {peer} closed: {reason}", handle.id.0);
    }
}

/// Reads the folder into the publisher.
struct LogReader {
    sessions: Rc<Sessions>,
    folder: Folder,
    watch: Option<Watch>,
    /// What was said last of why the folder is not watched, and of its listing.
    reported: Option<(Option<String>, Vec<Notice>)>,
}

impl LogReader {
    /// Follows the folder for good.
    async fn follow(mut self) {
        loop {
            self.wait().await;
            self.look();
            while self.read_next() {
                // Sessions get their turn between two changes.
                yield_now().await;
            }
            self.report();
        }
    }

    /// Waits for news of the folder, and not for long.
    async fn wait(&self) {
        match &self.watch {
            Some(watch) => _ = timeout(LOOK_AGAIN, watch.changed()).await,
            None => sleep(LOOK_AGAIN).await,
        }
    }

    /// Takes in the news; without a watch, or one on a folder that was replaced, sets one and lists the folder.
    fn look(&mut self) {
        let Some(watch) = self.watch.as_ref().filter(|watch| watch.follows(self.folder.path()))
        else {
            return self.begin_watch();
        };
        let news = watch.take();
        if news.lost {
            say(self.folder.list());
        }
        for name in news.names {
            say(self.folder.changed(&name));
        }
    }

    fn begin_watch(&mut self) {
        let watch = Watch::new(self.folder.path());
        let unwatched = watch.as_ref().err().map(ToString::to_string);
        self.watch = watch.ok();
        // What came before the watch is no news of it.
        let listed = self.folder.list();
        if self.reported.as_ref() == Some(&(unwatched.clone(), listed.clone())) {
            return;
        }
        if let Some(error) = &unwatched {
            let path = self.folder.path().display();
            eprintln!("sableloom: {path}: not watched, only read from time to time: {error}");
        }
        say(listed.iter().cloned());
        self.reported = Some((unwatched, listed));
    }

    /// Lets the status say how reading goes.
    fn report(&self) {
        let status = self.folder.status();
        self.sessions.decide(|publisher, _, _| publisher.set_log_status(status));
    }

    /// Reads the next change, if there is one; whether it was taken.
    fn read_next(&mut self) -> bool {
        let next = self.folder.read_next(self.sessions.publisher.borrow().store());
        let entry = match next {
            Next::Change(entry) => entry,
            Next::Waiting(notice) => {
                say(notice);
                return false;
            }
        };
        let read = ReadChange::of(&entry);
        match self.sessions.decide(|publisher, now, orders| publisher.append(now, entry, orders)) {
            Ok(_) => {
                self.folder.taken(read);
                true
            }
            Err(error) => {
                say(self.folder.refused(read, error.to_string()));
                false
            }
        }
    }
}

fn say(notices: impl IntoIterator<Item = Notice>) {
    for notice in notices {
        for line in notice.to_string().lines() {
            eprintln!("sableloom: changes: {line}");
        }
    }
}
