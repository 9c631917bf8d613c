//! Every key of a file of servers arrives at the listener of its pool.

use std::rc::Rc;
use std::time::Duration;

use sableloom_exchange::{Clock, EndpointListener, EndpointSource};
use sableloom_server_files::{Files, ServerFiles};
use sableloom_server_list::ListSpec;
use sableloom_types::{EndpointStatus, ListKind, ListedEndpoint, Span};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;
use tokio::time::timeout;

const EVERY_KEY: &str = r#"
version = "7"
takes_out = 1
pool = "points"

[[server]]
id = "s1"
address = "127.0.0.1:9001"
zone = "west"
weight = 2.5
state = "serving"
started = 2026-12-01T08:30:00Z

[[server]]
id = "s2"
address = "127.0.0.1:9002"
zone = "east"
state = "draining"

[end]
servers = 2
"#;

struct Lists(UnboundedSender<(ListKind, Vec<ListedEndpoint>)>);

impl EndpointListener for Lists {
    fn endpoints_updated(self: Rc<Self>, kind: ListKind, endpoints: Vec<ListedEndpoint>) {
        let _ = self.0.send((kind, endpoints));
    }
}

#[tokio::test]
async fn every_key_of_a_servers_file_arrives_at_the_listener() {
    let folder = std::env::temp_dir().join(format!("server-file-keys-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("points.toml");
    std::fs::write(&path, EVERY_KEY).expect("written");
    let spec = ListSpec {
        pool: "points".into(),
        files: vec!["points.toml".into()],
        zones: vec!["east".into(), "west".into()],
        max_removed_share: 1.0,
        drain_time: Span(0),
    };
    let files = Files { spec, paths: vec![path], reread_interval: Duration::from_secs(3600) };
    let local = LocalSet::new();
    let (kind, mut endpoints) = local
        .run_until(async move {
            let source = ServerFiles::open(files, Clock::new()).await.expect("a good file");
            let (sender, mut lists) = unbounded_channel();
            source.subscribe(Rc::new(Lists(sender)));
            timeout(Duration::from_secs(60), lists.recv()).await.expect("in time").expect("a list")
        })
        .await;
    let _ = std::fs::remove_dir_all(&folder);
    assert_eq!(kind, ListKind::Full);
    endpoints.sort_by(|a, b| a.id.cmp(&b.id));
    let [first, second] = endpoints.as_slice() else { panic!("two servers: {endpoints:?}") };
    assert_eq!((&*first.id, first.address.port(), &*first.zone), ("s1", 9001, "west"));
    assert_eq!((first.size, first.status), (2.5, EndpointStatus::Live));
    assert_eq!(first.up_since_ms, 1_796_113_800_000.0);
    assert_eq!((&*second.id, second.address.port(), &*second.zone), ("s2", 9002, "east"));
    assert_eq!((second.size, second.status), (1.0, EndpointStatus::Draining));
}
