//! SIGHUP while the site's own file lies on a disk that does not answer.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use crate::disk::hold;
use crate::kit::{
    Folder, Outcome, Program, Record, Server, ask, free_port, not_run, servers, sleep_ms, verdict,
};

/// How long the disk does not answer.
const HANG_MS: u64 = 10_000;
/// How long a client waits for its answer.
const EXPIRES_MS: f64 = 600.0;
/// Up to half a second after its time an answer only earns nothing; 50 ms on sockets.
const SLACK_MS: f64 = 550.0;

fn site(port: u16, name: &str) -> String {
    format!(
        r#"[[listener]]
address = "127.0.0.1:{port}"

[[class]]
name = "balance"
aim_ms = 250
deadline_ms = 600
effect = "safe"
methods = ["GET"]

[[pool]]
name = "points"
files = ["points.toml"]

[[route]]
name = "{name}"
path.prefix = "/balance/"
pool = "points"

[otherwise]
refuse = "not-found"
"#
    )
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let temporary = Folder::create_holdable("reload")?;
    let start = |name| Server::start(name, "127.0.0.1:0", 8, &record, 20);
    let (one, two) = (start("points-1")?, start("points-2")?);
    let port = free_port("127.0.0.1");
    temporary.write("points.toml", &servers(&[&one, &two]))?;
    temporary.write("site.toml", &site(port, "points"))?;
    let config = temporary.0.join("site.toml");
    let program = Program::start(
        root,
        &["serve", "--config", &config.display().to_string()],
        temporary.0.join("log"),
    )?;
    if !program.wait_for("configuration 1", 5000) {
        return Ok(not_run(&record, &program.log()));
    }
    let to = SocketAddr::from(([127, 0, 0, 1], port));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|c| {
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || {
                let mut outcomes: Vec<Outcome> = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("c{c}-{}", outcomes.len());
                    let wait = (EXPIRES_MS + SLACK_MS) as u64;
                    let fields = format!("X-Expires-In-Ms: {EXPIRES_MS}\r\n");
                    outcomes.push(ask(to, "GET", "/balance/1", &id, &fields, wait, &record));
                    sleep_ms(100);
                }
                outcomes
            })
        })
        .collect();
    sleep_ms(2000);
    temporary.write("site.toml", &site(port, "points-and-more"))?;
    let held = match trouble {
        true => match hold(&config) {
            Ok(file) => Some(file),
            Err(e) => return Ok(not_run(&record, &format!("no lease on the site's file: {e}"))),
        },
        false => None,
    };
    if trouble {
        record.line("the disk of the site's file does not answer from now on");
    }
    record.line("operator: a route has another name; SIGHUP");
    program.signal("HUP");
    sleep_ms(HANG_MS);
    if trouble && program.log().contains("configuration 2") {
        return Ok(not_run(&record, "the disk answered all the same"));
    }
    drop(held);
    record.line("the disk answers");
    let in_force = program.wait_for("configuration 2", 5000);
    sleep_ms(1000);
    stop.store(true, Ordering::SeqCst);
    let outcomes: Vec<Outcome> =
        clients.into_iter().filter_map(|c| c.join().ok()).flatten().collect();
    for line in program.log().lines() {
        record.line(&format!("log: {line}"));
    }
    if !in_force {
        return Ok(not_run(&record, "the new configuration did not come into force at the end"));
    }
    let served = outcomes.iter().filter(|o| o.status == 200).count();
    record.line(&format!("{served} of {} requests were served", outcomes.len()));
    let lost: Vec<&Outcome> = outcomes.iter().filter(|o| o.status == 0).collect();
    let broken = lost.first().map(|first| {
        format!(
            "{} of {} requests got no answer within {SLACK_MS} ms after their time, the first of them {} (sent at {:.0} ms)",
            lost.len(), outcomes.len(), first.id, first.sent
        )
    });
    Ok(verdict(&record, &broken.into_iter().collect::<Vec<_>>()))
}
