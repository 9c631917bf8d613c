//! Pools, routes and servers from watched files, under a balancer that serves: each way in which
//! files change, and each in which a change is refused.

mod list_changes;
mod load;
mod main_file;
mod watching;

use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

use sableloom_testkit::control::peer_that_answers;
use sableloom_testkit::{Balancer, Message, Peer, READ_CLASS, Site, ok, read, servers};

/// The listener and the classes of a site: one of idempotent requests, one of others.
pub(crate) fn classes() -> String {
    format!(
        r#"{READ_CLASS}
[[class]]
name = "pay"
aim_ms = 5000
deadline_ms = 20000
effect = "unsafe"
methods = ["POST"]
"#
    )
}

/// A pool that reads its files only when it hears of them: no test passes by the slow reading.
pub(crate) fn pool(name: &str, more: &str) -> String {
    format!(
        "[[pool]]\nname = \"{name}\"\nfiles = [\"{name}.toml\"]\nreread_ms = 600000\n{more}\n\
         [pool.cold]\ntime_ms = 0\n\n"
    )
}

fn one_pool(more: &str) -> String {
    let classes = classes();
    format!("{classes}\n{}[otherwise]\npool = \"points\"\n", pool("points", more))
}

pub(crate) fn list(peers: &[(&str, &Peer)]) -> String {
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
    peer_that_answers(balancer, id, read(id, ""))
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
