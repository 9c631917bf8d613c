//! The files of one pool as a source of its endpoints: when they are read, and what is applied.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sableloom_exchange::{Clock, EndpointListener, EndpointSource, Task};
use sableloom_server_list::{FileLists, ListChange, OfferResult};
use sableloom_toml_diagnostics::Problem;
use sableloom_types::ListKind;
use tokio::sync::{Mutex, Notify, OwnedMutexGuard};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

use crate::cached_file::{CachedFile, read_files, readings};
use crate::files::Files;
use crate::watcher::{FileWatcher, Subscription};

/// Files that are written one after the other are read once they have been unchanged for this long.
const SETTLE_TIME: Duration = Duration::from_millis(5);
/// The longest that files which keep changing wait to be read.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(100);
/// Maximum number of changes that one line of the log names.
const MAX_LOGGED_CHANGES: usize = 12;

/// The files of one pool, as a source of its endpoints.
pub struct ServerFiles {
    files: RefCell<Files>,
    lists: RefCell<FileLists>,
    cached: RefCell<Vec<CachedFile>>,
    logged: RefCell<LoggedProblems>,
    listener: RefCell<Option<Rc<dyn EndpointListener>>>,
    clock: Clock,
    changed: Arc<Notify>,
    /// Held during a reading, so that an older one is never applied after a newer one.
    reading: Arc<Mutex<()>>,
    watching: RefCell<Option<Task>>,
    stopped: Cell<bool>,
}

/// The problems that were logged last, and the digests of the files that had them: a problem is logged once.
#[derive(Default, PartialEq)]
struct LoggedProblems {
    lines: Vec<String>,
    digests: Vec<[u8; 32]>,
}

/// The list in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListVersion {
    /// Its number, which grows with each change.
    pub revision: u64,
    /// The hash of its contents.
    pub hash: String,
    /// Number of servers, those that drain included.
    pub servers: usize,
}

/// Files that are read and good, and not yet in force.
pub struct PreparedFiles {
    files: Files,
    lists: FileLists,
    cached: Vec<CachedFile>,
    offer: OfferResult,
    /// Keeps the watch from reading meanwhile.
    reading: Option<OwnedMutexGuard<()>>,
}

impl ServerFiles {
    /// Reads the files for the first time: all of them must be good. Watching begins with
    /// [`ServerFiles::watch`].
    ///
    /// # Errors
    ///
    /// Everything that is wrong with the files.
    pub async fn open(files: Files, clock: Clock) -> Result<Rc<Self>, Vec<Problem>> {
        let lists = FileLists::new(files.spec.clone());
        let prepared = prepare(files, lists, Vec::new(), clock).await?;
        let opened = Rc::new(Self {
            files: RefCell::new(prepared.files.clone()),
            lists: RefCell::new(prepared.lists.clone()),
            cached: RefCell::default(),
            logged: RefCell::default(),
            listener: RefCell::default(),
            clock,
            changed: Arc::default(),
            reading: Arc::default(),
            watching: RefCell::default(),
            stopped: Cell::new(false),
        });
        opened.commit(prepared);
        Ok(opened)
    }

    /// Watches the files from now on.
    pub fn watch(self: &Rc<Self>) {
        *self.watching.borrow_mut() = Some(Task::spawn(self.clone().run()));
    }

    /// Reads the files of other settings, all of which must be good; nothing is changed yet.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with the files.
    pub async fn prepare(&self, files: Files) -> Result<PreparedFiles, Vec<Problem>> {
        let reading = self.reading.clone().lock_owned().await;
        let mut lists = self.lists.borrow().clone();
        lists.set_spec(files.spec.clone());
        let cached = self.cached.borrow().clone();
        let prepared = prepare(files, lists, cached, self.clock).await?;
        Ok(PreparedFiles { reading: Some(reading), ..prepared })
    }

    /// Puts prepared files in force.
    pub fn commit(&self, prepared: PreparedFiles) {
        let PreparedFiles { files, lists, cached, offer, reading: _reading } = prepared;
        *self.files.borrow_mut() = files;
        *self.lists.borrow_mut() = lists;
        *self.cached.borrow_mut() = cached;
        self.report(offer);
        // The watch must follow the new files.
        self.changed.notify_one();
    }

