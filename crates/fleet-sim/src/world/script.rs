//! Applies the changes of a case's script.

use sableloom_emulator::{Fault, NodeCapacity};
use sableloom_types::EndpointStatus;

use super::{Event, World, profile};
use crate::case::{Change, MS};

impl World {
    pub(super) fn change(&mut self, change: Change) {
        match change {
            Change::Load(load) => self.load = load,
            Change::Shift { zone, times } => {
                let here = self.balancers.iter_mut().filter(|balancer| balancer.zone == zone);
                here.for_each(|balancer| balancer.traffic_weight *= times);
            }
            Change::Bad { first, step, failing, slower } => {
                let fault = Fault { slower, failing, ..Fault::default() };
                self.spoil(first, step, fault);
            }
            Change::KindSlow { kind, class, times } => self.slow_kind(kind, class, times),
            Change::Kill { share } => {
                let killed = (self.balancers.len() as f64 * share) as usize;
                (0..killed).for_each(|balancer| self.kill_balancer(balancer));
            }
            Change::Replace { from, to, ms } => self.replace_in_turn(from, to, ms),
            Change::ZoneGone { zone, ms } => {
                self.crash_zone(zone);
                let restored = Event::ZoneRestored { zone, partition: false };
                self.schedule_after((ms * MS) as f64, restored);
            }
            Change::ZoneCut { zone, ms } => {
                self.partitioned_zones.push(zone);
                let restored = Event::ZoneRestored { zone, partition: true };
                self.schedule_after((ms * MS) as f64, restored);
            }
            Change::KindGone { kind } => self.withdraw_kind(kind),
            Change::KindNew { from, kind, capacity } => self.install_kind(from, kind, capacity),
        }
    }

    /// Lets every `step`th server from `first` on fail, for both classes.
    fn spoil(&mut self, first: usize, step: usize, fault: Fault) {
        for server in self.servers.iter_mut().skip(first).step_by(step) {
            (0..2).for_each(|class| server.node.set_fault(class, fault));
        }
    }

    fn slow_kind(&mut self, kind: u32, class: usize, times: f64) {
        for server in self.servers.iter_mut().filter(|server| server.kind == kind) {
            let fault = Fault { slower: times, ..server.node.fault(class) };
            server.node.set_fault(class, fault);
        }
    }

    fn replace_in_turn(&mut self, from: usize, to: usize, ms: i64) {
        for server in from..to.min(self.servers.len()) {
            let when = ms * (server - from) as i64 / (to - from) as i64;
            self.schedule_after((when * MS) as f64, Event::ReplaceServer(server));
        }
    }

    fn crash_zone(&mut self, zone: u32) {
        for server in 0..self.servers.len() {
            if self.servers[server].zone == zone {
                self.servers[server].up = false;
                self.crash_server(server);
            }
        }
    }

    fn withdraw_kind(&mut self, kind: u32) {
        for server in self.servers.iter_mut().filter(|server| server.kind == kind) {
            server.status = EndpointStatus::Gone;
        }
        self.publish();
    }

    fn install_kind(&mut self, from: usize, kind: u32, capacity: NodeCapacity) {
        let profile = profile(&self.case, &self.settings, capacity);
        for server in from..self.servers.len() {
            self.crash_server(server);
            self.servers[server].kind = kind;
            self.servers[server].status = EndpointStatus::Live;
            self.with_node(server, |node, now, out| node.replace(profile, now, out));
            self.start_server(server);
        }
        self.publish();
    }

    /// Replaces a server by another machine, cold.
    pub(super) fn replace_server(&mut self, i: usize) {
        self.crash_server(i);
        self.start_server(i);
        self.publish();
    }
}
