//! One watch for all files of a process, and a bound on how many are read at one time.
//!
//! A watch on a file itself misses renames and swapped symlinks, so folders are watched, each once however
//! many files lie in it, and notices are dispatched by the names of the entries that a subscriber's paths lead
//! through. One inotify instance and one thread, whatever the number of subscribers.

use std::collections::{BTreeSet, HashMap};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use notify::event::{AccessKind, AccessMode, EventKind};
use notify::{Event, RecommendedWatcher, RecursiveMode, Watcher};
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_blocking;
use tokio::time::timeout;

use crate::folders::{Entry, Identity, entries_of, identity};

/// Readings that may be under way at one time, each on a thread of its own.
pub(crate) const MAX_READINGS: usize = 2;
/// A reading that takes longer than this no longer counts: one that hangs (a dead network disk) would
/// keep all other files from being read.
const READING_PATIENCE: Duration = Duration::from_secs(1);

/// Watches files for any number of subscribers.
#[derive(Clone)]
pub(crate) struct FileWatcher {
    /// Held while folders are watched or let go. Notices come on a thread that these calls wait for and
    /// need the table alone, so the table is never held meanwhile.
    system: Arc<Mutex<System>>,
    table: Arc<Mutex<Table>>,
    readings: Arc<Semaphore>,
}

/// The system's notices.
struct System {
    watcher: Option<RecommendedWatcher>,
    /// Whether a failure was logged: one line tells what there is to tell.
    complained: bool,
}

/// Who is interested in what.
#[derive(Default)]
struct Table {
    folders: HashMap<Identity, Folder>,
    /// The paths that folders are watched under, as notices have them.
    paths: HashMap<PathBuf, Identity>,
    subscribers: HashMap<u64, Subscriber>,
    next: u64,
}

struct Folder {
    path: PathBuf,
    /// Whether the system sends notices of it.
    watched: bool,
    subscribers: HashMap<OsString, BTreeSet<u64>>,
}

struct Subscriber {
    news: Arc<Notify>,
    entries: BTreeSet<(Identity, OsString)>,
}

/// A subscriber's interest in the files that it follows; ends with it.
pub(crate) struct Subscription {
    id: u64,
    watcher: FileWatcher,
}

impl FileWatcher {
    /// The one of this process. It begins with the first call and lasts.
    pub(crate) fn of_process() -> Self {
        static OF_PROCESS: OnceLock<FileWatcher> = OnceLock::new();
        OF_PROCESS.get_or_init(Self::new).clone()
    }

    fn new() -> Self {
        let table = Arc::new(Mutex::new(Table::default()));
        let readings = Arc::new(Semaphore::new(MAX_READINGS));
        let of_notices = table.clone();
        let watcher = notify::recommended_watcher(move |event: notify::Result<Event>| {
            locked(&of_notices).dispatch(event);
        });
        if let Err(e) = &watcher {
            eprintln!("sableloom: files are not watched, only read from time to time: {e}");
        }
        let system = System { complained: watcher.is_err(), watcher: watcher.ok() };
        Self { system: Arc::new(Mutex::new(system)), table, readings }
    }

    /// A subscriber that follows nothing yet and is notified of what happens to the files that it follows.
    pub(crate) fn subscribe(&self, news: Arc<Notify>) -> Subscription {
        let mut table = locked(&self.table);
        let id = table.next;
        table.next += 1;
        table.subscribers.insert(id, Subscriber { news, entries: BTreeSet::new() });
        Subscription { id, watcher: self.clone() }
    }

    /// Does this on a thread where it may take its time, once fewer than [`MAX_READINGS`] are under way.
    /// `None` if it panicked.
    pub(crate) async fn read<T: Send + 'static>(
        &self,
        reading: impl FnOnce() -> T + Send + 'static,
    ) -> Option<T> {
        let place = self.readings.acquire().await.ok()?;
        let mut under_way = spawn_blocking(reading);
        if let Ok(done) = timeout(READING_PATIENCE, &mut under_way).await {
            return done.ok();
        }
        drop(place);
        under_way.await.ok()
    }
}

impl Subscription {
    /// Follows these files, whatever they lead through now, and no others. Blocks for as long as the file
    /// system does.
    pub(crate) fn follow(&self, paths: &[PathBuf]) {
        let entries: BTreeSet<Entry> = paths.iter().flat_map(|path| entries_of(path)).collect();
        let found = entries.into_iter().filter_map(|entry| Some((identity(&entry.folder)?, entry)));
        let wanted: Vec<(Identity, Entry)> = found.collect();
        if locked(&self.watcher.table).follows(self.id, &wanted) {
            return;
        }
        let mut system = locked(&self.watcher.system);
        let changes = locked(&self.watcher.table).follow(self.id, &wanted);
        changes.unwatch.iter().for_each(|path| system.unwatch(path));
        for (identity, path) in changes.watch {
            if system.watch(&path) {
                locked(&self.watcher.table).watched(identity);
            }
        }
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        locked(&self.watcher.table).forget(self.id);
    }
}

impl System {
    fn unwatch(&mut self, path: &Path) {
        if let Some(watcher) = &mut self.watcher {
            // The system has dropped it already if the folder is gone.
            let _ = watcher.unwatch(path);
        }
    }