    /// Ends the watch. The listener keeps the endpoints that it has.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.watching.borrow_mut().take();
        self.listener.borrow_mut().take();
    }

    /// The list in force.
    pub fn version(&self) -> ListVersion {
        let lists = self.lists.borrow();
        let (revision, hash) = lists.revision_and_hash();
        ListVersion { revision, hash: hash.to_string(), servers: lists.server_count() }
    }

    /// Logs the result of an offer, and passes an accepted list on to the listener.
    fn report(&self, offer: OfferResult) {
        let pool = self.lists.borrow().spec().pool.clone();
        self.log_problems(&pool, &offer);
        if let Some(applied) = offer.applied {
            self.publish();
            let (revision, hash) = (applied.revision, &applied.hash);
            let changes = summary(&applied.changes);
            eprintln!("sableloom: pool {pool}: list {revision} ({hash}) in force: {changes}");
        }
    }

    /// Logs why files are not applied, unless the same texts had the same problems before.
    fn log_problems(&self, pool: &str, offer: &OfferResult) {
        let mut lines: Vec<String> = offer.problems.iter().map(Problem::to_string).collect();
        lines.extend(offer.version_mismatch.clone());
        let digests = self.cached.borrow().iter().map(|file| file.digest).collect();
        let problems = LoggedProblems { lines, digests };
        if *self.logged.borrow() != problems {
            for line in &problems.lines {
                eprintln!("sableloom: pool {pool}: not changed: {line}");
            }
            *self.logged.borrow_mut() = problems;
        }
    }

    fn publish(&self) {
        if let Some(listener) = self.listener.borrow().clone() {
            let endpoints = self.lists.borrow().endpoints();
            listener.endpoints_updated(ListKind::Full, endpoints);
        }
    }

    /// Watches the files until the task is dropped.
    async fn run(self: Rc<Self>) {
        let watcher = FileWatcher::of_process();
        let subscription = Arc::new(watcher.subscribe(self.changed.clone()));
        // A file may have changed between the first reading and the watch.
        self.changed.notify_one();
        loop {
            self.wait().await;
            let now = self.clock.now();
            if self.lists.borrow_mut().remove_drained(now) {
                self.publish();
            }
            self.read_again(&watcher, &subscription).await;
        }
    }

    /// Waits until the files are to be read again, or a server has drained.
    async fn wait(&self) {
        let reread_interval = self.files.borrow().reread_interval;
        let drained_at = self.lists.borrow().next_drain_end().map(|at| self.clock.instant_of(at));
        let drained = async {
            match drained_at {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = self.changed.notified() => self.settle().await,
            () = sleep(reread_interval) => {}
            () = drained => {}
        }
    }

    /// Reads the files that changed, and offers all of them to the lists.
    async fn read_again(&self, watcher: &FileWatcher, subscription: &Arc<Subscription>) {
        let _reading = self.reading.lock().await;
        let files = self.files.borrow().clone();
        let cached = self.cached.borrow().clone();
        let subscription = subscription.clone();
        let reading = watcher.read(move || {
            // Before the files are read, so that every later change is notified.
            subscription.follow(&files.paths);
            read_files(&files, &cached)
        });
        let Some(cached) = reading.await else { return };
        let readings = readings(&cached);
        if readings.len() != self.files.borrow().paths.len() || self.stopped.get() {
            return;
        }
        *self.cached.borrow_mut() = cached;
        let offer = self.lists.borrow_mut().offer(self.clock.now(), &readings);
        self.report(offer);
    }

    /// Waits until no more changes are notified, within bounds.
    async fn settle(&self) {
        let quiet = async { while timeout(SETTLE_TIME, self.changed.notified()).await.is_ok() {} };
        let _ = timeout(MAX_SETTLE_TIME, quiet).await;
    }
}

impl EndpointSource for ServerFiles {
    fn subscribe(self: Rc<Self>, listener: Rc<dyn EndpointListener>) {
        if self.stopped.get() {
            return;
        }
        *self.listener.borrow_mut() = Some(listener);
        // Not within this call, because the subscriber may not be ready for a list yet.
        spawn_local(async move { self.publish() });
    }
}

async fn prepare(
    files: Files,
    mut lists: FileLists,
    cached: Vec<CachedFile>,
    clock: Clock,
) -> Result<PreparedFiles, Vec<Problem>> {
    let to_read = files.clone();
    let watcher = FileWatcher::of_process();
    let read = watcher.read(move || read_files(&to_read, &cached)).await;
    let cached = read.ok_or_else(|| vec![Problem::of_file("", "reading broke off")])?;
    let offer = lists.offer(clock.now(), &readings(&cached));
    if !offer.problems.is_empty() {
        return Err(offer.problems);
    }
    match offer.version_mismatch.clone().filter(|_| !lists.in_force()) {
        Some(waits) => Err(vec![Problem::of_file(&files.spec.files[0], waits)]),
        None => Ok(PreparedFiles { files, lists, cached, offer, reading: None }),
    }
}

/// The first changes of a list, for a line of the log.
fn summary(changes: &[ListChange]) -> String {
    if changes.is_empty() {
        return "nothing".to_string();
    }
    let first: Vec<_> = changes.iter().take(MAX_LOGGED_CHANGES).map(ToString::to_string).collect();
    match changes.len().saturating_sub(MAX_LOGGED_CHANGES) {
        0 => first.join(", "),
        more => format!("{}, and {more} more", first.join(", ")),
    }
}
