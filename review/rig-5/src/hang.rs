//! SIGHUP adds a pool whose file lies on a disk that does not answer; then a server leaves a pool that runs, in that
//! pool's own file, and its address goes to another pool.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use crate::disk::hold;
use crate::kit::{
    Folder, Outcome, Program, Record, Server, ask, free_port, not_run, now_ms, servers, sleep_ms,
    verdict,
};

/// By then a file that was written has been read at the latest (`reread_ms`).
const REREAD_MS: u64 = 5000;
/// The pool's `drain_ms`, after which a server that was left out is forgotten, and the grace of the pages with 50 ms on
/// sockets: the operator waits for both before the address is used again.
const DRAIN_MS: u64 = 1500;
const GRACE_MS: u64 = 1050;

fn site(port: u16, archive: bool) -> String {
    let archive = match archive {
        true => {
            "[[pool]]\nname = \"archive\"\nfiles = [\"archive.toml\"]\n\n\
             [[route]]\nname = \"archive\"\nhost = [\"archive.example\"]\npool = \"archive\"\n\n"
        }
        false => "",
    };
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
drain_ms = {DRAIN_MS}
reread_ms = {REREAD_MS}

[[pool]]
name = "partners"
files = ["partners.toml"]

[[route]]
name = "partners"
host = ["partners.example"]
pool = "partners"

{archive}[otherwise]
pool = "points"
"#
    )
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let temporary = Folder::create_holdable("hang")?;
    let start = |name, address: &str| Server::start(name, address, 8, &record, 20);
    let (points_1, points_2) =
        (start("points-1", "127.0.0.1:0")?, start("points-2", "127.0.0.1:0")?);
    let partners_1 = start("partners-1", "127.0.0.1:0")?;
    let archive_1 = start("archive-1", "127.0.0.1:0")?;
    let port = free_port("127.0.0.1");
    temporary.write("points.toml", &servers(&[&points_1, &points_2]))?;
    temporary.write("partners.toml", &servers(&[&partners_1]))?;
    temporary.write("archive.toml", &servers(&[&archive_1]))?;
    temporary.write("site.toml", &site(port, false))?;
    let config = temporary.0.join("site.toml");
    let program = Program::start(
        root,
        &["serve", "--config", &config.display().to_string()],
        temporary.0.join("log"),
    )?;
    if !program.wait_for("configuration 1", 5000) {
        return Ok(not_run(&record, &program.log()));
    }
    // Four clients of points, none of partners.
    let to = SocketAddr::from(([127, 0, 0, 1], port));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|c| {
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || {
                let mut outcomes: Vec<Outcome> = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("points-c{c}-{}", outcomes.len());
                    let fields = "X-Expires-In-Ms: 600\r\n";
                    outcomes.push(ask(to, "GET", "/balance/1", &id, fields, 1500, &record));
                    sleep_ms(100);
                }
                outcomes
            })
        })
        .collect();
    sleep_ms(2000);
    let held = match trouble {
        true => match hold(&temporary.0.join("archive.toml")) {
            Ok(file) => Some(file),
            Err(e) => return Ok(not_run(&record, &format!("no lease on a file: {e}"))),
        },
        false => None,
    };
    if trouble {
        record.line("the disk with archive.toml does not answer from now on");
    }
    temporary.write("site.toml", &site(port, true))?;
    record.line("operator: a pool archive is added to the site; SIGHUP");
    program.signal("HUP");
    if !trouble && !program.wait_for("configuration 2", 3000) {
        return Ok(not_run(&record, &program.log()));
    }
    sleep_ms(1000);
    temporary.write("points.toml", &servers(&[&points_1]))?;
    let left_out = now_ms();
    record.line("operator: points-2 is left out of points.toml");
    sleep_ms(REREAD_MS + DRAIN_MS + GRACE_MS);
    points_2.end();
    let partners_2 = start("partners-2", &points_2.address.to_string())?;
    temporary.write("partners.toml", &servers(&[&partners_1, &partners_2]))?;
    record.line(
        "points-2 has ended; partners-2 starts at its address, and is listed in partners.toml",
    );
    sleep_ms(6000);
    stop.store(true, Ordering::SeqCst);
    let outcomes: Vec<Outcome> =
        clients.into_iter().filter_map(|c| c.join().ok()).flatten().collect();
    if trouble && program.log().contains("configuration 2") {
        return Ok(not_run(&record, "the disk answered all the same"));
    }
    drop(held);
    for line in program.log().lines() {
        record.line(&format!("log: {line}"));
    }
    let after = left_out + (REREAD_MS + GRACE_MS) as f64;
    let late = points_2.arrivals().iter().filter(|a| a.first_byte > after).count();
    record.line(&format!(
        "points-2 got {late} requests later than {} ms after it was left out",
        REREAD_MS + GRACE_MS
    ));
    let served = outcomes.iter().filter(|o| o.status == 200).count();
    record.line(&format!("{served} of {} requests of points were served", outcomes.len()));
    let foreign: Vec<&Outcome> =
        outcomes.iter().filter(|o| o.status == 200 && o.body.starts_with("partners")).collect();
    let broken = foreign.first().map(|first| {
        format!(
            "{} requests for points were sent to partners-2 and served with what it answers, the first of them {} \
             (sent at {:.0} ms): {:?}; partners-2 got {} requests, and its clients sent none",
            foreign.len(), first.id, first.sent, first.body, partners_2.arrivals().len()
        )
    });
    Ok(verdict(&record, &broken.into_iter().collect::<Vec<_>>()))
}
