//! A balancer that subscribes to a control machine is restarted while the control machine is down, soon after a change
//! that moved a server from one service to another.

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
/// All of them ask `points`.
const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(10);
/// The grace of a drain with its slack: that of the platform's settings, as the operator's pages state none.
const GRACE_S: f64 = 1.05;

pub fn run(case: &Case) -> CaseResult {
    let record = &case.record;
    let mut points = Vec::new();
    for number in 1..=3 {
        points.push(Server::start(&format!("points-{number}"), WORK, record)?);
    }
    let partners = Server::start("partners-1", WORK, record)?;
    points.iter().for_each(|server| server.say("points"));
    partners.say("partners");
    let moved = points[0].clone();
    let (listen, control_port) = (free_port()?, free_port()?);
    write_files(case, listen, control_port)?;
    write_change(case, 1, &first_change(&points, &partners))?;
    let site = case.folder.join("control.toml").display().to_string();
    let control_log = case.folder.join("control.log");
    let mut control = Process::start(&control_log, &["control", "--config", &site], &[])?;
    control.wait_for_log("control listening", Duration::from_secs(10))?;
    let mut balancer = serve(case, "first.log")?;
    balancer.wait_for_log("listening on", Duration::from_secs(10))?;
    let stop = Arc::new(AtomicBool::new(false));
    let foreign = Arc::new(AtomicU64::new(0));
    let at = SocketAddr::from(([127, 0, 0, 1], listen));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| client(number, at, record.clone(), stop.clone(), foreign.clone()))
        .collect();
    thread::sleep(Duration::from_millis(2000));
    write_change(case, 2, &move_to_partners(&moved))?;
    balancer.wait_for_log("points 2: ", Duration::from_secs(10))?;
    let in_force_at = record.now();
    record
        .line("change 2 is in force: the server points-1 has left points, and is one of partners");
    thread::sleep(Duration::from_secs_f64(GRACE_S));
    moved.say("partners");
    thread::sleep(Duration::from_millis(150));
    let before = count(&moved, in_force_at + GRACE_S);
    if case.trouble {
        control.signal("TERM");
        control.wait(Duration::from_secs(5))?;
        record.line("the control machine has ended");
        balancer.signal("TERM");
        record.line("SIGTERM to the balancer");
        balancer.wait(Duration::from_secs(10))?;
        record.line("the balancer has ended; it starts again");
        balancer = serve(case, "second.log")?;
        balancer.wait_for_log("listening on", Duration::from_secs(10))?;
        record.line(&format!("its log: {}", balancer.log().replace('\n', "; ")));
    }
    thread::sleep(Duration::from_millis(4000));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if !balancer.runs() {
        return Err(format!("the balancer has ended: {}", balancer.log()));
    }
    let late = count(&moved, in_force_at + GRACE_S);
    let foreign = foreign.load(Ordering::Relaxed);
    record.line(&format!(
        "points-1 began {late} requests for points over {GRACE_S} s after it had left that service, {before} of them \
         before the restart; {foreign} clients of points were served what a server of partners made"
    ));
    Ok(if late == 0 && foreign == 0 { Verdict::Held } else { Verdict::Broken })
}

/// The requests of clients of points that a server began after this time.
fn count(server: &Server, after: f64) -> usize {
    server.runs().iter().filter(|run| run.at > after && run.id.starts_with("points")).count()
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
state = "balancer-17.state"

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

fn table(service: &str, id: &str, server: &Server) -> String {
    format!(
        "[[server]]\nservice = \"{service}\"\nid = \"{id}\"\naddress = \"{}\"\nzone = \"east\"\n\n",
        server.address
    )
}

fn first_change(points: &[Server], partners: &Server) -> String {
    let mut text = String::new();
    for service in ["points", "partners"] {
        text += &format!("[[pool]]\nservice = \"{service}\"\ndrain_ms = 1000\n\n");
        text += &format!(
            "[[route]]\nservice = \"{service}\"\nname = \"{service}\"\nrank = 100\nhost = [\"{service}.example\"]\n\n"
        );
    }
    text += &points.iter().map(|server| table("points", &server.name, server)).collect::<String>();
    text + &table("partners", &partners.name, partners)
}

/// One file, as what belongs together goes into one.
fn move_to_partners(server: &Server) -> String {
    let remove = format!("[[remove]]\nservice = \"points\"\nserver = \"{}\"\n\n", server.name);
    remove + &table("partners", "partners-2", server)
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A client that sends one request after the other, and connects again where it has to.
fn client(
    number: usize,
    at: SocketAddr,
    record: Record,
    stop: Arc<AtomicBool>,
    foreign: Arc<AtomicU64>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut connection = None;
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(PAUSE);
            let Some(client) = connection.as_mut() else {
                connection = Client::connect(at).ok();
                continue;
            };
            let id = format!("points-{}", NEXT.fetch_add(1, Ordering::Relaxed));
            let sent = client.send(&request_to("points.example", "balance", "GET", &id, 900, b""));
            match sent.and_then(|()| client.answer()) {
                Ok(answer) => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    record.line(&format!(
                        "client {number}: {id} answered {} {body:?}",
                        answer.status
                    ));
                    if answer.status == 200 && body != format!("points {id}") {
                        foreign.fetch_add(1, Ordering::Relaxed);
                    }
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
