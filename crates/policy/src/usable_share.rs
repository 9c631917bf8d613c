//! How much of each server can be used now.

use sableloom_types::Time;

use crate::outlier::ZoneOutliers;
use crate::server::Server;
use crate::slow_start::SlowStart;

/// Brings the presence of every server up to date: one that warms up counts by its share, one that can't be reached
/// not at all. Failure: when most servers were new or gone, the limit meant for all went to what was left, which
/// then answered hardly anything in time.
pub(crate) fn refresh(
    servers: &mut [Server],
    zones: &ZoneOutliers,
    slow_start: &SlowStart,
    now: Time,
) {
    for server in servers.iter_mut() {
        let reachable =
            server.connect_failures.is_reachable() && !zones.seems_unreachable(server.zone);
        server.usable_share = match server.is_live() && reachable {
            true => slow_start.share(now, server).unwrap_or(1.0),
            false => 0.0,
        };
    }
    if servers.iter().all(|server| server.usable_share == 0.0) {
        // Nothing tells one from another, and the sum of N must not be zero.
        for server in servers {
            server.usable_share = f64::from(u8::from(server.is_live()));
        }
    }
}
