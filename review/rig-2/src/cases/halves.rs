//! A balancer without a file of its last good state is restarted while it refuses a change that touches two services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::{Client, free_port, request_to};
use crate::process::Process;
use crate::record::Record;
use crate::server::Server;
use crate::{Case, CaseResult, Verdict};

const WORK: Duration = Duration::from_millis(10);
/// Half of them ask `points`, the others `partners`.
const CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Counts {
    stop: AtomicBool,
    foreign: AtomicU64,
    served: [AtomicU64; 2],
    not_found: AtomicU64,
}

pub fn run(case: &Case) -> CaseResult {
    let record = &case.record;
    let start = |name: &str, says: &str| {
        let server = Server::start(name, WORK, record)?;
        server.say(says);
        Ok::<Server, String>(server)
    };
    let points = [start("points-1", "points")?, start("points-2", "points")?];
    let partners = [start("partners-1", "partners")?, start("partners-2", "partners")?];
    let new_partner = start("partners-3", "partners")?;
    let (listen, control_port) = (free_port()?, free_port()?);
    write_files(case, listen, control_port)?;
    write_change(case, 1, &first_change(&points, &partners))?;
    let site = case.folder.join("control.toml").display().to_string();
    let mut control =
        Process::start(&case.folder.join("control.log"), &["control", "--config", &site], &[])?;
    control.wait_for_log("control listening", Duration::from_secs(10))?;
    let mut balancer = serve(case, "first.log")?;
    balancer.wait_for_log("listening on", Duration::from_secs(10))?;
    let counts = Arc::new(Counts::default());
    let at = SocketAddr::from(([127, 0, 0, 1], listen));
    let clients: Vec<_> =
        (0..CLIENTS).map(|number| client(number, at, record.clone(), counts.clone())).collect();
    thread::sleep(Duration::from_millis(1500));
    write_change(case, 2, &second_change(&partners[0], &new_partner))?;
    balancer.wait_for_log("rejected, nothing of it in force", Duration::from_secs(10))?;
    record.line("the balancer has refused change 2");
    thread::sleep(Duration::from_millis(1500));
    let (served, foreign) = (
        counts.served.each_ref().map(|served| served.load(Ordering::Relaxed)),
        counts.foreign.load(Ordering::Relaxed),
    );
    record.line(&format!(
        "so far points served {} and partners {} requests, {foreign} wrongly",
        served[0], served[1]
    ));
    if case.trouble {
        balancer.signal("TERM");
        record.line("SIGTERM to the balancer");
        balancer.wait(Duration::from_secs(10))?;
        record.line("the balancer has ended; it starts again");
        balancer = serve(case, "second.log")?;
        balancer.wait_for_log("listening on", Duration::from_secs(10))?;
    }
    thread::sleep(Duration::from_millis(4000));
    counts.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if !balancer.runs() || !control.runs() {
        return Err(format!("a program has ended: {} {}", balancer.log(), control.log()));
    }
    record.line(&format!("the balancer's log: {}", balancer.log().replace('\n', "; ")));
    let served_late =
        [0, 1].map(|service| counts.served[service].load(Ordering::Relaxed) - served[service]);
    let foreign = counts.foreign.load(Ordering::Relaxed);
    record.line(&format!(
        "{foreign} clients of points were served what a server of partners made; since the refusal points served {} \
         requests and partners {}, {} found no route",
        served_late[0],
        served_late[1],
        counts.not_found.load(Ordering::Relaxed)
    ));
    Ok(if foreign == 0 { Verdict::Held } else { Verdict::Broken })
}

fn serve(case: &Case, log: &str) -> Result<Process, String> {
    let site = case.folder.join("balancer.toml").display().to_string();
    Process::start(&case.folder.join(log), &["serve", "--config", &site], &[])
}

