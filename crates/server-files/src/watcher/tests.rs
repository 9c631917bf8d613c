use std::sync::mpsc;

use super::*;

/// A folder of its own, removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("sableloom-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path.canonicalize().expect("its path"))
    }

    fn write(&self, name: &str) {
        std::fs::write(self.0.join(name), name).expect("written");
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn follows(watcher: &FileWatcher, path: PathBuf) -> (Arc<Notify>, Subscription) {
    let changed = Arc::new(Notify::new());
    let subscription = watcher.subscribe(changed.clone());
    subscription.follow(&[path]);
    (changed, subscription)
}

async fn notified(changed: &Notify) {
    let patience = Duration::from_secs(60);
    timeout(patience, changed.notified()).await.expect("a notification");
}

async fn is_quiet(changed: &Notify) -> bool {
    timeout(Duration::ZERO, changed.notified()).await.is_err()
}

#[tokio::test]
async fn a_change_notifies_the_subscribers_of_its_file_and_no_others() {
    let (watcher, folder) = (FileWatcher::new(), Folder::new("dispatch"));
    let (a, _a) = follows(&watcher, folder.0.join("a"));
    let (b, _b) = follows(&watcher, folder.0.join("b"));
    let (last, _last) = follows(&watcher, folder.0.join("last"));
    folder.write("a");
    folder.write("nobody's");
    // Notifications arrive in order: with this one all before it have arrived.
    folder.write("last");
    notified(&last).await;
    notified(&a).await;
    assert!(is_quiet(&b).await);
    assert_eq!(locked(&watcher.registry).sizes().0, 1);
}

#[tokio::test]
async fn two_paths_to_one_folder_share_one_watch_and_both_are_notified() {
    let (watcher, folder) = (FileWatcher::new(), Folder::new("spellings"));
    std::fs::create_dir_all(folder.0.join("real")).expect("a folder");
    let (straight, _straight) = follows(&watcher, folder.0.join("real/a"));
    let (round, _round) = follows(&watcher, folder.0.join("real/../real/a"));
    folder.write("real/a");
    notified(&straight).await;
    notified(&round).await;
}

#[tokio::test]
async fn a_folder_that_is_created_again_is_watched_again_for_all_its_subscribers() {
    let (watcher, folder) = (FileWatcher::new(), Folder::new("again"));
    let inner = folder.0.join("inner");
    std::fs::create_dir_all(&inner).expect("a folder");
    let (a, of_a) = follows(&watcher, inner.join("a"));
    let (b, of_b) = follows(&watcher, inner.join("b"));
    for _ in 0..3 {
        std::fs::remove_dir(&inner).expect("removed");
        notified(&a).await;
        notified(&b).await;
        std::fs::create_dir(&inner).expect("a folder, perhaps of the same inode");
        of_a.follow(&[inner.join("a")]);
        of_b.follow(&[inner.join("b")]);
        // The two calls of `follow` notify each other; that is no change of a file.
        let _ = (is_quiet(&a).await, is_quiet(&b).await);
        for (name, changed) in [("a", &a), ("b", &b)] {
            folder.write(&format!("inner/{name}"));
            notified(changed).await;
            std::fs::remove_file(inner.join(name)).expect("removed");
        }
    }
}

#[tokio::test]
async fn folders_without_subscribers_are_removed_from_the_watch() {
    let (watcher, folder) = (FileWatcher::new(), Folder::new("let-go"));
    for i in 0..50 {
        let inner = folder.0.join(i.to_string());
        std::fs::create_dir_all(&inner).expect("a folder");
        drop(follows(&watcher, inner.join("a")));
    }
    let (_changed, _last) = follows(&watcher, folder.0.join("a"));
    let registry = locked(&watcher.registry);
    assert_eq!(registry.sizes(), (1, 1, 1));
}

#[tokio::test]
async fn readings_that_hang_do_not_block_other_readings() {
    let watcher = FileWatcher::new();
    let mut ends = Vec::new();
    for _ in 0..MAX_READINGS {
        let (end, hangs) = mpsc::channel::<()>();
        let watcher = watcher.clone();
        let task = tokio::spawn(async move { watcher.read(move || hangs.recv().is_err()).await });
        ends.push((end, task));
        tokio::task::yield_now().await;
    }
    assert_eq!(watcher.read(|| 7).await, Some(7));
    for (end, task) in ends {
        drop(end);
        assert_eq!(task.await.expect("no panic"), Some(true));
    }
}
