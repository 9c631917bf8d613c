//! Copies of safe requests to a candidate: what reaches it, what it can't do to the live traffic
//! whatever it does, and what the record says in the end.

mod comparison;
mod isolation;
mod reload;

use std::fs;
use std::process::{Command, Output};
use std::sync::mpsc::Receiver;

use sableloom_testkit::{Balancer, Message, Peer, Site, answer, eventually, program};
use serde_json::Value;

use crate::server_files::{classes, list, pool};

/// Copies without a bound on their rate, so that what a test expects does not hang on time.
fn site(shadow: &str, pools: &[&str]) -> String {
    let pools: String =
        pools.iter().map(|name| pool(name, "out_at_most = 1.0\nt_qos_ms = 100")).collect();
    let classes = classes();
    format!(
        "{classes}\n{pools}[[route]]\nname = \"all\"\npath.prefix = \"/\"\npool = \"points\"\n\n\
         {}",
        if shadow.is_empty() { String::new() } else { shadowed(shadow) }
    )
}

fn shadowed(more: &str) -> String {
    let own = |field: &str, value: &str| match more.contains(field) {
        true => String::new(),
        false => format!("{field} = {value}\n"),
    };
    format!(
        "[[shadow]]\nname = \"next\"\nof = \"points\"\nto = \"candidate\"\nrecord_ms = 100\n\
         per_second = 1000000\n{}{}{}{more}\n",
        own("share", "1.0"),
        own("in_flight", "64"),
        own("trip", "10000")
    )
}

/// A balancer with a shadow, before these.
fn start(shadow: &str, live: &Peer, candidate: &Peer) -> (Site, Balancer) {
    started(&site(shadow, &["points", "candidate"]), live, candidate)
}

fn started(text: &str, live: &Peer, candidate: &Peer) -> (Site, Balancer) {
    let site = Site::new(text);
    site.write("points.toml", &list(&[("live", live)]));
    site.write("candidate.toml", &list(&[("next", candidate)]));
    let balancer = Balancer::serving(&site);
    (site, balancer)
}

fn record(site: &Site) -> Value {
    let text = fs::read(site.path("shadow-next.json")).unwrap_or_default();
    serde_json::from_slice(&text).unwrap_or_default()
}

/// Waits until this many copies have ended, by the record.
fn ended(site: &Site, count: u64) -> Value {
    eventually("copies end", || record(site)["classes"][0]["ended"] == count);
    record(site)
}

fn report(site: &Site, more: &[&str]) -> Output {
    let file = site.path("shadow-next.json");
    let arguments = ["shadow", "report", file.to_str().expect("a path")];
    let mut command = Command::new(program());
    command.args(arguments).args(more).env_remove("ROUTER_CONFIG");
    command.output().expect("it runs")
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&[&output.stdout[..], &output.stderr].concat()).into_owned()
}

fn json(body: &str) -> String {
    answer("200 OK", "Content-Type: application/json\r\n", body)
}

/// One that answers all with this.
fn answering(body: &'static str) -> (Peer, Receiver<Message>) {
    Peer::upstream(move |_, _, conn| {
        conn.write(json(body));
        true
    })
}

fn keyed(key: impl std::fmt::Display) -> String {
    format!("X-Object: {key}\r\n")
}
