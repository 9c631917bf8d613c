//! Which subscriber is notified of which change.

use std::collections::{BTreeSet, HashMap};
use std::ffi::OsString;
use std::path::PathBuf;
use std::sync::Arc;

use notify::Event;
use notify::event::{AccessKind, AccessMode, EventKind};
use tokio::sync::Notify;

use crate::path_entries::{FolderEntry, FolderId};

/// Which subscribers follow which entries of which folders.
#[derive(Default)]
pub(super) struct Registry {
    folders: HashMap<FolderId, Folder>,
    /// The paths that folders are watched under, as notifications name them.
    paths: HashMap<PathBuf, FolderId>,
    subscribers: HashMap<u64, Subscriber>,
    next_id: u64,
}

struct Folder {
    path: PathBuf,
    /// Whether the system sends notifications of it.
    watched: bool,
    subscribers: HashMap<OsString, BTreeSet<u64>>,
}

struct Subscriber {
    changed: Arc<Notify>,
    entries: BTreeSet<(FolderId, OsString)>,
}

/// The folders that the system must watch from now on, and those that it need not any more.
#[derive(Default)]
pub(super) struct WatchChanges {
    /// To be done first: a new folder may have the path of an old one.
    pub(super) unwatch: Vec<PathBuf>,
    pub(super) watch: Vec<(FolderId, PathBuf)>,
}

impl Registry {
    /// Adds a subscriber that follows nothing yet.
    pub(super) fn subscribe(&mut self, changed: Arc<Notify>) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.subscribers.insert(id, Subscriber { changed, entries: BTreeSet::new() });
        id
    }

    /// Numbers of folders, paths and subscribers.
    #[cfg(test)]
    pub(super) fn sizes(&self) -> (usize, usize, usize) {
        (self.folders.len(), self.paths.len(), self.subscribers.len())
    }

    /// Whether a subscriber follows exactly these entries already, and all their folders are watched.
    pub(super) fn follows(&self, id: u64, wanted: &[(FolderId, FolderEntry)]) -> bool {
        let Some(subscriber) = self.subscribers.get(&id) else { return true };
        let entries = wanted.iter().map(|(identity, entry)| (*identity, entry.name.clone()));
        let watched = |id: &FolderId| self.folders.get(id).is_some_and(|f| f.watched);
        subscriber.entries == entries.collect()
            && wanted.iter().all(|(identity, _)| watched(identity))
    }

    /// Makes a subscriber follow these entries and no others.
    pub(super) fn follow(&mut self, id: u64, wanted: &[(FolderId, FolderEntry)]) -> WatchChanges {
        self.release(id);
        let mut changes = WatchChanges::default();
        for (identity, entry) in wanted {
            self.remove_replaced(*identity, entry, &mut changes);
            self.add_entry(id, *identity, entry, &mut changes);
        }
        self.remove_unneeded(&mut changes);
        changes.watch.dedup();
        changes
    }

    /// Removes the folder that was at the path of this one before.
    fn remove_replaced(
        &mut self,
        identity: FolderId,
        entry: &FolderEntry,
        changes: &mut WatchChanges,
    ) {
        let replaced = self.paths.get(&entry.folder).filter(|id| **id != identity).copied();
        if let Some(folder) = replaced.and_then(|identity| self.folders.remove(&identity)) {
            // Its other subscribers must follow the folder that replaced it.
            self.notify(folder.subscribers.values().flatten());
            self.paths.remove(&folder.path);
            changes.unwatch.push(folder.path);
        }
    }

    fn add_entry(
        &mut self,
        subscriber_id: u64,
        identity: FolderId,
        entry: &FolderEntry,
        changes: &mut WatchChanges,
    ) {
        let folder = self.folders.entry(identity).or_insert_with(|| Folder {
            path: entry.folder.clone(),
            watched: false,
            subscribers: HashMap::new(),
        });
        folder.subscribers.entry(entry.name.clone()).or_default().insert(subscriber_id);
        self.paths.insert(folder.path.clone(), identity);
        if !folder.watched {
            changes.watch.push((identity, folder.path.clone()));
        }
        if let Some(subscriber) = self.subscribers.get_mut(&subscriber_id) {
            subscriber.entries.insert((identity, entry.name.clone()));
        }
    }

    /// Removes the folders that no subscriber follows.
    fn remove_unneeded(&mut self, changes: &mut WatchChanges) {
        let paths = &mut self.paths;
        self.folders.retain(|_, folder| {
            let needed = !folder.subscribers.is_empty();
            if !needed {
                paths.remove(&folder.path);
                changes.unwatch.push(folder.path.clone());
            }
            needed
        });
    }

    /// The system sends notifications of a folder from now on.
    pub(super) fn watched(&mut self, identity: FolderId) {
        if let Some(folder) = self.folders.get_mut(&identity) {
            folder.watched = true;
        }
    }

    /// Removes a subscriber's entries. A folder without subscribers is removed by the next [`Registry::follow`].
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

    /// Removes a subscriber.
    pub(super) fn unsubscribe(&mut self, id: u64) {
        self.release(id);
        self.subscribers.remove(&id);
    }

    fn notify<'a>(&self, subscribers: impl Iterator<Item = &'a u64>) {
        let subscribers = subscribers.filter_map(|id| self.subscribers.get(id));
        subscribers.for_each(|subscriber| subscriber.changed.notify_one());
    }

    /// Notifies the subscribers that an event of the system concerns.
    pub(super) fn dispatch(&mut self, event: notify::Result<Event>) {
        let event = match event {
            // Reading a file does not change it.
            Ok(event) if event.kind.is_access() && !closed_after_writing(&event) => return,
            Ok(event) if !event.need_rescan() && !event.paths.is_empty() => event,
            // Notifications were lost, or do not say what changed.
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

    /// A watched folder itself changed.
    fn folder_changed(&mut self, identity: FolderId, removed: bool) {
        let Some(folder) = self.folders.get_mut(&identity) else { return };
        // A new folder may get the inode of the removed one.
        folder.watched &= !removed;
        let folder = &self.folders[&identity];
        self.notify(folder.subscribers.values().flatten());
    }
}

fn closed_after_writing(event: &Event) -> bool {
    matches!(event.kind, EventKind::Access(AccessKind::Close(AccessMode::Write)))
}
