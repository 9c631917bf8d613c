//! A pool is renamed by SIGHUP while requests wait in it; then one of its servers is set to drain.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;

use crate::kit::{
    Folder, Program, Record, Server, ask, free_port, not_run, now_ms, sleep_ms, verdict,
};

const SERVICE_MS: u64 = 700;
/// The grace of the pages, 1 s, and 50 ms on sockets.
const GRACE_MS: f64 = 1050.0;

fn site(port: u16, pool: &str) -> String {
    format!(
        r#"[[listener]]
address = "127.0.0.1:{port}"

[[class]]
name = "statement"
aim_ms = 5000
deadline_ms = 8000
effect = "unsafe"
methods = ["POST"]

[[pool]]
name = "{pool}"
files = ["points.toml"]

[otherwise]
pool = "{pool}"
"#
    )
}

fn servers(of: &[&Server], draining: &str) -> String {
    let mut text = String::new();
    for server in of {
        let state = if server.name == draining { "draining" } else { "serving" };
        text += &format!(
            "[[server]]\nid = \"{}\"\naddress = \"{}\"\nstate = \"{state}\"\n\n",
            server.name, server.address
        );
    }
    text + &format!("[end]\nservers = {}\n", of.len())
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let temporary = Folder::create("drain")?;
    let start = |name| Server::start(name, "127.0.0.1:0", 2, &record, SERVICE_MS);
    let (one, two) = (start("points-1")?, start("points-2")?);
    let port = free_port("127.0.0.1");
    temporary.write("points.toml", &servers(&[&one, &two], ""))?;
    temporary.write("site.toml", &site(port, "points"))?;
    let config = temporary.0.join("site.toml");
    let program = Program::start(
        root,
        &["serve", "--config", &config.display().to_string()],
        temporary.0.join("log"),
    )?;
    if !program.wait_for("in force", 5000) || !program.wait_for("listening", 5000) {
        return Ok(not_run(&record, &program.log()));
    }
    let to = SocketAddr::from(([127, 0, 0, 1], port));
    // Some requests first, so that the balancer knows how long the servers take.
    for i in 0..4 {
        ask(to, "POST", "/statement/0", &format!("warm-{i}"), "", 9000, &record);
    }
    let clients: Vec<_> = (0..40)
        .map(|i| {
            let record = record.clone();
            thread::spawn(move || {
                ask(to, "POST", "/statement/1", &format!("r-{i}"), "", 9000, &record)
            })
        })
        .collect();
    sleep_ms(300);
    if trouble {
        temporary.write("site.toml", &site(port, "points-east"))?;
        record.line("operator: the pool is named points-east from now on; SIGHUP");
        program.signal("HUP");
        if !program.wait_for("configuration 2", 3000) {
            return Ok(not_run(&record, &program.log()));
        }
    }
    sleep_ms(300);
    temporary.write("points.toml", &servers(&[&one, &two], "points-2"))?;
    record.line("operator: points-2 is set to drain");
    if !program.wait_for("drained points-2", 3000) {
        return Ok(not_run(&record, &program.log()));
    }
    let told = now_ms();
    record.line("the balancer's log says that the list with the draining server is in force");
    let outcomes: Vec<_> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    sleep_ms(500);
    let served = outcomes.iter().filter(|o| o.status == 200).count();
    record.line(&format!("{served} of {} served", outcomes.len()));
    for line in program.log().lines() {
        record.line(&format!("log: {line}"));
    }
    let late: Vec<String> = two
        .arrivals()
        .iter()
        .filter(|a| a.first_byte > told + GRACE_MS)
        .map(|a| {
            format!(
                "points-2 got {} {:.0} ms after the balancer was told that it drains",
                a.id,
                a.first_byte - told
            )
        })
        .collect();
    if one.arrivals().iter().filter(|a| a.first_byte > told + GRACE_MS).count() == 0 {
        return Ok(not_run(&record, "no request waited so long"));
    }
    Ok(verdict(&record, &late))
}
