//! Many pools in one process: one watch for all of them, few threads, and news of every file.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use sableloom_exchange::{Clock, EndpointListener, EndpointSource};
use sableloom_server_files::{Files, ServerFiles};
use sableloom_server_list::ListSpec;
use sableloom_types::{ListKind, ListedEndpoint, Span};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;
use tokio::time::timeout;

const POOLS: usize = 300;
/// Files of so many pools lie in one folder.
const IN_ONE_FOLDER: usize = 10;
/// Threads and descriptors that all pools together may have at rest.
const ALLOWED: usize = 16;

/// Passes on how many servers each list has.
struct Counts(UnboundedSender<usize>);

impl EndpointListener for Counts {
    fn endpoints_updated(self: Rc<Self>, _: ListKind, entries: Vec<ListedEndpoint>) {
        let _ = self.0.send(entries.len());
    }
}

fn write(path: &Path, servers: usize) {
    let server = |i| format!("[[server]]\nid = \"s{i}\"\naddress = \"127.0.0.1:{}\"\n", 9000 + i);
    let list: String = (0..servers).map(server).collect();
    // As deployments do it: written aside, then renamed.
    let aside = path.with_extension("new");
    std::fs::write(&aside, format!("{list}[end]\nservers = {servers}\n")).expect("written");
    std::fs::rename(aside, path).expect("renamed");
}

fn files(path: &Path) -> Files {
    let name = path.display().to_string();
    let spec = ListSpec {
        pool: name.clone(),
        files: vec![name],
        zones: vec!["".into()],
        max_removed_share: 1.0,
        drain_time: Span(0),
    };
    // Without news nothing is read again while the test lasts.
    Files { spec, paths: vec![path.to_path_buf()], reread_interval: Duration::from_secs(3600) }
}

fn entries(folder: &str) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("a folder of the system");
    entries.filter_map(|entry| Some(entry.ok()?.path())).collect()
}

fn threads() -> usize {
    entries("/proc/self/task").len()
}

fn descriptors() -> Vec<PathBuf> {
    entries("/proc/self/fd").iter().filter_map(|fd| std::fs::read_link(fd).ok()).collect()
}

async fn until(lists: &mut UnboundedReceiver<usize>, servers: usize) {
    let arrives = async { while lists.recv().await.expect("its pool lives") != servers {} };
    timeout(Duration::from_secs(60), arrives).await.expect("news of its file");
}

#[test]
fn three_hundred_pools_share_one_watch_and_a_few_threads() {
    let base = std::env::temp_dir().join(format!("sableloom-pools-{}", std::process::id()));
    let path = |i: usize| base.join(format!("{}/{i}.toml", i / IN_ONE_FOLDER));
    (0..POOLS).step_by(IN_ONE_FOLDER).for_each(|i| {
        std::fs::create_dir_all(path(i).parent().expect("a folder")).expect("made");
    });
    (0..POOLS).for_each(|i| write(&path(i), 1));
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().expect("a runtime");
    let (threads_before, descriptors_before) = (threads(), descriptors().len());
    LocalSet::new().block_on(&runtime, async {
        let mut pools = Vec::new();
        for i in 0..POOLS {
            let opened = ServerFiles::open(files(&path(i)), Clock::new()).await;
            let pool = opened.expect("a good file");
            let (told, lists) = unbounded_channel();
            pool.clone().subscribe(Rc::new(Counts(told)));
            pool.watch();
            pools.push((pool, lists));
        }
        for servers in 2..5 {
            (0..POOLS).for_each(|i| write(&path(i), servers));
            for (_, lists) in &mut pools {
                until(lists, servers).await;
            }
            let watches = descriptors();
            let of = |path: &&PathBuf| path.to_string_lossy().contains("inotify");
            assert_eq!(watches.iter().filter(of).count(), 1, "inotify instances");
            assert!(threads() <= threads_before + ALLOWED, "{} threads", threads());
            assert!(watches.len() <= descriptors_before + ALLOWED, "{watches:?}");
        }
        pools.iter().for_each(|(pool, _)| pool.stop());
    });
    let _ = std::fs::remove_dir_all(&base);
}
