//! Applies the changes of a case's script.

use sableloom_emulator::Fault;
use sableloom_types::EndpointStatus;

use super::{Event, World, profile};
use crate::case::{Change, MS};

impl World {
    pub(super) fn change(&mut self, change: Change) {
        match change {
            Change::Load(load) => self.load = load,
            Change::Shift { zone, times } => {
                let here = self.balancers.iter_mut().filter(|f| f.zone == zone);
                here.for_each(|f| f.traffic_weight *= times);
            }
            Change::Bad { first, step, failing, slower } => {
                for i in (first..self.servers.len()).step_by(step) {
                    let fault = Fault { slower, failing, ..Fault::default() };
                    (0..2).for_each(|class| self.servers[i].node.fault(class, fault));
                }
            }
            Change::KindSlow { kind, class, times } => {
                for server_state in self.servers.iter_mut().filter(|p| p.kind == kind) {
                    let fault = Fault { slower: times, ..server_state.node.faulty(class) };
                    server_state.node.fault(class, fault);
                }
            }
            Change::Kill { share } => {
                let n = (self.balancers.len() as f64 * share) as usize;
                for balancer in 0..n {
                    self.kill_balancer(balancer);
                }
            }
            Change::Replace { from, to, ms } => {
                for i in from..to.min(self.servers.len()) {
                    let when = ms * (i - from) as i64 / (to - from) as i64;
                    self.schedule_after((when * MS) as f64, Event::ReplaceServer(i));
                }
            }
            Change::ZoneGone { zone, ms } => {
                for i in 0..self.servers.len() {
                    if self.servers[i].zone == zone {
                        self.servers[i].up = false;
                        self.crash_server(i);
                    }
                }
                self.schedule_after(
                    (ms * MS) as f64,
                    Event::ZoneRestored { zone, partition: false },
                );
            }
            Change::ZoneCut { zone, ms } => {
                self.partitioned_zones.push(zone);
                self.schedule_after(
                    (ms * MS) as f64,
                    Event::ZoneRestored { zone, partition: true },
                );
            }
            Change::KindGone { kind } => {
                for i in 0..self.servers.len() {
                    if self.servers[i].kind == kind {
                        self.servers[i].status = EndpointStatus::Gone;
                    }
                }
                self.publish();
            }
            Change::KindNew { from, kind, capacity } => {
                let profile = profile(&self.case, &self.settings, capacity);
                for i in from..self.servers.len() {
                    self.crash_server(i);
                    self.servers[i].kind = kind;
                    self.servers[i].status = EndpointStatus::Live;
                    self.with_node(i, |node, now, out| node.replace(profile, now, out));
                    self.start_server(i);
                }
                self.publish();
            }
        }
    }

    /// Replaces a server by another machine, cold.
    pub(super) fn replace_server(&mut self, i: usize) {
        self.crash_server(i);
        self.start_server(i);
        self.publish();
    }
}
