//! What one balancer knows of its fleet, as text.

use comfy_table::{Table, presets};
use sableloom_fleet::{DropCounts, MemberStatus, Status};

/// The status in one line.
pub(super) fn summary(status: &Status) -> String {
    let share = match status.share.balancers {
        0 => "none yet".to_string(),
        balancers => format!("1 of {balancers}"),
    };
    format!(
        "{} of fleet {}, life {}: {}, hears {} of {}, doubt {}; part {share} ({}; {} listed, {} proved \
         absent); view {}, digest {}, servers {}",
        status.own_name,
        status.fleet_name,
        status.process_incarnation,
        status.reachability,
        status.reachable_members,
        status.listed_members,
        status.local_health,
        status.share.reason,
        status.share.longest_list_length,
        status.share.absent_members,
        status.view_version,
        status.view_digest,
        status.endpoints_digest
    )
}

/// The status as a summary, a table of the other members and the datagrams that were dropped.
pub(super) fn text(status: &Status) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header([
        "member", "address", "state", "for", "by", "accusers", "life", "heard", "lists", "servers",
    ]);
    for member in &status.members {
        table.add_row(row(member));
    }
    let dropped = dropped(&status.dropped);
    format!("{}\n{table}\ndropped: {dropped}\n", summary(status))
}

fn row(member: &MemberStatus) -> [String; 10] {
    let seconds = |milliseconds: i64| format!("{:.1} s", milliseconds as f64 / 1e3);
    let heard = member.since_last_message_ms.map(|ago| format!("{} ago", seconds(ago)));
    [
        member.name.clone(),
        member.address.clone(),
        member.state.clone(),
        seconds(member.since_ms),
        member.reported_by.clone(),
        member.suspecting_members.to_string(),
        member.process_incarnation.to_string(),
        heard.unwrap_or_else(|| "never".to_string()),
        member.list_length.to_string(),
        member.endpoints_digest.clone(),
    ]
}

fn dropped(drops: &DropCounts) -> String {
    let counts = [
        ("too long", drops.too_long),
        ("another version", drops.other_version),
        ("malformed", drops.malformed),
        ("another fleet", drops.other_fleet),
        ("no member's address", drops.unknown_address),
        ("another's name", drops.wrong_sender),
        ("an earlier process's", drops.stale_nonce),
    ];
    let some = counts.iter().filter(|(_, count)| *count > 0);
    let some: Vec<String> = some.map(|(what, count)| format!("{count} {what}")).collect();
    if some.is_empty() { "none".to_string() } else { some.join(", ") }
}
