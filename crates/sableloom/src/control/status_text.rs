//! The status of a control machine as text for a terminal.

use std::fmt::Write;
use std::net::SocketAddr;

use comfy_table::{Table, presets};
use sableloom_control::StatusReport;
use sableloom_distribution::{
    LagStatus, LogStatus, MachineStatus, PublisherStatus, RejectionStatus, SessionStatus,
};

/// The complete status as tables and lines.
pub(super) fn as_text(at: SocketAddr, report: &StatusReport) -> String {
    let mut text = totals(at, &report.status);
    write_machine(&mut text, &report.machine);
    let mut table =
        new_table(&["session", "balancer", "services", "has", "lags in", "queued", "silent"]);
    for session in &report.sessions {
        table.add_row(session_row(session));
    }
    _ = writeln!(text, "{table}");
    for session in &report.sessions {
        write_lags(&mut text, session);
        write_rejections(&mut text, session);
    }
    text
}

fn totals(at: SocketAddr, status: &PublisherStatus) -> String {
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

fn write_machine(text: &mut String, machine: &MachineStatus) {
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

fn new_table(header: &[&str]) -> Table {
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

fn write_lags(text: &mut String, session: &SessionStatus) {
    for LagStatus { service, applied_version, latest_version, behind_ms } in &session.lags {
        let (subscriber, time) = (&session.subscriber, seconds(*behind_ms));
        _ = writeln!(
            text,
            "{subscriber} lags in {service} for {time}: has {applied_version}, is to have {latest_version}"
        );
    }
    write_unlisted(text, session, "lags in", session.lagging, session.lags.len());
}

fn write_rejections(text: &mut String, session: &SessionStatus) {
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
    write_unlisted(text, session, "refused", session.rejecting, session.rejections.len());
}

fn write_unlisted(text: &mut String, session: &SessionStatus, what: &str, all: u32, listed: usize) {
    let unlisted = (all as usize).saturating_sub(listed);
    if unlisted > 0 {
        _ = writeln!(text, "{} {what} {unlisted} services more", session.subscriber);
    }
}
