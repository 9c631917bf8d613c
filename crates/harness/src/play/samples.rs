//! Samples of nodes and balancers during the play, and the facts that are collected at its end.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use sableloom_emulator::Phase;
use sableloom_rehearsal::{Arrival, Arrived, Drain, NodeRow, Outage};

use super::{Balancer, FleetRow, Play, ProcessState};
use crate::process::Process;

/// A balancer is asked for its status at every so many-th sample.
const ASK_EVERY: u64 = 4;
/// Minimum run time of a process before its waiting time for a core is judged.
const JUDGED_AFTER: Duration = Duration::from_secs(1);

impl Play<'_> {
    /// Samples nodes, the fleet and the processes.
    pub(super) fn sample(&mut self) {
        let now = Instant::now();
        self.sample_nodes(now);
        if self.peer_network.is_some() {
            self.sample_fleet(now);
        }
        // Asks each balancer to log its status. An older program may not handle the signal, and would end.
        let asks = self.peer_network.is_some() || self.samples.is_multiple_of(ASK_EVERY);
        self.samples += 1;
        self.sample_processes(now, asks);
    }

    fn sample_nodes(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.sampled).as_micros() as f64;
        self.sampled = now;
        let at = self.micros(now);
        for (n, node) in self.nodes.iter().enumerate() {
            let present = node.capacity_share();
            let (sent, here, capacity) = node
                .look(|node| (node.sent(), node.occupancy(), node.profile().capacity.work_rate()));
            let bears = (capacity * present * gap).max(1.0);
            let row = NodeRow {
                at,
                sent: (sent - self.sent[n]) / bears,
                present,
                here,
                up: self.phases[n] == Phase::Up,
            };
            self.sent[n] = sent;
            self.facts.nodes[n].push(row);
        }
    }

    /// Adds a row on the fleet, and notes since when its members have agreed.
    fn sample_fleet(&mut self, now: Instant) {
        let acts = |b: &(usize, &Balancer)| b.1.state == ProcessState::Up && !b.1.frozen;
        let acting: Vec<_> = self.balancers.iter().enumerate().filter(acts).collect();
        let digest = |b: usize| self.statuses[b].as_ref()?.pointer("/fleet/digest");
        let views: HashSet<_> = acting.iter().filter_map(|(b, _)| digest(*b)?.as_str()).collect();
        let parts = acting.iter().map(|(_, balancer)| balancer.capacity_share).sum();
        let at = self.micros(now);
        let row = FleetRow { at, running: acting.len(), parts, views: views.len() };
        let running = acting.len() as u64;
        let agrees = |b: usize| {
            let number = |path| self.statuses[b].as_ref()?.pointer(path)?.as_u64();
            number("/fleet/hears") == Some(running)
                && number("/fleet/part/balancers") == Some(running)
        };
        let agreed = views.len() == 1 && acting.iter().all(|(b, _)| agrees(*b));
        self.agreed = if agreed { self.agreed.or(Some(now)) } else { None };
        self.fleet.push(row);
    }

    /// Measures how long the balancers waited for a core; asks them for their status if `asks` is set.
    fn sample_processes(&mut self, now: Instant, asks: bool) {
        for balancer in &mut self.balancers {
            let own = balancer.binary.is_none() && balancer.agent.is_none() && self.options.own();
            if let Some(process) = &balancer.process
                && asks
                && own
                && balancer.state == ProcessState::Up
            {
                process.signal(Signal::USR1);
            }
            // A stopped process does not wait for a core.
            if balancer.state != ProcessState::Up || balancer.frozen {
                continue;
            }
            let scheduled = balancer.process.as_ref().and_then(Process::scheduled);
            let (Some((from, base)), Some((_, waited))) = (balancer.judged_from, scheduled) else {
                continue;
            };
            let ran = now.saturating_duration_since(from);
            if ran >= JUDGED_AFTER {
                self.starved = self.starved.max(waiting_share(waited.saturating_sub(base), ran));
            }
        }
    }

    /// Collects the facts that are known only at the end.
    pub(super) fn gather(&mut self, arrivals: &[Arrival]) {
        self.facts.agreed = self.agreed.map(|at| self.micros(at));
        self.facts.arrivals = arrivals.iter().map(|a| (a.at, a.class, a.zone)).collect();
        for b in 0..self.balancers.len() {
            if let Some(from) = self.balancers[b].unavailable_since.take() {
                let from = self.micros(from);
                self.facts.outages.push(Outage { balancer: b, from, to: i64::MAX / 2 });
            }
        }
        for ((balancer, node), from) in self.drains.drain() {
            self.facts.drains.push(Drain { balancer, node, from, to: i64::MAX });
        }
        for n in 0..self.nodes.len() {
            let node = self.nodes[n].clone();
            for arrival in node.arrivals() {
                let at = self.micros(arrival.at);
                let (id, from) = (arrival.id, arrival.from);
                self.facts.arrived.push(Arrived { id, node: n, from, at });
            }
            node.look(|node| {
                for (id, times) in node.executions() {
                    *self.facts.runs.entry(id.clone()).or_default() += times;
                }
                self.facts.peaks.push(node.peak_load_factor());
                self.facts.falls.push(node.crashes());
            });
        }
        // The workers delivered their tries one after the other.
        self.facts.tries.sort_by_key(|one| one.ended);
    }
}

/// The share of its time that a process waited for a core, from nanoseconds. The system counts a wait only once it is
/// over, so that one that had begun before the first look comes on top: guards against a share over 1, which made runs
/// void whose script lets a process wait for all of its time.
fn waiting_share(waited: u64, ran: Duration) -> f64 {
    (waited as f64 / ran.as_nanos() as f64).min(1.0)
}

#[cfg(test)]
mod tests;
