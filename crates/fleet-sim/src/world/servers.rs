//! The model servers: their progress in simulated time, their crashes and starts.

use oorandom::Rand64;
use sableloom_emulator::{
    AttemptOutcome, Completion, KINDS, Node, NodeCapacity, NodeProfile, Phase, kind,
};
use sableloom_types::{Outcome, PolicySettings, Time};

use super::{DELAY_WITHIN_ZONE, Event, World};
use crate::case::Case;
use crate::settings::mean_work;

impl World {
    /// Schedules the next event of a server, and sends its answers to the balancers.
    pub(super) fn schedule_server(&mut self, server: usize) {
        let server_state = &mut self.servers[server];
        server_state.version += 1;
        let (version, zone) = (server_state.version, server_state.zone);
        if server_state.node.phase() == Phase::Crashed
            && server_state.up
            && self.crashed_servers.insert(server)
        {
            server_state.generation += 1;
            self.tally.falls += 1;
        }
        if let Some(at) = self.servers[server].node.next() {
            self.schedule_at(at, Event::AdvanceNode { server, version });
        }
        for Completion { attempt, outcome } in std::mem::take(&mut self.done) {
            let attempt = attempt as usize;
            let outcome = match outcome {
                AttemptOutcome::Served => Outcome::Ok,
                AttemptOutcome::Error => Outcome::Error,
                AttemptOutcome::Rejected => Outcome::Rejected,
                AttemptOutcome::Invalid | AttemptOutcome::Truncated | AttemptOutcome::Reset => {
                    Outcome::Reset
                }
            };
            let there = self.balancers[self.requests[self.attempts[attempt].request].balancer].zone;
            if outcome == Outcome::Reset {
                self.schedule_after(DELAY_WITHIN_ZONE, Event::AttemptEnds { attempt, outcome });
            } else if !self.is_partitioned(zone, there) {
                let back = self.one_way_delay(zone, there);
                self.schedule_after(back, Event::AttemptEnds { attempt, outcome });
            }
        }
    }

    pub(super) fn with_node(
        &mut self,
        server: usize,
        what: impl FnOnce(&mut Node<usize>, Time, &mut Vec<Completion>),
    ) {
        what(&mut self.servers[server].node, self.now, &mut self.done);
        self.schedule_server(server);
    }

    /// Crashes a server: its attempts are reset, its connections closed.
    pub(super) fn crash_server(&mut self, server: usize) {
        self.servers[server].generation += 1;
        self.with_node(server, |node, now, out| node.stop(now, out));
    }

    /// Starts a server, cold.
    pub(super) fn start_server(&mut self, server: usize) {
        self.servers[server].up = true;
        self.servers[server].started = Some(self.now);
        self.crashed_servers.remove(&server);
        self.with_node(server, |node, now, out| node.start(now, out));
    }
}

pub(super) fn capacity_of(case: &Case, rng: &mut Rand64, i: usize) -> NodeCapacity {
    // If all servers are alike, they are of the middle kind.
    KINDS[if case.kinds { kind(i) } else { 1 }].capacity(rng.rand_float())
}

/// The profile of a server, consistent with the rules in the settings of the balancers.
pub(super) fn profile(
    case: &Case,
    settings: &PolicySettings,
    capacity: NodeCapacity,
) -> NodeProfile {
    let rules = &settings.safety_rules;
    let plain = NodeProfile::of(capacity);
    NodeProfile {
        connections: case.connections.unwrap_or(usize::MAX),
        handshake: if case.connections.is_some() { plain.handshake } else { 0.0 },
        slow_start_initial_share: rules.slow_start_initial_share,
        slow_start: rules.slow_start,
        overload_factor: rules.overload_factor,
        overload_window: rules.overload_window,
        cached_keys: 0,
        drops_abandoned: false,
        mean_work: mean_work(),
        ..plain
    }
}
