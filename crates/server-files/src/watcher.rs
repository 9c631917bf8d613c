//! One watch for all files of a process, and a bound on how many are read at a time.
//!
//! A watch on a file itself misses renames and swapped symlinks. So folders are watched, each once however many files
//! lie in it, and notifications are dispatched by the names of the entries that a subscriber's paths are resolved
//! through. There is one inotify instance and one thread, whatever the number of subscribers.

mod registry;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use notify::{Event, RecommendedWatcher, RecursiveMode, Watcher};
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_blocking;
use tokio::time::timeout;

use crate::path_entries::{FolderEntry, FolderId, entries_on_path};
use registry::Registry;

/// Maximum number of readings at a time, each on a thread of its own.
const MAX_READINGS: usize = 2;
/// A reading that takes longer than this is not counted any more. Failure that it guards against: one that hangs on
/// a dead network disk would keep all other files from being read.
const READING_TIMEOUT: Duration = Duration::from_secs(1);

/// Watches files for any number of subscribers.
#[derive(Clone)]
pub(crate) struct FileWatcher {
    /// Locked while folders are added to the watch or removed. These calls wait for the thread of the notifications,
    /// which locks the registry alone, so the registry is never locked meanwhile.
    system: Arc<Mutex<SystemWatch>>,
    registry: Arc<Mutex<Registry>>,
    readings: Arc<Semaphore>,
}

/// The system's notifications.
struct SystemWatch {
    watcher: Option<RecommendedWatcher>,
    /// Whether a failure was logged: only the first one is.
    failure_logged: bool,
}

/// A subscriber's interest in the files that it follows; ends with it.
pub(crate) struct Subscription {
    id: u64,
    watcher: FileWatcher,
}

impl FileWatcher {
    /// The watcher of this process, which the first call creates.
    pub(crate) fn of_process() -> Self {
        static OF_PROCESS: OnceLock<FileWatcher> = OnceLock::new();
        OF_PROCESS.get_or_init(Self::new).clone()
    }

    fn new() -> Self {
        let registry = Arc::new(Mutex::new(Registry::default()));
        let readings = Arc::new(Semaphore::new(MAX_READINGS));
        let dispatcher = registry.clone();
        let watcher = notify::recommended_watcher(move |event: notify::Result<Event>| {
            locked(&dispatcher).dispatch(event);
        });
        if let Err(e) = &watcher {
            eprintln!("sableloom: files are not watched, only read from time to time: {e}");
        }
        let system = SystemWatch { failure_logged: watcher.is_err(), watcher: watcher.ok() };
        Self { system: Arc::new(Mutex::new(system)), registry, readings }
    }

    /// A subscriber that follows nothing yet; `changed` is notified of changes of the files that it follows.
    pub(crate) fn subscribe(&self, changed: Arc<Notify>) -> Subscription {
        let id = locked(&self.registry).subscribe(changed);
        Subscription { id, watcher: self.clone() }
    }

    /// Runs a reading on a thread that may block, once fewer than [`MAX_READINGS`] are running. Returns `None` if it
    /// panicked.
    pub(crate) async fn read<T: Send + 'static>(
        &self,
        reading: impl FnOnce() -> T + Send + 'static,
    ) -> Option<T> {
        let permit = self.readings.acquire().await.ok()?;
        let mut running = spawn_blocking(reading);
        if let Ok(done) = timeout(READING_TIMEOUT, &mut running).await {
            return done.ok();
        }
        drop(permit);
        running.await.ok()
    }
}

impl Subscription {
    /// Follows these files, with the symlinks that their paths are resolved through now, and no others. Blocks for as
    /// long as the file system does.
    pub(crate) fn follow(&self, paths: &[PathBuf]) {
        let entries: BTreeSet<FolderEntry> =
            paths.iter().flat_map(|path| entries_on_path(path)).collect();
        let identified =
            entries.into_iter().filter_map(|entry| Some((FolderId::of(&entry.folder)?, entry)));
        let wanted: Vec<(FolderId, FolderEntry)> = identified.collect();
        if locked(&self.watcher.registry).follows(self.id, &wanted) {
            return;
        }
        let mut system = locked(&self.watcher.system);
        let changes = locked(&self.watcher.registry).follow(self.id, &wanted);
        changes.unwatch.iter().for_each(|path| system.unwatch(path));
        for (identity, path) in changes.watch {
            if system.watch(&path) {
                locked(&self.watcher.registry).watched(identity);
            }
        }
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        locked(&self.watcher.registry).unsubscribe(self.id);
    }
}

impl SystemWatch {
    fn unwatch(&mut self, path: &Path) {
        if let Some(watcher) = &mut self.watcher {
            // It fails if the folder is gone, of which the system ends the watch by itself.
            let _ = watcher.unwatch(path);
        }
    }

    /// Watches a folder, and returns whether it is watched now.
    fn watch(&mut self, path: &Path) -> bool {
        let Some(watcher) = &mut self.watcher else { return false };
        let Err(e) = watcher.watch(path, RecursiveMode::NonRecursive) else { return true };
        if !std::mem::replace(&mut self.failure_logged, true) {
            let path = path.display();
            eprintln!("sableloom: {path} is not watched, only read from time to time: {e}");
        }
        false
    }
}

/// Locks a mutex, also after a panic: each change of these values is completed under one lock.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
