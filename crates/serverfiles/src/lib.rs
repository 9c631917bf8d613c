//! The list of servers from files that are watched. What a file says is judged by `serverlist`;
//! here it is read, off the thread that moves requests, and the accepted list is told.

mod watch;

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io::Read;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sableloom_checked::Problem;
use sableloom_exchange::{Clock, Sink, Source, Task};
use sableloom_serverlist::{self as serverlist, Lists, Offer, Reading, Spec};
use sableloom_types::ListKind;
use sha2::{Digest, Sha256};
use tokio::sync::{Mutex, Notify, OwnedMutexGuard};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};

use watch::Watch;

/// Largest file of servers, in bytes: some 100 for each of the most servers, and as many to spare.
pub const FILE_MAX: u64 = 8 << 20;
/// Files that are written one after the other are read once they have been left alone for so long.
const SETTLE: Duration = Duration::from_millis(5);
/// But no later than so long after the first news.
const SETTLE_MOST: Duration = Duration::from_millis(100);
/// Most changes that one line of the log names.
const TOLD: usize = 12;

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

/// A file as it was read last; an unchanged one is not judged again.
#[derive(Clone)]
struct Kept {
    path: PathBuf,
    digest: [u8; 32],
    reading: Reading,
}

type KeptAll = Vec<Kept>;

/// The files of one pool, as a source of its servers.
pub struct ServerFiles {
    files: RefCell<Files>,
    lists: RefCell<Lists>,
    kept: RefCell<KeptAll>,
    /// What was told last of what is wrong, and of which texts: it is told once.
    told: RefCell<(Vec<String>, Vec<[u8; 32]>)>,
    sink: RefCell<Option<Rc<dyn Sink>>>,
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
    kept: KeptAll,
    offer: Offer,
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
            told: RefCell::default(),
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
        self.tell(offer);
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

    /// Says what an offer did, and tells the sink.
    fn tell(&self, offer: Offer) {
        let pool = self.lists.borrow().spec().pool.clone();
        let mut told: Vec<String> = offer.problems.iter().map(Problem::to_string).collect();
        told.extend(offer.waits);
        let of = self.kept.borrow().iter().map(|kept| kept.digest).collect();
        let before = self.told.replace((told.clone(), of));
        if before != *self.told.borrow() {
            told.iter().for_each(|line| eprintln!("sableloom: pool {pool}: not changed: {line}"));
        }
        if let Some(applied) = offer.applied {
            let changes: Vec<_> =
                applied.changes.iter().take(TOLD).map(ToString::to_string).collect();
            let more = match applied.changes.len().saturating_sub(TOLD) {
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
            sink.listed(ListKind::Whole, entries);
        }
    }

    async fn keep(self: Rc<Self>) {
        let mut watch = Watch::new(self.news.clone());
        // Something may have changed between the first reading and the watch.
        self.news.notify_one();
        loop {
            let files = self.files.borrow().clone();
            let leaving = self.lists.borrow().next().map(|at| self.clock.instant(at));
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
            // Watched before they are read: what comes after is news.
            let paths = self.files.borrow().paths.clone();
            watch = match spawn_blocking(move || watch.follow(&paths)).await {
                Ok(watch) => watch,
                Err(_) => Watch::new(self.news.clone()),
            };
            let files = self.files.borrow().clone();
            let kept = self.kept.borrow().clone();
            let Some(kept) = read_all(files.clone(), kept).await else { continue };
            let readings = readings(&kept);
            if readings.len() != self.files.borrow().paths.len() || self.stopped.get() {
                continue;
            }
            *self.kept.borrow_mut() = kept;
            let offer = self.lists.borrow_mut().offer(self.clock.now(), &readings);
            self.tell(offer);
        }
    }

    /// Waits until no more news comes, within bounds.
    async fn settle(&self) {
        let quiet = async { while timeout(SETTLE, self.news.notified()).await.is_ok() {} };
        let _ = timeout(SETTLE_MOST, quiet).await;
    }
}

impl Source for ServerFiles {
    fn subscribe(self: Rc<Self>, sink: Rc<dyn Sink>) {
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
    kept: KeptAll,
    clock: Clock,
) -> Result<Prepared, Vec<Problem>> {
    let read = read_all(files.clone(), kept).await;
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

fn readings(kept: &KeptAll) -> Vec<Reading> {
    kept.iter().map(|kept| kept.reading.clone()).collect()
}

/// Reads and judges all files on a thread where that may take its time.
async fn read_all(files: Files, kept: KeptAll) -> Option<KeptAll> {
    let all = spawn_blocking(move || {
        let named = files.spec.files.iter().zip(&files.paths);
        named
            .map(|(name, path)| {
                let before = kept.iter().find(|kept| kept.path == *path);
                read_one(name, path, before, &files.spec)
            })
            .collect::<KeptAll>()
    });
    all.await.ok()
}

fn read_one(name: &str, path: &PathBuf, before: Option<&Kept>, spec: &Spec) -> Kept {
    let bytes = match bytes_of(path) {
        Ok(bytes) => bytes,
        Err(message) => {
            let reading = Err(vec![Problem::of_file(name, message)]);
            return Kept { path: path.clone(), digest: [0; 32], reading };
        }
    };
    let digest: [u8; 32] = Sha256::digest(&bytes).into();
    if let Some(before) = before.filter(|before| before.digest == digest) {
        return before.clone();
    }
    let reading = serverlist::read(name, &bytes, spec).map(Arc::new);
    Kept { path: path.clone(), digest, reading }
}

/// A file's bytes, or why it can't be read.
pub fn bytes_of(path: &PathBuf) -> Result<Vec<u8>, String> {
    let told = |e: std::io::Error| format!("it can't be read: {e}");
    // A pipe in its place would hold up whoever opens it.
    if !std::fs::metadata(path).map_err(told)?.is_file() {
        return Err("it can't be read: it is no regular file".to_string());
    }
    let file = File::open(path).map_err(told)?;
    let mut bytes = Vec::new();
    let read = file.take(FILE_MAX + 1).read_to_end(&mut bytes).map_err(told)?;
    match read as u64 > FILE_MAX {
        true => Err(format!("it is longer than {FILE_MAX} bytes")),
        false => Ok(bytes),
    }
}
