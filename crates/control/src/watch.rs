//! A watch on the folder of change files.

use std::collections::BTreeSet;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use notify::event::{AccessKind, AccessMode, EventKind, ModifyKind};
use notify::{Event, RecommendedWatcher, RecursiveMode, Watcher};
use tokio::sync::Notify;

/// Most names that wait to be handled. Beyond them the folder is listed instead, so that an operator who copies a long
/// log into the folder costs a bounded amount of memory.
const MAX_NAMES: usize = 65_536;

/// The events since they were last taken.
#[derive(Debug, Default)]
pub(crate) struct FolderEvents {
    /// Names of files that were written, renamed or removed.
    pub(crate) names: BTreeSet<String>,
    /// Events were lost: the folder must be listed.
    pub(crate) lost: bool,
}

#[derive(Default)]
struct Shared {
    events: Mutex<FolderEvents>,
    notify: Notify,
}

impl Shared {
    fn add(&self, event: notify::Result<Event>) {
        {
            let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
            match event {
                Ok(event) if event.need_rescan() => events.lost = true,
                Ok(event) if !is_relevant(event.kind) => return,
                Ok(event) => {
                    let names = event.paths.iter().filter_map(|path| path.file_name());
                    events.names.extend(names.map(|name| name.to_string_lossy().into_owned()));
                }
                Err(_) => events.lost = true,
            }
            if events.names.len() > MAX_NAMES {
                *events = FolderEvents { names: BTreeSet::new(), lost: true };
            }
        }
        self.notify.notify_one();
    }
}

/// Whether an event can mean a new state of a file. Reading a file is not one, and a file that is created or being
/// written is handled once it is closed.
fn is_relevant(kind: EventKind) -> bool {
    match kind {
        EventKind::Access(access) => access == AccessKind::Close(AccessMode::Write),
        EventKind::Create(_) => false,
        EventKind::Modify(ModifyKind::Data(_) | ModifyKind::Metadata(_)) => false,
        _ => true,
    }
}

/// A watch on one folder.
pub(crate) struct FolderWatch {
    shared: Arc<Shared>,
    /// The identity of the folder. A folder that replaced it, or the new target of a link, has another one.
    folder: Option<(u64, u64)>,
    _watcher: RecommendedWatcher,
}

impl FolderWatch {
    /// Sets a watch on a folder.
    pub(crate) fn new(folder: &Path) -> notify::Result<Self> {
        let folder_identity = identity(folder);
        let shared = Arc::<Shared>::default();
        let callback_shared = shared.clone();
        let mut watcher = notify::recommended_watcher(move |event| callback_shared.add(event))?;
        watcher.watch(folder, RecursiveMode::NonRecursive)?;
        Ok(Self { shared, folder: folder_identity, _watcher: watcher })
    }

    /// Whether the folder at this path is still the one that is watched.
    pub(crate) fn follows(&self, folder: &Path) -> bool {
        self.folder.is_some() && self.folder == identity(folder)
    }

    /// Waits until there is an event.
    pub(crate) async fn changed(&self) {
        self.shared.notify.notified().await;
    }

    /// Takes the events out.
    pub(crate) fn take(&self) -> FolderEvents {
        std::mem::take(&mut self.shared.events.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The device and inode number of a folder.
fn identity(folder: &Path) -> Option<(u64, u64)> {
    std::fs::metadata(folder).ok().map(|metadata| (metadata.dev(), metadata.ino()))
}
