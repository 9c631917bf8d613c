//! SIGTERM while a file of servers lies on a disk that does not answer.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use crate::disk::hold;
use crate::kit::{
    Folder, Program, Record, Server, ask, free_port, not_run, now_ms, servers, sleep_ms, verdict,
};

/// The longest deadline of the site, and the time that a process has after it.
const DEADLINE_MS: u64 = 600;
const AFTER_MS: u64 = 700;

fn site(port: u16) -> String {
    format!(
        r#"[[listener]]
address = "127.0.0.1:{port}"

[[class]]
name = "balance"
aim_ms = 250
deadline_ms = {DEADLINE_MS}
effect = "safe"
methods = ["GET"]

[[pool]]
name = "points"
files = ["points.toml"]

[otherwise]
pool = "points"
"#
    )
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let temporary = Folder::create_holdable("ending")?;
    let start = |name| Server::start(name, "127.0.0.1:0", 8, &record, 20);
    let (one, two) = (start("points-1")?, start("points-2")?);
    let port = free_port("127.0.0.1");
    temporary.write("points.toml", &servers(&[&one, &two]))?;
    temporary.write("site.toml", &site(port))?;
    let config = temporary.0.join("site.toml");
    let arguments = ["serve", "--config", &config.display().to_string()].map(str::to_string);
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let mut program = Program::start(root, &arguments, temporary.0.join("log"))?;
    if !program.wait_for("configuration 1", 5000) {
        return Ok(not_run(&record, &program.log()));
    }
    let to = SocketAddr::from(([127, 0, 0, 1], port));
    ask(to, "GET", "/balance/1", "a-1", "", 1500, &record);
    // Written elsewhere, held, and put in place.
    std::fs::write(temporary.0.join("next"), servers(&[&one, &two]) + "# again\n")?;
    let _held = match trouble {
        true => match hold(&temporary.0.join("next")) {
            Ok(file) => Some(file),
            Err(e) => return Ok(not_run(&record, &format!("no lease: {e}"))),
        },
        false => None,
    };
    std::fs::rename(temporary.0.join("next"), temporary.0.join("points.toml"))?;
    sleep_ms(2000);
    ask(to, "GET", "/balance/1", "a-2", "", 1500, &record);
    record.line("SIGTERM");
    program.signal("TERM");
    let at = now_ms();
    let ended = program.wait_end(20_000);
    record.line(&format!("ended: {ended}, {:.0} ms after SIGTERM", now_ms() - at));
    for line in program.log().lines() {
        record.line(&format!("log: {line}"));
    }
    let late = now_ms() - at > (DEADLINE_MS + AFTER_MS + 1000) as f64;
    let broken =
        late.then(|| format!("the process had not ended {:.0} ms after SIGTERM", now_ms() - at));
    Ok(verdict(&record, &broken.into_iter().collect::<Vec<_>>()))
}
