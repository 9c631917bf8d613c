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
    let news = Arc::new(Notify::new());
    let subscription = watcher.subscribe(news.clone());
    subscription.follow(&[path]);
    (news, subscription)
}

async fn arrives(news: &Notify) {
    let patience = Duration::from_secs(60);
    timeout(patience, news.notified()).await.expect("news");
}

async fn is_quiet(news: &Notify) -> bool {
    timeout(Duration::ZERO, news.notified()).await.is_err()
}

#[tokio::test]
async fn news_of_a_file_reaches_those_that_follow_it_and_no_others() {
    let (watcher, folder) = (FileWatcher::new(), Folder::new("dispatch"));
    let (a, _a) = follows(&watcher, folder.0.join("a"));
    let (b, _b) = follows(&watcher, folder.0.join("b"));
    let (last, _last) = follows(&watcher, folder.0.join("last"));
    folder.write("a");
    folder.write("nobody's");
    // Notices come in their order: with this one all before it have come.
    folder.write("last");
    arrives(&last).await;
    arrives(&a).await;
    assert!(is_quiet(&b).await);
    assert_eq!(locked(&watcher.table).folders.len(), 1);
}

#[tokio::test]
async fn two_ways_to_one_folder_are_one_watch_and_both_have_news() {
    let (watcher, folder) = (FileWatcher::new(), Folder::new("spellings"));
    std::fs::create_dir_all(folder.0.join("real")).expect("a folder");
    let (straight, _straight) = follows(&watcher, folder.0.join("real/a"));
    let (round, _round) = follows(&watcher, folder.0.join("real/../real/a"));
    folder.write("real/a");
    arrives(&straight).await;
    arrives(&round).await;
}

#[tokio::test]
async fn a_folder_that_comes_again_is_watched_again_for_all_that_need_it() {
    let (watcher, folder) = (FileWatcher::new(), Folder::new("again"));
    let inner = folder.0.join("inner");
    std::fs::create_dir_all(&inner).expect("a folder");
    let (a, of_a) = follows(&watcher, inner.join("a"));
    let (b, of_b) = follows(&watcher, inner.join("b"));
    for _ in 0..3 {
        std::fs::remove_dir(&inner).expect("removed");
        arrives(&a).await;
        arrives(&b).await;
        std::fs::create_dir(&inner).expect("a folder, perhaps of the same inode");
        of_a.follow(&[inner.join("a")]);
        of_b.follow(&[inner.join("b")]);
        // What the two follows did to each other is no news of a file.
        let _ = (is_quiet(&a).await, is_quiet(&b).await);
        for (name, news) in [("a", &a), ("b", &b)] {
            folder.write(&format!("inner/{name}"));
            arrives(news).await;
            std::fs::remove_file(inner.join(name)).expect("removed");
        }
    }
}

#[tokio::test]
async fn folders_that_nobody_follows_any_more_are_let_go() {
    let (watcher, folder) = (FileWatcher::new(), Folder::new("let-go"));
    for i in 0..50 {
        let inner = folder.0.join(i.to_string());
        std::fs::create_dir_all(&inner).expect("a folder");
        drop(follows(&watcher, inner.join("a")));
    }
    let (_news, _last) = follows(&watcher, folder.0.join("a"));
    let table = locked(&watcher.table);
    assert_eq!((table.folders.len(), table.paths.len(), table.subscribers.len()), (1, 1, 1));
}

#[tokio::test]
async fn readings_that_hang_do_not_keep_others_from_being_read() {
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
