//! `sableloom control`: a control machine, its status, and a check of change files.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use comfy_table::{Table, presets};
use sableloom_control::{Report, Server, check_file, check_folder, fetch, read_settings};
use sableloom_distribution::{
    LagStatus, LogStatus, MachineStatus, Position, PublisherStatus, RejectionStatus, SessionStatus,
};
use sableloom_server_files::read_file;
use sableloom_toml_diagnostics::Problem;
use serde_json::{Value, json};
use tokio::signal::unix::{SignalKind, signal};

use crate::check::shown;

/// What to do.
#[derive(clap::Args)]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
pub struct Options {
    /// The control machine's settings, in TOML
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Shows what a control machine has, and which balancers have which of it
    Status(StatusOptions),
    /// Says all that is wrong with a change file, or with a folder of them as a whole
    Check(CheckOptions),
}

/// Whom to ask, and how to show it.
#[derive(clap::Args)]
struct StatusOptions {
    /// Where the control machine listens
    #[arg(long, value_name = "ADDRESS")]
    at: SocketAddr,
    /// Prints JSON instead of tables
    #[arg(long)]
    json: bool,
}

/// What to check.
#[derive(clap::Args)]
struct CheckOptions {
    /// A change file, or a folder of them
    path: PathBuf,
    /// The number that the folder's log begins with
    #[arg(long, default_value_t = 1)]
    first: u64,
}

/// Runs a command.
pub async fn run(options: Options) -> Result<(), String> {
    match (options.command, options.config) {
        (Some(Command::Status(options)), _) => status(&options).await,
        (Some(Command::Check(options)), _) => check(&options),
        (None, Some(config)) => serve(&config).await,
        (None, None) => Err("--config is missing".to_string()),
    }
}

async fn serve(config: &Path) -> Result<(), String> {
    // Listened for before anything is started, so that an early signal is not lost.
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|error| format!("SIGTERM: {error}"))?;
    let shown_file = config.display().to_string();
    let text = read_file(config).map_err(|error| format!("{shown_file}: {error}"))?;
    let settings = read_settings(&shown_file, &text).map_err(|wrong| shown(config, &wrong))?;
    let base = config.parent().unwrap_or(Path::new(""));
    let server =
        Server::start(&settings, base).map_err(|error| format!("{shown_file}: {error}"))?;
    eprintln!("sableloom: changes read to {}", server.position());
    let address = server.address().map_err(|error| format!("{shown_file}: {error}"))?;
    eprintln!("sableloom: control listening on {address}");
    let shutdown = async { _ = terminate.recv().await };
    server.run(shutdown).await;
    eprintln!("sableloom: control ended");
    Ok(())
}

fn check(options: &CheckOptions) -> Result<(), String> {
    let path = &options.path;
    let name = path.display();
    if !path.is_dir() {
        check_file(path).map_err(|wrong| shown(path, &wrong))?;
        println!(
            "{name}: good by itself; check its folder to see whether it fits what comes before"
        );
        return Ok(());
    }
    let wrong = |problems: Vec<Problem>| shown(&path.join("00000001.toml"), &problems);
    let checked = check_folder(path, options.first).map_err(wrong)?;
    println!(
        "{name}: good; {} changes to {}, {} services, {} resources, {} of them tenants",
        checked.files, checked.position, checked.services, checked.resources, checked.tenants
    );
    Ok(())
}

async fn status(options: &StatusOptions) -> Result<(), String> {
    let at = options.at;
    let report = fetch(at).await.map_err(|error| format!("{at}: {error}"))?;
    match options.json {
        true => println!("{}", as_json(&report)),
        false => print!("{}", as_text(at, &report)),
    }
    Ok(())
}

fn as_text(at: SocketAddr, report: &Report) -> String {
    let mut text = head(at, &report.status);
    machine(&mut text, &report.machine);
    let mut table =
        table(&["session", "balancer", "services", "has", "lags in", "queued", "silent"]);
    for session in &report.sessions {
        table.add_row(session_row(session));
    }
    _ = writeln!(text, "{table}");
    for session in &report.sessions {
        lags(&mut text, session);
        refusals(&mut text, session);
    }
    text
}

fn head(at: SocketAddr, status: &PublisherStatus) -> String {
    let mut text = format!(
        "control machine {at}: position {}; {} services, {} resources, {} of them tenants; log of {} changes, {} \
         bytes\n",
        status.position,
        status.services,
        status.resources,
        status.tenants,
        status.log_entries,
        status.log_bytes
    );
    _ = writeln!(
        text,
        "{} balancers, {} lag, {} have refused something; snapshots: {} under way, {} wait; {} wait for \
         bandwidth",
        status.sessions,
        status.lagging,
        status.rejecting,
        status.snapshots,
        status.waiting_for_snapshot,
        status.waiting_for_bandwidth
    );
    _ = writeln!(
        text,
        "sent: {} transactions, {} bytes; in force {}, refused {}, not fitting {}",
        status.transactions, status.bytes, status.acks, status.rejections, status.mismatches
    );
    text
}

