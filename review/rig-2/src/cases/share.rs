//! A member of a fleet starts while another is stopped, and sends to servers before it has a share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::{Client, free_port, free_udp_port, request};
use crate::process::Process;
use crate::record::Record;
use crate::server::Server;
use crate::{Case, CaseResult, Verdict};

/// `claim_ms` of the example, and the wait that the page derives from it, in seconds.
const CLAIM_MS: u64 = 2000;
const WAIT_S: f64 = 1.23 * CLAIM_MS as f64 / 1000.0;
/// What a server takes for a request: far less than the objective, so that no attempt times out.
const WORK: Duration = Duration::from_millis(50);
const CLIENTS: usize = 24;
/// A client that is refused waits this long.
const PAUSE: Duration = Duration::from_millis(20);

pub fn run(case: &Case) -> CaseResult {
    let record = &case.record;
    let servers =
        [Server::start("points-1", WORK, record)?, Server::start("points-2", WORK, record)?];
    let members = [free_udp_port()?, free_udp_port()?];
    let listeners = [free_port()?, free_port()?];
    write_files(case, &servers, members, listeners)?;
    let other_log = case.folder.join("till-2.log");
    let mut other = serve(case, &other_log, "till-2.toml")?;
    other.wait_for_log("fleet: part: 1 of", Duration::from_secs(10))?;
    record.line("till-2 runs and has its share");
    if case.trouble {
        other.signal("STOP");
        record.line("SIGSTOP to till-2");
    }
    let started = record.now();
    record.line("till-1 starts");
    let mut member = serve(case, &case.folder.join("till-1.log"), "till-1.toml")?;
    member.wait_for_log("listening on", Duration::from_secs(10))?;
    let stop = Arc::new(AtomicBool::new(false));
    let at = SocketAddr::from(([127, 0, 0, 1], listeners[0]));
    let clients: Vec<_> =
        (0..CLIENTS).map(|number| client(number, at, record.clone(), stop.clone())).collect();
    // It has a share once the others have acknowledged it, which its log says, else after the wait.
    let mut has_share_at = started + WAIT_S;
    while record.now() < started + WAIT_S {
        if member.log().contains("fleet: part: 1 of") {
            has_share_at = record.now();
            record.line("till-1 has a share, by its log");
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::Relaxed);
    other.signal("CONT");
    for client in clients {
        let _ = client.join();
    }
    let runs = || {
        servers
            .iter()
            .flat_map(|server| server.runs().into_iter().map(|run| (server.name.clone(), run)))
    };
    // What was begun just before the log was read may have been sent with the share.
    let judged_until = has_share_at - 0.02;
    let over: Vec<_> = runs().filter(|(_, run)| run.at < judged_until && run.running > 1).collect();
    let before = runs().filter(|(_, run)| run.at < judged_until).count();
    let most = over.iter().map(|(_, run)| run.running).max().unwrap_or(1);
    record.line(&format!(
        "till-1 was without a share for {:.2} s; {before} requests begun meanwhile, {} of them while their server ran \
         another of till-1's; {most} at one time at most",
        judged_until - started,
        over.len()
    ));
    if case.trouble && before == 0 {
        return Err("nothing was sent".to_string());
    }
    Ok(if over.is_empty() { Verdict::Held } else { Verdict::Broken })
}

fn serve(case: &Case, log: &std::path::Path, site: &str) -> Result<Process, String> {
    Process::start(log, &["serve", "--config", &case.folder.join(site).display().to_string()], &[])
}

fn write_files(
    case: &Case,
    servers: &[Server],
    members: [u16; 2],
    listeners: [u16; 2],
) -> Result<(), String> {
    let write = |name: &str, text: String| {
        std::fs::write(case.folder.join(name), text).map_err(|error| error.to_string())
    };
    let list: String = servers
        .iter()
        .map(|server| {
            format!("[[server]]\nid = \"{}\"\naddress = \"{}\"\n\n", server.name, server.address)
        })
        .collect();
    write("points.toml", format!("{list}[end]\nservers = {}\n", servers.len()))?;
    for (index, own) in ["till-1", "till-2"].into_iter().enumerate() {
        let text = format!(
            r#"[limits]
sockets = 1024
memory_mb = 192

[fleet]
name = "points"
own = "{own}"
period_ms = 200
answer_ms = 80
claim_ms = {CLAIM_MS}

[[fleet.member]]
name = "till-1"
address = "127.0.0.1:{}"

[[fleet.member]]
name = "till-2"
address = "127.0.0.1:{}"

[[listener]]
address = "127.0.0.1:{}"

[[class]]
name = "balance"
aim_ms = 300
deadline_ms = 900
effect = "safe"
methods = ["GET"]

[[pool]]
name = "points"
files = ["points.toml"]

[otherwise]
pool = "points"
"#,
            members[0], members[1], listeners[index]
        );
        write(&format!("{own}.toml"), text)?;
    }
    Ok(())
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A client that sends one request after the other.
fn client(
    number: usize,
    at: SocketAddr,
    record: Record,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut connection = None;
        while !stop.load(Ordering::Relaxed) {
            let Some(client) = connection.as_mut() else {
                connection = Client::connect(at).ok();
                continue;
            };
            let id = format!("{number}-{}", NEXT.fetch_add(1, Ordering::Relaxed));
            let answer = client
                .send(&request("balance", "GET", &id, 900, b""))
                .and_then(|()| client.answer());
            match answer {
                Ok(answer) => {
                    record.line(&format!("client {number}: {id} answered {}", answer.status));
                    if answer.closes() {
                        connection = None;
                    }
                    if answer.status != 200 {
                        thread::sleep(PAUSE);
                    }
                }
                Err(error) => {
                    record.line(&format!("client {number}: {id} {error}"));
                    connection = None;
                    thread::sleep(PAUSE);
                }
            }
        }
    })
}
