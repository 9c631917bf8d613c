//! Pools, routes and servers from watched files, under a balancer that serves: each way in which
//! files change, and each in which a change is refused.

mod list_changes;
mod load;
mod main_file;
mod watching;

use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

use sableloom_testkit::{Balancer, Message, Peer, Site, ok, read, servers};

pub const CLASSES: &str = r#"
[[listener]]
address = "127.0.0.1:0"

[[class]]
name = "read"
aim_ms = 5000
deadline_ms = 20000
effect = "safe"
methods = ["GET"]

[[class]]
name = "pay"
aim_ms = 5000
deadline_ms = 20000
effect = "unsafe"
methods = ["POST"]
"#;

/// A pool that reads its files only when it hears of them: no test passes by the slow reading.
pub fn pool(name: &str, more: &str) -> String {
    format!(
        "[[pool]]\nname = \"{name}\"\nfiles = [\"{name}.toml\"]\nreread_ms = 600000\n{more}\n\
         [pool.cold]\ntime_ms = 0\n\n"
    )
}

fn one_pool(more: &str) -> String {
    format!("{CLASSES}\n{}[otherwise]\npool = \"points\"\n", pool("points", more))
}

pub fn list(peers: &[(&str, &Peer)]) -> String {
    servers("", peers.iter().map(|(id, peer)| (*id, peer.address, "")))
}

/// A balancer before a pool of these peers.
fn start(peers: &[(&str, &Peer)]) -> (Site, Balancer) {
    let site = Site::new(&one_pool("out_at_most = 1.0"));
    site.write("points.toml", &list(peers));
    let balancer = Balancer::serving(&site);
    (site, balancer)
}

/// Which peer serves a request now.
fn serves(balancer: &Balancer, id: &str) -> String {
    let answer = balancer.ask(read(id, ""));
    assert_eq!(answer.status(), 200, "{id}");
    String::from_utf8(answer.body).expect("a name")
}

/// A peer that answers once it is told to; what came to it.
fn waiting() -> (Peer, Receiver<Message>, Sender<()>) {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let (peer, came) = Peer::upstream(move |_, _, conn| {
        // Once the test has said go, or is over.
        let _ = wait.lock().expect("unpoisoned").recv();
        conn.write(ok("waited"));
        true
    });
    (peer, came, go)
}
