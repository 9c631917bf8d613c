//! The status of a control machine as JSON.

use sableloom_control::StatusReport;
use sableloom_distribution::{LagStatus, Position, RejectionStatus, SessionStatus};
use serde_json::{Value, json};

/// The complete status as JSON. Its keys are an interface: programs of operators read them.
pub(super) fn as_json(report: &StatusReport) -> Value {
    let status = &report.status;
    json!({
        "position": position(status.position),
        "services": report.services.iter().map(|service| json!({
            "service": service.service.as_str(),
            "version": service.version,
            "digest": format!("{:016x}", service.digest),
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

/// Hashes are strings: readers of JSON don't keep 64 bits of a number.
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

#[cfg(test)]
mod tests;
