//! A watch on the folder of change files.

use std::collections::BTreeSet;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use notify::event::{AccessKind, AccessMode, EventKind, ModifyKind};
use notify::{Event, RecommendedWatcher, RecursiveMode, Watcher};
use tokio::sync::Notify;

/// Maximum number of file names that wait to be handled. Beyond it the folder is listed instead, so that memory stays
/// bounded when an operator copies a long log into the folder.
const MAX_PENDING_NAMES: usize = 65_536;

/// The events since the last call of [`FolderWatch::take_events`].
#[derive(Debug, Default)]
pub(crate) struct FolderEvents {
    /// The names of files that were written, renamed or removed.
    pub(crate) names: BTreeSet<String>,
    /// Whether events were lost, so that the folder must be listed.
    pub(crate) incomplete: bool,
}

/// The events that the thread of the watcher adds and the reader takes.
#[derive(Default)]
struct SharedEvents {
    events: Mutex<FolderEvents>,
    event_added: Notify,
}

impl SharedEvents {
    fn add(&self, event: notify::Result<Event>) {
        {
            let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
            match event {
                Ok(event) if event.need_rescan() => events.incomplete = true,
                Ok(event) if !may_change_file_state(event.kind) => return,
                Ok(event) => {
                    let names = event.paths.iter().filter_map(|path| path.file_name());
                    events.names.extend(names.map(|name| name.to_string_lossy().into_owned()));
                }
                Err(_) => events.incomplete = true,
            }
            if events.names.len() > MAX_PENDING_NAMES {
                *events = FolderEvents { names: BTreeSet::new(), incomplete: true };
            }
        }
        self.event_added.notify_one();
    }
}

/// Whether an event can mean that a file has new contents or another name, or is gone. Reading a file is not such an
/// event. A file that is created or being written is handled when the writer closes it.
fn may_change_file_state(kind: EventKind) -> bool {
    match kind {
        EventKind::Access(access) => access == AccessKind::Close(AccessMode::Write),
        EventKind::Create(_) => false,
        EventKind::Modify(ModifyKind::Data(_) | ModifyKind::Metadata(_)) => false,
        _ => true,
    }
}

/// A watch on one folder.
pub(crate) struct FolderWatch {
    shared: Arc<SharedEvents>,
    /// The device and inode number of the watched folder, which differ if another folder takes its place or a symbolic
    /// link to it gets another target; `None` if they could not be read.
    folder_id: Option<(u64, u64)>,
    _watcher: RecommendedWatcher,
}

impl FolderWatch {
    /// Sets a watch on a folder. Files that exist already cause no event.
    pub(crate) fn new(folder: &Path) -> notify::Result<Self> {
        let folder_id = device_and_inode(folder);
        let shared = Arc::<SharedEvents>::default();
        let callback_shared = shared.clone();
        let mut watcher = notify::recommended_watcher(move |event| callback_shared.add(event))?;
        watcher.watch(folder, RecursiveMode::NonRecursive)?;
        Ok(Self { shared, folder_id, _watcher: watcher })
    }

    /// Whether the folder at this path is still the one that is watched.
    pub(crate) fn is_watching(&self, folder: &Path) -> bool {
        self.folder_id.is_some() && self.folder_id == device_and_inode(folder)
    }

    /// Waits until an event is added. Returns at once if an event was added since the last wait.
    pub(crate) async fn wait_for_event(&self) {
        self.shared.event_added.notified().await;
    }

    /// Returns the events since the last call, and clears them.
    pub(crate) fn take_events(&self) -> FolderEvents {
        std::mem::take(&mut self.shared.events.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The device and inode number of a folder; `None` if they can't be read.
fn device_and_inode(folder: &Path) -> Option<(u64, u64)> {
    std::fs::metadata(folder).ok().map(|metadata| (metadata.dev(), metadata.ino()))
}
