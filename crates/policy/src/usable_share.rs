//! The share of each server's capacity that is usable now.

use sableloom_types::Time;

use crate::outlier::ZoneOutliers;
use crate::server::Server;
use crate::slow_start::SlowStart;

/// Refreshes the usable share of every server: it is below 1 for a server that warms up and 0 for one that cannot be
/// reached. The limits on requests scale with the shares. When all servers counted in full while most were
/// new or unreachable, the remaining ones got the requests meant for all, and answered hardly any in time.
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
        // If no server seems reachable, all live ones count in full, since the sum of `N_i` must not be zero.
        for server in servers {
            server.usable_share = f64::from(u8::from(server.is_live()));
        }
    }
}
