//! The list of servers from files that are watched. What a file says is judged by `serverlist`;
//! here it is read, off the thread that moves requests, and the accepted list is told.

mod folders;
mod reading;
mod watcher;

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sableloom_exchange::{Clock, EndpointListener, EndpointSource, Task};
use sableloom_server_list::{Lists, OfferResult, Spec};
use sableloom_toml_diagnostics::Problem;
use sableloom_types::ListKind;
use tokio::sync::{Mutex, Notify, OwnedMutexGuard};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

use reading::{Kept, read_all, readings};
use watcher::FileWatcher;

pub use reading::{FILE_MAX, bytes_of};

/// Files that are written one after the other are read once they have been left alone for so long.
const SETTLE: Duration = Duration::from_millis(5);
/// But no later than so long after the first news.
const MAX_SETTLE: Duration = Duration::from_millis(100);
/// Most changes that one line of the log names.
const MAX_LOGGED_CHANGES: usize = 12;

/// A pool's files: what is set, and where each of them is.
#[derive(Clone, Debug)]
pub struct Files {
    /// What is set.
    pub spec: Spec,
    /// The files' paths, in the order of the spec's names.
    pub paths: Vec<PathBuf>,
    /// How often the files are read again without any news of them.
    pub reread: Duration,
}

/// The files of one pool, as a source of its servers.
pub struct ServerFiles {
    files: RefCell<Files>,
    lists: RefCell<Lists>,
    kept: RefCell<Vec<Kept>>,
    /// The problems that were logged last, and the digests of the texts that had them: a problem is logged once.
    logged: RefCell<(Vec<String>, Vec<[u8; 32]>)>,
    sink: RefCell<Option<Rc<dyn EndpointListener>>>,
    clock: Clock,
    news: Arc<Notify>,
    /// One reading at a time, so that an older one never comes behind a newer.
    turn: Arc<Mutex<()>>,
    watching: RefCell<Option<Task>>,
    stopped: Cell<bool>,
}

/// Files that are read and good, and not yet in force.
pub struct Prepared {
    files: Files,
    lists: Lists,
    kept: Vec<Kept>,
    offer: OfferResult,
    /// Nothing else is read meanwhile.
    turn: Option<OwnedMutexGuard<()>>,
}

impl ServerFiles {
    /// Reads the files for the first time: all of them must be good. Watching begins with
    /// [`ServerFiles::watch`].
    pub async fn open(files: Files, clock: Clock) -> Result<Rc<Self>, Vec<Problem>> {
        let lists = Lists::new(files.spec.clone());
        let prepared = prepare(files, lists, Vec::new(), clock).await?;
        let opened = Rc::new(Self {
            files: RefCell::new(prepared.files.clone()),
            lists: RefCell::new(prepared.lists.clone()),
            kept: RefCell::default(),
            logged: RefCell::default(),
            sink: RefCell::default(),
            clock,
            news: Arc::default(),
            turn: Arc::default(),
            watching: RefCell::default(),
            stopped: Cell::new(false),
        });
        opened.commit(prepared);
        Ok(opened)
    }

    /// Watches the files from now on.
    pub fn watch(self: &Rc<Self>) {
        *self.watching.borrow_mut() = Some(Task::spawn(self.clone().keep()));
    }

    /// Reads the files of other settings, all of which must be good; nothing is changed yet.
    pub async fn prepare(&self, files: Files) -> Result<Prepared, Vec<Problem>> {
        let turn = self.turn.clone().lock_owned().await;
        let mut lists = self.lists.borrow().clone();
        lists.set(files.spec.clone());
        let kept = self.kept.borrow().clone();
        let prepared = prepare(files, lists, kept, self.clock).await?;
        Ok(Prepared { turn: Some(turn), ..prepared })
    }

    /// What was prepared is in force.
    pub fn commit(&self, prepared: Prepared) {
        let Prepared { files, lists, kept, offer, turn: _turn } = prepared;
        *self.files.borrow_mut() = files;
        *self.lists.borrow_mut() = lists;
        *self.kept.borrow_mut() = kept;
        self.report(offer);
        // Other files are to be watched.
        self.news.notify_one();
    }