fn write_files(case: &Case, listen: u16, control: u16) -> Result<(), String> {
    let write = |name: &str, text: String| {
        std::fs::write(case.folder.join(name), text).map_err(|error| error.to_string())
    };
    std::fs::create_dir_all(case.folder.join("changes")).map_err(|error| error.to_string())?;
    write(
        "control.toml",
        format!("listen = \"127.0.0.1:{control}\"\nchanges = \"changes\"\nfirst = 1\n"),
    )?;
    write(
        "balancer.toml",
        format!(
            r#"[limits]
sockets = 1024
memory_mb = 192

[locality]
zones = ["east", "west"]
zone = "east"

[[listener]]
address = "127.0.0.1:{listen}"

[[class]]
name = "balance"
aim_ms = 300
deadline_ms = 900
effect = "safe"
methods = ["GET"]

[control]
own = "balancer-17"
machines = ["127.0.0.1:{control}"]
services = ["points", "partners"]

[otherwise]
refuse = "not-found"
"#
        ),
    )
}

/// Writes a change beside its place and renames it, as the page asks.
fn write_change(case: &Case, number: u64, tables: &str) -> Result<(), String> {
    let folder = case.folder.join("changes");
    let new = folder.join(".new");
    let count = tables.matches("[[").count();
    let text = format!("number = {number}\nepoch = 1\n\n{tables}[end]\nchanges = {count}\n");
    std::fs::write(&new, text).map_err(|error| error.to_string())?;
    std::fs::rename(&new, folder.join(format!("{number:08}.toml")))
        .map_err(|error| error.to_string())
}

fn table(service: &str, id: &str, server: &Server, zone: &str) -> String {
    format!(
        "[[server]]\nservice = \"{service}\"\nid = \"{id}\"\naddress = \"{}\"\nzone = \"{zone}\"\n\n",
        server.address
    )
}

fn first_change(points: &[Server], partners: &[Server]) -> String {
    let mut text = String::new();
    for service in ["points", "partners"] {
        text += &format!("[[pool]]\nservice = \"{service}\"\n\n");
        text += &format!(
            "[[route]]\nservice = \"{service}\"\nname = \"{service}\"\nrank = 100\nhost = [\"{service}.example\"]\n\n"
        );
    }
    for (service, servers) in [("points", points), ("partners", partners)] {
        text += &servers
            .iter()
            .map(|server| table(service, &server.name, server, "east"))
            .collect::<String>();
    }
    text
}

/// Moves a server from partners to points, and gives partners another one in its place, in a zone that the balancer does
/// not have.
fn second_change(moved: &Server, new: &Server) -> String {
    let remove = format!("[[remove]]\nservice = \"partners\"\nserver = \"{}\"\n\n", moved.name);
    remove
        + &table("points", "points-3", moved, "east")
        + &table("partners", &new.name, new, "north")
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A client that sends one request after the other, and connects again where it has to.
fn client(
    number: usize,
    at: SocketAddr,
    record: Record,
    counts: Arc<Counts>,
) -> thread::JoinHandle<()> {
    let index = number % 2;
    let service = ["points", "partners"][index];
    let host = format!("{service}.example");
    thread::spawn(move || {
        let mut connection = None;
        while !counts.stop.load(Ordering::Relaxed) {
            thread::sleep(PAUSE);
            let Some(client) = connection.as_mut() else {
                connection = Client::connect(at).ok();
                continue;
            };
            let id = format!("{service}-{}", NEXT.fetch_add(1, Ordering::Relaxed));
            let sent = client.send(&request_to(&host, "balance", "GET", &id, 900, b""));
            match sent.and_then(|()| client.answer()) {
                Ok(answer) => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    record.line(&format!(
                        "client {number}: {id} answered {} {body:?}",
                        answer.status
                    ));
                    match answer.status {
                        200 if body != format!("{service} {id}") => {
                            counts.foreign.fetch_add(1, Ordering::Relaxed)
                        }
                        200 => counts.served[index].fetch_add(1, Ordering::Relaxed),
                        404 => counts.not_found.fetch_add(1, Ordering::Relaxed),
                        _ => 0,
                    };
                    if answer.closes() {
                        connection = None;
                    }
                }
                Err(error) => {
                    record.line(&format!("client {number}: {id} {error}"));
                    connection = None;
                }
            }
        }
    })
}
