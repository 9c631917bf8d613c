//! The directory entries that a path leads through.

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::os::unix::fs::MetadataExt;
use std::path::{Component, Path, PathBuf};

/// Most symlinks on one path, as the system has it (path_resolution(7)).
const MAX_LINKS: usize = 40;

/// Device and inode: the same for two paths to one folder, another once a folder is replaced or mounted over.
pub(crate) type Identity = (u64, u64);

/// An entry of a folder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry {
    /// The folder.
    pub(crate) folder: PathBuf,
    /// The entry's name in it.
    pub(crate) name: OsString,
}

/// The identity of what is at a path now, if anything.
pub(crate) fn identity(path: &Path) -> Option<Identity> {
    std::fs::metadata(path).ok().map(|meta| (meta.dev(), meta.ino()))
}

/// The entries that decide which file a path leads to: its own, and each symlink on the way.
pub(crate) fn entries_of(path: &Path) -> BTreeSet<Entry> {
    // Notices name absolute paths. Only a process without a working folder has none.
    let path = std::path::absolute(path).unwrap_or_else(|_| path.to_path_buf());
    let mut entries = BTreeSet::new();
    let mut rest: Vec<OsString> = parts(&path);
    let mut at = PathBuf::from("/");
    let mut links = 0;
    while let Some(part) = rest.pop() {
        if part == ".." {
            at = at.join("..");
            continue;
        }
        let next = at.join(&part);
        match std::fs::read_link(&next) {
            Ok(target) if links < MAX_LINKS => {
                links += 1;
                entries.insert(Entry { folder: at.clone(), name: part });
                if target.is_absolute() {
                    at = PathBuf::from("/");
                }
                rest.extend(parts(&target));
            }
            _ => {
                if rest.is_empty() {
                    entries.insert(Entry { folder: at.clone(), name: part });
                }
                at = next;
            }
        }
    }
    entries
}

/// A path's parts, the last one first.
fn parts(path: &Path) -> Vec<OsString> {
    let part = |part: Component<'_>| match part {
        Component::Normal(name) => Some(name.to_os_string()),
        Component::ParentDir => Some("..".into()),
        _ => None,
    };
    let mut parts: Vec<_> = path.components().filter_map(part).collect();
    parts.reverse();
    parts
}

#[cfg(test)]
mod tests;