fn machine(text: &mut String, machine: &MachineStatus) {
    let LogStatus { next, latest, blocked_reason } = &machine.log;
    if !blocked_reason.is_empty() {
        _ = writeln!(text, "changes from {next} to {latest} wait: {blocked_reason}");
    }
    _ = writeln!(
        text,
        "closed: {} refused, {} did not read, {} did not acknowledge, {} silent, {} sent what is no message or \
         may not be said",
        machine.refused,
        machine.stalled,
        machine.unacknowledged,
        machine.silent,
        machine.violations
    );
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(header);
    table
}

fn session_row(session: &SessionStatus) -> [String; 7] {
    [
        session.session.to_string(),
        session.subscriber.to_string(),
        session.services.to_string(),
        session.current.to_string(),
        session.lagging.to_string(),
        session.queued_bytes.to_string(),
        seconds(session.silent_ms),
    ]
}

fn seconds(ms: u64) -> String {
    format!("{:.1} s", ms as f64 / 1e3)
}

fn lags(text: &mut String, session: &SessionStatus) {
    for LagStatus { service, applied_version, latest_version, behind_ms } in &session.lags {
        let (subscriber, time) = (&session.subscriber, seconds(*behind_ms));
        _ = writeln!(
            text,
            "{subscriber} lags in {service} for {time}: has {applied_version}, is to have {latest_version}"
        );
    }
    more(text, session, "lags in", session.lagging, session.lags.len());
}

fn refusals(text: &mut String, session: &SessionStatus) {
    for RejectionStatus { service, applied_version, rejected_version, behind_ms, problem } in
        &session.rejections
    {
        let (subscriber, time) = (&session.subscriber, seconds(*behind_ms));
        _ = write!(
            text,
            "{subscriber} refused {service} {rejected_version} {time} ago and keeps {applied_version}"
        );
        match problem {
            Some(problem) => _ = writeln!(text, ": {problem}"),
            None => text.push('\n'),
        }
    }
    more(text, session, "refused", session.rejecting, session.rejections.len());
}

fn more(text: &mut String, session: &SessionStatus, what: &str, all: u32, listed: usize) {
    let unlisted = (all as usize).saturating_sub(listed);
    if unlisted > 0 {
        _ = writeln!(text, "{} {what} {unlisted} services more", session.subscriber);
    }
}

fn as_json(report: &Report) -> Value {
    let status = &report.status;
    json!({
        "position": position(status.position),
        "services": report.services.iter().map(|held| json!({
            "service": held.service.as_str(),
            "version": held.version,
            "digest": format!("{:016x}", held.digest),
        })).collect::<Vec<_>>(),
        "resources": status.resources,
        "tenants": status.tenants,
        "log": { "changes": status.log_entries, "bytes": status.log_bytes },
        "next": report.machine.log.next,
        "latest": report.machine.log.latest,
        "waits_for": &*report.machine.log.blocked_reason,
        "sessions": report.sessions.iter().map(session_json).collect::<Vec<_>>(),
        "lagging": status.lagging,
        "rejecting": status.rejecting,
        "snapshots": status.snapshots,
        "waiting_for_snapshot": status.waiting_for_snapshot,
        "waiting_for_bandwidth": status.waiting_for_bandwidth,
        "transactions": status.transactions,
        "bytes": status.bytes,
        "acks": status.acks,
        "rejections": status.rejections,
        "mismatches": status.mismatches,
        "closed": {
            "all": status.closed,
            "refused": report.machine.refused,
            "stalled": report.machine.stalled,
            "unacknowledged": report.machine.unacknowledged,
            "silent": report.machine.silent,
            "violations": report.machine.violations,
        },
    })
}

/// Hashes are texts: JSON's readers don't keep 64 bits of a number.
fn position(position: Position) -> Value {
    let Position { epoch, number, chain } = position;
    json!({ "epoch": epoch, "number": number, "chain": format!("{chain:016x}") })
}

fn session_json(session: &SessionStatus) -> Value {
    json!({
        "session": session.session,
        "balancer": session.subscriber.as_str(),
        "services": session.services,
        "has": position(session.current),
        "queued_bytes": session.queued_bytes,
        "silent_ms": session.silent_ms,
        "lagging": session.lagging,
        "lags": session.lags.iter().map(lag_json).collect::<Vec<_>>(),
        "rejecting": session.rejecting,
        "rejections": session.rejections.iter().map(rejection_json).collect::<Vec<_>>(),
    })
}

fn lag_json(lag: &LagStatus) -> Value {
    json!({ "service": lag.service.as_str(), "has": lag.applied_version, "wants": lag.latest_version, "behind_ms": lag.behind_ms })
}

fn rejection_json(rejection: &RejectionStatus) -> Value {
    json!({
        "service": rejection.service.as_str(),
        "has": rejection.applied_version,
        "refused": rejection.rejected_version,
        "behind_ms": rejection.behind_ms,
        "problem": rejection.problem.as_ref().map(|problem| json!({
            "file": &*problem.origin.file,
            "line": problem.origin.line,
            "resource": problem.resource.to_string(),
            "field": &*problem.field,
            "problem": &*problem.problem,
        })),
    })
}