    /// Ends the watch. What was told stays told.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.watching.borrow_mut().take();
        self.sink.borrow_mut().take();
    }

    /// Reads the files again without waiting for news of them.
    pub fn look(&self) {
        self.news.notify_one();
    }

    /// The number and hash of the list in force, and how many servers are held.
    pub fn version(&self) -> (u64, String, usize) {
        let lists = self.lists.borrow();
        let (revision, hash) = lists.version();
        (revision, hash.to_string(), lists.held())
    }

    /// Logs the result of an offer, and passes an accepted list on to the subscriber.
    fn report(&self, offer: OfferResult) {
        let pool = self.lists.borrow().spec().pool.clone();
        let mut problems: Vec<String> = offer.problems.iter().map(Problem::to_string).collect();
        problems.extend(offer.waits);
        let of = self.kept.borrow().iter().map(|kept| kept.digest).collect();
        let before = self.logged.replace((problems.clone(), of));
        if before != *self.logged.borrow() {
            problems
                .iter()
                .for_each(|line| eprintln!("sableloom: pool {pool}: not changed: {line}"));
        }
        if let Some(applied) = offer.applied {
            let changes: Vec<_> =
                applied.changes.iter().take(MAX_LOGGED_CHANGES).map(ToString::to_string).collect();
            let more = match applied.changes.len().saturating_sub(MAX_LOGGED_CHANGES) {
                0 => String::new(),
                more => format!(", and {more} more"),
            };
            let (number, hash) = (applied.revision, applied.hash);
            let what = if changes.is_empty() { "nothing".to_string() } else { changes.join(", ") };
            self.publish();
            eprintln!("sableloom: pool {pool}: list {number} ({hash}) in force: {what}{more}");
        }
    }

    fn publish(&self) {
        if let Some(sink) = self.sink.borrow().clone() {
            let entries = self.lists.borrow().entries();
            sink.endpoints_updated(ListKind::Full, entries);
        }
    }

    async fn keep(self: Rc<Self>) {
        let watcher = FileWatcher::of_process();
        let subscription = Arc::new(watcher.subscribe(self.news.clone()));
        // Something may have changed between the first reading and the watch.
        self.news.notify_one();
        loop {
            let files = self.files.borrow().clone();
            let leaving = self.lists.borrow().next().map(|at| self.clock.instant_of(at));
            let leaves = async {
                match leaving {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.news.notified() => self.settle().await,
                () = sleep(files.reread) => {}
                () = leaves => {}
            }
            let now = self.clock.now();
            if self.lists.borrow_mut().tick(now) {
                self.publish();
            }
            let _turn = self.turn.lock().await;
            let files = self.files.borrow().clone();
            let kept = self.kept.borrow().clone();
            let followed = subscription.clone();
            let reading = watcher.read(move || {
                // Before they are read: what comes after is news.
                followed.follow(&files.paths);
                read_all(&files, &kept)
            });
            let Some(kept) = reading.await else { continue };
            let readings = readings(&kept);
            if readings.len() != self.files.borrow().paths.len() || self.stopped.get() {
                continue;
            }
            *self.kept.borrow_mut() = kept;
            let offer = self.lists.borrow_mut().offer(self.clock.now(), &readings);
            self.report(offer);
        }
    }

    /// Waits until no more news comes, within bounds.
    async fn settle(&self) {
        let quiet = async { while timeout(SETTLE, self.news.notified()).await.is_ok() {} };
        let _ = timeout(MAX_SETTLE, quiet).await;
    }
}

impl EndpointSource for ServerFiles {
    fn subscribe(self: Rc<Self>, sink: Rc<dyn EndpointListener>) {
        if self.stopped.get() {
            return;
        }
        *self.sink.borrow_mut() = Some(sink);
        // Not from within the call of whoever subscribes.
        spawn_local(async move { self.publish() });
    }
}

async fn prepare(
    files: Files,
    mut lists: Lists,
    kept: Vec<Kept>,
    clock: Clock,
) -> Result<Prepared, Vec<Problem>> {
    let to_read = files.clone();
    let watcher = FileWatcher::of_process();
    let read = watcher.read(move || read_all(&to_read, &kept)).await;
    let kept = read.ok_or_else(|| vec![Problem::of_file("", "reading broke off")])?;
    let offer = lists.offer(clock.now(), &readings(&kept));
    if !offer.problems.is_empty() {
        return Err(offer.problems);
    }
    match offer.waits.clone().filter(|_| !lists.in_force()) {
        Some(waits) => Err(vec![Problem::of_file(&files.spec.files[0], waits)]),
        None => Ok(Prepared { files, lists, kept, offer, turn: None }),
    }
}
