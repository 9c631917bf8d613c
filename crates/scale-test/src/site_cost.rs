//! What a site of one's own files costs `serve`, by services, servers and routes: the way without control machines.

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::child::LoggedProcess;
use crate::report::RunReport;
use crate::source::{Folder, Source, write_site};
use crate::usage::{Machine, Shortage, seconds};

/// By what the values are shown.
const SIZE: &str = "case";
/// How long a process is looked at without requests.
const REST: Duration = Duration::from_secs(10);
/// How long a change may take.
const CHANGES_WITHIN: Duration = Duration::from_secs(60);
/// A route that is added before all others.
const ROUTE: &str = "[[route]]\nname = \"added\"\npath.prefix = [\"/added/\"]\nrefuse = \"gone\"\n";

/// The sites: services, servers of each and routes of each.
const SITES: [Source; 5] = [
    Source { services: 25, servers_each: 48, routes_each: 84, tenants_each: 0 },
    Source { services: 250, servers_each: 48, routes_each: 84, tenants_each: 0 },
    Source { services: 250, servers_each: 5, routes_each: 1, tenants_each: 0 },
    Source { services: 25, servers_each: 480, routes_each: 10, tenants_each: 0 },
    Source { services: 25, servers_each: 48, routes_each: 840, tenants_each: 0 },
];

/// Measures each program at each site.
pub fn run(programs: &[PathBuf], report: &mut RunReport, progress: &dyn Fn(&str)) {
    for (case, source) in SITES.iter().enumerate() {
        for program in programs {
            let (servers, routes) = (source.servers(), source.routes());
            let name = format!("{} services, {servers} servers, {routes} routes", source.services);
            progress(&format!("case {case}: {name}: {}", program.display()));
            if let Err(error) = measure(program, source, case as f64, report) {
                let program = program.display();
                report.not_reached.push(format!("case {case}: {name}: {program}: {error}"));
            }
        }
    }
}

fn measure(program: &Path, source: &Source, case: f64, report: &mut RunReport) -> io::Result<()> {
    let folder = Folder::new("site")?;
    let site = write_site(source, folder.path(), "127.0.0.1:0")?;
    let mut command = Command::new(program);
    command.arg("serve").arg("--config").arg(&site);
    let process = LoggedProcess::start(&mut command, &["in force"])?;
    let mut add = |what: &str, value: f64, void: Option<&str>| {
        report.add(&format!("{}: {what}", program.display()), SIZE, case, value, void);
    };
    add("s until ready", process.ready.as_secs_f64(), None);
    let (begun, machine, before) = (Instant::now(), Machine::now(), process.usage());
    thread::sleep(REST);
    let used = process.usage().since(before);
    let busy = Machine::now().busy_since(machine);
    let void = Shortage { late: Duration::ZERO, busy }.beyond(Duration::ZERO);
    let idle = used.processor_us as f64 / 1e4 / seconds(begun.elapsed());
    add("% of a core at rest", idle, void.as_deref());
    add("resident kB at rest", used.resident_kb as f64, None);
    add("threads", process.threads() as f64, None);
    let before = process.usage();
    add_route(&site)?;
    process.signal(Signal::HUP);
    await_line(&process, &["configuration 2", "in force"])?;
    let used = process.usage().since(before);
    add(
        "ms of processor time of one route's change",
        used.processor_us as f64 / 1e3,
        void.as_deref(),
    );
    add("resident kB after it", used.resident_kb as f64, None);
    Ok(())
}

fn add_route(site: &Path) -> io::Result<()> {
    // Tables may come in any order: a route at the end is the last one.
    OpenOptions::new().append(true).open(site)?.write_all(ROUTE.as_bytes())
}

fn await_line(process: &LoggedProcess, parts: &[&str]) -> io::Result<()> {
    let begun = Instant::now();
    let mut seen = Vec::new();
    while begun.elapsed() < CHANGES_WITHIN {
        for line in process.log() {
            if parts.iter().all(|part| line.contains(part)) {
                return Ok(());
            }
            seen.push(line);
        }
        thread::sleep(Duration::from_millis(5));
    }
    Err(io::Error::other(format!("it did not take the change: {}", seen.join("; "))))
}
