//! The directory entries that a path is resolved through.

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::os::unix::fs::MetadataExt;
use std::path::{Component, Path, PathBuf};

/// Maximum number of symlinks in the resolution of a path, as in Linux (path_resolution(7)).
const MAX_SYMLINKS: usize = 40;

/// The identity of a folder: the same for two paths to it, and another once it is replaced or mounted over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct FolderId {
    device: u64,
    inode: u64,
}

impl FolderId {
    /// The identity of the folder at a path, if there is one.
    pub(crate) fn of(path: &Path) -> Option<Self> {
        let meta = std::fs::metadata(path).ok()?;
        Some(Self { device: meta.dev(), inode: meta.ino() })
    }
}

/// An entry of a folder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FolderEntry {
    /// The folder.
    pub(crate) folder: PathBuf,
    /// The entry's name in it.
    pub(crate) name: OsString,
}

/// The entries that decide which file a path leads to: the last one, and each symlink on the way.
pub(crate) fn entries_on_path(path: &Path) -> BTreeSet<FolderEntry> {
    // Notifications name absolute paths. Only a process without a working folder can't make one.
    let path = std::path::absolute(path).unwrap_or_else(|_| path.to_path_buf());
    let mut entries = BTreeSet::new();
    let mut rest: Vec<OsString> = reversed_components(&path);
    let mut at = PathBuf::from("/");
    let mut links = 0;
    while let Some(part) = rest.pop() {
        if part == ".." {
            at = at.join("..");
            continue;
        }
        let next = at.join(&part);
        match std::fs::read_link(&next) {
            Ok(target) if links < MAX_SYMLINKS => {
                links += 1;
                entries.insert(FolderEntry { folder: at.clone(), name: part });
                if target.is_absolute() {
                    at = PathBuf::from("/");
                }
                rest.extend(reversed_components(&target));
            }
            _ => {
                if rest.is_empty() {
                    entries.insert(FolderEntry { folder: at.clone(), name: part });
                }
                at = next;
            }
        }
    }
    entries
}

/// The names and `..` of a path, the last one first.
fn reversed_components(path: &Path) -> Vec<OsString> {
    let name = |component: Component<'_>| match component {
        Component::Normal(name) => Some(name.to_os_string()),
        Component::ParentDir => Some("..".into()),
        _ => None,
    };
    let mut names: Vec<_> = path.components().filter_map(name).collect();
    names.reverse();
    names
}

#[cfg(test)]
mod tests;