    /// Whether notices of this folder come from now on.
    fn watch(&mut self, path: &Path) -> bool {
        let Some(watcher) = &mut self.watcher else { return false };
        let Err(e) = watcher.watch(path, RecursiveMode::NonRecursive) else { return true };
        if !std::mem::replace(&mut self.complained, true) {
            let path = path.display();
            eprintln!("sableloom: {path} is not watched, only read from time to time: {e}");
        }
        false
    }
}

/// What the system is to be asked for.
#[derive(Default)]
struct Changes {
    /// First these.
    unwatch: Vec<PathBuf>,
    watch: Vec<(Identity, PathBuf)>,
}

impl Table {
    /// Whether a subscriber follows just these already, with notices of all of them.
    fn follows(&self, id: u64, wanted: &[(Identity, Entry)]) -> bool {
        let Some(subscriber) = self.subscribers.get(&id) else { return true };
        let entries = wanted.iter().map(|(identity, entry)| (*identity, entry.name.clone()));
        let watched = |identity: &Identity| self.folders.get(identity).is_some_and(|f| f.watched);
        subscriber.entries == entries.collect()
            && wanted.iter().all(|(identity, _)| watched(identity))
    }

    fn follow(&mut self, id: u64, wanted: &[(Identity, Entry)]) -> Changes {
        self.release(id);
        let mut changes = Changes::default();
        for (identity, entry) in wanted {
            let replaced = self.paths.get(&entry.folder).filter(|is| *is != identity).copied();
            if let Some(folder) = replaced.and_then(|identity| self.folders.remove(&identity)) {
                // Its other subscribers have to look for what took its place.
                self.notify(folder.subscribers.values().flatten());
                self.paths.remove(&folder.path);
                changes.unwatch.push(folder.path);
            }
            let folder = self.folders.entry(*identity).or_insert_with(|| Folder {
                path: entry.folder.clone(),
                watched: false,
                subscribers: HashMap::new(),
            });
            folder.subscribers.entry(entry.name.clone()).or_default().insert(id);
            self.paths.insert(folder.path.clone(), *identity);
            if !folder.watched {
                changes.watch.push((*identity, folder.path.clone()));
            }
            if let Some(subscriber) = self.subscribers.get_mut(&id) {
                subscriber.entries.insert((*identity, entry.name.clone()));
            }
        }
        let paths = &mut self.paths;
        self.folders.retain(|_, folder| {
            let needed = !folder.subscribers.is_empty();
            if !needed {
                paths.remove(&folder.path);
                changes.unwatch.push(folder.path.clone());
            }
            needed
        });
        changes.watch.dedup();
        changes
    }

    fn watched(&mut self, identity: Identity) {
        if let Some(folder) = self.folders.get_mut(&identity) {
            folder.watched = true;
        }
    }

    /// Takes a subscriber's entries out. A folder that nobody needs any more goes when anyone follows next.
    fn release(&mut self, id: u64) {
        let Some(subscriber) = self.subscribers.get_mut(&id) else { return };
        for (identity, name) in std::mem::take(&mut subscriber.entries) {
            let Some(folder) = self.folders.get_mut(&identity) else { continue };
            let Some(subscribers) = folder.subscribers.get_mut(&name) else { continue };
            subscribers.remove(&id);
            if subscribers.is_empty() {
                folder.subscribers.remove(&name);
            }
        }
    }

    fn forget(&mut self, id: u64) {
        self.release(id);
        self.subscribers.remove(&id);
    }

    fn notify<'a>(&self, subscribers: impl Iterator<Item = &'a u64>) {
        let of = subscribers.filter_map(|id| self.subscribers.get(id));
        of.for_each(|subscriber| subscriber.news.notify_one());
    }

    fn dispatch(&mut self, event: notify::Result<Event>) {
        let event = match event {
            // Reading a file is no news of it.
            Ok(event) if event.kind.is_access() && !closed_after_writing(&event) => return,
            Ok(event) if !event.need_rescan() && !event.paths.is_empty() => event,
            // Notices were lost, or it is not known of what they are.
            _ => return self.notify(self.subscribers.keys()),
        };
        for path in &event.paths {
            if let Some(identity) = self.paths.get(path).copied() {
                self.folder_changed(identity, event.kind.is_remove());
            }
            let folder = path.parent().and_then(|folder| self.folders.get(self.paths.get(folder)?));
            if let (Some(folder), Some(name)) = (folder, path.file_name()) {
                self.notify(folder.subscribers.get(name).into_iter().flatten());
            }
        }
    }

    /// Something happened to a watched folder itself.
    fn folder_changed(&mut self, identity: Identity, removed: bool) {
        let Some(folder) = self.folders.get_mut(&identity) else { return };
        // A new folder may get the old one's inode.
        folder.watched &= !removed;
        let folder = &self.folders[&identity];
        self.notify(folder.subscribers.values().flatten());
    }
}

fn closed_after_writing(event: &Event) -> bool {
    matches!(event.kind, EventKind::Access(AccessKind::Close(AccessMode::Write)))
}

/// What a panic left behind is as good as before: each change of it is made whole under one lock.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
